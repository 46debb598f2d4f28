#include "entrycluster.h"

#include "encoding.h"

#include <stdexcept>

namespace hemlock {

using nlohmann::json;

namespace {

constexpr const char *controlKey = "control key of the test";
constexpr const char *apiKey = "api key of the test";

json listenOnFreePort()
{
    return {{"address", "127.0.0.1"}, {"port", 0}};
}

json merged(json base, const json &settings)
{
    base.update(settings);
    return base;
}

std::string errorField(const std::string &body, const char *name)
{
    const json parsed = json::parse(body, nullptr, false);
    return parsed.is_object() && parsed.contains("error") ? parsed["error"].value(name, std::string()) : std::string();
}

} // namespace

bool CallerStream::isDone() const
{
    return !this->events.empty() && this->events.back().data == "[DONE]";
}

std::string CallerStream::errorCode() const
{
    return !this->events.empty() && this->events.back().event == "error" ? errorField(this->events.back().data, "code")
                                                                         : std::string();
}

std::string CallerStream::text() const
{
    std::string text;
    for (const std::string &token : this->texts)
        text += token;
    return text;
}

EntryCluster::EntryCluster() = default;

EntryCluster::Node &EntryCluster::startEngine(const std::string &zone, const json &settings)
{
    auto node = std::make_unique<Node>();
    node->id = "engine-" + std::to_string(this->engines.size() + 1);
    node->process =
        &this->processes.start("engine-standin",
                               node->id,
                               merged({{"id", node->id}, {"listen", listenOnFreePort()}, {"stepMs", 10}}, settings));
    node->address = node->process->address();
    this->upstreams.push_back({node->id, this->modelService, node->address, {zone}, UpstreamState::Serving});
    this->engines.push_back(std::move(node));
    return *this->engines.back();
}

EntryCluster::Node &EntryCluster::startService()
{
    auto node = std::make_unique<Node>();
    node->id = "service-" + std::to_string(this->services.size() + 1);
    node->process = &this->processes.start("service-standin", node->id, {{"listen", listenOnFreePort()}});
    node->address = node->process->address();
    this->upstreams.push_back({node->id, "bookings", node->address, {"a"}, UpstreamState::Serving});
    this->services.push_back(std::move(node));
    return *this->services.back();
}

EntryCluster::Node &EntryCluster::startEntry(const json &settings)
{
    auto node = std::make_unique<Node>();
    node->id = "entry-" + std::to_string(this->entries.size() + 1);
    node->process = &this->processes.start("hemlock-entry",
                                           node->id,
                                           merged({{"id", node->id},
                                                   {"zone", "a"},
                                                   {"listen", listenOnFreePort()},
                                                   {"control", listenOnFreePort()},
                                                   {"controlKey", controlKey},
                                                   {"policy", "least-in-flight"},
                                                   {"unsafeIntents", true},
                                                   {"drainNoticeMs", 0}},
                                                  settings));
    node->address = node->process->address("listen");
    node->control = node->process->address("control");
    this->entries.push_back(std::move(node));
    return *this->entries.back();
}

void EntryCluster::applySnapshot()
{
    Snapshot snapshot;
    snapshot.manifestVersion = 1;
    snapshot.sequence = ++this->sequence;
    for (const char *id : {"fixed", "free"}) {
        Service service;
        service.id = id;
        service.deterministic = service.id == "fixed";
        snapshot.services.push_back(service);
    }
    Service bookings;
    bookings.id = "bookings";
    bookings.kind = ServiceKind::Transactional;
    bookings.calls = {{"POST", "/book", false}};
    snapshot.services.push_back(bookings);
    snapshot.clientAccounts = {{"account", sha256Hex(apiKey), 1.0, this->tokensPerSecond}};
    for (const Service &service : snapshot.services)
        snapshot.rules.push_back({"account", service.id});
    snapshot.upstreams = this->upstreams;
    for (const auto &entry : this->entries) {
        snapshot.peers.clear();
        for (const auto &peer : this->entries) {
            if (peer != entry)
                snapshot.peers.push_back({peer->id, {"a"}, peer->control, {}});
        }
        this->rpc(*entry, "applySnapshot", snapshot);
    }
}

void EntryCluster::setState(const Node &upstream, UpstreamState state)
{
    for (Upstream &known : this->upstreams) {
        if (known.id == upstream.id)
            known.state = state;
    }
}

HttpCall EntryCluster::completionCall(
    const Node &entry, const std::string &prompt, int tokens, bool isStream, const HttpHeaders &headers) const
{
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + entry.address + "/v1/completions";
    call.headers = headers;
    call.headers.add("Authorization", std::string("Bearer ") + apiKey);
    call.body =
        json{{"model", this->modelService}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", isStream}}.dump();
    return call;
}

EntryCluster::Stream
EntryCluster::openStream(const Node &entry, const std::string &prompt, int tokens, const HttpHeaders &headers)
{
    auto stream = std::make_shared<CallerStream>();
    auto parser = std::make_shared<EventStreamParser>([stream](const ServerSentEvent &event) {
        stream->events.push_back(event);
        if (event.id.empty())
            return;
        stream->lastEventId = event.id;
        stream->texts.push_back(json::parse(event.data).at("choices").at(0).at("text"));
    });
    HttpCallHooks hooks;
    hooks.data = [parser](std::string_view bytes) { parser->append(bytes); };
    hooks.done = [stream](const HttpOutcome &outcome) { stream->outcome = outcome; };
    stream->id =
        this->http.client().start(this->completionCall(entry, prompt, tokens, true, headers), std::move(hooks));
    return stream;
}

void EntryCluster::closeStream(const Stream &stream)
{
    this->http.client().cancel(stream->id);
}

void EntryCluster::waitForTokens(const Stream &stream, std::size_t count)
{
    this->http.waitFor([&] { return stream->texts.size() >= count || stream->outcome; });
    if (stream->texts.size() < count)
        throw std::runtime_error("the stream ended after " + std::to_string(stream->texts.size()) + " tokens");
}

void EntryCluster::waitForEnd(const Stream &stream)
{
    this->http.waitFor([&] { return stream->outcome.has_value(); });
}

HttpOutcome EntryCluster::complete(const Node &entry, const std::string &prompt, int tokens, const HttpHeaders &headers)
{
    return this->http.call(this->completionCall(entry, prompt, tokens, false, headers));
}

HttpOutcome EntryCluster::callService(const Node &entry, const std::string &key)
{
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + entry.address + "/services/bookings/book";
    call.headers = {{"Authorization", std::string("Bearer ") + apiKey}, {"Idempotency-Key", key}};
    call.body = "{}";
    return this->http.call(std::move(call));
}

json EntryCluster::rpc(const Node &node, const std::string &method, const json &params)
{
    RpcClient client(this->http.client(), ControlAuth(controlKey));
    std::optional<RpcOutcome> ended;
    client.call(node.control, method, params, eventTimeout, [&ended](const RpcOutcome &outcome) { ended = outcome; });
    this->http.waitFor([&ended] { return ended.has_value(); });
    if (!ended->succeeded)
        throw std::runtime_error(method + ": " + ended->error);
    return ended->result;
}

std::size_t EntryCluster::serviceRuns()
{
    std::size_t runs = 0;
    for (const auto &service : this->services)
        runs += this->http.fetch("http://" + service->address + "/ledger").at("entries").size();
    return runs;
}

std::string errorCodeOf(const HttpOutcome &outcome)
{
    return errorField(outcome.body, "code");
}

std::string errorVerdictOf(const HttpOutcome &outcome)
{
    return errorField(outcome.body, "verdict");
}

} // namespace hemlock
