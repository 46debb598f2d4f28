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

    /// Tokens by account among the next requests in turn.
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

// Guards against a flood of one account that delays the others by the length of its queue.
TEST_CASE_METHOD(FairQueueFixture, "FairQueue: flood of one account: a later request of another goes next but one")
{
    FairQueue queue;
    for (int i = 0; i < 500; ++i)
        queue.push(this->request("flood", 100), this->now);
    this->serve(queue, 10);
    queue.push(this->request("quiet", 100), this->now);
    CHECK(this->serve(queue, 2)["quiet"] == 100);
}

// Guards against shares by count of requests, which favour accounts with long ones.
TEST_CASE_METHOD(FairQueueFixture, "FairQueue: accounts of unequal weight and cost: tokens follow the weights")
{
    FairQueue queue;
    for (int i = 0; i < 400; ++i) {
        queue.push(this->request("heavy", 90, 3.0), this->now);
        queue.push(this->request("light", 10, 1.0), this->now);
    }
    auto tokens = this->serve(queue, 200);
    CHECK(tokens["heavy"] / tokens["light"] == Approx(3.0).epsilon(0.1));
}

// Guards against credit for idle time, which lets an account that comes back block the others.
TEST_CASE_METHOD(FairQueueFixture, "FairQueue: account after an idle time: gets no more than its share")
{
    FairQueue queue;
    for (int i = 0; i < 100; ++i)
        queue.push(this->request("busy", 100), this->now);
    this->serve(queue, 50);
    for (int i = 0; i < 50; ++i)
        queue.push(this->request("back", 100), this->now);
    CHECK(this->serve(queue, 20)["back"] <= 1100);
}

// Guards against long inventories that keep the short questions of the same account waiting.
TEST_CASE_METHOD(FairQueueFixture, "FairQueue: long requests before short ones: the short ones go next but one")
{
    FairQueue queue;
    for (int i = 0; i < 20; ++i)
        queue.push(this->request("parish", 500), this->now);
    this->serve(queue, 10);
    for (int i = 0; i < 3; ++i)
        queue.push(this->request("parish", 50), this->now);
    CHECK(this->serve(queue, 4)["parish"] == 650);
}

// Guards against short questions that starve long inventories of the same account.
TEST_CASE_METHOD(FairQueueFixture, "FairQueue: endless short requests: a long one gets half of the tokens")
{
    FairQueue queue;
    for (int i = 0; i < 1000; ++i)
        queue.push(this->request("parish", 50), this->now);
    queue.push(this->request("parish", 400), this->now);
    queue.push(this->request("parish", 400), this->now);
    CHECK(this->serve(queue, 60)["parish"] > 3000);
}

TEST_CASE_METHOD(FairQueueFixture, "FairQueue: urgent request of an account: goes before its earlier ones")
{
    FairQueue queue;
    queue.push(this->request("crew", 100), this->now);
    queue.push(this->request("crew", 101, 1.0, 0), this->now);
    CHECK(this->serve(queue, 1)["crew"] == 101);
}

// Guards against work that is queued although its caller will have given up.
TEST_CASE_METHOD(FairQueueFixture, "FairQueue: wait beyond the deadline: is refused on arrival")
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

TEST_CASE_METHOD(FairQueueFixture, "FairQueue: deadline passes in the queue: is refused and the next one served")
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

// Guards against a flood that fills the queue and has the requests of others refused.
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

// Guards against a flood that takes the last room, so that each other request waits for one of its own to end.
TEST_CASE_METHOD(FairQueueFixture, "FairQueue: little room left: goes to accounts below their share only")
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

// Guards against room that stays reserved for accounts whose requests have ended.
TEST_CASE_METHOD(FairQueueFixture, "FairQueue: requests in service ended: little room is free for all")
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
