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

/// Entry processes with a stand-in of the key-value store and one service, whose ledger records the calls that ran.
class IntentCluster
{
public:
    using Pending = TestHttp::Pending;

    static constexpr const char *accounts[] = {"alban", "frostline"};

    /// @p slots is the number of slots of the intent log. With 1, a single entry process owns all keys, so that a test
    /// knows the owner of each key.
    explicit IntentCluster(int slots = 1, nlohmann::json intents = {{"leaseSeconds", 1}});

    EntryVm startEntry();

    /// Starts a non-repeatable call. @p account is an index into accounts.
    Pending start(const EntryVm &entry,
                  const std::string &key,
                  std::chrono::milliseconds timeLeft = std::chrono::seconds(20),
                  const std::string &body = "{}",
                  std::size_t account = 0);
    HttpOutcome wait(const Pending &pending);

    /// Starts a call and waits for its end.
    HttpOutcome call(const EntryVm &entry, const std::string &key);

    /// Makes an entry process the owner of the slot of @p key by a call with this key.
    void makeOwner(const EntryVm &entry, const std::string &key = "owner");

    /// Number of calls with the key that the service ran.
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

/// Verdict of a refusal, "answered" for a 2xx answer, or "no verdict".
std::string verdictOf(const HttpOutcome &outcome);
std::string codeOf(const HttpOutcome &outcome);

} // namespace hemlock
