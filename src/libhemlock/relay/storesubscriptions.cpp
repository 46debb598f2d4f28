#include "relay/storesubscriptions.h"

#include "bootclock.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <utility>

namespace hemlock {

namespace {

/// Many upstreams start or stop together, and each change notifies every VM. Short compared to the seconds for which an
/// upstream keeps running after it announced its shutdown.
constexpr std::chrono::milliseconds upstreamBatchDelay{400};

/// Upstreams that left during an outage stay in use until a grace period after its end was noticed.
constexpr std::chrono::milliseconds upstreamMaxRetryDelay{400};

/// Long-poll timeout for the system's own keys. Shorter than the store keeps its change history, so that the next poll
/// can continue from the last revision.
constexpr std::chrono::milliseconds ownKeysPollTimeout{14000};

/// All VMs register at once when the system starts. The delay does no harm: peers are also known from their messages,
/// and the record of the duties' holder expires only seconds after the holder stopped.
constexpr std::chrono::milliseconds ownKeysBatchDelay{500};

/// Delay of the first polls after a start, by when this VM knows the peers of its zone and their reader. No longer than
/// a process that has just started may take to follow changes.
constexpr std::chrono::milliseconds firstPollDelay{900};

/// The same for the system's own keys, from which the peers are known.
constexpr std::chrono::milliseconds ownKeysFirstPollDelay{400};

/// A connection within an availability zone takes a millisecond.
constexpr std::chrono::milliseconds peerConnectTimeout{400};

/// Idle connections to peers are not reused for longer: they may be dead without having been closed.
constexpr std::chrono::seconds peerIdleLimit{4};

StoreWatcherSettings watcherSettings(const std::string &prefix,
                                     std::chrono::milliseconds pollTimeout,
                                     std::chrono::milliseconds batchDelay,
                                     std::chrono::milliseconds firstDelay)
{
    StoreWatcherSettings settings;
    settings.prefix = prefix;
    settings.pollTimeout = pollTimeout;
    settings.batchDelay = batchDelay;
    settings.firstPollDelay = firstDelay;
    return settings;
}

StoreWatcherSettings upstreamWatcherSettings(const StoreSubscriptionsSettings &subscriptions)
{
    StoreWatcherSettings settings =
        watcherSettings(subscriptions.upstreamPrefix,
                        longPollTimeout(subscriptions.upstreamUpdateDeadline, upstreamBatchDelay),
                        upstreamBatchDelay,
                        firstPollDelay);
    settings.maxRetryDelay = upstreamMaxRetryDelay;
    return settings;
}

} // namespace

StoreSubscriptions::StoreSubscriptions(asio::io_context &loop,
                                       HttpClient &http,
                                       KvAccess kv,
                                       StoreSubscriptionsSettings subscriptionSettings,
                                       StoreSubscriptionsHooks subscriptionHooks)
    : settings(std::move(subscriptionSettings))
    , hooks(std::move(subscriptionHooks))
    , pollRouter(kv, this->makeRouterHooks(http))
    , configWatcher(loop,
                    this->pollRouter.access(),
                    watcherSettings(this->settings.configKey,
                                    longPollTimeout(this->settings.configUpdateDeadline, std::chrono::milliseconds(0)),
                                    std::chrono::milliseconds(0),
                                    firstPollDelay),
                    this->watcherHooks(this->settings.configKey, this->hooks.configLoaded, this->configWatcher))
    , upstreamWatcher(loop,
                      this->pollRouter.access(),
                      upstreamWatcherSettings(this->settings),
                      [this] {
                          StoreWatcherHooks watcherHooks = this->watcherHooks(
                              this->settings.upstreamPrefix, this->hooks.upstreamsLoaded, this->upstreamWatcher);
                          watcherHooks.reachabilityChanged = this->hooks.reachabilityChanged;
                          return watcherHooks;
                      }())
    , ownKeysWatcher(
          loop,
          this->pollRouter.access(),
          watcherSettings(this->settings.ownKeyPrefix, ownKeysPollTimeout, ownKeysBatchDelay, ownKeysFirstPollDelay),
          this->watcherHooks(this->settings.ownKeyPrefix, this->hooks.ownKeysLoaded, this->ownKeysWatcher))
    , probe(
          loop,
          kv,
          [this](const std::string &error) { this->storeFailed(error); },
          [this] { this->restartPolls(); },
          [this] { return this->pollRouter.readsStore(); })
{
}

void StoreSubscriptions::start()
{
    this->configWatcher.start();
    this->upstreamWatcher.start();
    this->ownKeysWatcher.start();
    this->probe.start();
}

void StoreSubscriptions::tick()
{
    this->pollRouter.tick();
}

void StoreSubscriptions::reloadUpstreams()
{
    this->upstreamWatcher.reload();
}

void StoreSubscriptions::reload()
{
    this->pollRouter.server().storeRestored();
    this->configWatcher.reload();
    this->upstreamWatcher.reload();
    this->ownKeysWatcher.reload();
}

void StoreSubscriptions::handlePoll(const HttpRequest &request, const HttpResponderPtr &responder)
{
    try {
        this->pollRouter.handlePoll(decodeStorePoll(request.body), [responder](int status, std::string body) {
            responder->reply(status, {{"Content-Type", "application/cbor"}}, std::move(body));
        });
    } catch (const nlohmann::json::exception &error) {
        responder->reply(400, {}, std::string(error.what()) + "\n");
    }
}

const StoreWatcher &StoreSubscriptions::upstreams() const
{
    return this->upstreamWatcher;
}

const StoreWatcher &StoreSubscriptions::ownKeys() const
{
    return this->ownKeysWatcher;
}

const StorePollRouter &StoreSubscriptions::router() const
{
    return this->pollRouter;
}

StorePollRouterHooks StoreSubscriptions::makeRouterHooks(HttpClient &http)
{
    StorePollRouterHooks routerHooks;
    routerHooks.now = bootTimeNow;
    routerHooks.reader = this->hooks.reader;
    routerHooks.eraTold = this->hooks.eraTold;
    routerHooks.era = this->hooks.era;
    routerHooks.restartPolls = [this] { this->restartPolls(); };
    routerHooks.askPeer = [&http](const std::string &address,
                                  const StorePoll &poll,
                                  std::function<void(const PeerPollResult &)> done) -> std::function<void()> {
        HttpCall call;
        call.method = "POST";
        call.url = endpointUrl(address) + storePollPath;
        call.body = encodeStorePoll(poll);
        call.connectTimeout = peerConnectTimeout;
        call.timeout = poll.wait + KvAccess::responseGracePeriod;
        call.maxIdleTime = peerIdleLimit;
        HttpCallHooks callHooks;
        callHooks.done = [done = std::move(done)](const HttpOutcome &outcome) {
            if (outcome.isComplete())
                return done(decodePeerPollResult(outcome.status, outcome.body));
            PeerPollResult result;
            result.error = outcome.error;
            done(result);
        };
        const HttpClient::CallId id = http.start(std::move(call), std::move(callHooks));
        return [&http, id] { http.cancel(id); };
    };
    return routerHooks;
}

StoreWatcherHooks
StoreSubscriptions::watcherHooks(const std::string &prefix,
                                 const std::function<void(const StoreSubscriptionsHooks::Values &values)> &keysLoaded,
                                 StoreWatcher &watcher)
{
    StoreWatcherHooks watcherHooks;
    watcherHooks.snapshotLoaded = [this, prefix, keysLoaded, &watcher](const StoreSubscriptionsHooks::Values &values) {
        keysLoaded(values);
        this->pollRouter.server().keysLoaded(prefix, watcher.revision(), this->hooks.era());
    };
    watcherHooks.keysChanged = [this, prefix, &watcher](const std::vector<KvEvent> &events) {
        this->hooks.keysChanged(events);
        this->pollRouter.server().keysChanged(prefix, events, watcher.revision());
    };
    return watcherHooks;
}

void StoreSubscriptions::storeFailed(const std::string &error)
{
    this->pollRouter.storeLost();
    this->configWatcher.failPoll(error);
    this->upstreamWatcher.failPoll(error);
    this->ownKeysWatcher.failPoll(error);
}

void StoreSubscriptions::restartPolls()
{
    this->configWatcher.restartPoll();
    this->upstreamWatcher.restartPoll();
    this->ownKeysWatcher.restartPoll();
}

} // namespace hemlock
