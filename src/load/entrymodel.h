#pragma once

#include "candidateset.h"
#include "eventloop.h"
#include "fairqueue.h"
#include "ratelimit.h"
#include "router.h"
#include "scenario.h"
#include "traffic.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hemlock {

/// State of one request during a simulation.
struct ModelRequest
{
    std::uint64_t id = 0;
    TrafficRequest traffic;
    std::string prompt;
    std::vector<std::uint64_t> blocks;
    int promptTokens = 0;
    int emitted = 0; ///< Answer tokens emitted so far.
    int attempts = 0; ///< Dispatches and moves so far.
    std::string upstream;
    EventLoop::TimePoint arrived;
    EventLoop::TimePoint dispatched;
    EventLoop::TimePoint firstToken;
    EventLoop::TimePoint lastToken;
    bool isRefused = false;
    bool isDone = false;

    /// Cost for the queue and the rate limit, see requestCost().
    double cost() const;
};

/// Simulated entry VM: the production router, queue and rate limiter between simulated clients and engines.
class EntryModel
{
public:
    /// Sends a request to the upstream in ModelRequest::upstream.
    using SendHook = std::function<void(ModelRequest &request)>;

    EntryModel(EventLoop &loop,
               const Scenario &scenario,
               const PolicyConfig &policy,
               int entryIndex,
               std::uint64_t seed,
               SendHook send);

    /// Applies the rate limit, then queues or refuses the request.
    void receiveRequest(ModelRequest &request);
    /// Dispatches an accepted request again after its upstream was lost; retries while there is no upstream.
    void replay(ModelRequest &request);
    void recordFirstToken(const ModelRequest &request);
    void requestEnded(const ModelRequest &request);
    /// Transfers the in-flight count of a moved stream to its new upstream.
    void requestMoved(const std::string &from, const std::string &to);

    void upstreamJoined(const std::string &upstream, const AvailabilityZone &zone);
    void upstreamLeft(const std::string &upstream);
    int inFlight(const std::string &upstream) const;
    void loadReported(const std::string &upstream, double load, double inFlightAtReport, EventLoop::Duration age);
    /// Dispatches queued requests while there is capacity.
    void dispatchQueued();

    Router router;
    RateLimiter limiter;
    const AvailabilityZone zone;

private:
    void dispatch(ModelRequest &request);
    /// Part of all batch slots that may still be used; not positive if there is none.
    double availableCapacity() const;
    ModelRequest *nextQueued(double capacity);
    QueuedRequest queueEntry(const ModelRequest &request) const;
    void refuse(const std::vector<QueueRefusal> &refusals);

    EventLoop &loop;
    const Scenario &scenario;
    const PolicyConfig &policy;
    SendHook send;
    RandomEngine random;
    CandidateSet candidates;
    int totalInFlight = 0;
    FairQueue queue;
    std::deque<ModelRequest *> fifoQueue;
    std::map<std::string, ModelRequest *> queuedById;
    double firstTokenWaitMs = 100.0; ///< Exponentially smoothed time from dispatch to first token.
    double drainedTokens = 0.0; ///< Cost of the requests dequeued since drainedSince.
    EventLoop::TimePoint drainedSince;
};

} // namespace hemlock
