#pragma once

#include "faultproxy.h"
#include "noticecheck.h"
#include "processes.h"
#include "retrywindows.h"
#include "soakstore.h"
#include "soakupstream.h"
#include "testhttp.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace hemlock {

/// What one soak run saw.
struct SoakReport
{
    std::map<std::string, int> counts; ///< Calls by outcome, and injected faults by kind.
    std::vector<std::string> violations; ///< One line for each broken promise.
};

struct SoakSettings
{
    std::uint32_t seed = 1; ///< Determines calls and faults, but not their exact timing.
    std::size_t vms = 3;
    std::chrono::milliseconds faultTime{12000}; ///< Time with faults; some seconds without follow.
    std::string logFolder; ///< Where the output of all processes is written at the end; empty for nowhere.
};

/// Runs hemlock-relay processes between callers, upstreams and a store of the test program while faults overlap:
/// processes are stopped, killed, paused, reloaded and restarted, connections are delayed, reset and silenced by
/// proxies, upstreams leave, crash, fail, ask for pauses and answer twice or with malformed heads, API keys are
/// withdrawn, VMs are replaced, and the store fails. Callers keep using their connections until a process is gone. All
/// promises are checked by what callers, upstreams and the platform see.
class RelaySoak
{
public:
    explicit RelaySoak(SoakSettings settings);
    ~RelaySoak();

    SoakReport run();

private:
    using Time = std::chrono::steady_clock::time_point;

    struct Vm
    {
        std::string name;
        std::string zone;
        std::string callerAddress;
        std::string readinessAddress;
        nlohmann::json settings;
        std::unique_ptr<FaultProxy> storeProxy;
        Process *process = nullptr; ///< Null while the VM is down.
        bool isReady = false;
        bool isProbed = false; ///< A readiness check is in progress.
        bool isPaused = false;
        Time started;
        std::optional<Time> terminated; ///< Time of SIGTERM.
        Time disturbedUntil; ///< End of the latest unplanned fault of the VM or its store link.
        Time resumed; ///< End of the latest pause.
    };

    enum class Kind {
        Booking, ///< May run once.
        Lookup, ///< May run again.
        Stream, ///< May run once.
        ResumableStream,
    };

    struct Call
    {
        std::string id;
        Kind kind = Kind::Booking;
        std::size_t vm = 0;
        std::string account;
        std::string key;
        Time sent;
        std::optional<Time> ended;
        std::optional<Time> cancelled;
        HttpClient::CallId exchange = 0;
        int status = 0;
        std::string body;
        HttpHeaders headers; ///< Of the answer that the caller got.
        int arrivals = 0; ///< At upstreams, whether they ran it or not.
        int runs = 0;
        int openRuns = 0; ///< Runs whose upstream still works.
        bool isDisturbed = false; ///< A fault other than planned work may have harmed it.
        bool isServiceFailing = false; ///< Most answers of its service were errors when it was sent.
        bool isRefused = false; ///< It was told that it has not run.
        std::string sentBody;
        bool isTainted = false; ///< Its prompt has the part that crashes upstreams.
        bool isDeadly = false; ///< A copy of the request that crashes upstreams.
        bool wasInTouch = false; ///< Whether its VM was in touch when it was sent.
        SoakUpstream *upstream = nullptr; ///< Of the latest run.
        std::set<int> upstreamStatuses; ///< Of all answers that upstreams sent.
        std::string leavingUpstream; ///< The upstream of the latest answer if it said that it leaves.
        int oddForm = -1; ///< Form of the latest odd answer.

        bool isStream() const;
        std::string service() const;
    };

    struct ApiKey
    {
        std::string account;
        Time added;
        std::optional<Time> withdrawn;
    };

    /// What crashes upstreams: a request that comes again and again, or a part of prompts.
    struct CrashCause
    {
        std::string name;
        std::size_t crashLimit = 0; ///< Crashes after which it must be known.
        std::vector<Time> crashes;
        int lateArrivals = 0; ///< Requests that reached upstreams when it must be known.
    };

    /// Limit that an upstream names in its answers.
    struct NamedLimit
    {
        Time since;
        std::map<std::size_t, Time> told; ///< When a VM first got an answer that names it, by index.
        std::deque<Time> arrivals; ///< Requests of the last seconds from VMs that had been told.
    };

    using Calls = std::map<std::string, std::shared_ptr<Call>>;

    // Set-up.
    void identifyVm(std::size_t index);
    void startVm(std::size_t index);
    void addUpstream(const std::string &service);
    void writeConfig();
    SoakUpstream::Behavior chooseBehavior(const std::string &service, const HttpRequest &request);

    // Progress.
    void runUntil(Time end, bool injectsFaults);
    void checkOwnDelay(Time due);
    void at(Time time, std::function<void()> action);
    void checkProcesses();
    void checkReadiness(std::size_t index);
    void sendCalls();
    void sendCall(std::size_t vm);
    Kind chooseKind();
    void makeDeadly(Call &call) const;
    std::string chooseKey();
    void cancelCall(const std::shared_ptr<Call> &call);

    // Faults.
    void injectFault();
    void injectOtherFault(int number, std::size_t vm, SoakUpstream &upstream);
    void planStorm(Time start);
    void restartAll();
    bool isFailing(const std::string &service) const;
    void failService(const std::string &service, std::chrono::milliseconds time);
    void disturbVm(std::size_t index, std::chrono::milliseconds time);
    void disturbUpstream(SoakUpstream &upstream, std::chrono::milliseconds time);
    void terminateVm(std::size_t index);
    void killVm(std::size_t index);
    void killAll();
    void replaceVm(std::size_t index);
    void pauseVm(std::size_t index);
    void cutStore(std::size_t index);
    void failStore();
    void restoreStore();
    void disturbConnections(SoakUpstream &upstream);
    void crashUpstream(SoakUpstream &upstream);
    void retireUpstream(std::size_t index, bool announces);
    void announceLeaving(SoakUpstream &upstream);
    void askForPause(SoakUpstream &upstream);
    void rotateKey();
    void nameLimit(SoakUpstream &upstream);

    // Checks.
    void requestArrived(SoakUpstream &upstream, const HttpRequest &request);
    void answerSent(SoakUpstream &upstream, const HttpRequest &request, int status);
    void headArrived(Call &call);
    void checkLimit(const SoakUpstream &upstream, std::size_t vm);
    void checkCrashingArrival(CrashCause &cause, const Call &call);
    void requestBegan(SoakUpstream &upstream, const HttpRequest &request, SoakUpstream::Behavior behavior);
    void callEnded(const std::shared_ptr<Call> &call, const HttpOutcome &outcome);
    void checkAnswer(const Call &call, bool isComplete);
    void checkSignature(const Call &call);
    void checkRetries();
    void checkUnauthorized(const Call &call);
    void checkLost(const Call &call, const HttpOutcome &outcome);
    void checkRates();
    void checkSoundStreams();
    void handleDuty(const HttpRequest &request, const HttpResponderPtr &responder);
    bool isInTouch(const Vm &vm, Time since) const;
    /// Whether the process of a VM started while the store held an older copy.
    bool startedFromCopy(const Vm &vm) const;
    void violate(const std::string &rule, const std::string &what, const Call *call = nullptr);
    void count(const std::string &name);

    int below(int bound);
    bool chance(int percent);

    SoakSettings settings;
    std::mt19937 random;
    Processes processes;
    TestHttp http;
    SoakStore store{this->http.loop()};
    HttpServer cloud;
    std::string storeAddress;
    std::string cloudAddress;
    std::vector<Vm> vms;
    std::vector<std::unique_ptr<SoakUpstream>> upstreams;
    std::vector<std::unique_ptr<SoakUpstream>> retired; ///< Left; some still serve.
    std::map<std::string, NamedLimit> limits; ///< In force, by upstream.
    CrashCause taintedPart{"prompt part", 5, {}, 0};
    CrashCause deadlyRequest{"request", 3, {}, 0};
    std::map<std::string, Time> leftUpstreams; ///< When the store acknowledged that an upstream leaves.
    std::map<std::string, ApiKey> keys;
    std::vector<std::string> rotatingKeys; ///< The newest last.
    std::multimap<Time, std::function<void()>> agenda;
    Calls calls;
    Time storeDisturbedUntil;
    std::vector<std::pair<Time, Time>> copyTimes; ///< When the store held an older copy, each with a margin.
    std::int64_t configVersion = 0;
    int upstreamNumber = 0;
    int startNumber = 0;
    bool isSending = true;
    bool isPlannedOnly = false; ///< Stops, reloads, configurations and leaving upstreams only.
    bool hasTaintedPart = false; ///< From the first faults on, a part of some prompts crashes upstreams.
    bool hasDeadlyRequest = false; ///< From the first faults on, copies of one request crash upstreams.
    bool hasStorm = false; ///< A service fails while all VMs restart.
    int faultPercent = 0; ///< Chance of a fault in each step.
    Time faultEnd;
    std::map<std::string, Time> failingServices; ///< Services whose answers are mostly errors, until when.
    RetryWindows retryWindows;
    NoticeCheck notices;
    int vmNumber = 0;
    std::map<std::int64_t, nlohmann::json> reportedWindows;
    std::int64_t highestToken = 0;
    std::map<std::int64_t, std::string> tokenHolders;
    SoakReport report;
};

} // namespace hemlock
