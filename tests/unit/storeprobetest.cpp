#include "relay/storeprobe.h"

#include <asio/io_context.hpp>

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

/// A probe of a store that answers every ping with the current status.
class StoreProbeFixture
{
protected:
    StoreProbeFixture()
    {
        KvAccess kv;
        kv.ping = [this](std::function<void(KvStatus, const std::string &)> done) {
            ++this->pingCount;
            if (this->isSilent)
                this->unanswered.push_back(std::move(done));
            else
                done(this->status, this->status == KvStatus::Ok ? "" : "silent");
        };
        StoreProbeSettings settings;
        settings.interval = std::chrono::milliseconds(1);
        settings.retryInterval = std::chrono::milliseconds(1);
        this->probe = std::make_unique<StoreProbe>(
            this->loop,
            kv,
            [this](const std::string &error) { this->errors.push_back(error); },
            [this] { ++this->recoveries; },
            [this] { return this->isNeeded; },
            settings);
        this->probe->start();
    }

    asio::io_context loop;
    KvStatus status = KvStatus::Ok;
    bool isSilent = false; ///< Pings are neither answered nor given up.
    std::vector<std::function<void(KvStatus, const std::string &)>> unanswered;
    bool isNeeded = true;
    int pingCount = 0;
    int recoveries = 0;
    std::vector<std::string> errors;
    std::unique_ptr<StoreProbe> probe;
};

} // namespace

TEST_CASE_METHOD(StoreProbeFixture, "StoreProbe: store answers: it is pinged again and nothing is reported")
{
    this->loop.run_one();
    this->loop.run_one();
    CHECK(this->pingCount == 2);
    CHECK(this->errors.empty());
}

TEST_CASE_METHOD(StoreProbeFixture, "StoreProbe: store does not answer: each failed ping is reported")
{
    this->status = KvStatus::Unknown;
    this->loop.run_one();
    this->loop.run_one();
    CHECK(this->errors == std::vector<std::string>{"silent", "silent"});
}

TEST_CASE_METHOD(StoreProbeFixture, "StoreProbe: store answers again: its recovery is reported once")
{
    this->status = KvStatus::Unknown;
    this->loop.run_one();
    CHECK(this->recoveries == 0);
    this->status = KvStatus::Ok;
    this->loop.run_one();
    this->loop.run_one();
    CHECK(this->recoveries == 1);
}

// Guards against the end of an outage that is noticed only after a lost ping has timed out.
TEST_CASE_METHOD(StoreProbeFixture, "StoreProbe: ping is lost in an outage: the next one reports the recovery")
{
    this->status = KvStatus::Unknown;
    this->loop.run_one();
    this->isSilent = true;
    this->loop.run_one();
    REQUIRE(this->unanswered.size() == 1);
    this->isSilent = false;
    this->status = KvStatus::Ok;
    this->loop.run_one();
    CHECK(this->recoveries == 1);
    this->unanswered.front()(KvStatus::Unknown, "timeout");
    CHECK(this->errors.size() == 1);
    CHECK(this->recoveries == 1);
}

TEST_CASE_METHOD(StoreProbeFixture, "StoreProbe: store answers slowly without an outage: pings do not overlap")
{
    this->isSilent = true;
    this->loop.run_one();
    REQUIRE(this->unanswered.size() == 1);
    CHECK(this->loop.poll() == 0);
    this->loop.restart();
    this->unanswered.front()(KvStatus::Ok, "");
    this->loop.run_one();
    CHECK(this->pingCount == 2);
}

TEST_CASE_METHOD(StoreProbeFixture, "StoreProbe: this VM does not read the store: it is not pinged")
{
    this->isNeeded = false;
    this->loop.run_one();
    CHECK(this->pingCount == 0);
    this->isNeeded = true;
    this->loop.run_one();
    CHECK(this->pingCount == 1);
}
