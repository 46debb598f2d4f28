// Requests with a prompt part that crashes workers come in batches, as a caller sends several at once.
#include "rig.h"

using namespace rig;

namespace {

constexpr int workerCount = 9;
constexpr int batchSize = 6;
constexpr int batches = 4;
constexpr int batchIntervalMs = 9000;
constexpr double contactTime = 3.0;
constexpr const char *crashingPart = "bad0bad0";

/// Prompt tokens that a worker reads in a ms, and what a prompt has.
constexpr double tokensPerMs = 50.7;
constexpr int sharedTokens = 13300;
constexpr int ownTokens = 3720;

struct Worker
{
    std::string id;
    std::unique_ptr<Server> server;
    std::mutex mutex;
    std::set<std::string> cachedParts; ///< Of the present incarnation.
    int incarnation = 0;
    std::set<std::string> runs; ///< Requests at work.
};

std::mutex eventsMutex;
std::set<std::string> cutRequests; ///< Sound requests that were at work at a worker as it crashed.
std::vector<double> crashes;
struct Arrival
{
    double time;
    std::string id;
    std::string worker;
};
std::vector<Arrival> arrivals; ///< Of requests with the crashing part, at workers.

void crash(Worker &worker, int incarnation, const std::string &id)
{
    {
        const std::lock_guard lock(worker.mutex);
        if (worker.incarnation != incarnation)
            return;
        ++worker.incarnation;
        worker.cachedParts.clear();
        worker.runs.erase(id);
        const std::lock_guard eventsLock(eventsMutex);
        crashes.push_back(seconds());
        record("%s: crashes by request %s, crash %zu", worker.id.c_str(), id.c_str(), crashes.size());
        for (const std::string &run : worker.runs) {
            cutRequests.insert(run);
            record("%s: request %s was at work", worker.id.c_str(), run.c_str());
        }
        worker.runs.clear();
    }
    worker.server->close(false);
    std::thread([&worker] {
        sleepMs(3000);
        worker.server->open();
        record("%s: is back", worker.id.c_str());
    }).detach();
}

bool handleWork(Worker &worker, Message &request, const ConnectionPtr &connection)
{
    const std::string id = request.field("X-Hemlockflow-Attempt-Id");
    const std::string parts = request.field("X-Hemlockflow-Prompt-Prefix");
    const bool isCrashing = parts.starts_with(crashingPart);
    const std::string shared = parts.substr(0, parts.find(':'));
    int incarnation = 0;
    bool isCached = false;
    {
        const std::lock_guard lock(worker.mutex);
        incarnation = worker.incarnation;
        isCached = worker.cachedParts.contains(shared);
        worker.runs.insert(id);
    }
    if (isCrashing) {
        const std::lock_guard lock(eventsMutex);
        arrivals.push_back({seconds(), id, worker.id});
    }
    record("%s: request %s arrives, parts %s", worker.id.c_str(), id.c_str(), parts.c_str());
    // The prompt is read, then the first token is made.
    sleepMs(static_cast<std::int64_t>((ownTokens + (isCached ? 0 : sharedTokens)) / tokensPerMs));
    {
        const std::lock_guard lock(worker.mutex);
        if (worker.incarnation != incarnation)
            return false;
    }
    if (isCrashing && hasTrouble()) {
        crash(worker, incarnation, id);
        return false;
    }
    {
        const std::lock_guard lock(worker.mutex);
        worker.cachedParts.insert(shared);
    }
    if (!connection->send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                          "X-Hemlockflow-Attempt-Id: "
                          + id + "\r\nX-Hemlockflow-Response-Signature: signed." + id + "\r\n\r\n"))
        return false;
    bool isSent = true;
    for (int number = 1; number <= 40 && isSent; ++number) {
        const std::string event = "id: " + std::to_string(number) + "\ndata: token\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        isSent = connection->send(size + event + "\r\n");
        sleepMs(30);
    }
    const std::lock_guard lock(worker.mutex);
    worker.runs.erase(id);
    return isSent && worker.incarnation == incarnation && connection->send("0\r\n\r\n");
}

Answer ask(const Relay &relay, const std::string &id, const std::string &shared)
{
    const std::string body = "prompt of " + id;
    const std::string request = "POST /plan/1 HTTP/1.1\r\nHost: desk.example\r\nApi-Key: key-1\r\n"
                                "X-Hemlockflow-Deadline-Ms: 12000\r\nX-Hemlockflow-Model: m\r\n"
                                "X-Hemlockflow-Token-Usage: "
        + std::to_string(sharedTokens + ownTokens) + ",24\r\nX-Hemlockflow-Prompt-Prefix: " + shared + ":"
        + std::to_string(sharedTokens) + "," + std::to_string(std::hash<std::string>()(id) % 1000000000 + 16) + ":"
        + std::to_string(ownTokens) + "\r\nX-Hemlockflow-Attempt-Id: " + id
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const Answer answer = exchange(connectTo(relay.frontPort), request, Ms(12000));
    record("caller: request %s at %s with %s is answered %d%s",
           id.c_str(),
           relay.name.c_str(),
           shared.c_str(),
           answer.status,
           answer.isComplete ? "" : ", not complete");
    return answer;
}

bool run(const std::string &folder)
{
    // Their threads go on until the program ends.
    Store &store = *new Store;
    auto &workers = *new std::vector<std::unique_ptr<Worker>>;
    const json route = {{"name", "plan"},
                        {"hostname", "desk.example"},
                        {"path-prefix", "/plan/"},
                        {"kind", "streaming"},
                        {"timeout-ms", 12000},
                        {"target-latency-ms", 1000},
                        {"priority", 1},
                        {"service", "advisor"},
                        {"max-attempts", 1},
                        {"public", false},
                        {"sticky", true},
                        {"resumable", false},
                        {"gap-aim-ms", 400}};
    const json config = {{"version", 1},
                         {"routes", {route}},
                         {"services",
                          {{{"name", "advisor"},
                            {"health-path", "/healthz"},
                            {"max-conns", 360},
                            {"engine", {{"slots", 64}, {"kv-cache-tokens", 590173}}}}}},
                         {"limits",
                          {{"max-header-bytes", 16384},
                           {"max-body-bytes", 4194304},
                           {"header-timeout-ms", 3000},
                           {"idle-timeout-ms", 15000}}},
                         {"tenants",
                          {{{"name", "parish"},
                            {"api-keys", {"key-1"}},
                            {"unit", "token_stream"},
                            {"plain-tokens", 200},
                            {"rate-per-s", 0}}}}};
    store.put("op/config", config.dump());
    for (int i = 1; i <= workerCount; ++i) {
        workers.push_back(std::make_unique<Worker>());
        Worker &worker = *workers.back();
        worker.id = "worker-" + std::to_string(i);
        worker.server = std::make_unique<Server>([&worker](Message &request, const ConnectionPtr &connection) {
            return handleWork(worker, request, connection);
        });
        worker.server->open();
        store.put("servers/" + worker.id,
                  json{{"service", "advisor"},
                       {"address", worker.server->address()},
                       {"zone", "zone-" + std::string(1, static_cast<char>('a' + i % 4))},
                       {"version", "v1"},
                       {"slots", 64},
                       {"state", "ready"},
                       {"born", wallMs()},
                       {"sequence", 1}}
                      .dump());
    }
    std::vector<std::unique_ptr<Relay>> relays;
    for (const char *name : {"machine-1", "machine-2", "machine-3"})
        relays.push_back(std::make_unique<Relay>(folder, name, "zone-a"));
    for (const auto &relay : relays)
        relay->start(store.server.address(), "", true);
    for (const auto &relay : relays)
        relay->waitUntilReady();
    sleepMs(1500);

    // Sound requests with other parts at all machines.
    std::atomic<bool> isSending = true;
    std::atomic<int> soundServed = 0;
    std::atomic<int> soundLost = 0;
    std::vector<std::thread> callers;
    for (std::size_t caller = 0; caller < relays.size(); ++caller) {
        callers.emplace_back([&, caller, i = caller % relays.size()] {
            for (int number = 0; isSending; ++number) {
                const Answer answer = ask(*relays[i],
                                          "sound-" + std::to_string(caller) + "-" + std::to_string(number),
                                          "5a5a000" + std::to_string(number % 3));
                const bool isServed = answer.status == 200 && answer.isComplete;
                ++(isServed ? soundServed : soundLost);
                sleepMs(400);
            }
        });
    }
    sleepMs(4000);
    // A caller's connections reach one machine; it sends a batch on that many connections.
    for (int batch = 0; batch < batches; ++batch) {
        record("caller: sends batch %d", batch + 1);
        for (int i = 0; i < batchSize; ++i)
            callers.emplace_back([&, batch, i] {
                ask(*relays[0], "batch-" + std::to_string(batch + 1) + "-" + std::to_string(i + 1), crashingPart);
            });
        sleepMs(batchIntervalMs);
    }
    isSending = false;
    for (std::thread &caller : callers)
        caller.join();
    for (const auto &relay : relays) {
        if (relay->hasEnded())
            throw CannotRun(relay->name + " has ended by itself");
        relay->kill();
    }
    record("sound requests served: %d, failed or cut: %d", soundServed.load(), soundLost.load());
    {
        const std::lock_guard lock(eventsMutex);
        record("sound requests at work at workers that crashed: %zu", cutRequests.size());
    }
    if (soundServed == 0)
        throw CannotRun("no request was served");
    const std::lock_guard lock(eventsMutex);
    if (crashes.size() < 5) {
        record("crashes: %zu", crashes.size());
        if (hasTrouble())
            throw CannotRun("there were fewer than five crashes");
        return true;
    }
    int late = 0;
    for (const Arrival &arrival : arrivals) {
        if (arrival.time <= crashes[4] + contactTime)
            continue;
        ++late;
        record("BUDGET: request %s reached %s at %.3f, %.1f s after the fifth crash",
               arrival.id.c_str(),
               arrival.worker.c_str(),
               arrival.time,
               arrival.time - crashes[4]);
    }
    record("requests with the part that reached workers later than contact-ms after the fifth crash: %d", late);
    return late <= 3;
}

} // namespace

int main(int argc, char **argv)
{
    const int code = runCase(argc, argv, run);
    _exit(code);
}
