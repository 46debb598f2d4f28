// The machine that performs the duties stands still while another one takes over, and the store comes back from a
// copy in which the first one still holds them.
#include "rig.h"

using namespace rig;

namespace {

struct Call
{
    double time = 0.0;
    std::string path;
    std::string holder;
    std::int64_t token = 0;
    json body;
};

std::mutex callsMutex;
std::vector<Call> calls;

bool handleCloud(Message &request, const ConnectionPtr &connection)
{
    Call call;
    call.time = seconds();
    const std::size_t space = request.startLine.find(' ');
    call.path = request.startLine.substr(space + 1, request.startLine.rfind(' ') - space - 1);
    call.holder = request.field("X-Hemlockflow-Lease-Holder");
    call.token = std::atoll(request.field("X-Hemlockflow-Fencing-Token").c_str());
    call.body = json::parse(request.body, nullptr, false);
    record("platform: %s from %s, fencing token %lld, %s, answered 200",
           call.path.c_str(),
           call.holder.c_str(),
           static_cast<long long>(call.token),
           request.body.c_str());
    {
        const std::lock_guard lock(callsMutex);
        calls.push_back(call);
    }
    return connection->send(response(200, {}, ""));
}

std::size_t callCount()
{
    const std::lock_guard lock(callsMutex);
    return calls.size();
}

bool handleWork(Message &request, const ConnectionPtr &connection)
{
    const std::string id = request.field("X-Hemlockflow-Attempt-Id");
    sleepMs(20);
    return connection->send(response(200,
                                     {{"X-Hemlockflow-Attempt-Id", id},
                                      {"X-Hemlockflow-Response-Signature", "signed." + id},
                                      {"Content-Type", "text/plain"}},
                                     "answer to " + id));
}

struct Round
{
    double away = 0.0;
    double back = 0.0;
    double thawed = 0.0;
};

/// Checks the rule ONE by the platform's calls. Excused are calls in thaw-ms after the thaw, and those from the drill
/// until contact-ms after it.
bool isKept(const std::vector<Round> &rounds)
{
    constexpr double thawTime = 0.3;
    constexpr double contactTime = 3.0;
    bool isKept = true;
    std::map<std::string, Call> highest; // By duty and subject.
    std::map<std::string, std::map<std::int64_t, std::string>> holders; // By subject and token.
    std::map<std::int64_t, json> reports;
    const std::lock_guard lock(callsMutex);
    for (const Call &call : calls) {
        std::string subject = call.path;
        if (call.path == "/scale")
            subject += " " + call.body.value("service", "") + " " + call.body.value("zone", "");
        const bool isExcused = std::any_of(rounds.begin(), rounds.end(), [&call](const Round &round) {
            return (call.time >= round.thawed && call.time < round.thawed + thawTime)
                || (call.time >= round.away && call.time < round.back + contactTime);
        });
        if (call.path == "/usage") {
            const std::int64_t window = call.body.at("window");
            const auto [first, isNew] = reports.try_emplace(window, call.body.at("counts"));
            if (!isNew && first->second != call.body.at("counts")) {
                record("ONE: window %lld was reported with %s and with %s",
                       static_cast<long long>(window),
                       first->second.dump().c_str(),
                       call.body.at("counts").dump().c_str());
                isKept = false;
            }
        }
        if (isExcused) {
            record("not counted: call at %.3f by %s", call.time, call.holder.c_str());
        } else {
            const auto known = highest.find(subject);
            if (known != highest.end() && call.token < known->second.token) {
                record("ONE: the call of %s at %.3f for %s has the fencing token %lld, lower than %lld of %s at %.3f",
                       call.holder.c_str(),
                       call.time,
                       subject.c_str(),
                       static_cast<long long>(call.token),
                       static_cast<long long>(known->second.token),
                       known->second.holder.c_str(),
                       known->second.time);
                isKept = false;
            }
            const auto [holder, isFirst] = holders[subject].try_emplace(call.token, call.holder);
            if (!isFirst && holder->second != call.holder) {
                record("ONE: %s and %s sent the fencing token %lld",
                       holder->second.c_str(),
                       call.holder.c_str(),
                       static_cast<long long>(call.token));
                isKept = false;
            }
        }
        Call &latest = highest[subject];
        if (call.token > latest.token)
            latest = call;
    }
    return isKept;
}

bool run(const std::string &folder)
{
    // Their threads go on until the program ends.
    Store &store = *new Store;
    store.observer = [](const std::string &key, const std::optional<std::string> &value) {
        if (key.ends_with("/holder"))
            record("store: %s = %s", key.c_str(), value ? value->c_str() : "(removed)");
    };
    Server &cloud = *new Server(handleCloud);
    cloud.open();
    Server &upstream = *new Server(handleWork);
    upstream.open();
    const json config = {{"version", 1},
                         {"routes",
                          {{{"name", "lookup"},
                            {"hostname", "desk.example"},
                            {"path-prefix", "/stock/"},
                            {"kind", "idempotent"},
                            {"timeout-ms", 3000},
                            {"target-latency-ms", 300},
                            {"priority", 0},
                            {"service", "desk"},
                            {"max-attempts", 2},
                            {"public", false}}}},
                         {"services", {{{"name", "desk"}, {"health-path", "/healthz"}, {"max-conns", 96}}}},
                         {"limits",
                          {{"max-header-bytes", 16384},
                           {"max-body-bytes", 4194304},
                           {"header-timeout-ms", 3000},
                           {"idle-timeout-ms", 15000}}},
                         {"tenants", {{{"name", "parish"}, {"api-keys", {"key-1"}}, {"rate-per-s", 0}}}}};
    store.put("op/config", config.dump());
    store.put("servers/worker-1",
              json{{"service", "desk"},
                   {"address", upstream.address()},
                   {"zone", "zone-a"},
                   {"version", "v1"},
                   {"slots", 6},
                   {"state", "ready"},
                   {"born", wallMs()},
                   {"sequence", 1}}
                  .dump());

    std::vector<std::unique_ptr<Relay>> relays;
    for (const char *name : {"machine-1", "machine-2", "machine-3"})
        relays.push_back(std::make_unique<Relay>(folder, name, "zone-a"));
    for (const auto &relay : relays)
        relay->start(store.server.address(), cloud.address(), true);
    for (const auto &relay : relays)
        relay->waitUntilReady();

    // Callers: some requests a second at each machine, on kept connections.
    std::atomic<bool> isSending = true;
    std::atomic<int> answered = 0;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < relays.size(); ++i) {
        callers.emplace_back([&, i] {
            ConnectionPtr connection;
            for (int number = 0; isSending; ++number) {
                if (!connection)
                    connection = connectTo(relays[i]->frontPort);
                const std::string id = relays[i]->name + "-" + std::to_string(number);
                const Answer answer = exchange(connection,
                                               "GET /stock/1 HTTP/1.1\r\nHost: desk.example\r\nApi-Key: key-1\r\n"
                                               "X-Hemlockflow-Deadline-Ms: 3000\r\nX-Hemlockflow-Attempt-Id: "
                                                   + id + "\r\n\r\n",
                                               Ms(3000));
                if (answer.status == 200 && answer.isComplete)
                    ++answered;
                else
                    connection = nullptr;
                sleepMs(100);
            }
        });
    }

    std::vector<Round> rounds;
    for (int number = 1; number <= 5; ++number) {
        // The duties are performed.
        const std::size_t before = callCount();
        const auto end = Clock::now() + Ms(15000);
        while (callCount() == before) {
            if (Clock::now() >= end)
                throw CannotRun("no machine performs the duties");
            sleepMs(20);
        }
        sleepMs(500);
        std::string holder;
        {
            const std::lock_guard lock(callsMutex);
            holder = calls.back().holder;
        }
        const auto found =
            std::find_if(relays.begin(), relays.end(), [&holder](const auto &relay) { return relay->name == holder; });
        if (found == relays.end())
            throw CannotRun("the holder is unknown");
        record("round %d, machine that acted last: %s", number, holder.c_str());
        if (hasTrouble()) {
            Round round;
            store.copyNow();
            sleepMs(100);
            record("%s stands still", holder.c_str());
            (*found)->signal(SIGSTOP);
            sleepMs(5200);
            round.away = seconds();
            store.goAway();
            sleepMs(500);
            store.restore();
            round.back = seconds();
            sleepMs(100);
            store.writeAgain();
            sleepMs(200);
            (*found)->signal(SIGCONT);
            round.thawed = seconds();
            record("%s goes on", holder.c_str());
            rounds.push_back(round);
        } else {
            sleepMs(6100);
        }
        sleepMs(8500);
    }
    isSending = false;
    for (std::thread &caller : callers)
        caller.join();
    for (const auto &relay : relays) {
        if (relay->hasEnded())
            throw CannotRun(relay->name + " has ended by itself");
        relay->kill();
    }
    record("answers with status 200: %d", answered.load());
    if (answered == 0)
        throw CannotRun("no request was answered");
    return isKept(rounds);
}

} // namespace

int main(int argc, char **argv)
{
    const int code = runCase(argc, argv, run);
    _exit(code);
}
