#include "intentsimulation.h"

#include <stdexcept>

namespace hemlock {

namespace {

constexpr std::chrono::milliseconds storeLatency{2};

} // namespace

std::chrono::steady_clock::time_point SimulatedClock::now() const
{
    return std::chrono::steady_clock::time_point(this->elapsed);
}

std::chrono::system_clock::time_point SimulatedClock::wallNow() const
{
    return std::chrono::system_clock::time_point(std::chrono::hours(500000) + this->elapsed);
}

void SimulatedClock::after(Duration delay, std::function<void()> callback)
{
    this->events.push({this->elapsed + std::max(delay, Duration{}), this->nextOrder++, std::move(callback)});
}

void SimulatedClock::advance(Duration duration)
{
    const Duration end = this->elapsed + duration;
    while (!this->events.empty() && this->events.top().time <= end) {
        const Event event = this->events.top();
        this->events.pop();
        this->elapsed = std::max(this->elapsed, event.time);
        event.callback();
    }
    this->elapsed = end;
}

SimulatedStore::SimulatedStore(SimulatedClock &clock)
    : clock(clock)
{
}

void SimulatedStore::expireLeases()
{
    for (auto lease = this->leases.begin(); lease != this->leases.end();) {
        const bool hasExpired = lease->second.end <= this->clock.now();
        if (hasExpired)
            std::erase_if(this->entries, [&](const auto &item) { return item.second.lease == lease->first; });
        lease = hasExpired ? this->leases.erase(lease) : std::next(lease);
    }
}

void SimulatedStore::range(const std::string &key, const std::function<void(const KvRangeResult &)> &done)
{
    this->clock.after(storeLatency, [this, key, done] {
        KvRangeResult result;
        result.status = this->isUnavailable ? KvStatus::NotApplied : KvStatus::Ok;
        if (const KvEntry *entry = this->isUnavailable ? nullptr : this->find(key))
            result.entries.push_back(*entry);
        done(result);
    });
}

KvTxnResult SimulatedStore::apply(const KvTxn &txn)
{
    KvTxnResult result;
    result.status = KvStatus::Ok;
    result.succeeded = true;
    for (const KvCompare &compare : txn.compares) {
        const KvEntry *entry = this->find(compare.key);
        result.succeeded = result.succeeded && (entry ? entry->modRevision : 0) == compare.modRevision;
    }
    if (!result.succeeded) {
        for (const std::string &key : txn.readsOnFailure) {
            if (const KvEntry *entry = this->find(key))
                result.entries.push_back(*entry);
        }
        return result;
    }
    result.revision = ++this->revision;
    for (const std::string &key : txn.deletes)
        this->entries.erase(key);
    for (const KvPut &put : txn.puts) {
        KvEntry &entry = this->entries[put.key];
        entry.key = put.key;
        entry.value = put.value;
        entry.lease = put.lease;
        entry.modRevision = this->revision;
    }
    return result;
}

void SimulatedStore::txn(const KvTxn &txn, const std::function<void(const KvTxnResult &)> &done)
{
    this->clock.after(storeLatency, [this, txn, done] {
        ++this->writes;
        KvTxnResult unanswered;
        if (this->isUnavailable) {
            unanswered.status = KvStatus::NotApplied;
            done(unanswered);
            return;
        }
        if (this->delayNextWrite) {
            this->delayNextWrite = false;
            this->delayedWrites.emplace_back([this, txn] { this->apply(txn); });
            done(unanswered);
            return;
        }
        if (this->lostWrites > 0) {
            --this->lostWrites;
            done(unanswered);
            return;
        }
        const KvTxnResult result = this->apply(txn);
        if (this->lostAnswers > 0) {
            --this->lostAnswers;
            done(unanswered);
            return;
        }
        done(result);
    });
}

KvLeaseResult SimulatedStore::grantLease(std::chrono::seconds ttl)
{
    if (this->isUnavailable)
        return {KvStatus::NotApplied, 0, {}, "out"};
    this->leases[this->nextLease] = {ttl, this->clock.now() + ttl};
    return {KvStatus::Ok, this->nextLease++, ttl, {}};
}

KvLeaseResult SimulatedStore::keepLeaseAlive(std::int64_t lease)
{
    if (this->isUnavailable)
        return {KvStatus::NotApplied, 0, {}, "out"};
    this->expireLeases();
    const auto found = this->leases.find(lease);
    if (found == this->leases.end())
        return {KvStatus::Ok, lease, std::chrono::seconds(0), {}};
    found->second.end = this->clock.now() + found->second.ttl;
    return {KvStatus::Ok, lease, found->second.ttl, {}};
}

void SimulatedStore::revokeLease(std::int64_t lease)
{
    const auto found = this->leases.find(lease);
    if (found == this->leases.end())
        return;
    found->second.end = this->clock.now();
    this->expireLeases();
}

const KvEntry *SimulatedStore::find(const std::string &key)
{
    this->expireLeases();
    const auto found = this->entries.find(key);
    return found == this->entries.end() ? nullptr : &found->second;
}

void SimulatedStore::put(const std::string &key, const std::string &value)
{
    KvTxn txn;
    txn.puts.push_back({key, value, 0});
    this->apply(txn);
}

SimulatedNode::SimulatedNode(const std::string &name,
                             SimulatedClock &clock,
                             SimulatedStore &store,
                             IntentLogSettings settings)
    : clock(clock)
    , store(store)
    , ownAddress(name + ":1")
    , generator(std::hash<std::string>()(name))
{
    settings.instance = name;
    settings.address = this->ownAddress;
    this->intentLog = std::make_unique<IntentLog>(settings, this->makeHooks(name));
}

std::function<void()> SimulatedNode::unlessKilled(std::function<void()> callback)
{
    return [this, alive = this->alive, callback = std::move(callback)] {
        if (!*alive)
            return;
        if (this->isPaused)
            this->deferredCallbacks.push_back(callback);
        else
            callback();
    };
}

IntentLogHooks SimulatedNode::makeHooks(const std::string &name)
{
    IntentLogHooks hooks;
    hooks.range = [this](const std::string &key, const std::function<void(const KvRangeResult &)> &done) {
        this->store.range(
            key, [this, done](const KvRangeResult &result) { this->unlessKilled([done, result] { done(result); })(); });
    };
    hooks.txn = [this](const KvTxn &txn, const std::function<void(const KvTxnResult &)> &done) {
        this->store.txn(
            txn, [this, done](const KvTxnResult &result) { this->unlessKilled([done, result] { done(result); })(); });
    };
    const auto answerLease = [this](const KvLeaseResult &result,
                                    const std::function<void(const KvLeaseResult &)> &done) {
        this->clock.after(storeLatency, this->unlessKilled([done, result] { done(result); }));
    };
    hooks.grantLease = [this, answerLease](std::chrono::seconds ttl,
                                           const std::function<void(const KvLeaseResult &)> &done) {
        answerLease(this->store.grantLease(ttl), done);
    };
    hooks.keepLeaseAlive = [this, answerLease](std::int64_t lease,
                                               const std::function<void(const KvLeaseResult &)> &done) {
        answerLease(this->store.keepLeaseAlive(lease), done);
    };
    hooks.revokeLease = [this](std::int64_t lease, const std::function<void(const KvLeaseResult &)> &) {
        this->store.revokeLease(lease);
    };
    hooks.now = [this] { return this->clock.now(); };
    hooks.wallNow = [this] { return this->clock.wallNow(); };
    hooks.after = [this](std::chrono::steady_clock::duration delay, std::function<void()> expired) {
        this->clock.after(delay, this->unlessKilled(std::move(expired)));
    };
    hooks.random = [this] { return std::uniform_real_distribution<>(0, 1)(this->generator); };
    hooks.uniqueId = [this, name] { return name + "-" + std::to_string(this->nextId++); };
    return hooks;
}

void SimulatedNode::pause()
{
    this->isPaused = true;
}

void SimulatedNode::resume()
{
    this->isPaused = false;
    const auto due = std::move(this->deferredCallbacks);
    this->deferredCallbacks.clear();
    for (const auto &callback : due)
        callback();
}

void SimulatedNode::kill()
{
    *this->alive = false;
}

IntentLog &SimulatedNode::log()
{
    return *this->intentLog;
}

bool SimulatedNode::isAlive() const
{
    return *this->alive;
}

const std::string &SimulatedNode::address() const
{
    return this->ownAddress;
}

IntentFixture::IntentFixture()
{
    this->settings.slotCount = 1;
}

SimulatedNode &IntentFixture::addNode(const std::string &name)
{
    return this->addNode(name, this->settings);
}

SimulatedNode &IntentFixture::addNode(const std::string &name, const IntentLogSettings &settings)
{
    this->nodes.push_back(std::make_unique<SimulatedNode>(name, this->clock, this->store, settings));
    return *this->nodes.back();
}

IntentRequest IntentFixture::request(const std::string &key, const std::string &body)
{
    IntentRequest request;
    request.clientAccount = "account";
    request.key = key;
    request.bodySha256 = body;
    request.requestId = "request-" + std::to_string(this->nextRequest++);
    request.deadline = this->clock.now() + std::chrono::seconds(10);
    return request;
}

PendingDecision IntentFixture::submit(SimulatedNode &node, const IntentRequest &request)
{
    auto pending = std::make_shared<std::optional<IntentDecision>>();
    node.log().submit(request, [pending](const IntentDecision &decision) {
        if (pending->has_value())
            throw std::logic_error("a call was decided twice");
        *pending = decision;
    });
    return pending;
}

void IntentFixture::advance(SimulatedClock::Duration duration)
{
    this->clock.advance(duration);
}

SimulatedNode &IntentFixture::addOwner(const std::string &name)
{
    SimulatedNode &node = this->addNode(name);
    const IntentRequest first = this->request("first key of " + name);
    const PendingDecision decision = this->submit(node, first);
    this->advance(std::chrono::milliseconds(100));
    if (!decision->has_value() || (*decision)->action != IntentAction::Dispatch)
        throw std::logic_error("the node did not become the owner");
    node.log().complete(first, Verdict::Ran, simpleAnswer);
    this->advance(std::chrono::milliseconds(500));
    return node;
}

SlotRecord IntentFixture::storedRecord()
{
    const KvEntry *entry = this->store.find(slotKey(0));
    if (!entry)
        throw std::logic_error("the slot has no record");
    return boost::leaf::try_handle_all(
        [&] { return decodeSlotRecord(entry->value, 0, this->settings.slotCount); },
        [](const RecordError &problem) -> SlotRecord { throw std::logic_error(problem.text); },
        []() -> SlotRecord { throw std::logic_error("unknown problem"); });
}

} // namespace hemlock
