#include "intentcluster.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace hemlock;
using namespace std::chrono_literals;

// Guards against a second run after the process that dispatched the call was killed.
TEST_CASE_METHOD(IntentCluster, "Intents: entry killed between commit and answer: a retry elsewhere is not run")
{
    const EntryVm first = this->startEntry();
    const EntryVm second = this->startEntry();
    this->makeOwner(first);
    this->setServiceFaults({{"answerDelayMs", 60000}});
    const Pending firstAttempt = this->start(first, "key");
    this->waitForRun("key");
    first.process->kill();
    CHECK_FALSE(this->wait(firstAttempt).isComplete());

    this->setServiceFaults({{"answerDelayMs", 0}});
    const HttpOutcome retry = this->call(second, "key");
    CHECK(verdictOf(retry) == "may-have-run");
    CHECK(codeOf(retry) == "outcome-unknown");
    CHECK(this->runs("key") == 1);
    CHECK(this->call(second, "another-key").status == 200);
}

// Guards against a former owner that resumes and dispatches calls on which the new owner has decided.
TEST_CASE_METHOD(IntentCluster, "Intents: owner paused past its lease and resumed: no call runs twice")
{
    const EntryVm first = this->startEntry();
    const EntryVm second = this->startEntry();
    this->makeOwner(first);
    first.process->pause();
    const Pending pausedCall = this->start(first, "key");
    const HttpOutcome retry = this->call(second, "key");
    CHECK(retry.status == 200);
    second.process->waitForEvent("slot-claimed", [](const nlohmann::json &line) { return line.at("takeover"); });

    first.process->resume();
    const HttpOutcome pausedOutcome = this->wait(pausedCall);
    CHECK(pausedOutcome.status == 200);
    CHECK(pausedOutcome.body == retry.body);
    CHECK(this->runs("key") == 1);
    first.process->waitForEvent("slot-lost");
}

// Guards against treating a lost answer of the store as a failed commit: the call would be refused or blocked forever.
TEST_CASE_METHOD(IntentCluster, "Intents: answer of the store lost: the call runs once and is answered")
{
    const EntryVm entry = this->startEntry();
    this->makeOwner(entry);
    this->setStoreFaults({{"loseAnswers", 2}});
    CHECK(this->call(entry, "key").status == 200);
    CHECK(this->call(entry, "key").status == 200);
    CHECK(this->runs("key") == 1);
}

// Guards against a call that is sent without a durable intent, and against one that is lost in a store outage.
TEST_CASE_METHOD(IntentCluster, "Intents: store outage and its end: calls are refused as not run or run afterwards")
{
    const EntryVm entry = this->startEntry();
    this->makeOwner(entry);
    this->setStoreFaults({{"outage", true}});
    const Pending longDeadlineCall = this->start(entry, "patient");
    const HttpOutcome shortDeadlineOutcome = this->wait(this->start(entry, "hasty", 300ms));
    CHECK(shortDeadlineOutcome.status == 503);
    CHECK(verdictOf(shortDeadlineOutcome) == "not-run");
    CHECK(shortDeadlineOutcome.headers.has("Retry-After"));
    CHECK(this->ledger().size() == 1);

    this->setStoreFaults({{"outage", false}});
    CHECK(this->wait(longDeadlineCall).status == 200);
    CHECK(this->runs("patient") == 1);
    CHECK(this->runs("hasty") == 0);
    CHECK(this->call(entry, "hasty").status == 200);
}

// Guards against a retry that overtakes the first attempt at another entry process.
TEST_CASE_METHOD(IntentCluster, "Intents: retry to another entry VM while the first attempt runs: gets its answer")
{
    const EntryVm first = this->startEntry();
    const EntryVm second = this->startEntry();
    this->makeOwner(first);
    this->setServiceFaults({{"answerDelayMs", 1500}});
    const Pending attempt = this->start(first, "key");
    this->waitForRun("key");
    const Pending retry = this->start(second, "key");
    const HttpOutcome attemptOutcome = this->wait(attempt);
    const HttpOutcome retryOutcome = this->wait(retry);
    CHECK(attemptOutcome.status == 200);
    CHECK(retryOutcome.status == 200);
    CHECK(retryOutcome.body == attemptOutcome.body);
    CHECK(this->runs("key") == 1);
}

// Guards against two owners of one slot. The delay lets both processes read the empty slot before either claims it.
TEST_CASE_METHOD(IntentCluster, "Intents: two entry VMs claim one slot: one of them runs the call")
{
    const EntryVm first = this->startEntry();
    const EntryVm second = this->startEntry();
    this->setStoreFaults({{"delayMs", 100}});
    const Pending a = this->start(first, "key");
    const Pending b = this->start(second, "key");
    const HttpOutcome aOutcome = this->wait(a);
    const HttpOutcome bOutcome = this->wait(b);
    CHECK(aOutcome.status == 200);
    CHECK(bOutcome.status == 200);
    CHECK(aOutcome.body == bOutcome.body);
    CHECK(this->runs("key") == 1);
}

// Guards against a graceful shutdown that aborts a call or keeps its key blocked until the lease expires.
TEST_CASE_METHOD(IntentCluster, "Intents: owner shut down with a call in progress: answers it and hands the slot over")
{
    const EntryVm first = this->startEntry();
    const EntryVm second = this->startEntry();
    this->makeOwner(first);
    this->setServiceFaults({{"answerDelayMs", 500}});
    const Pending attempt = this->start(first, "key");
    this->waitForRun("key");
    first.process->signal(SIGTERM);
    const HttpOutcome outcome = this->wait(attempt);
    CHECK(outcome.status == 200);
    CHECK(first.process->waitForExit() == 0);
    const HttpOutcome retry = this->call(second, "key");
    CHECK(retry.status == 200);
    CHECK(retry.body == outcome.body);
    CHECK(this->runs("key") == 1);
    const auto claim = second.process->waitForEvent("slot-claimed");
    CHECK_FALSE(claim.at("takeover").get<bool>());
}

// Guards against calls that an unauthenticated sender injects at the control address.
TEST_CASE_METHOD(IntentCluster, "Intents: unsigned peer call: is refused and not run")
{
    const EntryVm entry = this->startEntry();
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + entry.controlAddress + "/peer/call";
    call.body = "{}";
    const HttpOutcome outcome = this->http().call(call);
    CHECK(outcome.status == 403);
    CHECK(verdictOf(outcome) == "not-run");
}
