#include "relay/storeprobe.h"

#include <utility>

namespace hemlock {

StoreProbe::StoreProbe(asio::io_context &loop,
                       KvAccess kv,
                       std::function<void(const std::string &error)> failed,
                       std::function<void()> returned,
                       StoreProbeSettings settings)
    : kv(std::move(kv))
    , failed(std::move(failed))
    , returned(std::move(returned))
    , settings(settings)
    , timer(loop)
{
}

void StoreProbe::start()
{
    this->timer.expires_after(this->settings.interval);
    this->timer.async_wait([this](const asio::error_code &error) {
        if (!error)
            this->ask();
    });
}

void StoreProbe::ask()
{
    this->kv.ping([this, alive = std::weak_ptr<bool>(this->alive)](KvStatus status, const std::string &error) {
        if (alive.expired())
            return;
        if (status != KvStatus::Ok) {
            this->hasFailed = true;
            this->failed(error);
        } else if (std::exchange(this->hasFailed, false)) {
            this->returned();
        }
        this->start();
    });
}

} // namespace hemlock
