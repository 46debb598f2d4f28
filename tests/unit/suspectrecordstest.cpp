#include "relay/suspectrecords.h"
#include "memorystore.h"

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace hemlock;
using namespace std::chrono_literals;

namespace {

using Permission = Quarantine::Permission;

const std::string bad = "service/bad";

/// One entry VM with a quarantine of prompt parts and its records.
struct SuspectVm
{
    SuspectVm(MemoryStore &store, const std::string &name, const Quarantine::Time &now)
        : quarantine([&name] {
            QuarantineSettings settings;
            settings.minRestartTime = 2s;
            settings.trialDelay = 8s;
            settings.trialSeed = name;
            return settings;
        }())
        , records(store.access(),
                  "suspects/",
                  this->quarantine,
                  {[&now] { return now; },
                   [this, &now] {
                       return SuspectRecords::WallTime(std::chrono::hours(500000) + now.time_since_epoch()
                                                       + this->clockError);
                   }})
    {
    }

    Quarantine quarantine;
    std::chrono::milliseconds clockError{0};
    SuspectRecords records;
};

/// Three entry VMs with one store. No messages pass between the VMs.
class SuspectRecordsFixture
{
protected:
    /// Two upstreams crash at one VM.
    void crashTwice(SuspectVm &vm)
    {
        vm.quarantine.recordCrash(bad, {.id = "u1", .zone = {"z1"}}, this->now);
        this->now += 5s;
        vm.quarantine.recordCrash(bad, {.id = "u2", .zone = {"z2"}}, this->now);
    }

    /// Executes the store's calls and passes its keys on to all VMs.
    void settle()
    {
        for (SuspectVm *vm : this->vms)
            vm->records.tick();
        this->store.runAll();
        this->watch();
    }

    void watch()
    {
        for (SuspectVm *vm : this->vms) {
            for (const auto &[key, entry] : this->store.entries)
                vm->records.recordChanged(key, entry.value);
        }
    }

    /// Moves the time to when trials are due at all VMs.
    void awaitTrials()
    {
        this->now += 17s;
    }

    std::shared_ptr<int> requestTrial(SuspectVm &vm)
    {
        auto granted = std::make_shared<int>(-1);
        vm.records.requestTrial(
            bad, [granted](std::optional<Quarantine::Time> validUntil) { *granted = validUntil ? 1 : 0; });
        return granted;
    }

    Permission permissionAt(SuspectVm &vm)
    {
        return vm.quarantine.permissionFor(bad, this->now);
    }

    Quarantine::Time now{std::chrono::hours(1)};
    MemoryStore store;
    SuspectVm first{this->store, "vm-1", this->now};
    SuspectVm second{this->store, "vm-2", this->now};
    SuspectVm third{this->store, "vm-3", this->now};
    std::vector<SuspectVm *> vms{&this->first, &this->second, &this->third};
};

} // namespace

// Guards against parts that crash two upstreams more at each VM that cannot hear its peers.
TEST_CASE_METHOD(SuspectRecordsFixture, "SuspectRecords: subject was refused at one VM: all VMs refuse it")
{
    this->crashTwice(this->first);
    this->settle();
    for (SuspectVm *vm : this->vms)
        CHECK(this->permissionAt(*vm) == Permission::Refused);
}

// Guards against writes by every VM of a large fleet.
TEST_CASE_METHOD(SuspectRecordsFixture, "SuspectRecords: peers told of the crashes: only the VM that saw one writes")
{
    this->crashTwice(this->first);
    for (SuspectVm *vm : {&this->second, &this->third})
        vm->quarantine.applyDelta(this->first.quarantine.delta(0, this->now), this->now);
    this->settle();
    this->settle();
    constexpr int callsOfOneWrite = 2;
    CHECK(this->store.callCount == callsOfOneWrite);
}

TEST_CASE_METHOD(SuspectRecordsFixture, "SuspectRecords: single crash: nothing is written")
{
    this->first.quarantine.recordCrash(bad, {.id = "u1", .zone = {"z1"}}, this->now);
    this->settle();
    CHECK(this->store.callCount == 0);
}

// Guards against several upstreams that crash in one round of trials.
TEST_CASE_METHOD(SuspectRecordsFixture, "SuspectRecords: trial is requested at three VMs at once: one gets it")
{
    this->crashTwice(this->first);
    this->settle();
    this->awaitTrials();
    std::vector<std::shared_ptr<int>> grants;
    for (SuspectVm *vm : this->vms)
        grants.push_back(this->requestTrial(*vm));
    this->store.runAll();
    CHECK(std::count_if(grants.begin(), grants.end(), [](const auto &granted) { return *granted == 1; }) == 1);
    CHECK(std::count_if(grants.begin(), grants.end(), [](const auto &granted) { return *granted == 0; }) == 2);
    this->watch();
    for (SuspectVm *vm : this->vms)
        CHECK(this->permissionAt(*vm) == Permission::Refused);
}

TEST_CASE_METHOD(SuspectRecordsFixture, "SuspectRecords: trial succeeded: the subject is allowed at all VMs")
{
    this->crashTwice(this->first);
    this->settle();
    this->awaitTrials();
    const auto granted = this->requestTrial(this->second);
    this->store.runAll();
    REQUIRE(*granted == 1);
    this->now += 1s;
    this->second.quarantine.recordSuccess(bad, this->now, this->now);
    this->now += 2s;
    this->settle();
    for (SuspectVm *vm : this->vms)
        CHECK(this->permissionAt(*vm) == Permission::Allowed);
    SuspectVm started(this->store, "vm-4", this->now);
    this->vms.push_back(&started);
    this->watch();
    CHECK(this->permissionAt(started) == Permission::Allowed);
}

// Guards against sound parts that are refused once more when all VMs restart.
TEST_CASE_METHOD(SuspectRecordsFixture, "SuspectRecords: record is read after its subject was cleared: it is corrected")
{
    this->crashTwice(this->first);
    this->second.quarantine.applyDelta(this->first.quarantine.delta(0, this->now), this->now);
    this->first.records.tick();
    this->store.runAll();
    this->now += 1s;
    this->second.quarantine.recordSuccess(bad, this->now, this->now);
    this->second.records.tick();
    REQUIRE(this->permissionAt(this->second) == Permission::Allowed);
    this->watch();
    // The first write learns the revision of the record.
    this->settle();
    this->settle();
    SuspectVm started(this->store, "vm-4", this->now);
    this->vms.push_back(&started);
    this->watch();
    CHECK(this->permissionAt(started) == Permission::Allowed);
}

TEST_CASE_METHOD(SuspectRecordsFixture, "SuspectRecords: store is away: no trial is granted, and the next one is later")
{
    this->crashTwice(this->first);
    this->settle();
    this->awaitTrials();
    this->store.isUnavailable = true;
    auto granted = this->requestTrial(this->first);
    this->store.runAll();
    CHECK(*granted == 0);
    CHECK(this->permissionAt(this->first) == Permission::Trial);
    this->store.isUnavailable = false;
    const int callsBefore = this->store.callCount;
    CHECK(*this->requestTrial(this->first) == 0);
    CHECK(this->store.callCount == callsBefore);
    this->now += 2s;
    this->first.records.tick();
    granted = this->requestTrial(this->first);
    this->store.runAll();
    CHECK(*granted == 1);
}

// Guards against a VM that was paused and acts on a grant when another VM may have got the next one.
TEST_CASE_METHOD(SuspectRecordsFixture, "SuspectRecords: grant arrives late: the trial does not start")
{
    this->crashTwice(this->first);
    this->settle();
    this->awaitTrials();
    const auto granted = this->requestTrial(this->first);
    this->now += 5s;
    this->store.runAll();
    CHECK(*granted == 0);
    CHECK(this->permissionAt(this->first) == Permission::Refused);
}

TEST_CASE_METHOD(SuspectRecordsFixture, "SuspectRecords: answer to a trial's write is lost: the trial does not start")
{
    this->crashTwice(this->first);
    this->settle();
    this->awaitTrials();
    this->store.lostResponses = 1;
    const auto granted = this->requestTrial(this->first);
    this->store.runAll();
    CHECK(*granted == 0);
    this->watch();
    for (SuspectVm *vm : this->vms)
        CHECK(this->permissionAt(*vm) == Permission::Refused);
}

TEST_CASE_METHOD(SuspectRecordsFixture, "SuspectRecords: write fails: it is repeated after a while")
{
    this->crashTwice(this->first);
    this->store.isUnavailable = true;
    this->settle();
    CHECK(this->store.entries.empty());
    this->store.isUnavailable = false;
    this->now += 2s;
    this->settle();
    CHECK(this->store.entries.size() == 1);
}

// Guards against a sound part that is refused since its crashes are counted again by a clock that differs.
TEST_CASE_METHOD(SuspectRecordsFixture, "SuspectRecords: clock of the writer is wrong: known crashes count once")
{
    this->crashTwice(this->first);
    this->second.quarantine.applyDelta(this->first.quarantine.delta(0, this->now), this->now);
    this->first.clockError = -4s;
    this->settle();
    const auto known = this->second.quarantine.encodeEntries({bad}, this->now);
    CHECK(known.at("entries").at(0).at("crashes").size() == 2);
}

TEST_CASE_METHOD(SuspectRecordsFixture, "SuspectRecords: record cannot be read: it is ignored")
{
    for (const char *value : {"no JSON", "{}", R"({"entries":[{"fingerprint":3}],"refused":true,"writtenMs":1})"})
        this->first.records.recordChanged("suspects/x", value);
    CHECK(this->first.quarantine.size() == 0);
    CHECK(this->permissionAt(this->first) == Permission::Allowed);
}

// Guards against an attacker who fills the store by naming many parts.
TEST_CASE_METHOD(SuspectRecordsFixture, "SuspectRecords: many subjects are refused: their records are bounded")
{
    for (int i = 0; i < 300; ++i) {
        for (const char *upstream : {"u1", "u2"})
            this->first.quarantine.recordCrash("service/" + std::to_string(i), {.id = upstream}, this->now);
    }
    this->settle();
    this->settle();
    CHECK(this->store.entries.size() <= 200);
}

// Guards against a subject that crashes upstreams again after a restore and a restart of all VMs.
TEST_CASE_METHOD(SuspectRecordsFixture, "SuspectRecords: restored store lost a record: it is written again")
{
    const auto copy = this->store.copy();
    this->crashTwice(this->first);
    this->settle();
    REQUIRE(this->store.entries.size() == 1);
    this->store.restore(copy);
    for (SuspectVm *vm : this->vms)
        vm->records.storeRestored();
    this->settle();
    CHECK(this->store.entries.size() == 1);
    CHECK(this->permissionAt(this->first) == Permission::Refused);
}
