#include "quarantinerelay.h"

#include <catch2/catch.hpp>

using namespace hemlock;
using nlohmann::json;

namespace {

/// Relay between a simulated entry process, whose changes count up to `version`, and two peers.
class QuarantineRelayFixture
{
protected:
    QuarantineRelayFixture()
    {
        this->io.random = [] { return 0.5; };
        this->io.call = [this](const std::string &address,
                               const std::string &method,
                               const json &params,
                               const std::function<void(const RpcOutcome &)> &done) {
            if (method == "applyQuarantine") {
                this->applied.push_back(address);
                const bool isFailed = std::exchange(this->failsNextCall, false);
                done({!isFailed, json::object(), isFailed ? "timeout" : ""});
                return;
            }
            const auto after = params.at("after").get<std::uint64_t>();
            json entries = json::array();
            if (this->version > after)
                entries.push_back({{"fingerprint", "f"}, {"crashes", json::array()}});
            done({true, {{"version", this->version}, {"entries", entries}}, {}});
        };
    }

    void runTicks(int ticks)
    {
        for (int i = 0; i < ticks; ++i) {
            this->now += std::chrono::seconds(1);
            this->relay.tick(this->now);
        }
    }

    ControlIo io;
    std::uint64_t version = 0;
    bool failsNextCall = false;
    std::vector<std::string> applied;
    QuarantineRelay relay{
        this->io, "own-entry", [] {
            return std::vector<Peer>{{"b", {"z"}, "entry-b", "control-b"}, {"c", {"z"}, "entry-c", "control-c"}};
        }};
    std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
};

using Addresses = std::vector<std::string>;

} // namespace

// Guards against a crashing request that is tried on two more upstreams by each entry VM that its caller reaches.
TEST_CASE_METHOD(QuarantineRelayFixture, "QuarantineRelay: entry process records a crash: each peer is notified once")
{
    this->runTicks(3);
    CHECK(this->applied.empty());
    this->version = 1;
    this->runTicks(3);
    CHECK(this->applied == Addresses{"entry-b", "entry-c"});
}

// Guards against changes that are lost for good when one message fails.
TEST_CASE_METHOD(QuarantineRelayFixture, "QuarantineRelay: message to a peer fails: the changes are sent again")
{
    this->version = 1;
    this->failsNextCall = true;
    this->runTicks(1);
    CHECK(this->applied.size() == 2);
    this->runTicks(2);
    CHECK(this->applied.size() == 4);
}

// Guards against changes that are not sent after a restart because the entry process counts from zero again.
TEST_CASE_METHOD(QuarantineRelayFixture, "QuarantineRelay: entry process restarts: its later changes are sent")
{
    this->version = 7;
    this->runTicks(2);
    this->applied.clear();
    this->version = 0;
    this->runTicks(1);
    this->version = 1;
    this->runTicks(2);
    CHECK(this->applied == Addresses{"entry-b", "entry-c"});
}
