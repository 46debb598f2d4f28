#include "quarantinerelay.h"

#include <algorithm>
#include <utility>

namespace hemlock {

using nlohmann::json;

namespace {

/// A caller that repeats a crashing request at once reaches at most one more upstream within this time.
constexpr std::chrono::milliseconds pollInterval{500};

} // namespace

QuarantineRelay::QuarantineRelay(const ControlIo &io,
                                 std::string entryAddress,
                                 std::function<std::vector<Peer>()> targets)
    : io(io)
    , entryAddress(std::move(entryAddress))
    , targets(std::move(targets))
{
}

void QuarantineRelay::tick(TimePoint now)
{
    if (this->isPollPending || !this->pollTask.isDue(now, pollInterval, this->io.random()))
        return;
    this->isPollPending = true;
    this->io.call(this->entryAddress,
                  "quarantineDelta",
                  {{"after", this->sentVersion}},
                  [this, alive = std::weak_ptr<bool>(this->alive)](const RpcOutcome &outcome) {
                      if (alive.expired())
                          return;
                      this->isPollPending = false;
                      if (outcome.succeeded && outcome.result.is_object())
                          this->send(outcome.result);
                  });
}

void QuarantineRelay::send(const json &delta)
{
    const std::uint64_t version = delta.value("version", std::uint64_t{0});
    // A restarted entry process counts its versions from zero again.
    if (version < this->sentVersion)
        this->sentVersion = 0;
    const json entries = delta.value("entries", json::array());
    const std::vector<Peer> peers = this->targets();
    if (entries.empty() || peers.empty())
        return;
    const std::uint64_t previous = std::exchange(this->sentVersion, version);
    for (const Peer &peer : peers) {
        this->io.call(peer.entryControlAddress,
                      "applyQuarantine",
                      {{"entries", entries}},
                      [this, previous, alive = std::weak_ptr<bool>(this->alive)](const RpcOutcome &outcome) {
                          // Resends to all peers; a peer that already has the changes ignores them.
                          if (!alive.expired() && !outcome.succeeded)
                              this->sentVersion = std::min(this->sentVersion, previous);
                      });
    }
}

} // namespace hemlock
