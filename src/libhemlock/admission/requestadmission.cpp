#include "admission/requestadmission.h"

#include "logger.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace hemlock {

namespace {

// A connection and a request need several milliseconds; an earlier return only adds load.
constexpr std::chrono::milliseconds minRetryAfter{50};

// Answer when neither a rate nor a forecast is known, as before measurements existed.
constexpr std::chrono::milliseconds defaultRetryAfter{1000};

// A forecast beyond this is of no use to a caller whose deadline is 5 to 15 s.
constexpr std::chrono::milliseconds maxRetryAfter{10000};

// Callers wait for at most this part of the time that they have left.
constexpr int maxRetryFraction = 3;

} // namespace

RequestAdmission::RequestAdmission(AdmissionSettings settings)
    : settings(settings)
{
}

void RequestAdmission::setFirstToken(FirstTokenHook hook)
{
    this->firstToken = std::move(hook);
}

RequestAdmission::ServiceState &RequestAdmission::state(const std::string &service)
{
    return this->states.try_emplace(service, ServiceState{MinimumShares(this->settings.keepsShares), {}, {}})
        .first->second;
}

MinimumShares &RequestAdmission::shares(const std::string &service)
{
    return this->state(service).shares;
}

std::uint64_t RequestAdmission::queueOrder(TimePoint latestStart)
{
    if (!this->settings.ordersByLatestStart)
        return 0;
    // The lower bits count arrivals, so that the order is unique; a queue holds fewer requests than they can tell
    // apart.
    constexpr std::uint64_t countBits = 16;
    constexpr std::uint64_t maxTime = std::uint64_t{1} << (64 - countBits);
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(latestStart.time_since_epoch()).count();
    const auto bounded = std::clamp<std::uint64_t>(time < 1 ? 1 : static_cast<std::uint64_t>(time), 1, maxTime - 1);
    return (bounded << countBits) | (++this->arrivals & ((std::uint64_t{1} << countBits) - 1));
}

std::optional<double> RequestAdmission::roomPerSecond(const std::string &service, TimePoint now)
{
    ServiceState &state = this->state(service);
    const auto starts = state.starts.perSecond(now);
    const auto firstTokens = state.firstTokens.perSecond(now);
    return starts && firstTokens ? std::max(starts, firstTokens) : (starts ? starts : firstTokens);
}

void RequestAdmission::setWaiting(const std::string &service, bool isWaiting, TimePoint now)
{
    ServiceState &state = this->state(service);
    state.starts.setWaiting(isWaiting, now);
    state.firstTokens.setWaiting(isWaiting, now);
    if (isWaiting)
        state.shares.contended(now);
}

void RequestAdmission::queuedStarted(const std::string &service, TimePoint now)
{
    this->state(service).starts.record(now);
}

void RequestAdmission::firstTokenArrived(const std::string &service, TimePoint now)
{
    this->state(service).firstTokens.record(now);
}

ArrivalForecast RequestAdmission::forecast(const ArrivalQuery &query, const std::vector<UpstreamView> &upstreams) const
{
    ArrivalForecast result = forecastArrival(query, upstreams, this->firstToken);
    result.isTooLate = result.isTooLate && this->settings.refusesAtArrival;
    return result;
}

bool RequestAdmission::isTimely(const ArrivalQuery &query, const UpstreamView &upstream) const
{
    const FirstTokenForecast expected = this->firstToken(upstream, query.tokens);
    if (expected.delay + expected.deviation <= query.timeLeft)
        return true;
    UpstreamView idle = upstream;
    idle.pendingTokens = 0.0;
    idle.inFlight = 0;
    idle.reportedLoad = 0.0;
    return this->firstToken(idle, query.tokens).delay > query.timeLeft;
}

std::chrono::milliseconds RequestAdmission::retryAfter(const AdmissionRefusal &refusal, double fraction)
{
    const ArrivalQuery &query = refusal.forecast.query;
    std::chrono::milliseconds room = defaultRetryAfter;
    if (query.startsPerSecond && *query.startsPerSecond > 0.0)
        room = std::chrono::milliseconds(
            std::llround(1000.0 * static_cast<double>(query.waitingAhead + 1) / *query.startsPerSecond));
    else if (refusal.forecast.expectedWait)
        room = *refusal.forecast.expectedWait - std::max(query.timeLeft, std::chrono::milliseconds(0));
    room = std::clamp(room, minRetryAfter, maxRetryAfter);
    // Callers refused at the same time return over a period as long as the wait, and none before it.
    room += std::chrono::milliseconds(std::llround(static_cast<double>(room.count()) * fraction));
    if (refusal.deadlineLeft && room > *refusal.deadlineLeft / maxRetryFraction) {
        const auto latest = *refusal.deadlineLeft / maxRetryFraction;
        room = latest - std::chrono::milliseconds(std::llround(static_cast<double>(latest.count()) * fraction / 2.0));
    }
    return std::max(room, minRetryAfter);
}

RequestError RequestAdmission::refuse(const AdmissionRefusal &refusal, RandomEngine &random)
{
    ++this->refusalCounts[refusal.code];
    const double fraction = std::uniform_real_distribution<>()(random);
    RequestError error;
    error.verdict = Verdict::NotRun;
    error.status = 503;
    error.code = refusal.code;
    error.message = refusal.message;
    error.retryAfter = refusal.pauseLeft ? *refusal.pauseLeft : retryAfter(refusal, fraction);
    const auto &expected = refusal.forecast.expectedWait;
    logEvent(LogLevel::Info,
             "admission-refused",
             {{"service", refusal.service},
              {"account", refusal.clientAccount},
              {"code", refusal.code},
              {"expectedMs", expected ? nlohmann::json(expected->count()) : nlohmann::json()},
              {"targetLeftMs", refusal.forecast.query.timeLeft.count()},
              {"waitingAhead", refusal.forecast.query.waitingAhead},
              {"retryAfterMs", error.retryAfter->count()}});
    return error;
}

const std::map<std::string, std::uint64_t> &RequestAdmission::refusals() const
{
    return this->refusalCounts;
}

void reportRefusals(const std::map<std::string, std::uint64_t> &refusals, Metrics &metrics)
{
    for (const auto &[code, count] : refusals) {
        std::string name = code;
        std::replace(name.begin(), name.end(), '-', '_');
        metrics.setTotal(
            "hemlock_refusals_" + name + "_total", "Queued or new requests refused with the code " + code + ".", count);
    }
}

std::size_t queuedRequests(const std::map<int, FairQueue> &queues)
{
    std::size_t sum = 0;
    for (const auto &[rank, queue] : queues)
        sum += queue.size();
    return sum;
}

std::vector<WaitingRank> waitingRanks(const std::map<int, FairQueue> &queues)
{
    std::vector<WaitingRank> ranks;
    for (const auto &[rank, queue] : queues) {
        if (queue.size() > 0)
            ranks.push_back({rank, queue.queuedTokens() / static_cast<double>(queue.size())});
    }
    return ranks;
}

} // namespace hemlock
