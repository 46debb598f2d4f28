#include "admission.h"

#include <catch2/catch.hpp>

#include <map>

using namespace hemlock;

namespace {

/// One entry process with one upstream. Each request costs 100 tokens; the account "limited" has 100 tokens per second.
class AdmissionFixture
{
protected:
    AdmissionFixture()
    {
        Service service;
        service.id = "advisor";
        this->snapshot.services = {service};
        this->snapshot.clientAccounts = {
            {"parish", "", 1.0, 0.0}, {"school", "", 1.0, 0.0}, {"limited", "", 1.0, 100.0}};
        Upstream upstream;
        upstream.id = "vm-1";
        upstream.service = "advisor";
        upstream.state = UpstreamState::Serving;
        this->snapshot.upstreams = {upstream};
        this->admission.applySnapshot(this->snapshot, this->now);
    }

    void submit(const std::string &requestId, const std::string &account, std::chrono::seconds timeLeft)
    {
        AdmissionRequest request{requestId, account, "advisor", 100.0, 5, this->now + timeLeft};
        AdmissionHooks hooks;
        hooks.start = [this, requestId] { this->startedIds.push_back(requestId); };
        hooks.refuse = [this, requestId](const RequestError &error) { this->refusals[requestId] = error; };
        this->admission.submit(request, hooks, this->now);
    }

    Snapshot snapshot;
    Admission admission{"entry-1"};
    Admission::TimePoint now{std::chrono::hours(1)};
    std::vector<std::string> startedIds;
    std::map<std::string, RequestError> refusals;
};

} // namespace

// Guards against excess demand that queues in the engines, which do not share capacity by account weight.
TEST_CASE_METHOD(AdmissionFixture,
                 "Admission: more requests than the concurrency limit: the rest waits until one has ended")
{
    for (int i = 0; i < 10; ++i)
        this->submit("r" + std::to_string(i), "parish", std::chrono::seconds(60));
    CHECK(this->startedIds.size() == 8);
    CHECK(this->admission.queued("advisor") == 2);

    this->admission.finished("r0", 100.0, this->now);

    CHECK(this->startedIds.size() == 9);
}

// Guards against a flood of one account that makes the requests of others wait behind it.
TEST_CASE_METHOD(AdmissionFixture,
                 "Admission: one account floods: a request of another account starts among the next two")
{
    for (int i = 0; i < 100; ++i)
        this->submit("flood" + std::to_string(i), "parish", std::chrono::seconds(60));
    this->submit("question", "school", std::chrono::seconds(60));
    this->admission.finished("flood0", 100.0, this->now);
    this->admission.finished("flood1", 100.0, this->now);
    CHECK(std::count(this->startedIds.begin(), this->startedIds.end(), "question") == 1);
}

// Guards against an account that exceeds its rate limit for longer than throttling covers.
TEST_CASE_METHOD(AdmissionFixture, "Admission: account over its rate limit: is refused as not run with a retry time")
{
    for (int i = 0; i < 4; ++i)
        this->submit("r" + std::to_string(i), "limited", std::chrono::seconds(60));
    for (int i = 0; i < 60; ++i) {
        this->now += std::chrono::milliseconds(100);
        this->admission.tick(this->now);
        for (const std::string &id : std::vector<std::string>(this->startedIds))
            this->admission.finished(id, 1000.0, this->now);
    }
    REQUIRE(this->refusals.contains("r3"));
    CHECK(this->refusals["r3"].verdict == Verdict::NotRun);
    CHECK(this->refusals["r3"].code == "rate-limited");
    CHECK(this->refusals["r3"].retryAfter.has_value());
}

// Guards against a refusal where a short wait is enough: the rate limit is exceeded for some hundred milliseconds only.
TEST_CASE_METHOD(AdmissionFixture, "Admission: account briefly over its rate limit: requests wait and start in order")
{
    for (int i = 0; i < 3; ++i)
        this->submit("r" + std::to_string(i), "limited", std::chrono::seconds(60));
    CHECK(this->startedIds.size() < 3);
    for (int i = 0; i < 40; ++i) {
        this->now += std::chrono::milliseconds(100);
        this->admission.tick(this->now);
    }
    CHECK(this->startedIds == std::vector<std::string>{"r0", "r1", "r2"});
    CHECK(this->refusals.empty());
}

// Guards against dispatching requests whose callers have already given up.
TEST_CASE_METHOD(AdmissionFixture, "Admission: deadline passes in the queue: is refused as not run")
{
    for (int i = 0; i < 9; ++i)
        this->submit("r" + std::to_string(i), "parish", std::chrono::seconds(5));
    this->now += std::chrono::seconds(6);
    this->admission.finished("r0", 100.0, this->now);
    CHECK(this->startedIds.size() == 8);
    REQUIRE(this->refusals.contains("r8"));
    CHECK(this->refusals["r8"].verdict == Verdict::NotRun);
}

// Guards against a cancelled request that still counts towards the concurrency limit.
TEST_CASE_METHOD(AdmissionFixture, "Admission: caller of a started request disconnects: the next request starts")
{
    for (int i = 0; i < 9; ++i)
        this->submit("r" + std::to_string(i), "parish", std::chrono::seconds(60));
    this->admission.cancel("r0", this->now);
    CHECK(this->startedIds.back() == "r8");
    CHECK(this->admission.inProgress("advisor") == 8);
}

// Guards against engines that stay overloaded: late first tokens must reduce the requests in progress.
TEST_CASE_METHOD(AdmissionFixture, "Admission: first tokens are late: the concurrency limit decreases")
{
    for (int i = 0; i < 8; ++i)
        this->submit("r" + std::to_string(i), "parish", std::chrono::seconds(600));
    for (int i = 0; i < 4; ++i) {
        this->now += std::chrono::seconds(2);
        this->admission.firstTokenArrived("r" + std::to_string(i), this->now);
    }
    this->submit("late", "parish", std::chrono::seconds(600));
    for (int i = 0; i < 3; ++i)
        this->admission.finished("r" + std::to_string(i), 100.0, this->now);
    CHECK(std::count(this->startedIds.begin(), this->startedIds.end(), "late") == 0);
}
