#pragma once

#include "processes.h"
#include "testhttp.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace hemlock {

/// The whole system as processes: the platform's stand-in, engines, and nodes of an entry and a control process each.
class Fleet
{
public:
    struct Node
    {
        std::string id;
        std::string zone;
        Process *entry = nullptr;
        Process *control = nullptr;
        std::string callerAddress;
        std::string entryControlAddress;
        std::string controlAddress;
    };

    struct Engine
    {
        std::string id;
        Process *process = nullptr;
    };

    /// Starts everything and returns once each node routes to each engine.
    Fleet(std::size_t nodes, std::size_t engines);

    /// Starts a control process for a node, again when it had one; @p seeds are control addresses of peers.
    void startControlProcess(Node &node, const std::vector<std::string> &seeds = {});

    void setPlatformFaults(const nlohmann::json &faults);
    void reclaim(const std::string &vmId, std::chrono::milliseconds notice);

    /// Commits one section that holds a client account with this weight; returns the version of the configuration.
    std::int64_t commitAccount(const std::string &section, const std::string &account, double weight);

    /// Starts the commit of two sections at once by two editors; returns the larger version.
    std::int64_t commitConcurrently(const std::string &first, const std::string &second);

    /// Waits until a node's entry process applies a snapshot of this version or a later one.
    static void waitForVersion(const Node &node, std::int64_t version);

    /// Configuration versions of all snapshots that a node's entry process applied, in order.
    static std::vector<std::int64_t> appliedVersions(const Node &node);

    TestHttp::Pending startCompletion(const Node &node, const std::string &prompt, int tokens);
    HttpOutcome complete(const Node &node, const std::string &prompt, int tokens);

    /// Upstream that the event identifiers of a streamed answer name, or an empty string.
    static std::string upstreamOf(const HttpOutcome &outcome);

    nlohmann::json rpc(const std::string &address, const std::string &method, const nlohmann::json &params);

    TestHttp http;
    std::vector<Node> nodes;
    std::vector<Engine> engines;

private:
    class ConfigCommitter;

    nlohmann::json section(const std::string &account, double weight) const;
    void commitInitialConfiguration();

    Processes processes;
    std::string platformUrl;
    int controlStarts = 0;
};

} // namespace hemlock
