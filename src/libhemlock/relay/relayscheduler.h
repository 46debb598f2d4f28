#pragma once

#include "fairqueue.h"
#include "relay/upstreamnotices.h"
#include "router.h"
#include "upstreampool.h"
#include "verdict.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlock {

/// A relayed request that is submitted to the scheduler.
struct RelayTicket
{
    std::string id; ///< Unique in this process.
    std::string service;
    std::string clientAccount;
    int rank = 0; ///< Priority class; 0 is the most urgent. Lower ranks always go first.
    double promptTokens = 0.0;
    double answerTokens = 0.0;
    std::vector<PromptPart> parts;
    std::chrono::steady_clock::time_point latestStart; ///< The request is refused if it has not started by then.
    std::set<std::string> excluded; ///< Identifiers of upstreams that got an earlier attempt.
    bool isTrial = false; ///< The request may crash its upstream, so it gets the one with the least load.
};

/// Prompt parts that an upstream holds in its cache after it computed a prompt.
struct CachedParts
{
    std::string upstream;
    std::vector<PromptPart> parts;
};

/// Callbacks of a ticket. Exactly one of them is called, once, unless the request is cancelled.
struct RelayTicketHooks
{
    std::function<void(const Upstream &upstream, const RouteDecision &decision)> start;
    std::function<void(const RequestError &error)> refuse; ///< The verdict is always NotRun.
};

struct RelaySchedulerSettings
{
    /// Maximum number of uncomputed prompt tokens at one model upstream, including those sent by other entry VMs. They
    /// take about 0.6 s to compute; more would delay the first token of later urgent requests beyond their target.
    double maxPendingTokens = 30000.0;
    /// Maximum number of requests at one transactional upstream, as a multiple of its slots. A short queue at the
    /// upstream keeps its slots busy during the network round trip.
    double slotOvercommit = 1.5;
};

/// Queues requests and assigns them to upstreams.
///
/// Requests are queued here rather than at upstreams, so that urgent requests start first and a request that cannot
/// start in time is refused while it is still certain that it did not run. Ranks are served strictly in order; within a
/// rank, FairQueue shares the upstreams between client accounts.
class RelayScheduler
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    RelayScheduler(AvailabilityZone zone, RandomEngine random, RelaySchedulerSettings settings = {});

    /// Replaces the known upstreams. One that has said that it leaves does, whatever its listed state.
    void applyUpstreams(const std::vector<Upstream> &listed, TimePoint now);

    /// Sets the services whose upstreams run a language model and compute prompts.
    void setModelServices(std::set<std::string> services);

    using ExclusionHook =
        std::function<void(const RelayTicket &ticket, std::set<std::string> &excluded, TimePoint now)>;

    /// Sets a function that adds upstreams to those that a request is not sent to.
    void setExclusionHook(ExclusionHook hook)
    {
        this->excludeMore = std::move(hook);
    }

    /// Queues a request and starts it at once if an upstream is free.
    void submit(RelayTicket ticket, RelayTicketHooks hooks, TimePoint now);

    /// Removes a waiting request without a callback, or ends a started one.
    void cancel(const std::string &id, TimePoint now);

    /// Reports the first byte of the answer; the prompt's tokens no longer count as pending.
    void answerBegan(const std::string &id, TimePoint now);

    /// Reports that a started request no longer occupies its upstream. Ignores unknown identifiers.
    void requestEnded(const std::string &id, bool failed, TimePoint now);

    /// Reports a failed connection to an upstream. It is avoided for a short time and its cache counts as empty.
    void upstreamFailed(const std::string &upstream, TimePoint now);

    /// Starts requests for which upstreams became free and refuses those that can no longer start in time.
    void tick(TimePoint now);

    UpstreamPool &upstreams();

    UpstreamNotices &notices();

    /// Records what the head of an answer says of @p upstream, as known when the request was sent.
    void recordNotice(const Upstream &upstream, const UpstreamNotice &notice, TimePoint now);

    /// Applies a message of another entry VM, as by UpstreamNotices::encode().
    void applyPeerNotices(const nlohmann::json &message, UpstreamNotices::Source source, TimePoint now);

    /// Time until the first upstream of a service may get a request again, if all that serve pause or are among
    /// @p excluded and at least one pauses. An excluded one that does not pause may get another request at once.
    std::optional<std::chrono::seconds>
    pauseLeft(const std::string &service, const std::set<std::string> &excluded, TimePoint now) const;

    /// Number of queued requests of a service.
    std::size_t waitingCount(const std::string &service) const;

    /// Returns the prompt parts sent to upstreams since the last call, to be reported to the other entry VMs.
    std::vector<CachedParts> takeCachedParts();

    /// Adds prompt parts that another entry VM reported; ignores unknown upstreams.
    void addPeerCachedParts(const CachedParts &cached);

    /// Prompt tokens that had to be computed since the start of this process, by service. Refused requests count with
    /// the average share of tokens that caches did not hold.
    const std::map<std::string, double> &demandedTokens() const;

    /// Prompt tokens sent by this process that have no first token yet, by upstream.
    std::map<std::string, double> pendingTokens() const;

private:
    struct WaitingRequest
    {
        RelayTicket ticket;
        RelayTicketHooks hooks;
    };

    struct StartedRequest
    {
        std::string service;
        std::string upstream;
        QueuedRequest queued;
        int rank = 0;
        double pendingTokens = 0.0;
        TimePoint startTime;
        std::chrono::milliseconds expectedDelay{0};
        bool hasAnswerBegun = false;
    };

    using Ranks = std::map<int, FairQueue>;

    /// Takes upstreams that have said so for leaving.
    void applyDepartures(TimePoint now);
    std::set<std::string> fullUpstreams(const RelayTicket &ticket, TimePoint now);
    /// Excludes all healthy upstreams of a service but the one with the least load of those not yet excluded.
    void excludeLoaded(const std::string &service, std::set<std::string> &excluded, TimePoint now);
    bool isFull(const UpstreamView &view, const RelayTicket &ticket) const;
    bool tryStart(WaitingRequest &waiting, const QueuedRequest &queued, TimePoint now);
    void dispatch(const std::string &service, TimePoint now);
    /// Refuses waiting requests whose earlier attempts went to all upstreams that are left.
    void refuseExhausted(TimePoint now);
    void refuseQueued(const std::vector<std::string> &ids,
                      const std::string &code,
                      const std::string &message,
                      TimePoint now);
    void refuse(const std::string &id, const std::string &code, const std::string &message, TimePoint now);
    std::chrono::seconds retryAfter(const std::string &service) const;

    ExclusionHook excludeMore = [](const RelayTicket &, std::set<std::string> &, TimePoint) {};
    AvailabilityZone zone;
    RandomEngine random;
    RelaySchedulerSettings settings;
    UpstreamPool pool;
    UpstreamNotices upstreamNotices;
    Router modelRouter;
    Router plainRouter;
    std::set<std::string> modelServices;
    std::map<std::string, Ranks> queues; ///< By service.
    std::unordered_map<std::string, WaitingRequest> waitingById;
    std::unordered_map<std::string, StartedRequest> startedById;
    std::vector<CachedParts> cachedParts;
    std::map<std::string, double> demandedByService;
    /// Average fraction of a prompt's tokens that no cache holds, 0 to 1.
    std::map<std::string, double> uncachedShareByService;
};

} // namespace hemlock
