#include "session.h"

#include <asio/steady_timer.hpp>

#include <memory>

namespace hemlock {

namespace {

constexpr std::chrono::milliseconds storeTimeout{3000};

std::string endpointUrl(const std::string &endpoint)
{
    return endpoint.starts_with("http://") ? endpoint : "http://" + endpoint;
}

} // namespace

Session::Session(const std::string &store)
    : http(this->loop)
    , kv(this->http, endpointUrl(store), storeTimeout)
    , engine(std::random_device()())
    , config(kvAccess(this->kv), this->configHooks())
{
}

ConfigRead Session::readConfig()
{
    ConfigRead answer;
    bool isDone = false;
    this->config.read({}, [&](const ConfigRead &read) {
        answer = read;
        isDone = true;
    });
    this->runUntilDone(isDone);
    return answer;
}

CommitOutcome Session::commit(const SectionCommit &commit, const nlohmann::json &schema)
{
    CommitOutcome answer;
    bool isDone = false;
    this->config.commit(commit, schema, [&](const CommitOutcome &outcome) {
        answer = outcome;
        isDone = true;
    });
    this->runUntilDone(isDone);
    return answer;
}

void Session::runUntilDone(const bool &isDone)
{
    this->loop.restart();
    while (!isDone && this->loop.run_one() > 0)
        continue;
}

ConfigStore::Hooks Session::configHooks()
{
    ConfigStore::Hooks hooks;
    hooks.wait = [this](std::chrono::milliseconds delay, std::function<void()> next) {
        const auto timer = std::make_shared<asio::steady_timer>(this->loop, delay);
        timer->async_wait([timer, next = std::move(next)](const std::error_code &) { next(); });
    };
    hooks.random = [this] { return std::uniform_real_distribution<double>(0.0, 1.0)(this->engine); };
    return hooks;
}

} // namespace hemlock
