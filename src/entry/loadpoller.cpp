#include "loadpoller.h"

#include "loadreport.h"

#include <algorithm>

namespace hemlock {

namespace {

constexpr std::chrono::milliseconds pollInterval{250};
/// Polling 12,000 workers in each interval would be too much; the load of the others is estimated from this process's
/// own requests in flight.
constexpr std::size_t reportsPerInterval = 16;
/// A report that takes longer than an interval is superseded by the next one.
constexpr std::chrono::milliseconds reportTimeout{250};

} // namespace

LoadPoller::LoadPoller(EntryContext &context)
    : context(context)
    , timer(context.loop)
{
}

void LoadPoller::start()
{
    this->poll();
    this->timer.expires_after(pollInterval);
    this->timer.async_wait([this](const asio::error_code &error) {
        if (!error)
            this->start();
    });
}

void LoadPoller::poll()
{
    const Snapshot &snapshot = this->context.configuration.snapshot();
    const std::size_t count = std::min(snapshot.upstreams.size(), reportsPerInterval);
    for (std::size_t i = 0; i < count; ++i) {
        const Upstream &upstream = snapshot.upstreams[this->nextUpstream++ % snapshot.upstreams.size()];
        const Service *service = this->context.configuration.findService(upstream.service);
        if (service && service->kind == ServiceKind::Model && upstream.state == UpstreamState::Serving)
            this->read(upstream);
    }
}

void LoadPoller::read(const Upstream &upstream)
{
    const int ownInFlight = this->context.dispatcher.upstreams().inFlightAt(upstream.id);
    readLoadReport(this->context.http,
                   upstream.address,
                   reportTimeout,
                   [this, id = upstream.id, ownInFlight](std::optional<double> load) {
                       if (load)
                           this->context.dispatcher.upstreams().loadReported(
                               id, *load, ownInFlight, std::chrono::steady_clock::now());
                   });
}

} // namespace hemlock
