#include "relay/storeprobe.h"

#include <utility>

namespace hemlock {

StoreProbe::StoreProbe(asio::io_context &loop,
                       KvAccess kv,
                       std::function<void(const std::string &error)> onFailure,
                       std::function<void()> onRecovery,
                       std::function<bool()> isNeeded,
                       StoreProbeSettings settings)
    : kv(std::move(kv))
    , onFailure(std::move(onFailure))
    , onRecovery(std::move(onRecovery))
    , isNeeded(std::move(isNeeded))
    , settings(settings)
    , timer(loop)
{
}

void StoreProbe::start()
{
    this->scheduleNext();
}

void StoreProbe::scheduleNext()
{
    this->timer.expires_after(this->lastPingFailed ? this->settings.retryInterval : this->settings.interval);
    this->timer.async_wait([this, alive = std::weak_ptr<bool>(this->alive)](const asio::error_code &error) {
        if (!error && !alive.expired())
            this->sendPing();
    });
}

void StoreProbe::sendPing()
{
    if (!this->isNeeded()) {
        this->lastPingFailed = false;
        return this->scheduleNext();
    }
    // A ping that is lost in an outage would hide its end until the ping times out.
    const bool isOverlapping = this->lastPingFailed;
    if (isOverlapping)
        this->scheduleNext();
    const std::uint64_t ping = ++this->sentPings;
    this->kv.ping([this, ping, isOverlapping, alive = std::weak_ptr<bool>(this->alive)](KvStatus status,
                                                                                        const std::string &error) {
        if (alive.expired())
            return;
        this->pingDone(ping, status, error);
        if (!isOverlapping)
            this->scheduleNext();
    });
}

void StoreProbe::pingDone(std::uint64_t ping, KvStatus status, const std::string &error)
{
    if (ping < this->latestAnswered)
        return;
    if (status != KvStatus::Ok) {
        this->lastPingFailed = true;
        return this->onFailure(error);
    }
    this->latestAnswered = ping;
    if (std::exchange(this->lastPingFailed, false))
        this->onRecovery();
}

} // namespace hemlock
