#include "intentcluster.h"

#include "encoding.h"
#include "rpc.h"

#include <stdexcept>

namespace hemlock {

using nlohmann::json;

namespace {

constexpr const char *controlKey = "control key of the test";

json listenOnFreePort()
{
    return {{"address", "127.0.0.1"}, {"port", 0}};
}

std::string apiKey(const std::string &account)
{
    return "key of " + account;
}

} // namespace

IntentCluster::IntentCluster(int slots, json intents)
    : intents(std::move(intents))
    , slots(slots)
{
    Process &platform = this->processes.start("platform-standin", "platform", {{"listen", listenOnFreePort()}});
    Process &worker = this->processes.start("service-standin", "service", {{"listen", listenOnFreePort()}});
    this->store = platform.address();
    this->service = worker.address();
}

Snapshot IntentCluster::makeSnapshot() const
{
    Snapshot snapshot;
    snapshot.manifestVersion = 1;
    snapshot.sequence = 1;
    Service reservations;
    reservations.id = "reservations";
    reservations.kind = ServiceKind::Transactional;
    reservations.calls = {{"POST", "/holds", false}};
    snapshot.services = {reservations};
    for (const std::string account : accounts) {
        snapshot.clientAccounts.push_back({account, sha256Hex(apiKey(account)), 1.0, 0.0});
        snapshot.rules.push_back({account, "reservations", 0});
    }
    Upstream upstream;
    upstream.id = "worker-1";
    upstream.service = "reservations";
    upstream.address = this->service;
    upstream.zone = {"a"};
    upstream.state = UpstreamState::Serving;
    snapshot.upstreams = {upstream};
    return snapshot;
}

EntryVm IntentCluster::startEntry()
{
    const std::string name = "entry-" + std::to_string(++this->entryCount);
    EntryVm entry;
    entry.process = &this->processes.start("hemlock-entry",
                                           name,
                                           {{"id", name},
                                            {"zone", "a"},
                                            {"listen", listenOnFreePort()},
                                            {"control", listenOnFreePort()},
                                            {"controlKey", controlKey},
                                            {"store", this->store},
                                            {"slots", this->slots},
                                            {"drainNoticeMs", 0},
                                            {"intents", this->intents}});
    entry.callerAddress = entry.process->address("listen");
    entry.controlAddress = entry.process->address("control");
    RpcClient rpc(this->testHttp.client(), ControlAuth(controlKey));
    std::optional<RpcOutcome> applied;
    rpc.call(entry.controlAddress,
             "applySnapshot",
             this->makeSnapshot(),
             eventTimeout,
             [&applied](const RpcOutcome &outcome) { applied = outcome; });
    this->testHttp.waitFor([&applied] { return applied.has_value(); });
    if (!applied->succeeded)
        throw std::runtime_error("applySnapshot: " + applied->error);
    return entry;
}

IntentCluster::Pending IntentCluster::start(const EntryVm &entry,
                                            const std::string &key,
                                            std::chrono::milliseconds timeLeft,
                                            const std::string &body,
                                            std::size_t account)
{
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + entry.callerAddress + "/services/reservations/holds";
    call.headers.add("Authorization", "Bearer " + apiKey(accounts[account]));
    call.headers.add("Idempotency-Key", key);
    call.headers.add("Content-Type", "application/json");
    call.headers.add("X-Deadline-Ms", std::to_string(timeLeft.count()));
    call.body = body;
    // A paused process keeps connections open; later calls must not share them.
    call.closesConnection = true;
    // A process that stays paused never answers; its caller gives up some time after the deadline.
    call.timeout = timeLeft + std::chrono::seconds(1);
    return this->testHttp.start(std::move(call));
}

HttpOutcome IntentCluster::wait(const Pending &pending)
{
    return this->testHttp.wait(pending);
}

HttpOutcome IntentCluster::call(const EntryVm &entry, const std::string &key)
{
    return this->wait(this->start(entry, key));
}

void IntentCluster::makeOwner(const EntryVm &entry, const std::string &key)
{
    const HttpOutcome outcome = this->call(entry, key);
    if (outcome.status != 200)
        throw std::runtime_error("the owner's first call was refused: " + outcome.body);
    entry.process->waitForEvent("slot-claimed");
}

json IntentCluster::ledger()
{
    return this->testHttp.fetch("http://" + this->service + "/ledger").at("entries");
}

std::size_t IntentCluster::runs(const std::string &key)
{
    std::size_t count = 0;
    for (const json &entry : this->ledger())
        count += entry.at("key") == key ? 1 : 0;
    return count;
}

void IntentCluster::waitForRun(const std::string &key)
{
    const auto limit = std::chrono::steady_clock::now() + eventTimeout;
    while (this->runs(key) == 0) {
        if (std::chrono::steady_clock::now() > limit)
            throw std::runtime_error("the service did not run " + key);
    }
}

void IntentCluster::setStoreFaults(const json &faults)
{
    this->testHttp.post("http://" + this->store + "/faults", faults);
}

void IntentCluster::setServiceFaults(const json &faults)
{
    this->testHttp.post("http://" + this->service + "/faults", faults);
}

json IntentCluster::storeStats()
{
    return this->testHttp.fetch("http://" + this->store + "/stats");
}

TestHttp &IntentCluster::http()
{
    return this->testHttp;
}

std::string verdictOf(const HttpOutcome &outcome)
{
    if (outcome.isComplete() && outcome.status < 300)
        return "answered";
    const json body = json::parse(outcome.body, nullptr, false);
    if (!body.is_object() || !body.contains("error"))
        return "no verdict";
    return body["error"].value("verdict", std::string("no verdict"));
}

std::string codeOf(const HttpOutcome &outcome)
{
    const json body = json::parse(outcome.body, nullptr, false);
    return body.is_object() && body.contains("error") ? body["error"].value("code", std::string()) : std::string();
}

} // namespace hemlock
