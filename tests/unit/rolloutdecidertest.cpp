#include "rollout/rolloutdecider.h"
#include "memorystore.h"
#include "rollout/rolloutcodec.h"
#include "rollout/rolloutgate.h"

#include <catch2/catch.hpp>

#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>

using namespace hemlock;
using std::chrono::milliseconds;

namespace {

/// Two nodes that may hold the duties, one VM that sends requests, and one store.
class RolloutDeciderFixture
{
protected:
    struct Node
    {
        Node(RolloutDeciderFixture &fixture, int number)
            : gate({}, "run" + std::to_string(number), RandomEngine(static_cast<std::uint64_t>(number)))
            , decider(fixture.store.access(),
                      {"orders/", "status/", "records/", {}, milliseconds(100), milliseconds(200)},
                      this->hooks(fixture))
        {
            Upstream upstream;
            upstream.service = "svc";
            upstream.state = UpstreamState::Serving;
            for (const std::string id : {"old1", "old2", "new1", "new2"}) {
                upstream.id = id;
                this->upstreams.push_back(upstream);
                this->gate.setVersion(id, id.starts_with("old") ? "v1" : "v2");
            }
            // The version in use is known before the others start.
            this->gate.usable({this->upstreams[0], this->upstreams[1]});
            for (const Upstream &listed : this->upstreams)
                this->gate.setVersion(listed.id, listed.id.starts_with("old") ? "v1" : "v2");
        }

        RolloutDeciderHooks hooks(RolloutDeciderFixture &fixture)
        {
            RolloutDeciderHooks hooks;
            hooks.decodeOrder = [](const std::string &text) {
                RolloutOrder order;
                order.target = text.substr(0, 2);
                if (order.target[0] != 'v')
                    throw std::invalid_argument("malformed");
                order.duration = milliseconds(12000);
                return order;
            };
            hooks.encodeStatus = [](RolloutPhase phase, const std::string &target) {
                return target + (isVerdict(phase) ? rolloutPhaseName(phase) : "in-progress");
            };
            hooks.upstreams = [](const std::string &, const std::string &target, const std::string &) {
                const std::size_t serving = target == "v2" ? 2 : 0;
                return RolloutUpstreams{serving, 2, 16.0 * static_cast<double>(serving), 32.0};
            };
            hooks.versionInUse = [this](const std::string &service) { return this->gate.versionInUse(service); };
            hooks.versionsInUse = [this] { return this->gate.versionsInUse(); };
            hooks.knownRecord = [this](const std::string &service) { return this->gate.record(service); };
            hooks.recordWritten = [this, &fixture](const std::string &service, const RolloutRecord &record) {
                this->gate.applyRecord(service, record);
                fixture.noteVerdict(record);
            };
            return hooks;
        }

        RolloutGate gate;
        RolloutDecider decider;
        std::vector<Upstream> upstreams;
    };

    void order(const std::string &text)
    {
        KvTxn txn;
        txn.puts = {{"orders/svc", text, 0}};
        const bool isUnavailable = std::exchange(this->store.isUnavailable, false);
        this->store.executeTxn(txn);
        this->store.isUnavailable = isUnavailable;
    }

    void noteVerdict(const RolloutRecord &record)
    {
        if (isVerdict(record.phase))
            this->verdicts[record.order.text].insert(record.phase);
    }

    /// The duties pass to @p node, or to nobody if it is null.
    void elect(Node *node)
    {
        this->acting = node;
        KvTxn txn;
        txn.puts = {{"holder", "node", 0}};
        // An election that the store did not see is none.
        const bool isUnavailable = std::exchange(this->store.isUnavailable, false);
        this->store.lostResponses = 0;
        this->holderRevision = this->store.executeTxn(txn).revision;
        this->store.isUnavailable = isUnavailable;
    }

    /// Runs both nodes; their requests fail with @p badShare at the target.
    void run(milliseconds time, double badShare)
    {
        for (const auto end = this->now + time; this->now < end; this->now += milliseconds(50)) {
            for (Node *node : {&this->first, &this->second}) {
                if (const auto record = this->store.entries.find("records/svc"); record != this->store.entries.end()) {
                    node->gate.applyRecord("svc", decodeRolloutRecord(record->second.value));
                    this->noteVerdict(decodeRolloutRecord(record->second.value));
                }
                this->sendRequests(*node, badShare);
                const auto report = node->gate.report(this->now);
                if (!report.is_null() && this->acting) {
                    const auto answer = this->acting->decider.answer(report);
                    if (!answer.is_null())
                        node->gate.applyAnswer(answer);
                }
                const auto condition =
                    node == this->acting ? std::optional<KvCompare>({"holder", this->holderRevision}) : std::nullopt;
                node->decider.tick(condition, this->now, this->wallTime());
                this->store.runAll();
            }
        }
    }

    void sendRequests(Node &node, double badShare)
    {
        const auto usable = node.gate.usable(node.upstreams);
        for (int i = 0; i < 5; ++i) {
            const std::string id = std::to_string(++this->lastRequest);
            std::set<std::string> excluded;
            node.gate.exclude(id, "svc", {}, 2, excluded, this->now);
            std::vector<Upstream> candidates;
            for (const Upstream &upstream : usable) {
                if (!excluded.contains(upstream.id))
                    candidates.push_back(upstream);
            }
            REQUIRE_FALSE(candidates.empty());
            const Upstream &chosen = candidates[this->random() % candidates.size()];
            const bool isTarget = chosen.id.starts_with("new");
            this->requests += 1.0;
            this->targetRequests += isTarget ? 1.0 : 0.0;
            const bool isBad = isTarget && std::uniform_real_distribution<double>(0.0, 1.0)(this->random) < badShare;
            node.gate.attemptStarted(id, chosen, true, this->now);
            node.gate.attemptEnded(id, "route", isBad, 0, this->now + milliseconds(20 + this->random() % 20));
        }
    }

    std::chrono::system_clock::time_point wallTime() const
    {
        return std::chrono::system_clock::time_point(this->now.time_since_epoch());
    }

    std::string status() const
    {
        const auto found = this->store.entries.find("status/svc");
        return found == this->store.entries.end() ? std::string() : found->second.value;
    }

    MemoryStore store;
    std::mt19937_64 random{1};
    std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
    std::int64_t holderRevision = 0;
    Node *acting = nullptr;
    std::uint64_t lastRequest = 0;
    double requests = 0.0;
    double targetRequests = 0.0;
    std::map<std::string, std::set<RolloutPhase>> verdicts; ///< By order.
    Node first{*this, 1};
    Node second{*this, 2};
};

/// An order during which the duties change hands, writes are late or lost, and the store is away or restored once.
class FaultRun : public RolloutDeciderFixture
{
public:
    void check(std::uint64_t seed)
    {
        this->random.seed(seed);
        const double badShare = seed % 2 == 0 ? 0.0 : 0.5;
        this->run(milliseconds(500), badShare);
        this->copies.push_back(this->store.copy());
        this->elect(&this->first);
        this->order("v2");
        this->copies.push_back(this->store.copy());
        for (int step = 0; step < 30; ++step) {
            this->injectFault();
            this->run(milliseconds(400), badShare);
        }
        this->store.isLate = nullptr;
        this->store.isUnavailable = false;
        this->store.lostResponses = 0;
        this->store.runLateTxns();
        this->elect(this->acting);
        this->run(milliseconds(13000), badShare);
        INFO("seed " << seed << ", status " << this->status());
        REQUIRE(this->verdicts["v2"].size() == 1);
        CHECK(this->status() == "v2" + std::string(rolloutPhaseName(*this->verdicts["v2"].begin())));
        if (badShare > 0.0) {
            CHECK(this->status() == "v2rolled-back");
            CHECK(this->targetRequests <= 0.1 * this->requests + 50.0);
        }
    }

private:
    void injectFault()
    {
        switch (this->random() % 8) {
        case 0:
            return this->elect(this->acting == &this->first ? &this->second : &this->first);
        case 1:
            this->store.isLate = [](const KvTxn &) { return true; };
            return;
        case 2:
            this->store.isLate = nullptr;
            return this->store.runLateTxns();
        case 3:
            this->store.isUnavailable = !this->store.isUnavailable;
            return;
        case 4:
            this->store.lostResponses = 1;
            return;
        case 5:
            return this->restore();
        default:
            return;
        }
    }

    void restore()
    {
        if (std::exchange(this->isRestored, true))
            return;
        this->copies.push_back(this->store.copy());
        this->store.restore(this->copies[this->random() % this->copies.size()]);
        this->first.decider.storeRestored();
        this->second.decider.storeRestored();
        // The operator writes the order again, under whatever revision.
        this->order("v2");
        this->elect(this->acting);
    }

    std::vector<MemoryStore::Copy> copies;
    bool isRestored = false;
};

} // namespace

// Guards against a good version that is not completed, or gets requests before its order.
TEST_CASE_METHOD(RolloutDeciderFixture, "RolloutDecider: good version: is completed")
{
    this->elect(&this->first);
    this->run(milliseconds(2000), 0.0);
    CHECK(this->targetRequests == 0.0);
    CHECK(this->status().empty());
    this->order("v2");
    this->run(milliseconds(2000), 0.0);
    CHECK(this->status() == "v2in-progress");
    this->run(milliseconds(9500), 0.0);
    CHECK(this->status() == "v2completed");
    CHECK(this->first.gate.versionInUse("svc") == "v2");
    CHECK(this->second.gate.versionInUse("svc") == "v2");
}

// Guards against a bad version that keeps its requests, and against an order that is started again.
TEST_CASE_METHOD(RolloutDeciderFixture, "RolloutDecider: bad version: is rolled back once, and again for a new order")
{
    this->elect(&this->first);
    this->order("v2");
    this->run(milliseconds(9000), 0.5);
    CHECK(this->status() == "v2rolled-back");
    CHECK(this->targetRequests <= 0.1 * this->requests + 50.0);
    const double before = this->targetRequests;
    this->run(milliseconds(9000), 0.0);
    CHECK(this->targetRequests == before);
    this->order("v2 again");
    this->run(milliseconds(11500), 0.0);
    CHECK(this->status() == "v2completed");
}

// Guards against an order that stops the others, or that nobody answers.
TEST_CASE_METHOD(RolloutDeciderFixture, "RolloutDecider: malformed order, unknown version: no request moves")
{
    this->elect(&this->first);
    this->order("malformed");
    this->run(milliseconds(1000), 0.0);
    CHECK(this->status().empty());
    this->order("v9");
    this->run(milliseconds(11500), 0.0);
    CHECK(this->status() == "v9rolled-back");
    CHECK(this->targetRequests == 0.0);
}

// Guards against a verdict on an order that has been replaced.
TEST_CASE_METHOD(RolloutDeciderFixture, "RolloutDecider: new order during a running one: the first gets no verdict")
{
    this->elect(&this->first);
    this->order("v2 first");
    this->run(milliseconds(5000), 0.0);
    this->order("v2 second");
    this->run(milliseconds(11500), 0.0);
    CHECK(this->status() == "v2completed");
    CHECK_FALSE(this->verdicts.contains("v2 first"));
}

// Guards against two verdicts for one order: the holder dies, writes are late or lost, the store is away or restored.
TEST_CASE("RolloutDecider: faults of the store and of holders: one verdict for an order")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
        FaultRun().check(seed);
}

// Guards against records that lose a field on their way through the store.
TEST_CASE("RolloutCodec: record and counts: are read as they were written")
{
    RolloutRecord record;
    record.order = {"svc", "v2", milliseconds(12000), "text", 7, 2};
    record.phase = RolloutPhase::Probe;
    record.versionInUse = "v1";
    record.firstSeen = std::chrono::system_clock::time_point(std::chrono::seconds(5));
    const RolloutRecord read = decodeRolloutRecord(encodeRolloutRecord(record));
    CHECK(isSameOrder(read.order, record.order));
    CHECK(read.phase == record.phase);
    CHECK(read.firstSeen == record.firstSeen);
    RolloutCounts counts;
    counts["route"].target.addFailure();
    counts["route"].inUse.addSuccess(milliseconds(80));
    const RolloutCounts decoded = decodeRolloutCounts(encodeRolloutCounts(counts));
    CHECK(decoded.at("route").target.failed == 1.0);
    CHECK(decoded.at("route").inUse.medianBucket() == counts["route"].inUse.medianBucket());
}
