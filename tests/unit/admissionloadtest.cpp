#include "relay/relayscheduler.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <memory>
#include <numeric>

using namespace hemlock;
using namespace std::chrono_literals;

namespace {

using TimePoint = std::chrono::steady_clock::time_point;

/// Requests of one route.
struct Kind
{
    std::string name;
    int rank;
    double promptTokens;
    std::chrono::milliseconds target;
    double share; ///< Of all requests.
};

const std::vector<Kind> kinds = {
    {"long", 0, 17000.0, 1000ms, 0.3}, {"short", 1, 2000.0, 500ms, 0.5}, {"patient", 2, 6000.0, 2000ms, 0.2}};

struct Outcomes
{
    int inTime = 0;
    int late = 0;
    int refused = 0; ///< Twice, or without time left for another try.
    int lost = 0; ///< With their upstream.

    int sum() const
    {
        return this->inTime + this->late + this->refused + this->lost;
    }
};

struct Load
{
    std::uint64_t seed = 1;
    int vms = 6;
    int upstreams = 12; ///< Together about 80 requests per second.
    double requestsPerSecond = 50.0;
    double burstFactor = 1.0; ///< From 2 s to 5 s.
    double hotShare = 0.2; ///< Of all requests, by one of five accounts.
    bool losesZone = false; ///< A third of the upstreams, from 4 s to 7 s.
};

/// Entry VMs, upstreams and callers that retry once; time passes in steps, without a network.
class AdmissionLoad
{
public:
    AdmissionLoad(Load load, AdmissionSettings admission)
        : load(load)
        , random(load.seed)
    {
        RelaySchedulerSettings settings;
        settings.admission = admission;
        for (int i = 0; i < load.vms; ++i) {
            this->vms.push_back(std::make_unique<RelayScheduler>(
                AvailabilityZone{"zone-a"}, RandomEngine(load.seed + 100 + i), settings));
            this->vms.back()->setModelServices({"model"});
        }
        for (int i = 0; i < load.upstreams; ++i)
            this->machines.push_back({35.0 + 30.0 * this->fraction(), {}});
        this->applyUpstreams();
    }

    void run()
    {
        for (auto elapsed = 0ms; elapsed < 20s; elapsed += 5ms) {
            this->now = begin + elapsed;
            if (this->load.losesZone && (elapsed == 4s || elapsed == 7s))
                this->setZoneLost(elapsed == 4s);
            if (elapsed < 10s)
                this->arrive(elapsed);
            while (!this->events.empty() && this->events.begin()->first <= this->now) {
                const auto event = std::move(this->events.begin()->second);
                this->events.erase(this->events.begin());
                event();
            }
            if (elapsed % 100ms == 0ms) {
                for (const auto &vm : this->vms)
                    vm->tick(this->now);
            }
            if (elapsed % 300ms == 0ms)
                this->exchangeLoad();
        }
    }

    /// In time counts fully, late a tenth.
    double value() const
    {
        double sum = 0.0;
        for (const auto &[kind, outcomes] : this->byKind)
            sum += outcomes.inTime + 0.1 * outcomes.late;
        return sum;
    }

    double inTimeShare(const std::string &kind) const
    {
        const Outcomes &outcomes = this->byKind.at(kind);
        return static_cast<double>(outcomes.inTime) / outcomes.sum();
    }

    std::chrono::milliseconds meanHold() const
    {
        return this->refusals == 0 ? 0ms : this->heldRefused / this->refusals;
    }

    void print(const std::string &title) const
    {
        std::cout << title << ": value " << this->value() << ", refusals " << this->refusals << ", held "
                  << this->meanHold().count() << " ms, with a free upstream " << this->wrongRefusals << "\n";
        for (const auto *table : {&this->byKind, &this->byAccount}) {
            for (const auto &[name, outcomes] : *table)
                std::cout << "  " << name << ": in time " << outcomes.inTime << ", late " << outcomes.late
                          << ", refused " << outcomes.refused << ", lost " << outcomes.lost << "\n";
        }
    }

    std::map<std::string, Outcomes> byKind;
    std::map<std::string, Outcomes> byAccount;
    int refusals = 0;
    int wrongRefusals = 0; ///< While an upstream was idle at the refusing VM's view and nothing waited there.
    std::chrono::milliseconds heldRefused{0};

private:
    struct Machine
    {
        double tokensPerMs;
        TimePoint busyUntil;
        bool isLost = false;
        std::uint64_t incarnation = 1;
    };

    struct Call
    {
        const Kind *kind;
        std::string account;
        TimePoint arrival;
        bool isRetry = false;
    };

    static constexpr TimePoint begin{1h};

    double fraction()
    {
        return std::uniform_real_distribution<>()(this->random);
    }

    void at(TimePoint time, std::function<void()> event)
    {
        this->events.emplace(time, std::move(event));
    }

    void applyUpstreams()
    {
        std::vector<Upstream> listed;
        for (std::size_t i = 0; i < this->machines.size(); ++i) {
            Upstream upstream;
            upstream.id = std::to_string(i);
            upstream.service = "model";
            upstream.zone = {"zone-a"};
            upstream.state = UpstreamState::Serving;
            upstream.slots = 64;
            upstream.incarnation = std::to_string(this->machines[i].incarnation);
            if (!this->machines[i].isLost)
                listed.push_back(upstream);
        }
        for (const auto &vm : this->vms)
            vm->applyUpstreams(listed, this->now);
    }

    void setZoneLost(bool isLost)
    {
        for (std::size_t i = 0; i < this->machines.size() / 3; ++i) {
            Machine &machine = this->machines[i];
            machine.isLost = isLost;
            machine.busyUntil = this->now;
            ++machine.incarnation;
        }
        this->applyUpstreams();
    }

    void arrive(std::chrono::milliseconds elapsed)
    {
        const bool isBurst = elapsed >= 2s && elapsed < 5s;
        const double perStep = this->load.requestsPerSecond * (isBurst ? this->load.burstFactor : 1.0) * 0.005;
        for (int count = std::poisson_distribution<>(perStep)(this->random); count > 0; --count) {
            double kindChoice = this->fraction();
            const Kind *kind = &kinds.back();
            for (const Kind &candidate : kinds) {
                kindChoice -= candidate.share;
                if (kindChoice < 0.0) {
                    kind = &candidate;
                    break;
                }
            }
            const bool isHot = this->fraction() < this->load.hotShare;
            const std::string account =
                isHot ? "hot" : "quiet-" + std::to_string(static_cast<int>(this->fraction() * 4));
            this->send({kind, account, this->now});
        }
    }

    void send(const Call &call)
    {
        const auto vm = static_cast<std::size_t>(this->fraction() * this->load.vms);
        RelayScheduler &scheduler = *this->vms[vm];
        RelayTicket ticket;
        ticket.id = std::to_string(++this->lastId);
        ticket.service = "model";
        ticket.clientAccount = call.account;
        ticket.rank = call.kind->rank;
        ticket.promptTokens = call.kind->promptTokens;
        ticket.answerTokens = 50.0;
        ticket.latestStart = this->now + call.kind->target;
        ticket.deadline = call.arrival + 5s;
        RelayTicketHooks hooks;
        hooks.start = [this, call, vm, id = ticket.id](const Upstream &upstream, const RouteDecision &) {
            this->started(call, vm, id, std::stoul(upstream.id));
        };
        hooks.refuse = [this, call, sent = this->now, &scheduler](const RequestError &error) {
            this->refused(call, sent, error, scheduler);
        };
        scheduler.submit(std::move(ticket), std::move(hooks), this->now);
    }

    void started(const Call &call, std::size_t vm, const std::string &id, std::size_t upstream)
    {
        Machine &machine = this->machines[upstream];
        const auto compute =
            std::chrono::milliseconds(static_cast<int>(call.kind->promptTokens / machine.tokensPerMs) + 1);
        machine.busyUntil = std::max(machine.busyUntil, this->now) + compute;
        this->at(machine.busyUntil, [this, call, vm, id, upstream, incarnation = machine.incarnation] {
            if (this->machines[upstream].incarnation != incarnation) {
                this->vms[vm]->requestEnded(id, true, this->now);
                ++this->byKind[call.kind->name].lost;
                ++this->byAccount[call.account].lost;
                return;
            }
            this->vms[vm]->answerBegan(id, this->now);
            const bool isInTime = this->now <= call.arrival + call.kind->target;
            ++(isInTime ? this->byKind[call.kind->name].inTime : this->byKind[call.kind->name].late);
            ++(isInTime ? this->byAccount[call.account].inTime : this->byAccount[call.account].late);
            this->at(this->now + 400ms, [this, vm, id] { this->vms[vm]->requestEnded(id, false, this->now); });
        });
    }

    void refused(const Call &call, TimePoint sent, const RequestError &error, RelayScheduler &scheduler)
    {
        ++this->refusals;
        this->heldRefused += std::chrono::duration_cast<std::chrono::milliseconds>(this->now - sent);
        REQUIRE(error.retryAfter);
        if (scheduler.waitingCount("model") == 0) {
            const CandidateSet &healthy = scheduler.upstreams().healthy("model", this->now);
            for (std::size_t i = 0; i < healthy.size(); ++i) {
                if (healthy.at(i).pendingTokens <= 0.0 && healthy.at(i).load() < healthy.at(i).slots) {
                    ++this->wrongRefusals;
                    break;
                }
            }
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(call.arrival + 5s - this->now);
        if (call.isRetry || left < 100ms) {
            ++this->byKind[call.kind->name].refused;
            ++this->byAccount[call.account].refused;
            return;
        }
        Call again = call;
        again.isRetry = true;
        this->at(this->now + std::min(*error.retryAfter, left / 3), [this, again] { this->send(again); });
    }

    /// VMs see what the others reported 300 ms before.
    void exchangeLoad()
    {
        std::vector<std::pair<std::map<std::string, int>, std::map<std::string, double>>> reports;
        for (const auto &vm : this->vms)
            reports.emplace_back(vm->upstreams().inFlight(), vm->pendingTokens());
        std::swap(reports, this->lastReports);
        if (reports.empty())
            return;
        for (std::size_t v = 0; v < this->vms.size(); ++v) {
            for (std::size_t i = 0; i < this->machines.size(); ++i) {
                const std::string id = std::to_string(i);
                double requests = 0.0;
                double tokens = 0.0;
                for (std::size_t other = 0; other < reports.size(); ++other) {
                    if (other == v)
                        continue;
                    const auto inFlight = reports[other].first.find(id);
                    const auto pending = reports[other].second.find(id);
                    requests += inFlight == reports[other].first.end() ? 0.0 : inFlight->second;
                    tokens += pending == reports[other].second.end() ? 0.0 : pending->second;
                }
                this->vms[v]->upstreams().peerLoadReported(id, requests, tokens, this->now);
            }
        }
    }

    Load load;
    RandomEngine random;
    TimePoint now = begin;
    std::vector<std::unique_ptr<RelayScheduler>> vms;
    std::vector<Machine> machines;
    std::multimap<TimePoint, std::function<void()>> events;
    std::vector<std::pair<std::map<std::string, int>, std::map<std::string, double>>> lastReports;
    int lastId = 0;
};

constexpr AdmissionSettings formerRules{false, false, false, false};

/// The same load by the former decision and by the present one.
struct Comparison
{
    explicit Comparison(const Load &load, const std::string &title)
        : former(load, formerRules)
        , present(load, AdmissionSettings())
    {
        this->former.run();
        this->present.run();
        this->former.print(title + ", former");
        this->present.print(title + ", present");
    }

    AdmissionLoad former;
    AdmissionLoad present;
};

} // namespace

// Guards against a change of decisions where nothing is overloaded.
TEST_CASE("AdmissionLoad: no overload: callers get the same as by the former decision")
{
    const Comparison runs({.seed = static_cast<std::uint64_t>(GENERATE(1, 2, 3)), .requestsPerSecond = 15.0}, "calm");
    CHECK(runs.present.refusals == 0);
    for (const Kind &kind : kinds) {
        CHECK(runs.present.byKind.at(kind.name).inTime == runs.former.byKind.at(kind.name).inTime);
        CHECK(runs.present.byKind.at(kind.name).late == runs.former.byKind.at(kind.name).late);
    }
}

namespace {

/// A burst, one hot account, the loss of a zone, or all at once (0 to 3); refused callers retry in each.
Load loadOfForm(int form, std::uint64_t seed)
{
    Load load{.seed = seed};
    load.burstFactor = form == 0 || form == 3 ? 3.0 : 1.0;
    load.hotShare = form == 1 || form == 3 ? 0.7 : 0.2;
    load.requestsPerSecond = form == 1 ? 110.0 : (form == 2 ? 65.0 : 50.0);
    load.losesZone = form >= 2;
    return load;
}

} // namespace

// Guards against requests that are held until their target has passed and are then refused, and against refusals
// while an upstream is idle.
TEST_CASE("AdmissionLoad: burst, hot account, retries, all with a lost zone: more value, refusals are earlier")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(1, 2, 3));
    const int form = GENERATE(0, 1, 3);
    CAPTURE(seed, form);
    const Comparison runs(loadOfForm(form, seed), "form " + std::to_string(form) + " seed " + std::to_string(seed));
    CHECK(runs.present.wrongRefusals == 0);
    CHECK(runs.present.value() > runs.former.value());
    CHECK(runs.present.meanHold() < runs.former.meanHold());
}

// Guards against value that is taken from the most urgent kind, and against refusals that cost more than they save.
TEST_CASE("AdmissionLoad: any overload: the most urgent kind is in time as often as before, no value is lost")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(1, 2, 3));
    const int form = GENERATE(0, 1, 2, 3);
    CAPTURE(seed, form);
    const Comparison runs(loadOfForm(form, seed), "form " + std::to_string(form) + " seed " + std::to_string(seed));
    CHECK(runs.present.wrongRefusals == 0);
    CHECK(runs.present.value() >= runs.former.value());
    CHECK(runs.present.inTimeShare("long") >= runs.former.inTimeShare("long"));
}
