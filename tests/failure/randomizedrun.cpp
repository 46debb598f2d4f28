#include "randomizedrun.h"

#include <algorithm>

namespace hemlock {

using nlohmann::json;

namespace {

constexpr std::size_t entryCount = 3;
constexpr std::size_t concurrency = 8;
constexpr int maxAttempts = 5;
constexpr std::size_t noEntry = entryCount;
constexpr std::chrono::milliseconds timeLeft{2500};

} // namespace

void to_json(json &json, const RandomizedReport &report)
{
    json = {{"calls", report.calls},
            {"attempts", report.attempts},
            {"answered", report.answered},
            {"notRun", report.notRun},
            {"mayHaveRun", report.mayHaveRun},
            {"unanswered", report.unanswered},
            {"kills", report.kills},
            {"pauses", report.pauses},
            {"outages", report.outages},
            {"lostAnswers", report.lostAnswers},
            {"serviceFaults", report.serviceFaults},
            {"doubleRuns", report.doubleRuns},
            {"falseNotRun", report.falseNotRun},
            {"wrongAnswers", report.wrongAnswers}};
}

RandomizedRun::RandomizedRun(std::uint32_t seed, int calls)
    : generator(seed)
    , callCount(calls)
    , cluster(3, {{"leaseSeconds", 1}, {"unreachableGraceMs", 300}, {"segmentBytes", 2048}})
    , pausedEntry(noEntry)
{
    for (std::size_t i = 0; i < entryCount; ++i)
        this->entries.push_back(this->cluster.startEntry());
}

int RandomizedRun::randomBelow(int bound)
{
    return static_cast<int>(this->generator() % static_cast<std::uint32_t>(bound));
}

RandomizedReport RandomizedRun::run()
{
    while (this->report.calls < this->callCount || !this->runningCalls.empty()) {
        while (this->report.calls < this->callCount && this->runningCalls.size() < concurrency)
            this->startCall();
        this->cluster.http().waitFor([this] { return this->finishAttempts(); });
        this->resumePaused();
        if (this->report.calls < this->callCount)
            this->injectFault();
        else
            this->endFaults();
    }
    this->endFaults();
    this->checkLedger();
    return this->report;
}

void RandomizedRun::startCall()
{
    Call call;
    // Both accounts use the same keys, so a mix-up between accounts shows as a wrong answer.
    call.key = "key-" + std::to_string(this->report.calls / 2);
    call.account = static_cast<std::size_t>(this->report.calls % 2);
    call.body = json{{"account", IntentCluster::accounts[call.account]}, {"key", call.key}}.dump();
    ++this->report.calls;
    this->runningCalls.push_back(std::move(call));
    this->sendAttempt(this->runningCalls.back());
}

void RandomizedRun::sendAttempt(Call &call)
{
    ++call.attempts;
    ++this->report.attempts;
    const EntryVm &entry = this->entries[static_cast<std::size_t>(this->randomBelow(entryCount))];
    call.pending = this->cluster.start(entry, call.key, timeLeft, call.body, call.account);
}

bool RandomizedRun::finishAttempts()
{
    bool hasEnded = false;
    for (auto call = this->runningCalls.begin(); call != this->runningCalls.end();) {
        if (!call->pending->has_value()) {
            ++call;
            continue;
        }
        hasEnded = true;
        const HttpOutcome outcome = **call->pending;
        this->attemptEnded(*call, outcome);
        // One in four answered calls is sent again, as by a caller that lost the answer.
        const bool isDone = outcome.status == 200 && this->randomBelow(4) != 0;
        if (!isDone && call->attempts < maxAttempts) {
            this->sendAttempt(*call);
            ++call;
            continue;
        }
        this->endedCalls.push_back(std::move(*call));
        call = this->runningCalls.erase(call);
    }
    return hasEnded;
}

void RandomizedRun::attemptEnded(Call &call, const HttpOutcome &outcome)
{
    call.lastVerdict = outcome.isComplete() ? verdictOf(outcome) : "unanswered";
    if (call.lastVerdict != "not-run")
        call.isPossiblyRun = true;
    if (call.lastVerdict != "answered")
        return;
    const json body = json::parse(outcome.body, nullptr, false);
    if (!body.is_object() || body.value("accepted", json()) != json::parse(call.body))
        ++this->report.wrongAnswers;
}

void RandomizedRun::injectFault()
{
    switch (this->randomBelow(30)) {
    case 0: {
        const auto killedEntry = static_cast<std::size_t>(this->randomBelow(entryCount));
        if (killedEntry == this->pausedEntry)
            this->pausedEntry = noEntry;
        this->entries[killedEntry].process->kill();
        this->entries[killedEntry] = this->cluster.startEntry();
        ++this->report.kills;
        return;
    }
    case 1:
    case 2:
        if (this->pausedEntry != noEntry)
            return;
        this->pausedEntry = static_cast<std::size_t>(this->randomBelow(entryCount));
        this->entries[this->pausedEntry].process->pause();
        this->eventsUntilResume = 1 + this->randomBelow(20);
        ++this->report.pauses;
        return;
    case 3:
        this->isStoreDown = true;
        this->cluster.setStoreFaults({{"outage", true}});
        ++this->report.outages;
        return;
    case 4:
    case 5:
        this->cluster.setStoreFaults({{"loseAnswers", 1 + this->randomBelow(3)}});
        ++this->report.lostAnswers;
        return;
    case 6:
        this->cluster.setServiceFaults({{this->randomBelow(2) == 0 ? "closeBefore" : "closeAfter", 1}});
        ++this->report.serviceFaults;
        return;
    case 7:
        this->cluster.setServiceFaults({{"refuse", 1}});
        ++this->report.serviceFaults;
        return;
    case 8:
        this->cluster.setServiceFaults({{"answerDelayMs", this->randomBelow(300)}});
        ++this->report.serviceFaults;
        return;
    default:
        if (this->isStoreDown && this->randomBelow(4) == 0) {
            this->isStoreDown = false;
            this->cluster.setStoreFaults({{"outage", false}});
        }
    }
}

void RandomizedRun::resumePaused()
{
    if (this->pausedEntry == noEntry || --this->eventsUntilResume > 0)
        return;
    this->entries[this->pausedEntry].process->resume();
    this->pausedEntry = noEntry;
}

void RandomizedRun::endFaults()
{
    this->eventsUntilResume = 0;
    this->resumePaused();
    if (!this->isStoreDown)
        return;
    this->isStoreDown = false;
    this->cluster.setStoreFaults({{"outage", false}});
}

void RandomizedRun::checkLedger()
{
    std::map<std::string, int> runs;
    for (const json &entry : this->cluster.ledger())
        ++runs[entry.at("body").is_string() ? entry.at("body").get<std::string>() : entry.at("body").dump()];
    for (const Call &call : this->endedCalls) {
        const int count = runs[call.body];
        this->report.doubleRuns += count > 1 ? 1 : 0;
        this->report.falseNotRun += !call.isPossiblyRun && count > 0 ? 1 : 0;
        this->report.wrongAnswers += call.lastVerdict == "answered" && count == 0 ? 1 : 0;
        this->report.answered += call.lastVerdict == "answered" ? 1 : 0;
        this->report.notRun += call.lastVerdict == "not-run" ? 1 : 0;
        this->report.mayHaveRun += call.lastVerdict == "may-have-run" ? 1 : 0;
        this->report.unanswered += call.lastVerdict == "unanswered" ? 1 : 0;
    }
}

} // namespace hemlock
