#include "fairqueue.h"

#include <catch2/catch.hpp>

using namespace hemlock;
using namespace std::chrono_literals;

namespace {

class FairQueueFixture
{
protected:
    QueuedRequest request(const std::string &account, double cost, double weight = 1.0, int priority = 5)
    {
        QueuedRequest request;
        request.requestId = account + "-" + std::to_string(++this->count);
        request.clientAccount = account;
        request.cost = cost;
        request.weight = weight;
        request.priority = priority;
        return request;
    }

    /// Removes the next requests from the queue. Returns their summed cost by account.
    std::map<std::string, double> serve(FairQueue &queue, int requests)
    {
        std::map<std::string, double> tokens;
        for (int i = 0; i < requests; ++i) {
            if (const auto next = queue.pop(this->now, this->refused))
                tokens[next->clientAccount] += next->cost;
        }
        return tokens;
    }

    int count = 0;
    FairQueue::TimePoint now{1h};
    std::vector<QueueRefusal> refused;
};

} // namespace

// Guards against a flood of one account that delays other accounts by the length of its queue.
TEST_CASE_METHOD(FairQueueFixture, "FairQueue: flood of one account: a later request of another is among the next two")
{
    FairQueue queue;
    for (int i = 0; i < 500; ++i)
        queue.push(this->request("flood", 100), this->now);
    this->serve(queue, 10);
    queue.push(this->request("quiet", 100), this->now);
    CHECK(this->serve(queue, 2)["quiet"] == 100);
}

// Guards against sharing by number of requests, which favours accounts with long requests.
TEST_CASE_METHOD(FairQueueFixture,
                 "FairQueue: accounts of unequal weight and cost: tokens are proportional to the weights")
{
    FairQueue queue;
    for (int i = 0; i < 400; ++i) {
        queue.push(this->request("heavy", 90, 3.0), this->now);
        queue.push(this->request("light", 10, 1.0), this->now);
    }
    auto tokens = this->serve(queue, 200);
    CHECK(tokens["heavy"] / tokens["light"] == Approx(3.0).epsilon(0.1));
}

// Guards against credit for idle time, which would let an account that returns block the others.
TEST_CASE_METHOD(FairQueueFixture, "FairQueue: account returns after being idle: gets no more than its share")
{
    FairQueue queue;
    for (int i = 0; i < 100; ++i)
        queue.push(this->request("busy", 100), this->now);
    this->serve(queue, 50);
    for (int i = 0; i < 50; ++i)
        queue.push(this->request("back", 100), this->now);
    CHECK(this->serve(queue, 20)["back"] <= 1100);
}

// Guards against long requests that keep short requests of the same account waiting.
TEST_CASE_METHOD(FairQueueFixture,
                 "FairQueue: long requests queued before short ones: the short ones are among the next four")
{
    FairQueue queue;
    for (int i = 0; i < 20; ++i)
        queue.push(this->request("parish", 500), this->now);
    this->serve(queue, 10);
    for (int i = 0; i < 3; ++i)
        queue.push(this->request("parish", 50), this->now);
    CHECK(this->serve(queue, 4)["parish"] == 650);
}

// Guards against short requests that starve long requests of the same account.
TEST_CASE_METHOD(FairQueueFixture, "FairQueue: many short requests: long ones get half of the tokens")
{
    FairQueue queue;
    for (int i = 0; i < 1000; ++i)
        queue.push(this->request("parish", 50), this->now);
    queue.push(this->request("parish", 400), this->now);
    queue.push(this->request("parish", 400), this->now);
    CHECK(this->serve(queue, 60)["parish"] > 3000);
}

TEST_CASE_METHOD(FairQueueFixture,
                 "FairQueue: request of higher priority: is served before earlier ones of its account")
{
    FairQueue queue;
    queue.push(this->request("crew", 100), this->now);
    queue.push(this->request("crew", 101, 1.0, 0), this->now);
    CHECK(this->serve(queue, 1)["crew"] == 101);
}

// Guards against queueing requests whose callers will have given up before the requests start.
TEST_CASE_METHOD(FairQueueFixture, "FairQueue: expected wait exceeds the deadline: is refused on arrival")
{
    FairQueue queue;
    queue.setDrainRate(1000);
    for (int i = 0; i < 50; ++i)
        queue.push(this->request("flood", 100), this->now);
    QueuedRequest late = this->request("flood", 100);
    late.latestStart = this->now + 2s;
    const auto refusals = queue.push(late, this->now);
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].code == "deadline");
    CHECK(refusals[0].request.requestId == late.requestId);
    QueuedRequest other = this->request("other", 100);
    other.latestStart = this->now + 2s;
    CHECK(queue.push(other, this->now).empty());
}

TEST_CASE_METHOD(FairQueueFixture, "FairQueue: deadline passes in the queue: is refused and the next one is served")
{
    FairQueue queue;
    QueuedRequest late = this->request("a", 100);
    late.latestStart = this->now + 1s;
    queue.push(late, this->now);
    queue.push(this->request("a", 100), this->now);
    this->now += 2s;
    CHECK(queue.pop(this->now, this->refused)->requestId == "a-2");
    REQUIRE(this->refused.size() == 1);
    CHECK(this->refused[0].request.requestId == "a-1");
}

// Guards against a flood that fills the queue and causes requests of other accounts to be refused.
TEST_CASE_METHOD(FairQueueFixture, "FairQueue: full queue: displaces the newest request of the flood")
{
    FairQueue queue({.maxRequests = 10});
    for (int i = 0; i < 10; ++i)
        queue.push(this->request("flood", 100), this->now);
    const auto refusals = queue.push(this->request("quiet", 100), this->now);
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].code == "queue-full");
    CHECK(refusals[0].request.requestId == "flood-10");
    CHECK(queue.size() == 10);
}

// Guards against a flood that takes the last free capacity, so that each request of another account waits until a
// request of the flood ends.
TEST_CASE_METHOD(FairQueueFixture, "FairQueue: little capacity left: goes only to accounts below their share")
{
    FairQueue queue;
    for (int i = 0; i < 30; ++i)
        queue.push(this->request("flood", 100), this->now);
    queue.push(this->request("quiet", 100), this->now);
    this->serve(queue, 20);
    const auto flood = queue.pop(this->now, this->refused, 0.1);
    CHECK_FALSE(flood);
    queue.push(this->request("quiet", 100), this->now);
    CHECK(queue.pop(this->now, this->refused, 0.1)->clientAccount == "quiet");
    CHECK(queue.pop(this->now, this->refused, 0.6)->clientAccount == "flood");
}

// Guards against capacity that stays reserved after the requests in service have ended.
TEST_CASE_METHOD(FairQueueFixture, "FairQueue: requests in service have ended: all accounts may use the last capacity")
{
    FairQueue queue;
    queue.push(this->request("quiet", 10), this->now);
    queue.push(this->request("flood", 100), this->now);
    queue.push(this->request("flood", 100), this->now);
    for (int i = 0; i < 2; ++i)
        queue.finished(*queue.pop(this->now, this->refused));
    CHECK(queue.pop(this->now, this->refused, 0.01)->clientAccount == "flood");
}

TEST_CASE_METHOD(FairQueueFixture, "FairQueue: cancelled request: is not served and frees its tokens")
{
    FairQueue queue;
    queue.push(this->request("a", 100), this->now);
    queue.push(this->request("a", 30), this->now);
    CHECK(queue.cancel("a-1"));
    CHECK_FALSE(queue.cancel("a-1"));
    CHECK(queue.queuedTokens() == 30);
    CHECK(queue.pop(this->now, this->refused)->requestId == "a-2");
}

// Guards against an account that pays for each time that its request was tried and did not fit anywhere.
TEST_CASE_METHOD(FairQueueFixture, "FairQueue: request is put back many times: its account keeps its turn")
{
    FairQueue queue;
    queue.push(this->request("blocked", 300), this->now);
    queue.push(this->request("other", 100), this->now);
    for (int i = 0; i < 50; ++i) {
        auto first = queue.pop(this->now, this->refused);
        auto second = queue.pop(this->now, this->refused);
        REQUIRE(second);
        queue.putBack(*std::move(second));
        queue.putBack(*std::move(first));
    }
    CHECK(queue.size() == 2);
    CHECK(queue.queuedTokens() == 400);
    CHECK(queue.pop(this->now, this->refused)->clientAccount == "blocked");
    queue.push(this->request("new", 100), this->now);
    queue.push(this->request("blocked", 300), this->now);
    CHECK(this->serve(queue, 2)["blocked"] == 0);
}
