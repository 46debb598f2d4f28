#pragma once

#include "faultproxy.h"
#include "httpserver.h"

#include <asio.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace hemlock {

/// Number of events of each stream.
inline constexpr int soakStreamEvents = 6;

/// Event of a stream with its number from 1 on.
std::string soakEvent(const std::string &attemptId, int number);

/// Events of a stream from a number on.
std::string soakEvents(const std::string &attemptId, int first);

/// Body of an answer that is not a stream.
std::string soakAnswer(const std::string &attemptId);

/// Upstream behind a proxy, in the test program.
class SoakUpstream
{
public:
    enum class Behavior {
        Sound,
        Slow, ///< Streams pause between events, for less than the time limit in all.
        BreaksOff, ///< Answers end early; streams within an event.
        Stalls, ///< Streams send a byte now and then, but no event.
        LosesAnswer, ///< The request runs, then the connection breaks.
        Refuses, ///< The request does not run, and the answer says so.
        Fails, ///< The request runs and fails.
        Crashes, ///< The upstream crashes after the head of its answer to a stream, otherwise before it.
        CrashesAtOnce, ///< The upstream crashes before it answers.
        OddAnswer, ///< The request runs; its answer is cut or has a malformed head.
    };

    struct Hooks
    {
        std::function<Behavior(const HttpRequest &request)> behavior;
        /// Called for each request, whether it is run or not.
        std::function<void(SoakUpstream &upstream, const HttpRequest &request)> arrived;
        /// Called when a request begins to run.
        std::function<void(const SoakUpstream &upstream, const HttpRequest &request, Behavior behavior)> began;
        /// Chooses the form of an odd answer.
        std::function<int(const std::string &attemptId)> oddForm;
        /// Called when the head of an answer is sent.
        std::function<void(SoakUpstream &upstream, const HttpRequest &request, int status)> answered;
        /// Called when the upstream no longer works on a request, for whatever reason.
        std::function<void(const std::string &attemptId)> ended;
        /// Called when the upstream crashes by a request.
        std::function<void(SoakUpstream &upstream, const HttpRequest &request)> crashed;
    };

    SoakUpstream(asio::io_context &loop, std::string service, std::string zone, Hooks hooks);

    /// Record of the upstream for the store.
    std::string record(const std::string &state) const;

    /// Rest of the pause that it asks for, as it says in its answers; 0 for none.
    std::chrono::seconds pause() const;

    /// Whether a request that was sent at @p time may have suffered from a fault here.
    bool isDisturbed(std::chrono::steady_clock::time_point time) const;

    std::string id;
    const std::string service;
    const std::string zone;
    std::int64_t born = 0;
    double rateLimit = 0.0; ///< Requests per second that it names in its answers; 0 for none.
    bool isLeaving = false; ///< Says so in all its answers.
    /// End of the pause that it asks for, in which it turns requests away.
    std::chrono::steady_clock::time_point pausedUntil;
    std::chrono::steady_clock::time_point cutUntil; ///< Its connections may lose bytes until then.
    FaultProxy &proxy();
    std::chrono::steady_clock::time_point disturbedUntil; ///< End of the latest fault.

private:
    struct Run;

    HttpHeaders answerHeaders(const std::string &attemptId) const;
    void handle(const HttpRequest &request, const HttpResponderPtr &responder);
    void answer(Run &run);
    void continueStream(const std::shared_ptr<Run> &run);
    void end(Run &run);

    asio::io_context &loop;
    Hooks hooks;
    HttpServer server;
    std::unique_ptr<FaultProxy> faultProxy;
};

} // namespace hemlock
