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
    int answered = 0; ///< Calls by their last attempt.
    int notRun = 0;
    int mayHaveRun = 0;
    int unanswered = 0;
    int kills = 0;
    int pauses = 0;
    int outages = 0;
    int lostAnswers = 0;
    int serviceFaults = 0;

    int doubleRuns = 0;
    int falseNotRun = 0;
    int wrongAnswers = 0;
};

void to_json(nlohmann::json &json, const RandomizedReport &report);

/// Calls that may not be repeated, with retries at random entry VMs, during kills, pauses and faults of the store and
/// the service. Keys of both client accounts are the same texts. The seed sets actions, not their timing.
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
        bool isPossiblyRun = false; ///< An attempt ended without a verdict or as may-have-run.
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
    std::list<Call> running;
    std::vector<Call> ended;
    RandomizedReport report;
};

} // namespace hemlock
