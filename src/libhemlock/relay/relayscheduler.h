#pragma once

#include "fairqueue.h"
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

/// A relayed request that waits for an upstream.
struct RelayTicket
{
    std::string id; ///< Unique in this process.
    std::string service;
    std::string clientAccount;
    int rank = 0; ///< 0 is the most urgent; ranks are served strictly in order.
    double promptTokens = 0.0;
    double answerTokens = 0.0;
    std::vector<PromptPart> parts;
    std::chrono::steady_clock::time_point latestStart; ///< It is refused when it cannot start by then.
    std::set<std::string> excluded; ///< Upstreams that it was sent to before.
};

/// Parts of a prompt that an upstream was sent.
struct CachedParts
{
    std::string upstream;
    std::vector<PromptPart> parts;
};

/// One of the two is called, exactly once, unless the request is cancelled.
struct RelayTicketHooks
{
    std::function<void(const Upstream &upstream, const RouteDecision &decision)> start;
    std::function<void(const RequestError &error)> refuse; ///< The verdict is always NotRun.
};

struct RelaySchedulerSettings
{
    /// Prompt tokens that wait at one model upstream for their first token, those of other entry VMs included. About
    /// 0.6 s of its work: more would delay the first tokens of later urgent requests beyond their target.
    double maxPendingTokens = 30000.0;
    /// Requests at one transactional upstream, as a multiple of its slots; its own short queue hides the round trip.
    double slotOvercommit = 1.5;
};

/// Orders waiting requests and chooses their upstreams.
///
/// Requests wait here rather than at upstreams, so that an urgent one goes first and one that cannot be served in time
/// is refused while that is still true. Ranks go strictly in order; within one, client accounts share by FairQueue.
class RelayScheduler
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    RelayScheduler(AvailabilityZone zone, RandomEngine random, RelaySchedulerSettings settings = {});

    /// Replaces the known upstreams.
    void applyUpstreams(const std::vector<Upstream> &upstreams, TimePoint now);

    /// Services whose upstreams compute prompts.
    void setModelServices(std::set<std::string> services);

    void submit(RelayTicket ticket, RelayTicketHooks hooks, TimePoint now);
    void cancel(const std::string &id, TimePoint now);

    /// The first byte of the answer arrived.
    void answerBegan(const std::string &id, TimePoint now);

    /// A started request left its upstream.
    void requestEnded(const std::string &id, bool failed, TimePoint now);

    /// The upstream could not be reached or broke off; it is avoided for a short time.
    void upstreamFailed(const std::string &upstream, TimePoint now);

    /// Starts what has become possible and refuses what can no longer start in time.
    void tick(TimePoint now);

    UpstreamPool &upstreams();

    std::size_t waitingCount(const std::string &service) const;

    /// What was sent where since the last call, for the other entry VMs.
    std::vector<CachedParts> takeCachedParts();
    void addPeerCachedParts(const CachedParts &cached);

    /// Prompt tokens that requests needed computed since the start of this process, by service. Refused requests count
    /// like those that were sent.
    const std::map<std::string, double> &demandedTokens() const;

    /// Prompt tokens of this process that wait at each upstream for their first token.
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

    std::set<std::string> fullUpstreams(const RelayTicket &ticket, TimePoint now);
    bool isFull(const UpstreamView &view, const RelayTicket &ticket) const;
    bool tryStart(WaitingRequest &waiting, const QueuedRequest &queued, TimePoint now);
    void dispatch(const std::string &service, TimePoint now);
    void refuse(const std::string &id, const std::string &code, const std::string &message);
    std::chrono::seconds retryAfter(const std::string &service) const;

    AvailabilityZone zone;
    RandomEngine random;
    RelaySchedulerSettings settings;
    UpstreamPool pool;
    Router modelRouter;
    Router plainRouter;
    std::set<std::string> modelServices;
    std::map<std::string, Ranks> queues; ///< By service.
    std::unordered_map<std::string, WaitingRequest> waitingById;
    std::unordered_map<std::string, StartedRequest> startedById;
    std::vector<CachedParts> cachedParts;
    std::map<std::string, double> demandedByService;
    std::map<std::string, double>
        uncachedShareByService; ///< Part of a prompt that is not found in a cache, by service.
};

} // namespace hemlock
