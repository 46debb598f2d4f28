#include "controlnode.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace hemlock {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds configPollInterval{500};
constexpr std::chrono::milliseconds vmPollInterval{500};
/// The entry process gets a snapshot at least this often, also when nothing has changed.
constexpr std::chrono::milliseconds pushInterval{800};

Upstream parseVm(const json &vm)
{
    Upstream upstream;
    vm.at("id").get_to(upstream.id);
    vm.at("service").get_to(upstream.service);
    vm.at("address").get_to(upstream.address);
    vm.at("zone").get_to(upstream.zone.name);
    upstream.state = vm.at("state") == "live" ? UpstreamState::Serving : UpstreamState::Leaving;
    return upstream;
}

} // namespace

ControlNode::ControlNode(ControlNodeSettings settings, ControlNodeIo io)
    : settings(std::move(settings))
    , io(std::move(io))
    , store(this->io.kv, {})
    , config(this->settings.documentSchema)
{
}

void ControlNode::tick(TimePoint now)
{
    if (!this->readsConfig && this->configPoll.isDue(now, configPollInterval, this->io.random()))
        this->readConfig();
    if (!this->readsVms && this->vmPoll.isDue(now, vmPollInterval, this->io.random()))
        this->readVms();
    if (!this->pushes && (this->changed || this->push.isDue(now, pushInterval, this->io.random())))
        this->pushSnapshot(now);
}

Snapshot ControlNode::snapshot() const
{
    Snapshot snapshot;
    snapshot.manifestVersion = this->config.version();
    snapshot.sequence = this->sequence;
    snapshot.services = this->config.document().services();
    snapshot.clientAccounts = this->config.document().clientAccounts();
    snapshot.rules = this->config.document().rules();
    for (const auto &[id, upstream] : this->upstreams)
        snapshot.upstreams.push_back(upstream);
    return snapshot;
}

void ControlNode::readConfig()
{
    this->readsConfig = true;
    this->store.read(this->config.records(), [this, alive = std::weak_ptr<bool>(this->alive)](const ConfigRead &read) {
        if (alive.expired())
            return;
        this->readsConfig = false;
        this->applyConfig(read);
    });
}

void ControlNode::applyConfig(const ConfigRead &read)
{
    if (read.status != KvStatus::Ok || !read.records) {
        if (!read.error.empty())
            this->io.log(LogLevel::Warning, "configuration-not-read", {{"reason", read.error}});
        return;
    }
    switch (this->config.offer(*read.records)) {
    case ConfigKeeper::Offer::Applied:
        this->changed = true;
        this->io.log(LogLevel::Info, "configuration-applied", {{"version", this->config.version()}});
        return;
    case ConfigKeeper::Offer::Refused:
        this->io.log(LogLevel::Error,
                     "configuration-refused",
                     {{"version", read.records->manifest.version},
                      {"inForce", this->config.version()},
                      {"reason", this->config.error()}});
        return;
    case ConfigKeeper::Offer::NotNewer:
        return;
    }
}

void ControlNode::readVms()
{
    this->readsVms = true;
    this->io.cloudGet("/cloud/v1/vms",
                      [this, alive = std::weak_ptr<bool>(this->alive)](const json &body, const std::string &error) {
                          if (alive.expired())
                              return;
                          this->readsVms = false;
                          if (!error.empty())
                              return this->io.log(LogLevel::Warning, "vm-list-not-read", {{"reason", error}});
                          this->applyVms(body);
                      });
}

void ControlNode::applyVms(const json &body)
{
    std::map<std::string, Upstream> listed;
    try {
        for (const json &vm : body.at("vms")) {
            if (!vm.value("service", "").empty()) {
                Upstream upstream = parseVm(vm);
                listed[upstream.id] = std::move(upstream);
            }
        }
    } catch (const json::exception &error) {
        return this->io.log(LogLevel::Warning, "vm-list-not-read", {{"reason", error.what()}});
    }
    if (json(listed) == json(this->upstreams))
        return;
    this->upstreams = std::move(listed);
    this->changed = true;
}

void ControlNode::pushSnapshot(TimePoint now)
{
    // Nothing is in force before the first configuration, so there is nothing to serve.
    if (this->config.version() == 0)
        return;
    this->pushes = true;
    this->changed = false;
    this->push.isDue(now, pushInterval, this->io.random());
    ++this->sequence;
    this->io.call(this->settings.self.entryControlAddress,
                  "applySnapshot",
                  this->snapshot(),
                  [this, alive = std::weak_ptr<bool>(this->alive)](const RpcOutcome &outcome) {
                      if (alive.expired())
                          return;
                      this->pushes = false;
                      if (!outcome.succeeded)
                          this->io.log(LogLevel::Warning, "snapshot-not-applied", {{"reason", outcome.error}});
                  });
}

} // namespace hemlock
