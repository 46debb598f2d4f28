#include "fleet.h"

#include "configstore.h"
#include "encoding.h"
#include "kvaccess.h"
#include "rpc.h"
#include "settings.h"

#include <asio.hpp>

#include <random>
#include <sstream>

namespace hemlock {

using nlohmann::json;

namespace {

constexpr const char *controlKey = "control key of the test";
constexpr const char *apiKey = "api key of the test";
constexpr const char *modelService = "assistant";
/// Delay of the platform's VM list. Longer than any test, so that the list never shows that a VM is leaving.
constexpr std::chrono::milliseconds vmListDelay{600'000};

json ephemeralEndpoint()
{
    return {{"address", "127.0.0.1"}, {"port", 0}};
}

json account(const std::string &id, double weight)
{
    return {{"id", id}, {"keySha256", sha256Hex(apiKey + id)}, {"weight", weight}, {"tokensPerSecond", 0}};
}

json initialSection()
{
    return {{"team", "platform"},
            {"services", {{{"id", modelService}, {"kind", "model"}, {"deterministic", true}}}},
            {"clientAccounts", {account("first", 1.0)}},
            {"rules", {{{"clientAccount", "first"}, {"service", modelService}, {"priority", 1}}}}};
}

} // namespace

/// Commits configuration sections in the same way as an administration tool.
class Fleet::ConfigCommitter
{
public:
    ConfigCommitter(TestHttp &http, const std::string &platformUrl)
        : http(http)
        , kv(http.client(), platformUrl, std::chrono::seconds(5))
        , store(makeKvAccess(this->kv), this->hooks())
    {
    }

    void start(const SectionEdit &edit, bool isInitial = false)
    {
        SectionCommit commit;
        commit.edits = {edit};
        commit.commitId = makeUniqueId();
        commit.author = "test";
        commit.createsConfiguration = isInitial;
        const json schema = readJsonFile(HEMLOCK_SOURCE_DIR "/schemas/document.json");
        this->store.commit(commit, schema, [this](const CommitOutcome &outcome) { this->outcome = outcome; });
    }

    std::int64_t finish()
    {
        this->http.waitFor([this] { return this->outcome.has_value(); });
        if (this->outcome->result != CommitResult::Committed)
            throw std::runtime_error("not committed: " + std::string(commitResultName(this->outcome->result)) + " "
                                     + this->outcome->error + formatProblems(this->outcome->problems));
        return this->outcome->version;
    }

private:
    ConfigStore::Hooks hooks()
    {
        ConfigStore::Hooks hooks;
        hooks.wait = [this](std::chrono::milliseconds delay, std::function<void()> next) {
            const auto timer = std::make_shared<asio::steady_timer>(this->http.loop(), delay);
            timer->async_wait([timer, next = std::move(next)](const asio::error_code &error) {
                if (!error)
                    next();
            });
        };
        hooks.random = [this] { return std::uniform_real_distribution<double>(0.0, 1.0)(this->random); };
        return hooks;
    }

    TestHttp &http;
    KvClient kv;
    std::mt19937_64 random{1};
    ConfigStore store;
    std::optional<CommitOutcome> outcome;
};

Fleet::Fleet(std::size_t nodeCount, std::size_t engineCount)
{
    json vms = json::array();
    for (std::size_t i = 1; i <= engineCount; ++i) {
        const std::string id = "engine-" + std::to_string(i);
        Process &process = this->processes.start(
            "engine-standin",
            id,
            {{"id", id}, {"listen", ephemeralEndpoint()}, {"stepMs", 5}, {"crashMarker", "CRASH"}});
        this->engines.push_back({id, &process});
        vms.push_back({{"id", id},
                       {"zone", i % 2 == 0 ? "b" : "a"},
                       {"class", "gpu"},
                       {"reclaimable", true},
                       {"service", modelService},
                       {"address", process.address()}});
    }
    for (std::size_t i = 1; i <= nodeCount; ++i) {
        const std::string id = "node-" + std::to_string(i);
        vms.push_back({{"id", id},
                       {"zone", i % 2 == 0 ? "b" : "a"},
                       {"class", "cpu"},
                       {"reclaimable", true},
                       {"service", "entry"},
                       {"address", "127.0.0.1:1"}});
    }
    Process &process = this->processes.start(
        "platform-standin",
        "platform",
        {{"id", "platform"}, {"listen", ephemeralEndpoint()}, {"listLagMs", vmListDelay.count()}, {"vms", vms}});
    this->platformUrl = "http://" + process.address();
    this->commitInitialConfiguration();
    for (std::size_t i = 1; i <= nodeCount; ++i) {
        Node node;
        node.id = "node-" + std::to_string(i);
        node.zone = i % 2 == 0 ? "b" : "a";
        node.entry = &this->processes.start("hemlock-entry",
                                            "entry-" + std::to_string(i),
                                            {{"id", "entry-" + std::to_string(i)},
                                             {"zone", node.zone},
                                             {"listen", ephemeralEndpoint()},
                                             {"control", ephemeralEndpoint()},
                                             {"controlKey", controlKey},
                                             {"store", this->platformUrl},
                                             {"policy", "least-in-flight"},
                                             {"drainNoticeMs", 100}});
        node.callerAddress = node.entry->address("listen");
        node.entryControlAddress = node.entry->address("control");
        this->nodes.push_back(node);
        this->startControlProcess(this->nodes.back());
    }
    for (const Node &node : this->nodes) {
        node.entry->waitForEvent("snapshot-applied", [&](const json &line) {
            return line.at("serving") == engineCount && line.at("peers") == nodeCount - 1;
        });
    }
}

void Fleet::startControlProcess(Node &node, const std::vector<std::string> &seeds)
{
    node.control = &this->processes.start("hemlock-control",
                                          "control-" + std::to_string(++this->controlStarts),
                                          {{"id", node.id},
                                           {"zone", node.zone},
                                           {"listen", ephemeralEndpoint()},
                                           {"controlKey", controlKey},
                                           {"store", this->platformUrl},
                                           {"cloud", this->platformUrl},
                                           {"entryControlAddress", node.entryControlAddress},
                                           {"entryAddress", node.callerAddress},
                                           {"seeds", seeds}});
    node.controlAddress = node.control->address("control");
}

void Fleet::setPlatformFaults(const json &faults)
{
    this->http.post(this->platformUrl + "/faults", faults);
}

void Fleet::reclaim(const std::string &vmId, std::chrono::milliseconds notice)
{
    this->http.post(this->platformUrl + "/cloud/v1/reclaims", {{"vm", vmId}, {"noticeMs", notice.count()}});
}

json Fleet::section(const std::string &id, double weight) const
{
    return {{"team", "sales"}, {"clientAccounts", {account(id, weight)}}};
}

void Fleet::commitInitialConfiguration()
{
    ConfigCommitter committer(this->http, this->platformUrl);
    committer.start({"platform", initialSection(), 0}, true);
    committer.finish();
}

std::int64_t Fleet::commitAccount(const std::string &name, const std::string &id, double weight)
{
    ConfigCommitter committer(this->http, this->platformUrl);
    committer.start({name, this->section(id, weight), 0});
    return committer.finish();
}

std::int64_t Fleet::commitConcurrently(const std::string &first, const std::string &second)
{
    ConfigCommitter firstCommitter(this->http, this->platformUrl);
    ConfigCommitter secondCommitter(this->http, this->platformUrl);
    firstCommitter.start({first, this->section(first, 1.0), 0});
    secondCommitter.start({second, this->section(second, 1.0), 0});
    const std::int64_t version = firstCommitter.finish();
    return std::max(version, secondCommitter.finish());
}

void Fleet::waitForVersion(const Node &node, std::int64_t version)
{
    node.entry->waitForEvent("snapshot-applied",
                             [version](const json &line) { return line.at("manifestVersion") >= version; });
}

std::vector<std::int64_t> Fleet::appliedVersions(const Node &node)
{
    std::vector<std::int64_t> versions;
    std::istringstream lines(node.entry->output());
    std::string text;
    while (std::getline(lines, text)) {
        const json line = json::parse(text, nullptr, false);
        if (line.is_object() && line.value("event", "") == "snapshot-applied")
            versions.push_back(line.at("manifestVersion"));
    }
    return versions;
}

TestHttp::Pending Fleet::startCompletion(const Node &node, const std::string &prompt, int tokens)
{
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + node.callerAddress + "/v1/completions";
    call.headers = {{"Authorization", std::string("Bearer ") + apiKey + "first"}};
    call.body = json{{"model", modelService}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", true}}.dump();
    return this->http.start(std::move(call));
}

HttpOutcome Fleet::complete(const Node &node, const std::string &prompt, int tokens)
{
    return this->http.wait(this->startCompletion(node, prompt, tokens));
}

std::string Fleet::upstreamOf(const HttpOutcome &outcome)
{
    const std::size_t start = outcome.body.find("id: 1.");
    if (start == std::string::npos)
        return {};
    const std::size_t name = start + std::string("id: 1.").size();
    return outcome.body.substr(name, outcome.body.find('\n', name) - name);
}

json Fleet::rpc(const std::string &address, const std::string &method, const json &params)
{
    RpcClient client(this->http.client(), ControlAuth(controlKey));
    std::optional<RpcOutcome> result;
    client.call(
        address, method, params, std::chrono::seconds(5), [&result](const RpcOutcome &outcome) { result = outcome; });
    this->http.waitFor([&result] { return result.has_value(); });
    if (!result->succeeded)
        throw std::runtime_error(method + ": " + result->error);
    return result->result;
}

} // namespace hemlock
