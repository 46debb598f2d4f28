#pragma once

#include "intentcluster.h"

#include <cstdint>
#include <list>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace hemlock {

/// Counts of one randomized run.
struct RandomizedReport
{
    int calls = 0;
    int attempts = 0;
    int answered = 0; ///< This and the next three: number of calls by the verdict of their last attempt.
    int notRun = 0;
    int mayHaveRun = 0;
    int unanswered = 0;
    int kills = 0;
    int pauses = 0;
    int outages = 0;
    int lostAnswers = 0;
    int serviceFaults = 0;

    int doubleRuns = 0; ///< Calls that the service ran more than once.
    int falseNotRun = 0; ///< Calls that ran although each attempt was refused as not run.
    int wrongAnswers = 0; ///< Answers to another call, or to a call that did not run.
};

void to_json(nlohmann::json &json, const RandomizedReport &report);

/// Sends non-repeatable calls with retries to random entry VMs while processes are killed and paused and the store and
/// the service fail. Both client accounts use the same keys. The seed determines the actions, but not their timing.
class RandomizedRun
{
public:
    RandomizedRun(std::uint32_t seed, int calls);

    RandomizedReport run();

private:
    struct Call
    {
        std::string key;
        std::size_t account = 0;
        std::string body;
        int attempts = 0;
        bool isPossiblyRun = false; ///< An attempt ended with a verdict other than not-run, or with none.
        std::string lastVerdict;
        IntentCluster::Pending pending;
    };

    int randomBelow(int bound);
    void startCall();
    void sendAttempt(Call &call);
    void attemptEnded(Call &call, const HttpOutcome &outcome);
    bool finishAttempts();
    void injectFault();
    void resumePaused();
    void endFaults();
    void checkLedger();

    std::mt19937 generator;
    int callCount;
    IntentCluster cluster;
    std::vector<EntryVm> entries;
    std::size_t pausedEntry;
    int eventsUntilResume = 0;
    bool isStoreDown = false;
    std::list<Call> runningCalls;
    std::vector<Call> endedCalls;
    RandomizedReport report;
};

} // namespace hemlock
