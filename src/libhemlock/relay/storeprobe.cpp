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
    this->timer.expires_after(this->settings.interval);
    this->timer.async_wait([this, alive = std::weak_ptr<bool>(this->alive)](const asio::error_code &error) {
        if (!error && !alive.expired())
            this->sendPing();
    });
}

void StoreProbe::sendPing()
{
    if (!this->isNeeded()) {
        this->lastPingFailed = false;
        return this->start();
    }
    this->kv.ping([this, alive = std::weak_ptr<bool>(this->alive)](KvStatus status, const std::string &error) {
        if (alive.expired())
            return;
        if (status != KvStatus::Ok) {
            this->lastPingFailed = true;
            this->onFailure(error);
        } else if (std::exchange(this->lastPingFailed, false)) {
            this->onRecovery();
        }
        this->start();
    });
}

} // namespace hemlock
