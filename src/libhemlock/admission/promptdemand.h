#pragma once

#include <map>
#include <string>

namespace hemlock {

/// Prompt tokens that had to be computed since the start of this process, by service.
class PromptDemand
{
public:
    /// Counts a started prompt of @p promptTokens, of which @p computedTokens were not cached.
    void started(const std::string &service, double computedTokens, double promptTokens);

    /// Counts a refused prompt, with the average share that caches do not hold.
    void refused(const std::string &service, double promptTokens);

    /// Average fraction of a prompt's tokens that no cache holds, 0 to 1.
    double uncachedShare(const std::string &service) const;

    const std::map<std::string, double> &tokens() const;

private:
    std::map<std::string, double> tokensByService;
    std::map<std::string, double> uncachedShareByService;
};

} // namespace hemlock
