#pragma once

#include "processes.h"
#include "testhttp.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace hemlock {

/// Runs the whole system as child processes: the platform stand-in, engines, and nodes with one entry process and one
/// control process each.
class Fleet
{
public:
    /// Entry VM; its addresses are "ADDRESS:PORT".
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

    /// Starts all processes and returns once each node knows all engines and peers.
    Fleet(std::size_t nodes, std::size_t engines);

    /// Starts or restarts the control process of a node; @p seeds are the control addresses of peers.
    void startControlProcess(Node &node, const std::vector<std::string> &seeds = {});

    void setPlatformFaults(const nlohmann::json &faults);
    void reclaim(const std::string &vmId, std::chrono::milliseconds notice);

    /// Commits a section with one client account of this weight; returns the new configuration version.
    std::int64_t commitAccount(const std::string &section, const std::string &account, double weight);

    /// Commits two sections concurrently; returns the larger of the two configuration versions.
    std::int64_t commitConcurrently(const std::string &first, const std::string &second);

    /// Waits until a node's entry process has applied a snapshot of this version or a later one.
    static void waitForVersion(const Node &node, std::int64_t version);

    /// Configuration versions of all snapshots that a node's entry process has applied, in order.
    static std::vector<std::int64_t> appliedVersions(const Node &node);

    TestHttp::Pending startCompletion(const Node &node, const std::string &prompt, int tokens);
    HttpOutcome complete(const Node &node, const std::string &prompt, int tokens);

    /// Upstream identifier from the event identifiers of a streamed response, or an empty string.
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
