#pragma once

#include "kvaccess.h"
#include "quarantine.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace hemlock {

struct SuspectRecordsSettings
{
    std::chrono::seconds recordTtl{600}; ///< How long a record outlasts its last change.
    std::chrono::milliseconds retryInterval{1000}; ///< Time between a failed write and the next one.
    /// A granted trial must start within this time after it was requested.
    std::chrono::milliseconds trialLifetime{2000};
    std::size_t maxRecords = 200; ///< Further subjects are told to other entry VMs in messages only.
};

/// Records of the refused subjects of a quarantine in the key-value store, and the grants of their trials.
///
/// Messages between entry VMs do not reach VMs that are cut off from their peers, and all knowledge is lost when all
/// VMs restart. The VM that observed a crash of a refused subject, or the success that cleared it, writes the record;
/// all VMs watch the records. A trial is granted to the VM whose write of the record succeeds.
class SuspectRecords
{
public:
    using Time = Quarantine::Time;
    using WallTime = std::chrono::system_clock::time_point;

    struct Hooks
    {
        std::function<Time()> now;
        std::function<WallTime()> wallTime;
    };

    /// @p prefix of the record keys ends with a slash. @p quarantine must outlive this object.
    SuspectRecords(
        KvAccess kv, std::string prefix, Quarantine &quarantine, Hooks hooks, SuspectRecordsSettings settings = {});

    /// Writes the records that are due.
    void tick();

    /// The store was restored from an older copy: records may be lost, and are written again.
    void storeRestored();

    /// A record below the prefix was written, or removed when the value is empty. An invalid value is logged.
    void recordChanged(const std::string &key, const std::string &value);

    /// Called with the time until which a granted trial may start; unset if it was not granted.
    using TrialDone = std::function<void(std::optional<Time> validUntil)>;

    /// Requests the only trial of a refused subject that the fleet may start now. It is not granted if another VM has
    /// it, while another write of the record is under way, or if the store does not confirm it in time.
    void requestTrial(const std::string &subject, const TrialDone &done);

    const std::string &prefix() const;

private:
    struct Record
    {
        std::int64_t revision = 0; ///< 0 while it is not known.
        bool isRefused = false; ///< What the record says of its subject.
        std::string value;
    };

    /// Called when a write has ended; @p applied is false if it failed or its result is unknown.
    using WriteDone = std::function<void(bool applied)>;

    std::string keyOf(const std::string &subject) const;
    nlohmann::json encode(const std::string &subject) const;
    bool needsWrite(const std::string &subject) const;
    void write(const std::string &subject, const nlohmann::json &content, const WriteDone &done);
    void
    putRecord(const std::string &subject, const nlohmann::json &content, std::int64_t lease, const WriteDone &done);
    void putEnded(const std::string &subject, const Record &written, const KvTxnResult &result, const WriteDone &done);
    void writeTrial(const std::string &subject, Time requested, bool isRepeated, const TrialDone &done);
    void apply(const nlohmann::json &content);

    KvAccess kv;
    std::string keyPrefix;
    Quarantine &quarantine;
    Hooks hooks;
    SuspectRecordsSettings settings;
    std::uint64_t processedVersion = 0;
    std::set<std::string> changedSubjects; ///< Whose records may have to be written.
    std::set<std::string> pendingWrites;
    std::map<std::string, Time> retryAt;
    std::map<std::string, Record> records; ///< By key.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Lets pending callbacks detect the destruction.
};

} // namespace hemlock
