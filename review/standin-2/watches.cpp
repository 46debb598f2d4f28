// The store cuts waiting watches twice in a row, as the protocol permits, and a worker leaves meanwhile, which is
// removed from the store without a word.
#include "rig.h"

using namespace rig;

namespace {

constexpr double drainTime = 2.0; ///< drain-ms
/// The worker goes on serving for drain-ms after the store has accepted that it left, and a little longer.
constexpr int lingerMs = 250;

struct Worker
{
    std::string id;
    std::unique_ptr<Server> server;
};

struct Arrival
{
    double time;
    std::string id;
};

std::mutex eventsMutex;
std::map<std::string, std::vector<Arrival>> arrivals; ///< By worker.

bool handleWork(const Worker &worker, Message &request, const ConnectionPtr &connection)
{
    const std::string id = request.field("X-Hemlockflow-Attempt-Id");
    const std::string expected = request.field("X-Hemlockflow-Expect-Instance");
    if (!expected.empty() && expected != worker.id)
        return connection->send(
            response(421, {{"X-Hemlockflow-Instance-Id", worker.id}, {"X-Hemlockflow-Attempt-Id", id}}, ""));
    {
        const std::lock_guard lock(eventsMutex);
        arrivals[worker.id].push_back({seconds(), id});
        record("%s: runs %s", worker.id.c_str(), id.c_str());
    }
    sleepMs(60);
    return connection->send(response(
        200,
        {{"X-Hemlockflow-Attempt-Id", id}, {"X-Hemlockflow-Response-Signature", "signed." + worker.id + "." + id}},
        "answer of " + worker.id + " to " + id));
}

bool run(const std::string &folder)
{
    // Their threads go on until the program ends.
    Store &store = *new Store;
    auto &workers = *new std::vector<std::unique_ptr<Worker>>;
    const json route = {{"name", "booking"},
                        {"hostname", "desk.example"},
                        {"path-prefix", "/book/"},
                        {"kind", "non_idempotent"},
                        {"timeout-ms", 3000},
                        {"target-latency-ms", 300},
                        {"priority", 0},
                        {"service", "desk"},
                        {"max-attempts", 2},
                        {"public", false}};
    const json config = {{"version", 1},
                         {"routes", {route}},
                         {"services", {{{"name", "desk"}, {"health-path", "/healthz"}, {"max-conns", 96}}}},
                         {"limits",
                          {{"max-header-bytes", 16384},
                           {"max-body-bytes", 4194304},
                           {"header-timeout-ms", 3000},
                           {"idle-timeout-ms", 15000}}},
                         {"tenants", {{{"name", "parish"}, {"api-keys", {"key-1"}}, {"rate-per-s", 0}}}}};
    store.put("op/config", config.dump());
    for (int i = 1; i <= 4; ++i) {
        workers.push_back(std::make_unique<Worker>());
        Worker &worker = *workers.back();
        worker.id = "worker-" + std::to_string(i);
        worker.server = std::make_unique<Server>([&worker](Message &request, const ConnectionPtr &connection) {
            return handleWork(worker, request, connection);
        });
        worker.server->open();
        store.put("servers/" + worker.id,
                  json{{"service", "desk"},
                       {"address", worker.server->address()},
                       {"zone", "zone-a"},
                       {"version", "v1"},
                       {"slots", 6},
                       {"state", "ready"},
                       {"cold-left-ms", 0},
                       {"born", wallMs()},
                       {"sequence", 1}}
                      .dump());
    }
    std::vector<std::unique_ptr<Relay>> relays;
    for (const char *name : {"machine-1", "machine-2", "machine-3", "machine-4", "machine-5", "machine-6"})
        relays.push_back(std::make_unique<Relay>(folder, name, "zone-a"));
    for (const auto &relay : relays)
        relay->start(store.server.address(), "", true);
    for (const auto &relay : relays)
        relay->waitUntilReady();
    sleepMs(4000);

    std::atomic<bool> isSending = true;
    std::atomic<int> answered = 0;
    std::atomic<int> lost = 0; ///< Bookings with an unknown outcome.
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < 2 * relays.size(); ++i) {
        callers.emplace_back([&, i] {
            const Relay &relay = *relays[i / 2];
            ConnectionPtr connection;
            for (int number = 0; isSending; ++number) {
                if (!connection)
                    connection = connectTo(relay.frontPort);
                const std::string id = relay.name + "-" + std::to_string(i % 2) + "-" + std::to_string(number);
                const Answer answer = exchange(connection,
                                               "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nApi-Key: key-1\r\n"
                                               "X-Hemlockflow-Deadline-Ms: 3000\r\nX-Hemlockflow-Attempt-Id: "
                                                   + id + "\r\nContent-Length: 5\r\n\r\nwings",
                                               Ms(3000));
                answered += answer.status == 200 && answer.isComplete ? 1 : 0;
                lost += answer.status == 502 ? 1 : 0;
                if (answer.status != 200)
                    record("caller: %s is answered %d %s", id.c_str(), answer.status, answer.message.body.c_str());
                if (!answer.isComplete)
                    connection = nullptr;
                sleepMs(30 + (number * 37 + static_cast<int>(i) * 23) % 61); // Not in step with the others.
            }
        });
    }
    sleepMs(4000);
    if (hasTrouble()) {
        store.cutWatches("servers/");
        sleepMs(300);
        store.cutWatches("servers/");
    } else {
        sleepMs(300);
    }
    sleepMs(50);
    Worker &leaving = *workers.front();
    store.remove("servers/" + leaving.id);
    const double left = seconds();
    record("store: the entry of %s is removed; it goes on serving for drain-ms and a little longer",
           leaving.id.c_str());
    sleepMs(static_cast<std::int64_t>(drainTime * 1000) + lingerMs);
    record("%s exits", leaving.id.c_str());
    leaving.server->close(false);
    sleepMs(3000);
    isSending = false;
    for (std::thread &caller : callers)
        caller.join();
    for (const auto &relay : relays) {
        if (relay->hasEnded())
            throw CannotRun(relay->name + " has ended by itself");
        relay->kill();
    }
    record("answers with status 200: %d; bookings that were answered 502: %d", answered.load(), lost.load());
    if (answered == 0)
        throw CannotRun("no request was answered");
    int late = 0;
    const std::lock_guard lock(eventsMutex);
    for (const Arrival &arrival : arrivals[leaving.id]) {
        if (arrival.time <= left + drainTime)
            continue;
        ++late;
        record("DRAIN: request %s reached %s %.3f s after the store had acknowledged that it left",
               arrival.id.c_str(),
               leaving.id.c_str(),
               arrival.time - left);
    }
    record("requests that reached the worker later than drain-ms: %d", late);
    return late == 0;
}

} // namespace

int main(int argc, char **argv)
{
    const int code = runCase(argc, argv, run);
    _exit(code);
}
