// The machines that read the store for their zone are cut off from it; a worker leaves, which is removed from the
// store without a word. All other machines reach the store, yet go on sending to the worker.
#include "rig.h"

using namespace rig;

namespace {

constexpr int machineCount = 12;
constexpr int cutCount = 2;
constexpr double drainTime = 3.0; ///< drain-ms
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
                         {"services", {{{"name", "desk"}, {"health-path", "/healthz"}, {"max-conns", 580}}}},
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
    const json bounds = {{"contact-ms", 4000},
                         {"drain-ms", static_cast<int>(drainTime * 1000)},
                         {"config-apply-ms", 3000},
                         {"retry-slack", 212}};
    std::vector<std::unique_ptr<Relay>> relays;
    auto &proxies = *new std::vector<std::unique_ptr<Proxy>>;
    for (int i = 1; i <= machineCount; ++i) {
        char name[32];
        std::snprintf(name, sizeof name, "machine-%02d", i);
        relays.push_back(std::make_unique<Relay>(folder, name, "zone-a"));
        proxies.push_back(std::make_unique<Proxy>(store.server.port));
        relays.back()->start(proxies.back()->address(), "", true, bounds);
        sleepMs(25); // All machines start within 0.3 s.
    }
    for (const auto &relay : relays)
        relay->waitUntilReady();
    sleepMs(4000);

    std::atomic<bool> isSending = true;
    std::atomic<int> answered = 0;
    std::atomic<int> lost = 0; ///< Bookings at machines in touch with an unknown outcome.
    const std::set<std::string> cutNames = {relays[0]->name, relays[1]->name};
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < relays.size(); ++i) {
        callers.emplace_back([&, i] {
            const Relay &relay = *relays[i];
            ConnectionPtr connection;
            for (int number = 0; isSending; ++number) {
                if (!connection)
                    connection = connectTo(relay.frontPort);
                const std::string id = relay.name + "-" + std::to_string(number);
                const Answer answer = exchange(connection,
                                               "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nApi-Key: key-1\r\n"
                                               "X-Hemlockflow-Deadline-Ms: 3000\r\nX-Hemlockflow-Attempt-Id: "
                                                   + id + "\r\nContent-Length: 5\r\n\r\nwings",
                                               Ms(3000));
                answered += answer.status == 200 && answer.isComplete ? 1 : 0;
                lost += answer.status == 502 && !cutNames.contains(relay.name) ? 1 : 0;
                if (answer.status != 200)
                    record("caller: %s is answered %d %s", id.c_str(), answer.status, answer.message.body.c_str());
                if (!answer.isComplete)
                    connection = nullptr;
                sleepMs(30 + (number * 37 + static_cast<int>(i) * 23) % 61); // Not in step with the others.
            }
        });
    }
    sleepMs(4000);
    std::set<std::string> cutMachines;
    if (hasTrouble()) {
        // Of machines of the same size, those that started first read the store for their zone.
        for (int i = 0; i < cutCount; ++i) {
            proxies[static_cast<std::size_t>(i)]->isCut = true;
            cutMachines.insert(relays[static_cast<std::size_t>(i)]->name);
            record("%s is cut off from the store", relays[static_cast<std::size_t>(i)]->name.c_str());
        }
    }
    sleepMs(200);
    Worker &leaving = *workers.front();
    store.remove("servers/" + leaving.id);
    const double left = seconds();
    record("store: the entry of %s is removed; it goes on serving for drain-ms and a little longer",
           leaving.id.c_str());
    sleepMs(static_cast<std::int64_t>(drainTime * 1000) + lingerMs);
    record("%s exits", leaving.id.c_str());
    leaving.server->close(false);
    sleepMs(1000);
    for (const auto &proxy : proxies)
        proxy->isCut = false;
    record("all machines reach the store");
    sleepMs(2000);
    isSending = false;
    for (std::thread &caller : callers)
        caller.join();
    for (const auto &relay : relays) {
        if (relay->hasEnded())
            throw CannotRun(relay->name + " has ended by itself");
        relay->kill();
    }
    record("answers with status 200: %d; bookings at machines in touch that were answered 502: %d",
           answered.load(),
           lost.load());
    if (answered == 0)
        throw CannotRun("no request was answered");
    int late = 0;
    const std::lock_guard lock(eventsMutex);
    for (const Arrival &arrival : arrivals[leaving.id]) {
        const std::string machine = arrival.id.substr(0, arrival.id.rfind('-'));
        if (arrival.time <= left + drainTime || cutMachines.contains(machine))
            continue;
        ++late;
        record("DRAIN: request %s reached %s %.3f s after the store had acknowledged that it left",
               arrival.id.c_str(),
               leaving.id.c_str(),
               arrival.time - left);
    }
    record("requests by machines in touch that reached the worker later than drain-ms: %d", late);
    return late == 0;
}

} // namespace

int main(int argc, char **argv)
{
    const int code = runCase(argc, argv, run);
    _exit(code);
}
