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

/// One request on its way through an experiment.
struct ModelRequest
{
    std::uint64_t id = 0;
    TrafficRequest traffic;
    std::string prompt;
    std::vector<std::uint64_t> blocks;
    int promptTokens = 0;
    int emitted = 0;
    int attempts = 0;
    std::string upstream;
    EventLoop::TimePoint arrived;
    EventLoop::TimePoint dispatched;
    EventLoop::TimePoint firstToken;
    EventLoop::TimePoint lastToken;
    bool isRefused = false;
    bool isDone = false;

    double cost() const;
};

/// An entry VM of an experiment: the real router, queue and limits between fake callers and fake engines.
class EntryModel
{
public:
    /// Sends a request to the upstream it names.
    using SendHook = std::function<void(ModelRequest &request)>;

    EntryModel(EventLoop &loop,
               const Scenario &scenario,
               const PolicyConfig &policy,
               int entryIndex,
               std::uint64_t seed,
               SendHook send);

    void receiveRequest(ModelRequest &request);
    /// Sends an accepted request again, after its upstream was lost.
    void replay(ModelRequest &request);
    void recordFirstToken(const ModelRequest &request);
    void requestEnded(const ModelRequest &request);
    /// A moved stream: counts for its new upstream.
    void requestMoved(const std::string &from, const std::string &to);

    void upstreamJoined(const std::string &upstream, const AvailabilityZone &zone);
    void upstreamLeft(const std::string &upstream);
    int inFlight(const std::string &upstream) const;
    void loadReported(const std::string &upstream, double load, double inFlightAtReport, EventLoop::Duration age);
    void dispatchQueued();

    Router router;
    RateLimiter limiter;
    const AvailabilityZone zone;

private:
    void dispatch(ModelRequest &request);
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
    double firstTokenWaitMs = 100.0; ///< Smoothed time from dispatch to the first token.
    double drainedTokens = 0.0;
    EventLoop::TimePoint drainedSince;
};

} // namespace hemlock
