#pragma once

#include "eventstream.h"
#include "processes.h"
#include "rpc.h"
#include "snapshot.h"
#include "testhttp.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace hemlock {

/// A caller's streamed answer as it arrives.
struct CallerStream
{
    HttpClient::CallId id = 0;
    std::vector<ServerSentEvent> events;
    std::vector<std::string> texts; ///< Texts of the tokens.
    std::string lastEventId;
    std::optional<HttpOutcome> outcome;

    bool isDone() const; ///< Whether the final "[DONE]" event has arrived.
    std::string errorCode() const; ///< Code of the "error" event, or an empty string.
    std::string text() const;
};

/// Entry processes, engines and services without control processes; the test applies the snapshots itself.
class EntryCluster
{
public:
    using Stream = std::shared_ptr<CallerStream>;

    /// A started process of the cluster.
    struct Node
    {
        Process *process = nullptr;
        std::string id;
        std::string address; ///< Address for callers, or of the upstream; "IP:PORT".
        std::string control; ///< Control address of an entry process.
    };

    EntryCluster();

    /// Starts an engine that serves modelService. @p settings override those of engine-standin.
    Node &startEngine(const std::string &zone, const nlohmann::json &settings = nlohmann::json::object());
    Node &startService();
    Node &startEntry(const nlohmann::json &settings = nlohmann::json::object());

    /// Sends the current upstreams and peers to all entry processes.
    void applySnapshot();

    /// Sets the state of an upstream in the next snapshot.
    void setState(const Node &upstream, UpstreamState state);

    Stream openStream(const Node &entry, const std::string &prompt, int tokens, const HttpHeaders &headers = {});
    void closeStream(const Stream &stream);
    void waitForTokens(const Stream &stream, std::size_t count);
    void waitForEnd(const Stream &stream);

    HttpOutcome complete(const Node &entry, const std::string &prompt, int tokens, const HttpHeaders &headers = {});
    HttpOutcome callService(const Node &entry, const std::string &key);
    nlohmann::json rpc(const Node &node, const std::string &method, const nlohmann::json &params);

    /// Total number of calls run by all services.
    std::size_t serviceRuns();

    TestHttp http;
    double tokensPerSecond = 0.0; ///< Limit of the client account in the next snapshot; 0 for none.
    std::string modelService = "fixed"; ///< "fixed", which is declared deterministic, or "free", which is not.

private:
    HttpCall completionCall(
        const Node &entry, const std::string &prompt, int tokens, bool isStream, const HttpHeaders &headers) const;

    Processes processes;
    std::vector<std::unique_ptr<Node>> entries;
    std::vector<std::unique_ptr<Node>> services;
    std::vector<Upstream> upstreams;
    std::vector<std::unique_ptr<Node>> engines;
    std::int64_t sequence = 0;
};

std::string errorCodeOf(const HttpOutcome &outcome);
std::string errorVerdictOf(const HttpOutcome &outcome);

} // namespace hemlock
