#include "upstreamlifecycle.h"

#include <algorithm>
#include <set>

namespace hemlock {

using nlohmann::json;

namespace {

/// Longer than the lag of the VM list, so that an old list does not bring back a gone upstream as a new one.
constexpr std::chrono::minutes goneRetention{30};
/// Older failures are ignored because they say nothing about the current state.
constexpr std::chrono::seconds maxObservationAge{10};
constexpr std::chrono::milliseconds probeInterval{500};
/// Limits the probes after the loss of a zone, when a thousand upstreams need one at the same time.
constexpr std::size_t maxProbesPerInterval = 20;
/// Delay of the first probe of a suspected upstream. It doubles with each suspicion, so that an upstream that answers
/// probes but fails calls is retried less and less often.
constexpr std::chrono::milliseconds initialSuspicionDelay{2000};
constexpr int maxSuspicionDoublings = 4;
/// Observations from a single zone may make at most 1/3 of a zone's upstreams suspected.
constexpr std::size_t singleObserverZoneDivisor = 3;

/// Marks a failure observation in gossip keys and messages, where other updates have the state of the upstream.
constexpr std::string_view suspicionTag = "!";

std::chrono::milliseconds millisecondsUntil(UpstreamLifecycle::TimePoint time, UpstreamLifecycle::TimePoint now)
{
    return std::max(std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(time - now));
}

bool isLeavingOrGone(UpstreamState state)
{
    return state == UpstreamState::Leaving || state == UpstreamState::Gone;
}

} // namespace

UpstreamLifecycle::UpstreamLifecycle(const json &chart, ChangeHook onChange)
    : chart(chart)
    , onChange(std::move(onChange))
{
    for (const std::string &state : this->chart.states())
        parseUpstreamState(state);
}

void UpstreamLifecycle::applyList(const std::vector<ListedVm> &vms, TimePoint now)
{
    std::set<std::string> listed;
    for (const ListedVm &vm : vms) {
        listed.insert(vm.upstream.id);
        Record &record = this->addRecord(vm.upstream, now);
        record.listing = Listing::Listed;
        if (vm.isLeaving)
            this->handle(record, "listed-leaving", now);
        const auto notice = this->earlyDeadlines.find(vm.upstream.id);
        if (notice == this->earlyDeadlines.end())
            continue;
        const TimePoint deadline = notice->second;
        this->earlyDeadlines.erase(notice);
        this->applyLeaving({vm.upstream, millisecondsUntil(deadline, now)}, "notice", now);
    }
    for (auto &[id, record] : this->records) {
        if (record.listing != Listing::Listed || listed.contains(id))
            continue;
        record.listing = Listing::Vanished;
        this->handle(record, "unlisted", now);
    }
}

bool UpstreamLifecycle::applyLeaving(const LeavingAnnouncement &announcement, const std::string &event, TimePoint now)
{
    const auto match = this->records.find(announcement.upstream.id);
    if (match == this->records.end() && announcement.upstream.address.empty())
        return this->earlyDeadlines
            .insert({announcement.upstream.id, now + announcement.timeLeft.value_or(goneRetention)})
            .second;
    Record &record = match == this->records.end() ? this->addRecord(announcement.upstream, now) : match->second;
    if (announcement.timeLeft) {
        const TimePoint deadline = now + *announcement.timeLeft;
        if (!record.deadline || deadline < *record.deadline)
            record.deadline = deadline;
    }
    if (isLeavingOrGone(record.upstream.state))
        return false;
    this->handle(record, event, now);
    return true;
}

void UpstreamLifecycle::observeFailures(const std::string &observer,
                                        const AvailabilityZone &observerZone,
                                        const std::vector<std::string> &upstreams,
                                        TimePoint now)
{
    for (const std::string &id : upstreams) {
        const auto match = this->records.find(id);
        if (match == this->records.end())
            continue;
        this->recordFailure(match->second, observer, observerZone, now);
        this->queue.add(std::string(suspicionTag) + id + "\n" + observer, gossipSendCount(this->nodes));
    }
}

void UpstreamLifecycle::recordFailure(Record &record,
                                      const std::string &observer,
                                      const AvailabilityZone &zone,
                                      TimePoint now)
{
    std::erase_if(record.failures, [now](const auto &item) { return now - item.second.time > maxObservationAge; });
    record.failures[observer] = {zone, now};
    this->evaluateFailures(record, now);
}

void UpstreamLifecycle::evaluateFailures(Record &record, TimePoint now)
{
    if (record.upstream.state != UpstreamState::Serving)
        return;
    if (!this->isCorroborated(record) && !this->isWithinZoneShare(record))
        return;
    const int doublings = std::min(record.suspicions++, maxSuspicionDoublings);
    record.nextProbe = now + initialSuspicionDelay * (1 << doublings);
    this->handle(record, "suspicion", now);
}

bool UpstreamLifecycle::isCorroborated(const Record &record) const
{
    for (const auto &[observer, observation] : record.failures) {
        if (observation.zone != record.failures.begin()->second.zone)
            return true;
    }
    return false;
}

bool UpstreamLifecycle::isWithinZoneShare(const Record &record) const
{
    std::size_t inZone = 0;
    std::size_t suspected = 1;
    for (const auto &[id, other] : this->records) {
        if (other.upstream.zone != record.upstream.zone || other.upstream.service != record.upstream.service
            || isLeavingOrGone(other.upstream.state))
            continue;
        ++inZone;
        suspected += other.upstream.state == UpstreamState::Suspected ? 1 : 0;
    }
    return suspected * singleObserverZoneDivisor <= inZone;
}

std::vector<Upstream> UpstreamLifecycle::takeProbes(TimePoint now)
{
    std::vector<Upstream> probes;
    if (now >= this->probeWindowEnd) {
        this->probeWindowEnd = now + probeInterval;
        this->probesInWindow = 0;
    }
    for (auto &[id, record] : this->records) {
        const UpstreamState state = record.upstream.state;
        const bool needsProbe = state == UpstreamState::Joining || state == UpstreamState::Suspected
            || (state == UpstreamState::Serving && (record.listing == Listing::Vanished || !record.failures.empty()));
        if (!needsProbe || now < record.nextProbe || this->probesInWindow >= maxProbesPerInterval)
            continue;
        ++this->probesInWindow;
        record.nextProbe = now + probeInterval;
        probes.push_back(record.upstream);
    }
    return probes;
}

void UpstreamLifecycle::applyProbe(
    const std::string &id, bool answered, const std::string &observer, const AvailabilityZone &zone, TimePoint now)
{
    const auto match = this->records.find(id);
    if (match == this->records.end())
        return;
    Record &record = match->second;
    if (!answered) {
        if (record.upstream.state == UpstreamState::Serving)
            this->observeFailures(observer, zone, {id}, now);
        else if (record.upstream.state == UpstreamState::Suspected && record.listing == Listing::Vanished)
            this->handle(record, "unlisted", now);
        return;
    }
    if (record.upstream.state == UpstreamState::Suspected || record.upstream.state == UpstreamState::Serving)
        record.failures.clear();
    this->handle(record, "probe-answered", now);
}

void UpstreamLifecycle::expire(TimePoint now)
{
    for (auto &[id, record] : this->records) {
        if (record.deadline && now >= *record.deadline)
            this->handle(record, "deadline-passed", now);
    }
    std::erase_if(this->earlyDeadlines, [now](const auto &item) { return now - item.second > goneRetention; });
    std::erase_if(this->records, [now](const auto &item) {
        return item.second.upstream.state == UpstreamState::Gone && now - item.second.stateSince > goneRetention;
    });
}

std::vector<Upstream> UpstreamLifecycle::upstreams() const
{
    std::vector<Upstream> present;
    for (const auto &[id, record] : this->records) {
        if (record.upstream.state != UpstreamState::Gone)
            present.push_back(record.upstream);
    }
    return present;
}

const Upstream *UpstreamLifecycle::find(const std::string &id) const
{
    const auto match = this->records.find(id);
    return match == this->records.end() ? nullptr : &match->second.upstream;
}

json UpstreamLifecycle::takeUpdates(std::size_t limit, TimePoint now)
{
    json updates = json::array();
    for (const std::string &key : this->queue.take(limit)) {
        if (!key.starts_with(suspicionTag)) {
            if (const auto match = this->records.find(key); match != this->records.end())
                updates.push_back(this->encode(match->second, now));
            continue;
        }
        const std::size_t separator = key.find('\n');
        const std::string observer = key.substr(separator + 1);
        const auto match = this->records.find(key.substr(suspicionTag.size(), separator - suspicionTag.size()));
        if (match == this->records.end() || !match->second.failures.contains(observer))
            continue;
        const Observation &failure = match->second.failures.at(observer);
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - failure.time);
        updates.push_back({match->first, suspicionTag, observer, failure.zone.name, age.count()});
    }
    return updates;
}

void UpstreamLifecycle::receive(const json &updates, std::size_t nodeCount, TimePoint now)
{
    this->nodes = nodeCount;
    for (const json &entry : updates) {
        if (entry.at(1) != suspicionTag) {
            this->receiveUpstream(entry, now);
            continue;
        }
        const auto match = this->records.find(entry.at(0));
        const std::string observer = entry.at(2);
        const TimePoint time = now - std::chrono::milliseconds(entry.at(4).get<std::int64_t>());
        if (match == this->records.end() || now - time > maxObservationAge)
            continue;
        const auto known = match->second.failures.find(observer);
        // A report at most one second newer counts as a duplicate; otherwise it would circulate forever.
        if (known != match->second.failures.end() && time <= known->second.time + std::chrono::seconds(1))
            continue;
        this->recordFailure(match->second, observer, {entry.at(3)}, time);
        this->queue.add(std::string(suspicionTag) + match->first + "\n" + observer, gossipSendCount(this->nodes));
    }
}

void UpstreamLifecycle::receiveUpstream(const json &entry, TimePoint now)
{
    Upstream upstream;
    entry.at(0).get_to(upstream.id);
    const UpstreamState state = parseUpstreamState(entry.at(1).get<std::string>());
    entry.at(2).get_to(upstream.service);
    entry.at(3).get_to(upstream.address);
    entry.at(4).get_to(upstream.zone.name);
    const std::int64_t timeLeftMs = entry.at(5);
    if (!isLeavingOrGone(state)) {
        if (!this->records.contains(upstream.id))
            this->addRecord(upstream, now);
        return;
    }
    const std::optional timeLeft(std::chrono::milliseconds{timeLeftMs});
    this->applyLeaving({upstream, timeLeftMs < 0 ? std::nullopt : timeLeft}, "notice", now);
    if (state == UpstreamState::Gone)
        this->handle(this->records.at(upstream.id), "deadline-passed", now);
}

json UpstreamLifecycle::updateOf(const std::string &id, TimePoint now) const
{
    return this->encode(this->records.at(id), now);
}

json UpstreamLifecycle::departureUpdates(TimePoint now) const
{
    json updates = json::array();
    for (const auto &[id, record] : this->records) {
        if (isLeavingOrGone(record.upstream.state))
            updates.push_back(this->encode(record, now));
    }
    return updates;
}

void UpstreamLifecycle::setNodeCount(std::size_t count)
{
    this->nodes = count;
}

UpstreamLifecycle::Record &UpstreamLifecycle::addRecord(const Upstream &upstream, TimePoint now)
{
    const auto match = this->records.find(upstream.id);
    if (match != this->records.end())
        return match->second;
    Record &record = this->records.emplace(upstream.id, Record(this->chart)).first->second;
    record.upstream = upstream;
    record.upstream.state = parseUpstreamState(record.machine.state());
    record.stateSince = now;
    this->queue.add(upstream.id, gossipSendCount(this->nodes));
    this->onChange(record.upstream, "", "listed");
    return record;
}

void UpstreamLifecycle::handle(Record &record, const std::string &event, TimePoint now)
{
    const std::string from = record.machine.state();
    if (!record.machine.handle(event))
        return;
    record.upstream.state = parseUpstreamState(record.machine.state());
    record.stateSince = now;
    if (isLeavingOrGone(record.upstream.state))
        this->queue.add(record.upstream.id, gossipSendCount(this->nodes));
    this->onChange(record.upstream, from, event);
}

json UpstreamLifecycle::encode(const Record &record, TimePoint now) const
{
    const Upstream &upstream = record.upstream;
    const std::int64_t timeLeftMs = record.deadline ? millisecondsUntil(*record.deadline, now).count() : -1;
    return {upstream.id,
            upstreamStateName(upstream.state),
            upstream.service,
            upstream.address,
            upstream.zone.name,
            timeLeftMs};
}

} // namespace hemlock
