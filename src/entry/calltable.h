#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlock {

/// Identifies an open streamed answer and gives the tokens generated so far.
struct StreamPosition
{
    std::string clientAccount;
    std::string requestId;
    std::string digest; ///< Digest of the request, which a resumed request must match.
    const std::vector<std::string> *tokens =
        nullptr; ///< Texts of all tokens so far; valid only until control returns to the loop, nullptr in a query.
};

/// A caller's request in progress.
class OpenCall
{
public:
    virtual ~OpenCall() = default;

    /// Called about once a second, to detect upstreams that have stopped sending.
    virtual void checkProgress(std::chrono::steady_clock::time_point now) = 0;

    /// Returns std::nullopt for a call without a streamed answer.
    virtual std::optional<StreamPosition> streamPosition() const = 0;

    /// Ends the call because the caller resumes its stream on another connection.
    virtual void supersede() = 0;
};

/// Owns the open calls and reports when the last one has ended.
class CallTable
{
public:
    void add(const std::string &clientAccount, const std::string &requestId, const std::shared_ptr<OpenCall> &call);
    void remove(const std::shared_ptr<OpenCall> &call);

    /// Returns the most recent open call of a request, or nullptr.
    std::shared_ptr<OpenCall> find(const std::string &clientAccount, const std::string &requestId) const;

    /// Calls the hook for each open call. The hook may end calls.
    void forEach(const std::function<void(OpenCall &call)> &hook) const;

    std::size_t size() const;

    /// Sets the hook that is called whenever the last open call ends.
    void setLastCallEnded(std::function<void()> hook);

private:
    using RequestKey = std::pair<std::string, std::string>;

    std::map<std::shared_ptr<OpenCall>, RequestKey> calls;
    std::map<RequestKey, std::weak_ptr<OpenCall>> latest;
    std::function<void()> lastCallEnded;
};

} // namespace hemlock
