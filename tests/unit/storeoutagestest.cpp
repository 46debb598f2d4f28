#include "relay/storeoutages.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace hemlock;

namespace {

/// A store whose calls end when the test says so.
class StoreOutagesFixture
{
protected:
    StoreOutagesFixture()
    {
        KvAccess kv;
        kv.range = [this](const std::string &, bool, std::function<void(const KvRangeResult &)> done) {
            this->calls.push_back([done = std::move(done)](KvStatus status) {
                KvRangeResult result;
                result.status = status;
                done(result);
            });
        };
        kv.ping = [this](std::function<void(KvStatus, const std::string &)> done) {
            this->calls.push_back([done = std::move(done)](KvStatus status) { done(status, {}); });
        };
        this->access = this->outages.observed(kv);
        this->start = this->now;
    }

    void send()
    {
        this->access.range("key", false, [](const KvRangeResult &) {});
    }

    void ping()
    {
        this->access.ping([](KvStatus, const std::string &) {});
    }

    /// Ends the oldest call.
    void end(KvStatus status)
    {
        const auto done = std::move(this->calls.front());
        this->calls.pop_front();
        done(status);
    }

    void pass(int milliseconds)
    {
        this->now += std::chrono::milliseconds(milliseconds);
    }

    std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
    std::chrono::steady_clock::time_point start;
    StoreOutages outages{std::chrono::milliseconds(1200), [this] { return this->now; }};
    KvAccess access;
    std::deque<std::function<void(KvStatus)>> calls;
};

} // namespace

TEST_CASE_METHOD(StoreOutagesFixture,
                 "StoreOutages: calls stay without an answer for long: is an outage until the next")
{
    this->send();
    this->end(KvStatus::Ok);
    for (int i = 0; i < 3; ++i) {
        this->send();
        this->pass(500);
        this->end(KvStatus::Unknown);
    }
    CHECK_FALSE(this->outages.hasEndedAfter(this->start));
    this->ping();
    this->end(KvStatus::Ok);
    CHECK(this->outages.hasEndedAfter(this->start));
    CHECK_FALSE(this->outages.hasEndedAfter(this->now));
}

// Guards against lapsed entries being expected because a store that works ends some calls.
TEST_CASE_METHOD(StoreOutagesFixture, "StoreOutages: calls fail beside others that are answered: is no outage")
{
    for (int i = 0; i < 5; ++i) {
        this->send();
        this->pass(800);
        this->ping();
        this->end(KvStatus::Unknown);
        this->end(KvStatus::Ok);
    }
    CHECK_FALSE(this->outages.hasEndedAfter(this->start));
}

TEST_CASE_METHOD(StoreOutagesFixture, "StoreOutages: no calls are made for long: is no outage")
{
    this->send();
    this->end(KvStatus::Ok);
    this->pass(60000);
    this->send();
    this->end(KvStatus::Unknown);
    this->pass(150);
    this->send();
    this->end(KvStatus::Ok);
    CHECK_FALSE(this->outages.hasEndedAfter(this->start));
}

TEST_CASE_METHOD(StoreOutagesFixture, "StoreOutages: long poll was waiting when the store fell silent: is an outage")
{
    this->send();
    this->ping();
    this->calls.back()(KvStatus::Ok);
    this->calls.pop_back();
    this->pass(1000);
    this->end(KvStatus::Unknown);
    this->send();
    this->pass(300);
    this->end(KvStatus::Ok);
    CHECK(this->outages.hasEndedAfter(this->start));
}
