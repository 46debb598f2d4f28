#include "session.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <stdexcept>

namespace hemlock {

namespace {

constexpr std::chrono::milliseconds storeTimeout{3000};
constexpr std::chrono::milliseconds rpcTimeout{3000};

/// Runs the loop until @p result has a value.
template <class T>
T waitForResult(asio::io_context &loop, const std::optional<T> &result)
{
    loop.restart();
    while (!result && loop.run_one() > 0)
        continue;
    return result.value();
}

} // namespace

StoreSession::StoreSession(const std::string &storeAddress)
    : http(this->loop)
    , kv(this->http, endpointUrl(storeAddress), storeTimeout)
    , randomEngine(std::random_device()())
    , configStore(makeKvAccess(this->kv), this->configHooks())
{
    if (storeAddress.empty())
        throw std::runtime_error("no address of the key-value store given: use --store ADDRESS:PORT or HEMLOCK_STORE");
}

ConfigRecords StoreSession::readConfig()
{
    std::optional<ConfigRead> response;
    this->configStore.read({}, [&response](const ConfigRead &read) { response = read; });
    const ConfigRead read = waitForResult(this->loop, response);
    if (read.status != KvStatus::Ok)
        throw std::runtime_error("the key-value store did not respond: " + read.error);
    if (!read.records)
        throw std::runtime_error(read.error.empty() ? "the store contains no configuration; run init first"
                                                    : read.error);
    return *read.records;
}

CommitOutcome StoreSession::commit(const SectionCommit &commit, const nlohmann::json &schema)
{
    std::optional<CommitOutcome> response;
    this->configStore.commit(commit, schema, [&response](const CommitOutcome &outcome) { response = outcome; });
    return waitForResult(this->loop, response);
}

std::vector<SectionRevision> StoreSession::history(const std::string &section)
{
    std::optional<std::vector<SectionRevision>> response;
    std::string errorText;
    this->configStore.history(
        section, [&](KvStatus status, const std::vector<SectionRevision> &revisions, const std::string &error) {
            errorText = status == KvStatus::Ok ? "" : error;
            response = revisions;
        });
    std::vector<SectionRevision> revisions = waitForResult(this->loop, response);
    if (!errorText.empty())
        throw std::runtime_error("the key-value store did not respond: " + errorText);
    return revisions;
}

ConfigStore::Hooks StoreSession::configHooks()
{
    ConfigStore::Hooks hooks;
    hooks.wait = [this](std::chrono::milliseconds delay, std::function<void()> next) {
        const auto timer = std::make_shared<asio::steady_timer>(this->loop, delay);
        timer->async_wait([timer, next = std::move(next)](const std::error_code &) { next(); });
    };
    hooks.random = [this] { return std::uniform_real_distribution<double>(0.0, 1.0)(this->randomEngine); };
    return hooks;
}

nlohmann::json callProcess(const std::string &address,
                           const std::string &controlKey,
                           const std::string &method,
                           const nlohmann::json &params)
{
    if (address.empty())
        throw std::runtime_error("no process address given: use --control or --entry with ADDRESS:PORT");
    if (controlKey.empty())
        throw std::runtime_error("the control key is missing: use HEMLOCK_CONTROL_KEY or --control-key-file FILE");
    asio::io_context loop;
    HttpClient http(loop);
    RpcClient client(http, ControlAuth(controlKey));
    std::optional<RpcOutcome> response;
    client.call(address, method, params, rpcTimeout, [&response](const RpcOutcome &outcome) { response = outcome; });
    const RpcOutcome outcome = waitForResult(loop, response);
    if (!outcome.succeeded)
        throw std::runtime_error(address + " refused " + method + " or did not respond: " + outcome.error);
    return outcome.result;
}

} // namespace hemlock
