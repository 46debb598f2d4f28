// An entry of a worker is overwritten by another writer, with fields missing and another service.
#include "rig.h"

using namespace rig;

namespace {

struct Worker
{
    std::string id;
    std::string service;
    std::unique_ptr<Server> server;
};

std::mutex runsMutex;
int runs = 0;
int foreignRuns = 0;

/// Path prefixes of the routes by service; the configuration never changes.
const std::map<std::string, std::string> prefixes = {{"reservations", "/book/"}, {"stock", "/stock/"}};

bool handleWork(const Worker &worker, Message &request, const ConnectionPtr &connection)
{
    const std::string id = request.field("X-Hemlockflow-Attempt-Id");
    const std::string expected = request.field("X-Hemlockflow-Expect-Instance");
    const std::size_t space = request.startLine.find(' ');
    const std::string target = request.startLine.substr(space + 1, request.startLine.rfind(' ') - space - 1);
    if (!expected.empty() && expected != worker.id) {
        record("%s: request %s expects %s, answered 421", worker.id.c_str(), id.c_str(), expected.c_str());
        return connection->send(
            response(421, {{"X-Hemlockflow-Instance-Id", worker.id}, {"X-Hemlockflow-Attempt-Id", id}}, ""));
    }
    {
        const std::lock_guard lock(runsMutex);
        ++runs;
        if (!target.starts_with(prefixes.at(worker.service))) {
            ++foreignRuns;
            record("ROUTE: %s, a worker of %s, runs request %s with path %s",
                   worker.id.c_str(),
                   worker.service.c_str(),
                   id.c_str(),
                   target.c_str());
        }
    }
    sleepMs(20);
    return connection->send(response(
        200,
        {{"X-Hemlockflow-Attempt-Id", id}, {"X-Hemlockflow-Response-Signature", "signed." + worker.id + "." + id}},
        "answer of " + worker.id + " to " + id));
}

json route(const std::string &service, const std::string &kind)
{
    return {{"name", "route-" + service},
            {"hostname", "desk.example"},
            {"path-prefix", prefixes.at(service)},
            {"kind", kind},
            {"timeout-ms", 3000},
            {"target-latency-ms", 300},
            {"priority", 0},
            {"service", service},
            {"max-attempts", 2},
            {"public", false}};
}

std::string entry(const Worker &worker, std::int64_t born, int sequence)
{
    return json{{"service", worker.service},
                {"address", worker.server->address()},
                {"zone", "zone-a"},
                {"version", "v1"},
                {"slots", 6},
                {"state", "ready"},
                {"cold-left-ms", 0},
                {"born", born},
                {"sequence", sequence}}
        .dump();
}

bool run(const std::string &folder)
{
    // Their threads go on until the program ends.
    Store &store = *new Store;
    auto &workers = *new std::vector<std::unique_ptr<Worker>>;
    const std::int64_t born = wallMs();
    const json config = {{"version", 1},
                         {"routes", {route("reservations", "non_idempotent"), route("stock", "idempotent")}},
                         {"services",
                          {{{"name", "reservations"}, {"health-path", "/healthz"}, {"max-conns", 96}},
                           {{"name", "stock"}, {"health-path", "/healthz"}, {"max-conns", 96}}}},
                         {"limits",
                          {{"max-header-bytes", 16384},
                           {"max-body-bytes", 4194304},
                           {"header-timeout-ms", 3000},
                           {"idle-timeout-ms", 15000}}},
                         {"tenants", {{{"name", "parish"}, {"api-keys", {"key-1"}}, {"rate-per-s", 0}}}}};
    store.put("op/config", config.dump());
    for (const auto &[id, service] : std::map<std::string, std::string>{{"worker-1", "reservations"},
                                                                        {"worker-2", "reservations"},
                                                                        {"worker-3", "stock"},
                                                                        {"worker-4", "stock"}}) {
        workers.push_back(std::make_unique<Worker>());
        Worker &worker = *workers.back();
        worker.id = id;
        worker.service = service;
        worker.server = std::make_unique<Server>([&worker](Message &request, const ConnectionPtr &connection) {
            return handleWork(worker, request, connection);
        });
        worker.server->open();
        store.put("servers/" + id, entry(worker, born, 1));
    }
    std::vector<std::unique_ptr<Relay>> relays;
    for (const char *name : {"machine-1", "machine-2", "machine-3"})
        relays.push_back(std::make_unique<Relay>(folder, name, "zone-a"));
    for (const auto &relay : relays)
        relay->start(store.server.address(), "", true);
    for (const auto &relay : relays)
        relay->waitUntilReady();
    sleepMs(1500);

    std::atomic<bool> isSending = true;
    std::atomic<int> answered = 0;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < 2 * relays.size(); ++i) {
        callers.emplace_back([&, i] {
            const Relay &relay = *relays[i / 2];
            ConnectionPtr connection;
            for (int number = 0; isSending; ++number) {
                if (!connection)
                    connection = connectTo(relay.frontPort);
                const std::string id =
                    (i % 2 == 0 ? "booking-" : "lookup-") + std::to_string(i / 2) + "-" + std::to_string(number);
                const std::string fields = "Host: desk.example\r\nApi-Key: key-1\r\nX-Hemlockflow-Deadline-Ms: 3000\r\n"
                                           "X-Hemlockflow-Attempt-Id: "
                    + id + "\r\n";
                const std::string request = i % 2 == 0
                    ? "POST /book/1 HTTP/1.1\r\n" + fields + "Content-Length: 5\r\n\r\nwings"
                    : "GET /stock/1 HTTP/1.1\r\n" + fields + "\r\n";
                const Answer answer = exchange(connection, request, Ms(3000));
                record("caller: %s at %s is answered %d, %s",
                       id.c_str(),
                       relay.name.c_str(),
                       answer.status,
                       answer.message.body.c_str());
                answered += answer.status == 200 ? 1 : 0;
                if (!answer.isComplete)
                    connection = nullptr;
                sleepMs(60);
            }
        });
    }
    sleepMs(3000);
    if (hasTrouble()) {
        const Worker &worker = *workers.front();
        const std::string forged = json{
            {"service", "stock"},
            {"address", worker.server->address()},
            {"zone", "zone-a"},
            {"slots", 6},
            {"state", "ready"}}.dump();
        record("store: another writer writes servers/%s = %s", worker.id.c_str(), forged.c_str());
        store.put("servers/" + worker.id, forged);
        // The worker writes its entry again with its next heartbeat.
        sleepMs(1200);
        record("store: %s writes its entry", worker.id.c_str());
        store.put("servers/" + worker.id, entry(worker, born, 2));
    }
    sleepMs(4000);
    isSending = false;
    for (std::thread &caller : callers)
        caller.join();
    for (const auto &relay : relays) {
        if (relay->hasEnded())
            throw CannotRun(relay->name + " has ended by itself");
        relay->kill();
    }
    const std::lock_guard lock(runsMutex);
    record("runs: %d, by a service to which no configuration allows them to go: %d", runs, foreignRuns);
    if (answered == 0)
        throw CannotRun("no request was answered");
    return foreignRuns == 0;
}

} // namespace

int main(int argc, char **argv)
{
    const int code = runCase(argc, argv, run);
    _exit(code);
}
