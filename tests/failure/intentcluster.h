#pragma once

#include "processes.h"
#include "snapshot.h"
#include "testhttp.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace hemlock {

/// One entry process with its addresses.
struct EntryVm
{
    Process *process = nullptr;
    std::string callerAddress;
    std::string controlAddress;
};

/// Entry processes between a test, the store's stand-in and one service whose ledger counts the calls that ran.
class IntentCluster
{
public:
    using Pending = TestHttp::Pending;

    static constexpr const char *accounts[] = {"alban", "frostline"};

    /// @p slots is 1 where a test must know the owner of each key.
    explicit IntentCluster(int slots = 1, nlohmann::json intents = {{"leaseSeconds", 1}});

    EntryVm startEntry();

    /// Starts a call that may not be repeated.
    Pending start(const EntryVm &entry,
                  const std::string &key,
                  std::chrono::milliseconds timeLeft = std::chrono::seconds(20),
                  const std::string &body = "{}",
                  std::size_t account = 0);
    HttpOutcome wait(const Pending &pending);
    /// Runs one call to its end.
    HttpOutcome call(const EntryVm &entry, const std::string &key);

    /// Makes an entry process the owner of all slots by a call with its own key.
    void makeOwner(const EntryVm &entry, const std::string &key = "owner");

    /// How often the service ran calls with the key.
    std::size_t runs(const std::string &key);
    nlohmann::json ledger();
    void waitForRun(const std::string &key);

    void setStoreFaults(const nlohmann::json &faults);
    void setServiceFaults(const nlohmann::json &faults);
    nlohmann::json storeStats();

    TestHttp &http();

private:
    Snapshot makeSnapshot() const;

    Processes processes;
    TestHttp testHttp;
    nlohmann::json intents;
    int slots;
    std::string store;
    std::string service;
    int entryCount = 0;
};

/// Verdict of a refusal, or "answered".
std::string verdictOf(const HttpOutcome &outcome);
std::string codeOf(const HttpOutcome &outcome);

} // namespace hemlock
