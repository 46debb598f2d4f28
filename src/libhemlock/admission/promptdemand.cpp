#include "admission/promptdemand.h"

namespace hemlock {

namespace {

// Weight of a new sample; averages over about the last 50 prompts.
constexpr double uncachedShareSmoothing = 0.02;

} // namespace

void PromptDemand::started(const std::string &service, double computedTokens, double promptTokens)
{
    this->tokensByService[service] += computedTokens;
    if (promptTokens <= 0.0)
        return;
    double &share = this->uncachedShareByService.try_emplace(service, 1.0).first->second;
    share += (computedTokens / promptTokens - share) * uncachedShareSmoothing;
}

void PromptDemand::refused(const std::string &service, double promptTokens)
{
    this->tokensByService[service] += promptTokens * this->uncachedShare(service);
}

double PromptDemand::uncachedShare(const std::string &service) const
{
    const auto found = this->uncachedShareByService.find(service);
    return found == this->uncachedShareByService.end() ? 1.0 : found->second;
}

const std::map<std::string, double> &PromptDemand::tokens() const
{
    return this->tokensByService;
}

} // namespace hemlock
