// Many callers send requests at once that are inside all limits, to a machine of 120 MB.
#include "rig.h"

using namespace rig;

namespace {

constexpr int callerCount = 340;
constexpr int workerCount = 140;
constexpr int slots = 16;
constexpr int memoryMb = 120;
constexpr std::size_t largeBody = 100000; ///< Largest request of the site.
constexpr std::size_t ordinaryBody = 1500;

/// Prompt tokens that a worker reads in a ms, and what a prompt has.
constexpr double tokensPerMs = 62.4;
constexpr int sharedTokens = 13300;
constexpr int ownTokens = 3720;

std::mutex eventsMutex;
std::set<std::string> passedOn; ///< Requests that a worker has received whole.

bool handleWork(const std::string &worker, Message &request, const ConnectionPtr &connection)
{
    const std::string id = request.field("X-Hemlockflow-Attempt-Id");
    {
        const std::lock_guard lock(eventsMutex);
        passedOn.insert(id);
        record("%s: begins %s, %zu bytes", worker.c_str(), id.c_str(), request.body.size());
    }
    sleepMs(static_cast<std::int64_t>((sharedTokens + ownTokens) / tokensPerMs) + 120);
    if (!connection->send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                          "X-Hemlockflow-Attempt-Id: "
                          + id + "\r\nX-Hemlockflow-Response-Signature: signed." + id + "\r\n\r\n"))
        return false;
    for (int number = 1; number <= 30; ++number) {
        const std::string event = "id: " + std::to_string(number) + "\ndata: token\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!connection->send(size + event + "\r\n"))
            return false;
        sleepMs(40);
    }
    return connection->send("0\r\n\r\n");
}

std::string requestText(const std::string &id, std::size_t bodyBytes, int part)
{
    return "POST /plan/1 HTTP/1.1\r\nHost: desk.example\r\nApi-Key: key-1\r\nX-Hemlockflow-Deadline-Ms: 12000\r\n"
           "X-Hemlockflow-Model: m\r\nX-Hemlockflow-Token-Usage: "
        + std::to_string(sharedTokens + ownTokens)
        + ",40\r\nX-Hemlockflow-Prompt-Prefix: " + std::to_string(1000 + part) + ":" + std::to_string(sharedTokens)
        + "," + std::to_string(500000 + part) + ":" + std::to_string(ownTokens) + "\r\nX-Hemlockflow-Attempt-Id: " + id
        + "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'p');
}

std::int64_t memoryKb(pid_t pid, const std::string &field)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with(field + ":"))
            return std::atoll(line.c_str() + field.size() + 1);
    }
    return 0;
}

bool run(const std::string &folder)
{
    // Their threads go on until the program ends.
    Store &store = *new Store;
    auto &servers = *new std::vector<std::unique_ptr<Server>>;
    const json route = {{"name", "plan"},
                        {"hostname", "desk.example"},
                        {"path-prefix", "/plan/"},
                        {"kind", "streaming"},
                        {"timeout-ms", 12000},
                        {"target-latency-ms", 1000},
                        {"priority", 1},
                        {"service", "desk-model"},
                        {"max-attempts", 1},
                        {"public", false},
                        {"sticky", true},
                        {"resumable", false},
                        {"gap-aim-ms", 400}};
    const json config = {{"version", 1},
                         {"routes", {route}},
                         {"services",
                          {{{"name", "desk-model"},
                            {"health-path", "/healthz"},
                            {"max-conns", 570},
                            {"engine", {{"slots", slots}, {"kv-cache-tokens", 536844}}}}}},
                         {"limits",
                          {{"max-header-bytes", 16384},
                           {"max-body-bytes", 4194304},
                           {"header-timeout-ms", 3000},
                           {"idle-timeout-ms", 15000}}},
                         {"tenants",
                          {{{"name", "clerks"},
                            {"api-keys", {"key-1"}},
                            {"unit", "token_stream"},
                            {"plain-tokens", 200},
                            {"rate-per-s", 0}}}}};
    store.put("op/config", config.dump());
    for (int i = 1; i <= workerCount; ++i) {
        const std::string id = "worker-" + std::to_string(i);
        servers.push_back(std::make_unique<Server>(
            [id](Message &request, const ConnectionPtr &connection) { return handleWork(id, request, connection); }));
        servers.back()->open();
        store.put("servers/" + id,
                  json{{"service", "desk-model"},
                       {"address", servers.back()->address()},
                       {"zone", "zone-a"},
                       {"version", "v1"},
                       {"slots", slots},
                       {"state", "ready"},
                       {"cold-left-ms", 0},
                       {"born", wallMs()},
                       {"sequence", 1}}
                      .dump());
    }
    Relay relay(folder, "machine-1", "zone-a");
    relay.limits = {{"cpu-share", 0.09}, {"cpu-cores", 1}, {"memory-mb", memoryMb}, {"max-fds", 3075}};
    relay.start(
        store.server.address(), "", true, {{"contact-ms", 4000}, {"drain-ms", 3000}, {"config-apply-ms", 3000}});
    relay.waitUntilReady();
    sleepMs(2000);
    record("memory of the process before: %lld KB", static_cast<long long>(memoryKb(relay.pid, "VmRSS")));

    // The platform: a process that exceeds memory-mb is killed.
    std::atomic<bool> isWatching = true;
    std::atomic<bool> isKilled = false;
    std::thread platform([&] {
        while (isWatching && !isKilled) {
            const std::int64_t used = memoryKb(relay.pid, "VmRSS");
            if (used > std::int64_t{memoryMb} * 1024) {
                record("platform: the process holds %lld KB, over memory-mb = %d, and is killed",
                       static_cast<long long>(used),
                       memoryMb);
                ::kill(relay.pid, SIGKILL);
                isKilled = true;
            }
            sleepMs(5);
        }
    });

    std::atomic<int> served = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> ready = 0;
    std::atomic<bool> isGo = false;
    std::mutex lostMutex;
    std::vector<std::string> lost; ///< Requests whose kept connection was closed without an answer.
    std::vector<std::thread> callers;
    for (int i = 0; i < callerCount; ++i) {
        callers.emplace_back([&, i] {
            sleepMs(i * 10);
            const ConnectionPtr connection = connectTo(relay.frontPort);
            const Answer first =
                exchange(connection, requestText("first-" + std::to_string(i), ordinaryBody, i), Ms(12000));
            const bool isKept = first.status == 200 && first.isComplete;
            ++ready;
            while (!isGo)
                sleepMs(2);
            const std::string id = "large-" + std::to_string(i);
            const Answer answer =
                exchange(connection, requestText(id, hasTrouble() ? largeBody : ordinaryBody, i), Ms(12000));
            served += answer.status == 200 && answer.isComplete ? 1 : 0;
            refused += answer.status == 503 ? 1 : 0;
            const std::lock_guard lock(lostMutex);
            if (isKept && answer.status == 0)
                lost.push_back(id);
            record("caller: %s is answered %d%s", id.c_str(), answer.status, answer.isComplete ? "" : ", not complete");
        });
    }
    const auto end = Clock::now() + Ms(30000);
    while (ready < callerCount) {
        if (Clock::now() >= end)
            throw CannotRun("the first requests were not answered");
        sleepMs(10);
    }
    record("callers: %d kept connections; each sends a request now", callerCount);
    isGo = true;
    for (std::thread &caller : callers)
        caller.join();
    isWatching = false;
    platform.join();
    if (!isKilled) {
        record("memory of the process at its peak: %lld KB", static_cast<long long>(memoryKb(relay.pid, "VmHWM")));
        if (relay.hasEnded())
            throw CannotRun("the process has ended by itself");
    }
    relay.kill();
    record("answered 200 and complete: %d, 503: %d", served.load(), refused.load());
    int cut = 0;
    const std::lock_guard lock(eventsMutex);
    for (const std::string &id : lost) {
        if (!passedOn.contains(id))
            continue;
        ++cut;
        if (cut <= 20)
            record("LOST: %s was passed on to a sound worker, and its kept connection was closed without an answer",
                   id.c_str());
    }
    record("requests passed on whose kept connection was closed without an answer: %d", cut);
    return cut <= 3;
}

} // namespace

int main(int argc, char **argv)
{
    const int code = runCase(argc, argv, run);
    _exit(code);
}
