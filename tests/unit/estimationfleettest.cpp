#include "relay/relayscheduler.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace hemlock;

namespace {

using TimePoint = RelayScheduler::TimePoint;

/// One service under load from several entry VMs.
struct FleetLoad
{
    int upstreams = 24;
    int slots = 16;
    double tokensPerMs = 50.0; ///< Of an upstream of the usual speed.
    double fixedMs = 6.0;
    double requestsPerSecond = 100.0;
    bool isUniform = false; ///< All upstreams have the usual speed and are never slowed down.
};

struct FleetResult
{
    int longOnTime = 0;
    int longCount = 0;
    int shortOnTime = 0;
    int shortCount = 0;
    /// Expected divided by true time to the first token of a long prompt, after the stated number of responses.
    std::vector<double> factors;
    std::map<std::string, int> chosen;

    int onTime() const
    {
        return this->longOnTime + this->shortOnTime;
    }
};

/// Upstreams of different speed that are slowed down by 2.5 for 600 ms at a time, and entry VMs that send them
/// requests and learn each other's load late. Time is simulated; there is no network.
class EstimationFleet
{
public:
    static constexpr double longPrompt = 17000.0;
    static constexpr int learnedResponses = 20;

    EstimationFleet(const FleetLoad &load, bool learnsUpstreams, unsigned seed)
        : load(load)
        , random(seed)
    {
        std::vector<Upstream> listed;
        for (int i = 0; i < load.upstreams; ++i) {
            Upstream upstream;
            upstream.id = "u" + std::to_string(i);
            upstream.service = "model";
            upstream.zone = {"zone-a"};
            upstream.state = UpstreamState::Serving;
            upstream.slots = load.slots;
            listed.push_back(upstream);
            Engine &engine = this->engines[upstream.id];
            engine.tokensPerMs = load.tokensPerMs * (load.isUniform ? 1.0 : i % 2 == 0 ? 0.55 : 1.2);
            this->addSlowdowns(engine);
        }
        RelaySchedulerSettings settings;
        settings.learnsUpstreams = learnsUpstreams;
        for (unsigned i = 0; i < vmCount; ++i) {
            this->vms.push_back(
                std::make_unique<RelayScheduler>(AvailabilityZone{"zone-a"}, RandomEngine(seed + i), settings));
            this->vms.back()->setModelServices({"model"});
            this->vms.back()->applyUpstreams(listed, this->time(0.0));
        }
    }

    FleetResult run()
    {
        std::exponential_distribution<double> pause(this->load.requestsPerSecond / 1000.0);
        double arrival = pause(this->random);
        while (arrival < durationMs) {
            this->at(arrival, [this] { this->arrive(); });
            arrival += pause(this->random);
        }
        const int ticks = static_cast<int>((durationMs + 2000.0) / tickMs);
        for (int i = 0; i < ticks; ++i) {
            this->at(i * tickMs, [this] {
                for (const auto &vm : this->vms)
                    vm->tick(this->time(this->now));
            });
        }
        const int exchanges = static_cast<int>(durationMs / peerIntervalMs);
        for (int i = 0; i < exchanges; ++i)
            this->at(i * peerIntervalMs, [this] { this->exchangeLoads(); });
        while (!this->events.empty()) {
            const auto event = this->events.begin();
            this->now = event->first;
            const std::function<void()> action = std::move(event->second);
            this->events.erase(event);
            action();
        }
        return this->result;
    }

private:
    static constexpr unsigned vmCount = 3;
    static constexpr double durationMs = 30000.0;
    static constexpr double tickMs = 20.0;
    static constexpr double networkMs = 1.0;
    static constexpr double peerIntervalMs = 200.0;
    static constexpr double peerDelayMs = 100.0;
    static constexpr double targetMs = 1000.0;
    static constexpr double slowdown = 2.5;
    static constexpr double slowdownMs = 600.0;

    struct Job
    {
        std::string id;
        std::size_t vm = 0;
        double arrival = 0.0;
        double answerMs = 0.0;
        std::vector<PromptPart> parts;
        bool isLong = false;
    };

    struct Engine
    {
        double tokensPerMs = 50.0;
        std::vector<double> slowdowns; ///< Their starts, in order.
        double freeAt = 0.0; ///< When all prompts that were admitted are computed.
        int running = 0;
        std::deque<Job> waiting;
        std::set<std::uint64_t> cached;
        int responses = 0; ///< To the first VM.
    };

    static TimePoint time(double ms)
    {
        return TimePoint(std::chrono::hours(1)) + std::chrono::microseconds(std::llround(ms * 1000.0));
    }

    void at(double ms, std::function<void()> action)
    {
        this->events.emplace(ms, std::move(action));
    }

    /// A seventh of the upstreams is slowed down at any time.
    void addSlowdowns(Engine &engine)
    {
        std::exponential_distribution<double> pause(1.0 / (slowdownMs * 6.0));
        if (this->load.isUniform)
            return;
        double start = pause(this->random);
        while (start < durationMs) {
            engine.slowdowns.push_back(start);
            start += slowdownMs + pause(this->random);
        }
    }

    static double factorAt(const Engine &engine, double ms)
    {
        return std::any_of(engine.slowdowns.begin(),
                           engine.slowdowns.end(),
                           [ms](double start) { return ms >= start && ms < start + slowdownMs; })
            ? slowdown
            : 1.0;
    }

    /// When work that takes @p workMs at the usual speed is done.
    static double workEnd(const Engine &engine, double start, double workMs)
    {
        constexpr double stepMs = 5.0;
        while (workMs > 0.0) {
            const double factor = factorAt(engine, start);
            const double step = std::min(stepMs, workMs * factor);
            start += step;
            workMs -= step / factor;
            if (workMs < 1e-6)
                break;
        }
        return start;
    }

    void arrive()
    {
        // Half of a long prompt is one of 60 documents; short prompts share one of 20 instructions.
        constexpr double longShare = 0.3;
        constexpr double shortPrompt = 2000.0;
        Job job;
        job.id = "r" + std::to_string(++this->requests);
        job.isLong = std::uniform_real_distribution<double>(0.0, 1.0)(this->random) < longShare;
        job.vm = std::uniform_int_distribution<std::size_t>(0, vmCount - 1)(this->random);
        job.arrival = this->now;
        job.answerMs = std::uniform_real_distribution<double>(1000.0, 3000.0)(this->random);
        const double tokens = job.isLong ? longPrompt : shortPrompt;
        const std::uint64_t shared = job.isLong ? std::uniform_int_distribution<std::uint64_t>(1, 60)(this->random)
                                                : std::uniform_int_distribution<std::uint64_t>(101, 120)(this->random);
        job.parts = {{shared, tokens / 2.0}, {1000 + this->requests, tokens / 2.0}};
        ++(job.isLong ? this->result.longCount : this->result.shortCount);
        RelayTicket ticket;
        ticket.id = job.id;
        ticket.service = "model";
        ticket.clientAccount = "account";
        ticket.promptTokens = tokens;
        ticket.parts = job.parts;
        ticket.isStream = true;
        ticket.latestStart = this->time(this->now + targetMs);
        RelayTicketHooks hooks;
        hooks.start = [this, job](const Upstream &upstream, const RouteDecision &) {
            ++this->result.chosen[upstream.id];
            this->at(this->now + networkMs, [this, job, upstream] {
                this->engines[upstream.id].waiting.push_back(job);
                this->admit(upstream);
            });
        };
        hooks.refuse = [](const RequestError &) {};
        this->vms[job.vm]->submit(std::move(ticket), std::move(hooks), this->time(this->now));
    }

    void admit(const Upstream &upstream)
    {
        Engine &engine = this->engines[upstream.id];
        while (engine.running < this->load.slots && !engine.waiting.empty()) {
            const Job job = engine.waiting.front();
            engine.waiting.pop_front();
            ++engine.running;
            const double total = job.parts[0].tokens + job.parts[1].tokens;
            const double tokens = engine.cached.insert(job.parts[0].id).second ? total : job.parts[1].tokens;
            const double work = (tokens + UpstreamModels::attentionTokens(tokens, total)) / engine.tokensPerMs;
            engine.freeAt = workEnd(engine, std::max(this->now, engine.freeAt), work);
            const double firstToken = engine.freeAt + this->load.fixedMs * factorAt(engine, engine.freeAt);
            this->at(firstToken, [this, job, upstream] { this->answer(job, upstream); });
            this->at(firstToken + job.answerMs, [this, job, upstream] {
                --this->engines[upstream.id].running;
                this->admit(upstream);
                this->vms[job.vm]->requestEnded(job.id, false, this->time(this->now));
            });
        }
    }

    void answer(const Job &job, const Upstream &upstream)
    {
        const Engine &engine = this->engines[upstream.id];
        UpstreamNotice notice;
        notice.load = LoadFigures{engine.running, static_cast<int>(engine.waiting.size()), this->load.slots, {}};
        notice.load->slowdown = factorAt(engine, this->now);
        this->at(this->now + networkMs, [this, job, upstream, notice] {
            if (this->now - job.arrival <= targetMs)
                ++(job.isLong ? this->result.longOnTime : this->result.shortOnTime);
            this->vms[job.vm]->recordNotice(upstream, notice, this->time(this->now));
            this->vms[job.vm]->answerBegan(job.id, this->time(this->now));
            Engine &answered = this->engines[upstream.id];
            if (job.vm == 0 && ++answered.responses == learnedResponses)
                this->compare(upstream.id, answered);
        });
    }

    void compare(const std::string &id, const Engine &engine)
    {
        FirstTokenQuery query;
        query.tokensToCompute = longPrompt;
        query.promptTokens = longPrompt;
        const double tokens = longPrompt + UpstreamModels::attentionTokens(longPrompt, longPrompt);
        // A second later, the last reported slow-down is no longer in force.
        const auto estimate = this->vms[0]->upstreamModels().firstToken(id, query, this->time(this->now + 1000.0));
        this->result.factors.push_back(static_cast<double>(estimate.delay.count())
                                       / (tokens / engine.tokensPerMs + this->load.fixedMs));
    }

    void exchangeLoads()
    {
        std::map<std::string, std::pair<double, double>> totals[vmCount];
        std::vector<std::vector<CachedParts>> cached;
        for (std::size_t source = 0; source < vmCount; ++source) {
            RelayScheduler &vm = *this->vms[source];
            cached.push_back(vm.takeCachedParts());
            for (std::size_t target = 0; target < vmCount; ++target) {
                if (target == source)
                    continue;
                for (const auto &[id, count] : vm.upstreams().inFlight())
                    totals[target][id].first += count;
                for (const auto &[id, tokens] : vm.pendingTokens())
                    totals[target][id].second += tokens;
            }
        }
        for (std::size_t target = 0; target < vmCount; ++target) {
            this->at(this->now + peerDelayMs, [this, target, sums = totals[target], cached]() mutable {
                for (const auto &[id, engine] : this->engines)
                    this->vms[target]->upstreams().peerLoadReported(
                        id, sums[id].first, sums[id].second, this->time(this->now));
                for (std::size_t source = 0; source < vmCount; ++source) {
                    for (const CachedParts &parts : cached[source]) {
                        if (source != target)
                            this->vms[target]->addPeerCachedParts(parts);
                    }
                }
            });
        }
    }

    FleetLoad load;
    RandomEngine random;
    double now = 0.0; ///< Milliseconds since the start.
    std::uint64_t requests = 0;
    std::multimap<double, std::function<void()>> events;
    std::map<std::string, Engine> engines;
    std::vector<std::unique_ptr<RelayScheduler>> vms;
    FleetResult result;
};

/// Share of the factors between 1 / @p bound and @p bound.
double shareWithin(const std::vector<double> &factors, double bound)
{
    const auto within = std::count_if(
        factors.begin(), factors.end(), [bound](double factor) { return factor > 1.0 / bound && factor < bound; });
    return static_cast<double>(within) / std::max<double>(1.0, static_cast<double>(factors.size()));
}

std::string summary(const FleetResult &result)
{
    return "long " + std::to_string(result.longOnTime) + " of " + std::to_string(result.longCount) + ", short "
        + std::to_string(result.shortOnTime) + " of " + std::to_string(result.shortCount)
        + ", within 1.25: " + std::to_string(shareWithin(result.factors, 1.25)) + ", within 1.5: "
        + std::to_string(shareWithin(result.factors, 1.5)) + " of " + std::to_string(result.factors.size());
}

} // namespace

// Guards against requests that are sent to slow and momentarily slowed upstreams, where long prompts are late.
TEST_CASE("UpstreamModels: upstreams of different and changing speed: more requests are on time than with constants")
{
    const bool isLarge = GENERATE(true, false);
    const unsigned seed = GENERATE(1U, 2U, 3U, 4U);
    const FleetLoad load =
        isLarge ? FleetLoad{140, 16, 50.0, 6.0, 500.0, false} : FleetLoad{24, 64, 100.0, 120.0, 200.0, false};
    const FleetResult constants = EstimationFleet(load, false, seed).run();
    const FleetResult learned = EstimationFleet(load, true, seed).run();
    CAPTURE(load.upstreams, seed, summary(constants), summary(learned));
    CHECK(learned.onTime() > constants.onTime());
    CHECK(learned.longOnTime > constants.longOnTime);
    // After 20 responses to one VM, the expected time is within a factor of 1.5.
    CHECK(learned.factors.size() >= static_cast<std::size_t>(load.upstreams) / 2);
    CHECK(shareWithin(learned.factors, 1.5) > 0.9);
}

// Guards against lost capacity under more load than the service can compute, where the limit of pending tokens decides.
TEST_CASE("UpstreamModels: more load than the upstreams can take: more long prompts are on time than with constants")
{
    const bool isLarge = GENERATE(true, false);
    const FleetLoad load =
        isLarge ? FleetLoad{140, 16, 50.0, 6.0, 800.0, false} : FleetLoad{24, 64, 100.0, 120.0, 350.0, false};
    const FleetResult constants = EstimationFleet(load, false, 1).run();
    const FleetResult learned = EstimationFleet(load, true, 1).run();
    CAPTURE(summary(constants), summary(learned));
    CHECK(learned.longOnTime > constants.longOnTime * 1.5);
    CHECK(learned.shortOnTime > constants.shortOnTime * 0.98);
}

// Guards against a worse routing of deployments that behave like the defaults.
TEST_CASE("UpstreamModels: upstreams behave like the defaults: as many requests are on time as with constants")
{
    const FleetLoad load = {24, 64, 50.0, 0.0, 100.0, true};
    const FleetResult constants = EstimationFleet(load, false, 3).run();
    const FleetResult learned = EstimationFleet(load, true, 3).run();
    CAPTURE(summary(constants), summary(learned));
    CHECK(learned.onTime() >= constants.onTime() * 0.99);
}
