#include "intentsimulation.h"

#include <catch2/catch.hpp>

#include <set>

using namespace hemlock;
using namespace std::chrono_literals;

namespace {

bool isAction(const PendingDecision &decision, IntentAction action)
{
    return decision->has_value() && (*decision)->action == action;
}

bool isRefused(const PendingDecision &decision, Verdict verdict, const std::string &code)
{
    return isAction(decision, IntentAction::Refuse) && (*decision)->refusal.verdict == verdict
        && (*decision)->refusal.code == code;
}

bool isForwarded(const PendingDecision &decision, const SimulatedNode &owner)
{
    return isAction(decision, IntentAction::Forward) && (*decision)->ownerAddress == owner.address();
}

} // namespace

// Guards against dispatching a call before its intent is durable: it would run again after a crash.
TEST_CASE_METHOD(IntentFixture, "IntentLog: new key: is dispatched after the commit that contains it")
{
    SimulatedNode &node = this->addOwner("a");
    const IntentRequest call = this->request("key");
    std::size_t intentsAtDispatch = 0;
    node.log().submit(call, [&](const IntentDecision &decision) {
        REQUIRE(decision.action == IntentAction::Dispatch);
        intentsAtDispatch = this->storedRecord().intents.size();
    });
    this->advance(1s);
    CHECK(intentsAtDispatch == 1);
}

// Guards against one store write per call, which would exceed the write rate of the store.
TEST_CASE_METHOD(IntentFixture, "IntentLog: calls submitted during a commit: share the next commit")
{
    SimulatedNode &node = this->addOwner("a");
    const std::uint64_t before = this->store.writes;
    std::vector<PendingDecision> decisions = {this->submit(node, this->request("first"))};
    this->advance(1ms);
    for (int i = 0; i < 50; ++i)
        decisions.push_back(this->submit(node, this->request("key " + std::to_string(i))));
    this->advance(1s);
    for (const PendingDecision &decision : decisions)
        CHECK(isAction(decision, IntentAction::Dispatch));
    CHECK(this->store.writes - before == 2);
}

// Guards against running a second call with the same key, and against replaying an answer for another body.
TEST_CASE_METHOD(IntentFixture, "IntentLog: key sent again: waits, is replayed, or is refused with another body")
{
    SimulatedNode &node = this->addOwner("a");
    const IntentRequest call = this->request("key");
    CHECK_FALSE(this->submit(node, call)->has_value());
    this->advance(100ms);

    const PendingDecision during = this->submit(node, this->request("key"));
    IntentRequest shortDeadline = this->request("key");
    shortDeadline.deadline = this->clock.now() + 50ms;
    const PendingDecision shortDeadlineDecision = this->submit(node, shortDeadline);
    const PendingDecision otherBody = this->submit(node, this->request("key", "other body"));
    this->advance(100ms);
    CHECK_FALSE(during->has_value());
    CHECK(isRefused(shortDeadlineDecision, Verdict::MayHaveRun, "attempt-in-progress"));
    CHECK(isRefused(otherBody, Verdict::NotRun, "idempotency-key-reused"));
    CHECK((*otherBody)->refusal.status == 422);

    node.log().complete(call, Verdict::Ran, simpleAnswer);
    REQUIRE(isAction(during, IntentAction::Replay));
    CHECK((*during)->answer.body == simpleAnswer.body);
    CHECK(isAction(this->submit(node, this->request("key")), IntentAction::Replay));
}

TEST_CASE_METHOD(IntentFixture, "IntentLog: answer above 4 KiB: a retry is told that the call ran")
{
    SimulatedNode &node = this->addOwner("a");
    const IntentRequest call = this->request("key");
    this->submit(node, call);
    this->advance(100ms);
    node.log().complete(call, Verdict::Ran, {200, "text/plain", std::string(maxStoredAnswerBytes + 1, 'x')});
    CHECK(isRefused(this->submit(node, this->request("key")), Verdict::Ran, "answer-not-held"));
}

// Guards against a key that stays blocked although its call is known not to have run.
TEST_CASE_METHOD(IntentFixture,
                 "IntentLog: call that was not run: its key is freed and the waiting attempt is dispatched")
{
    SimulatedNode &node = this->addOwner("a");
    const IntentRequest call = this->request("key");
    this->submit(node, call);
    this->advance(100ms);
    const PendingDecision retry = this->submit(node, this->request("key"));
    node.log().complete(call, Verdict::NotRun, {});
    CHECK_FALSE(retry->has_value());
    this->advance(100ms);
    CHECK(isAction(retry, IntentAction::Dispatch));
}

// Guards against a false "not run" verdict and against losing waiting calls when the store recovers.
TEST_CASE_METHOD(IntentFixture, "IntentLog: store outage: calls wait, or are refused as not run at their deadline")
{
    SimulatedNode &node = this->addOwner("a");
    this->store.isUnavailable = true;
    IntentRequest shortDeadline = this->request("hasty");
    shortDeadline.deadline = this->clock.now() + 500ms;
    const PendingDecision refused = this->submit(node, shortDeadline);
    const PendingDecision longDeadlineDecision = this->submit(node, this->request("patient"));
    this->advance(3s);
    CHECK(isRefused(refused, Verdict::NotRun, "store-unavailable"));
    CHECK((*refused)->refusal.retryAfter.has_value());
    CHECK_FALSE(longDeadlineDecision->has_value());
    const std::uint64_t attempts = this->store.writes;
    this->advance(4s);
    CHECK(this->store.writes - attempts <= 8); // Retries back off up to one second, with jitter down to half of it.
    this->store.isUnavailable = false;
    this->advance(1s);
    CHECK(isAction(longDeadlineDecision, IntentAction::Dispatch));
    CHECK(this->storedRecord().intents.size() == 1);
}

// Guards against treating a commit as failed although it was applied, and the reverse.
TEST_CASE_METHOD(IntentFixture, "IntentLog: commit without a response: is settled by reading the record back")
{
    SimulatedNode &node = this->addOwner("a");
    SECTION("the write took effect")
    {
        this->store.lostAnswers = 3;
    }
    SECTION("the write had no effect")
    {
        this->store.lostWrites = 3;
    }
    SECTION("the write takes effect after the next one was sent")
    {
        this->store.delayNextWrite = true;
    }
    const PendingDecision decision = this->submit(node, this->request("key"));
    this->advance(2s);
    for (const auto &write : this->store.delayedWrites)
        write();
    CHECK(isAction(decision, IntentAction::Dispatch));
    const PendingDecision next = this->submit(node, this->request("next key"));
    this->advance(1s);
    CHECK(isAction(next, IntentAction::Dispatch));
    CHECK(node.log().stats().lostSlots == 0);
}

// Guards against a claim that was applied while its process, for lack of a response, does not act as the owner.
TEST_CASE_METHOD(IntentFixture, "IntentLog: claim whose response is lost: the slot is owned")
{
    SimulatedNode &node = this->addNode("a");
    this->store.lostAnswers = 1;
    const PendingDecision decision = this->submit(node, this->request("key"));
    this->advance(1s);
    CHECK(isAction(decision, IntentAction::Dispatch));
    CHECK(this->storedRecord().epoch == 1);
}

// Guards against two owners of one slot.
TEST_CASE_METHOD(IntentFixture, "IntentLog: two processes claim one slot: one owns it, the other forwards")
{
    SimulatedNode &a = this->addNode("a");
    SimulatedNode &b = this->addNode("b");
    const PendingDecision first = this->submit(a, this->request("key"));
    const PendingDecision second = this->submit(b, this->request("key"));
    this->advance(1s);
    const bool aOwns = isAction(first, IntentAction::Dispatch);
    CHECK(aOwns != isAction(second, IntentAction::Dispatch));
    CHECK(isForwarded(aOwns ? second : first, aOwns ? a : b));
}

// Guards against a former owner that resumes and acts as if it still held its lease.
TEST_CASE_METHOD(IntentFixture, "IntentLog: owner paused past its lease: dispatches nothing after it resumes")
{
    SimulatedNode &a = this->addOwner("a");
    SimulatedNode &b = this->addNode("b");
    const IntentRequest running = this->request("running");
    const PendingDecision runningDecision = this->submit(a, running);
    this->advance(100ms);
    REQUIRE(isAction(runningDecision, IntentAction::Dispatch));
    a.pause();
    this->advance(this->settings.leaseTtl + 1s);

    const PendingDecision taken = this->submit(b, this->request("key"));
    const PendingDecision retry = this->submit(b, this->request("running"));
    this->advance(1s);
    CHECK(isAction(taken, IntentAction::Dispatch));
    CHECK(isRefused(retry, Verdict::MayHaveRun, "outcome-unknown"));

    a.resume();
    const PendingDecision late = this->submit(a, this->request("key"));
    const PendingDecision ownRetry = this->submit(a, this->request("running"));
    this->advance(1s);
    CHECK(isForwarded(late, b));
    a.log().complete(running, Verdict::Ran, simpleAnswer);
    CHECK(isAction(ownRetry, IntentAction::Replay));
    CHECK(isRefused(this->submit(b, this->request("running")), Verdict::MayHaveRun, "outcome-unknown"));
}

// Guards against running a call at both owners when its commit was in flight during the pause.
TEST_CASE_METHOD(IntentFixture, "IntentLog: owner paused between commit and response: only one attempt is dispatched")
{
    SimulatedNode &a = this->addOwner("a");
    SimulatedNode &b = this->addNode("b");
    const PendingDecision first = this->submit(a, this->request("key"));
    this->advance(1ms);
    a.pause();
    this->advance(this->settings.leaseTtl + 1s);
    const PendingDecision second = this->submit(b, this->request("key"));
    this->advance(1s);
    CHECK(isRefused(second, Verdict::MayHaveRun, "outcome-unknown"));
    a.resume();
    this->advance(1s);
    CHECK(isAction(first, IntentAction::Dispatch));
}

// Guards against running an open intent of a killed owner again, at the next owner or at later ones.
TEST_CASE_METHOD(IntentFixture, "IntentLog: owner killed with a call in progress: the call stays may-have-run")
{
    SimulatedNode &a = this->addOwner("a");
    this->submit(a, this->request("key"));
    this->advance(100ms);
    a.kill();
    this->advance(this->settings.leaseTtl);
    SimulatedNode &b = this->addOwner("b");
    CHECK(isRefused(this->submit(b, this->request("key")), Verdict::MayHaveRun, "outcome-unknown"));
    CHECK(this->storedRecord().tombstones.size() == 1);
    b.kill();
    this->advance(this->settings.retention + 1h);
    SimulatedNode &c = this->addOwner("c");
    CHECK(isRefused(this->submit(c, this->request("key")), Verdict::MayHaveRun, "outcome-unknown"));
}

// Guards against takeovers after a single broken connection, which would mark running calls as may-have-run.
TEST_CASE_METHOD(IntentFixture, "IntentLog: unreachable owner that holds its lease: is replaced after the grace period")
{
    SimulatedNode &a = this->addOwner("a");
    SimulatedNode &b = this->addNode("b");
    const IntentRequest call = this->request("key");
    const PendingDecision forwarded = this->submit(b, call);
    this->advance(100ms);
    REQUIRE(isForwarded(forwarded, a));
    b.log().forwardingFailed(call, a.address(), ForwardingFailure::Unreachable);
    const PendingDecision again = this->submit(b, call);
    this->advance(this->settings.unreachableGrace / 2);
    CHECK_FALSE(again->has_value());
    this->advance(this->settings.unreachableGrace);
    CHECK(isAction(again, IntentAction::Dispatch));
    const PendingDecision late = this->submit(a, this->request("other key"));
    this->advance(1s);
    CHECK(isForwarded(late, b));
}

// Guards against replacing a damaged record by an empty one, after which calls would run again.
TEST_CASE_METHOD(IntentFixture, "IntentLog: truncated record: calls are refused as not run and the record is kept")
{
    const std::string value = encodeSlotRecord({}).substr(0, 100);
    this->store.put(slotKey(0), value);
    SimulatedNode &a = this->addNode("a");
    const PendingDecision decision = this->submit(a, this->request("key"));
    this->advance(1s);
    CHECK(isRefused(decision, Verdict::NotRun, "slot-unreadable"));
    CHECK(this->store.find(slotKey(0))->value == value);
}

// Guards against a record above the value size limit of the store, and against losing calls when it is full.
TEST_CASE_METHOD(IntentFixture, "IntentLog: full slot: refuses further calls as not run")
{
    this->settings.maxRecordBytes = this->settings.segmentBytes + encodedHeaderBytes + 1000;
    SimulatedNode &a = this->addOwner("a");
    std::vector<PendingDecision> decisions;
    for (int i = 0; i < 20; ++i)
        decisions.push_back(this->submit(a, this->request("key " + std::to_string(i))));
    this->advance(1s);
    CHECK(isAction(decisions.front(), IntentAction::Dispatch));
    CHECK(isRefused(decisions.back(), Verdict::NotRun, "slot-full"));
    CHECK(this->store.find(slotKey(0))->value.size() <= this->settings.maxRecordBytes);
}

// Guards against losing completions when they move from the record to a segment, and against keeping them forever.
TEST_CASE_METHOD(IntentFixture, "IntentLog: sealed completions: are replayed by each owner until the retention time")
{
    this->settings.segmentBytes = 1000;
    SimulatedNode &a = this->addOwner("a");
    std::vector<IntentRequest> calls;
    for (int i = 0; i < 30; ++i) {
        calls.push_back(this->request("key " + std::to_string(i)));
        this->submit(a, calls.back());
    }
    this->advance(1s);
    for (const IntentRequest &call : calls)
        a.log().complete(call, Verdict::Ran, {200, "text/plain", call.key});
    this->advance(2s);
    const std::size_t segments = this->storedRecord().segments.size();
    CHECK(segments >= 2);
    CHECK(this->storedRecord().intents.empty());

    a.kill();
    this->advance(this->settings.leaseTtl);
    SimulatedNode &b = this->addOwner("b");
    std::vector<PendingDecision> replays;
    for (const IntentRequest &call : calls)
        replays.push_back(this->submit(b, this->request(call.key)));
    this->advance(1s);
    for (std::size_t i = 0; i < calls.size(); ++i) {
        REQUIRE(isAction(replays[i], IntentAction::Replay));
        CHECK((*replays[i])->answer.body == calls[i].key);
    }

    this->advance(this->settings.retention);
    const PendingDecision renewed = this->submit(b, this->request(calls.front().key));
    this->advance(1s);
    CHECK(isAction(renewed, IntentAction::Dispatch));
    CHECK(this->storedRecord().segments.empty());
    CHECK(this->store.find(segmentKey(0, 1)) == nullptr);
}

// Guards against a graceful shutdown that leaves calls as may-have-run or keeps the slot until the lease expires.
TEST_CASE_METHOD(IntentFixture, "IntentLog: graceful shutdown: waits for running calls and releases the slot")
{
    SimulatedNode &a = this->addOwner("a");
    SimulatedNode &b = this->addNode("b");
    const IntentRequest call = this->request("key");
    this->submit(a, call);
    this->advance(100ms);
    bool isReleased = false;
    a.log().release(30s, [&isReleased] { isReleased = true; });
    CHECK(isRefused(this->submit(a, this->request("late")), Verdict::NotRun, "shutting-down"));
    this->advance(1s);
    CHECK_FALSE(isReleased);
    a.log().complete(call, Verdict::Ran, simpleAnswer);
    this->advance(100ms);
    CHECK(isReleased);
    const PendingDecision replay = this->submit(b, this->request("key"));
    this->advance(100ms);
    CHECK(isAction(replay, IntentAction::Replay));
    CHECK(b.log().stats().takeovers == 0);
}

// Guards against callers that all retry at the same time after an outage.
TEST_CASE_METHOD(IntentFixture, "IntentLog: store outage: Retry-After differs between calls")
{
    SimulatedNode &a = this->addOwner("a");
    this->store.isUnavailable = true;
    std::vector<PendingDecision> decisions;
    for (int i = 0; i < 40; ++i) {
        IntentRequest call = this->request("key " + std::to_string(i));
        call.deadline = this->clock.now() + 1s;
        decisions.push_back(this->submit(a, call));
    }
    this->advance(2s);
    std::set<std::chrono::milliseconds> times;
    for (const PendingDecision &decision : decisions)
        times.insert(*(*decision)->refusal.retryAfter);
    CHECK(times.size() >= 3);
}
