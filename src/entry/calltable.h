#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlock {

/// Position of an open streamed answer.
struct StreamPosition
{
    std::string clientAccount;
    std::string requestId;
    std::string digest; ///< Of the request's body.
    const std::vector<std::string> *tokens = nullptr; ///< Texts of all tokens so far; valid during the visit.
};

/// A caller's request that is being worked on.
class OpenCall
{
public:
    virtual ~OpenCall() = default;

    /// Called about once a second.
    virtual void checkProgress(std::chrono::steady_clock::time_point now) = 0;

    /// Nothing for a call without a streamed answer.
    virtual std::optional<StreamPosition> streamPosition() const = 0;

    /// The caller has come back for the rest of the answer on another connection, which takes its place.
    virtual void supersede() = 0;
};

/// Keeps open calls alive and tells when the last one has ended.
class CallTable
{
public:
    void add(const std::string &clientAccount, const std::string &requestId, const std::shared_ptr<OpenCall> &call);
    void remove(const std::shared_ptr<OpenCall> &call);

    /// The latest open call of a request, or nullptr.
    std::shared_ptr<OpenCall> find(const std::string &clientAccount, const std::string &requestId) const;

    /// Calls the hook for each open call; calls may end meanwhile.
    void forEach(const std::function<void(OpenCall &call)> &hook) const;

    std::size_t size() const;

    /// Called each time that the last open call ends.
    void setLastCallEnded(std::function<void()> hook);

private:
    using RequestKey = std::pair<std::string, std::string>;

    std::map<std::shared_ptr<OpenCall>, RequestKey> calls;
    std::map<RequestKey, std::weak_ptr<OpenCall>> latest;
    std::function<void()> lastCallEnded;
};

} // namespace hemlock
