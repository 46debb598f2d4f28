#include "fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace hemlock;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds longNotice{60000};
constexpr int requestsAfterNotice = 12;

class FleetFixture : public Fleet
{
protected:
    FleetFixture()
        : Fleet(3, 4)
    {
    }

    /// Waits until the output of the entry process contains @p part, while the test's own exchanges continue.
    void waitForLine(const Node &node, const std::string &part)
    {
        this->http.waitFor([&] { return node.entry->output().find(part) != std::string::npos; });
    }

    /// Polls the entry process of a node until it knows of a request that crashed two upstreams.
    void waitForQuarantine(const Node &node)
    {
        // The first crash may arrive by itself, and the request is refused only after the second.
        constexpr std::size_t crashes = 2;
        const auto isRefused = [this, &node] {
            const json entries = this->rpc(node.entryControlAddress, "quarantineDelta", {{"after", 0}}).at("entries");
            return std::any_of(entries.begin(), entries.end(), [](const json &entry) {
                return entry.at("crashes").size() >= crashes;
            });
        };
        const auto end = std::chrono::steady_clock::now() + eventTimeout;
        while (!isRefused())
            REQUIRE(std::chrono::steady_clock::now() < end);
    }

    /// Waits until a node's entry process has applied a snapshot with this number of serving upstreams.
    static void waitForServingCount(const Node &node, std::size_t servingCount)
    {
        node.entry->waitForEvent("snapshot-applied",
                                 [servingCount](const json &line) { return line.at("serving") == servingCount; });
    }
};

} // namespace

// Guards against new requests to a leaving upstream from an entry VM that has not been told of the reclaim.
TEST_CASE_METHOD(FleetFixture, "Fleet: reclaim of an upstream announced: no entry VM sends new requests to it")
{
    this->reclaim("engine-1", longNotice);
    for (const Node &node : this->nodes)
        waitForServingCount(node, 3);
    for (int i = 0; i < requestsAfterNotice; ++i) {
        const Node &node = this->nodes[static_cast<std::size_t>(i) % this->nodes.size()];
        const std::string upstream = upstreamOf(this->complete(node, "prompt " + std::to_string(i), 2));
        CHECK_FALSE(upstream.empty());
        CHECK(upstream != "engine-1");
    }
}

// Guards against returning a leaving upstream to service while the store is unreachable.
TEST_CASE_METHOD(FleetFixture, "Fleet: reclaim announced in a store outage: no entry VM sends new requests to it")
{
    this->setPlatformFaults({{"outage", true}});
    this->reclaim("engine-1", longNotice);
    for (const Node &node : this->nodes)
        waitForServingCount(node, 3);
    for (const Node &node : this->nodes) {
        const std::string upstream = upstreamOf(this->complete(node, "prompt", 2));
        CHECK_FALSE(upstream.empty());
        CHECK(upstream != "engine-1");
    }
}

// Guards against a stream that is cut off when its entry VM is reclaimed with notice.
TEST_CASE_METHOD(FleetFixture, "Fleet: reclaim of an entry VM announced: its stream completes and its process exits")
{
    const Node &node = this->nodes.front();
    const auto stream = this->startCompletion(node, "a long answer", 200);
    this->waitForLine(node, "\"event\":\"route\"");
    this->reclaim(node.id, longNotice);
    this->waitForLine(node, "\"event\":\"draining\"");
    const HttpOutcome outcome = this->http.wait(stream);
    CHECK(outcome.isComplete());
    CHECK(outcome.body.find("id: 200.") != std::string::npos);
    CHECK(outcome.body.find("data: [DONE]") != std::string::npos);
    CHECK(node.entry->waitForExit() == 0);
}

// Guards against losing one of two teams' concurrent changes, and against nodes that stay on an older version.
TEST_CASE_METHOD(FleetFixture, "Fleet: two teams commit different sections at once: every node applies both")
{
    const std::int64_t version = this->commitConcurrently("sales", "events");
    CHECK(version == 3);
    for (const Node &node : this->nodes) {
        waitForVersion(node, version);
        const json status = this->rpc(node.controlAddress, "status", json::object());
        CHECK(status.at("sections").contains("sales"));
        CHECK(status.at("sections").contains("events"));
    }
}

// Guards against a node that missed changes while paused and then applies an older configuration, or stays on it.
TEST_CASE_METHOD(FleetFixture, "Fleet: control process paused during a change: applies it and never reverts")
{
    Node &node = this->nodes.back();
    node.control->pause();
    const std::int64_t version = this->commitAccount("sales", "sales", 2.0);
    waitForVersion(this->nodes.front(), version);
    node.control->resume();
    waitForVersion(node, version);
    for (const Node &fleetNode : this->nodes) {
        const auto versions = appliedVersions(fleetNode);
        CHECK(std::is_sorted(versions.begin(), versions.end()));
    }
}

// Guards against a node that restarts during a store outage and serves nothing, or an older configuration than its
// peers.
TEST_CASE_METHOD(FleetFixture,
                 "Fleet: control process restarts in a store outage: applies the newest version from a peer")
{
    const std::int64_t version = this->commitAccount("sales", "sales", 2.0);
    for (const Node &node : this->nodes)
        waitForVersion(node, version);
    this->setPlatformFaults({{"outage", true}});
    Node &node = this->nodes.back();
    node.control->kill();
    this->startControlProcess(node, {this->nodes.front().controlAddress});
    node.control->waitForEvent("configuration-applied",
                               [version](const json &line) { return line.at("version") == version; });
    const auto versions = appliedVersions(node);
    CHECK(std::is_sorted(versions.begin(), versions.end()));
}

// Guards against repeating a commit, or reporting it as failed, when it took effect but its response was lost.
TEST_CASE_METHOD(FleetFixture, "Fleet: response to a commit lost: it is committed once and every node applies it")
{
    this->setPlatformFaults({{"loseAnswers", 1}});
    const std::int64_t version = this->commitAccount("sales", "sales", 2.0);
    CHECK(version == 2);
    for (const Node &node : this->nodes)
        waitForVersion(node, version);
}

// Guards against a request that crashes two more engines through each further entry VM that its caller tries.
TEST_CASE_METHOD(FleetFixture, "Fleet: request crashed two engines at one entry VM: another entry VM refuses it")
{
    const HttpOutcome first = this->complete(this->nodes[0], "CRASH", 4);
    CHECK(first.body.find("\"code\":\"request-quarantined\"") != std::string::npos);
    const Node &other = this->nodes[1];
    this->waitForQuarantine(other);
    const HttpOutcome second = this->complete(other, "CRASH", 4);
    CHECK(second.body.find("\"code\":\"request-quarantined\"") != std::string::npos);
    CHECK(second.body.find("\"verdict\":\"not-run\"") != std::string::npos);
}
