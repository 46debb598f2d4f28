#include "servicestandin.h"

#include "connectionabort.h"
#include "encoding.h"
#include "jsonreply.h"
#include "refusal.h"
#include "standinprogram.h"

#include <cstdlib>

namespace hemlock {

using nlohmann::json;

namespace {

constexpr std::size_t referenceHexDigits = 8;

/// Returns whether a fault applies to the current call, and decrements its remaining count.
bool consumeFault(int &count)
{
    if (count <= 0)
        return false;
    --count;
    return true;
}

/// Returns the body as parsed JSON, or as a JSON string if it is not valid JSON.
json bodyJson(const std::string &body)
{
    json parsed = json::parse(body, nullptr, false);
    return parsed.is_discarded() ? json(body) : parsed;
}

} // namespace

ServiceStandin::ServiceStandin(asio::io_context &loop, const json &settings)
    : loop(loop)
    , http(loop)
    , database(settings.value("database", ""))
{
    this->updateFaults(settings.value("faults", json::object()));
    this->server = std::make_unique<HttpServer>(
        loop, listenSettings(settings), [this](const HttpRequest &request, const HttpResponderPtr &responder) {
            this->handle(request, responder);
        });
}

std::string ServiceStandin::start()
{
    return this->server->start();
}

void ServiceStandin::handle(const HttpRequest &request, const HttpResponderPtr &responder)
{
    try {
        this->route(request, responder);
    } catch (const std::exception &error) {
        replyError(*responder, 400, error.what());
    }
}

void ServiceStandin::route(const HttpRequest &request, const HttpResponderPtr &responder)
{
    if (request.path == "/ledger") {
        replyJson(*responder, 200, {{"entries", this->ledger.entries(request.queryValue("key"))}});
    } else if (request.path == "/ledger/entries") {
        replyJson(*responder, 200, this->execute(parseBody(request).get<LedgerEntry>()));
    } else if (request.path == "/ledger/state") {
        replyJson(*responder, 200, this->readState(request.queryValue("path")));
    } else if (request.path == "/load") {
        replyJson(*responder, 200, {{"inFlight", this->inFlight}});
    } else if (request.path == "/healthz") {
        replyJson(*responder, 200, json::object());
    } else if (request.path == "/faults") {
        if (request.method == "POST")
            this->updateFaults(parseBody(request));
        replyJson(*responder, 200, this->faultsJson());
    } else {
        ++this->inFlight;
        this->runDelayed(this->faults.delay, [this, request, responder] { this->handleCall(request, responder); });
    }
}

void ServiceStandin::handleCall(const HttpRequest &request, const HttpResponderPtr &responder)
{
    --this->inFlight;
    if (consumeFault(this->faults.refuse)) {
        replyJson(*responder, 503, {{"verdict", "not-run"}, {"error", "refused"}});
        return;
    }
    if (consumeFault(this->faults.closeBefore)) {
        abortConnection(request.remoteAddress);
        return;
    }
    const auto finish = [this, request, responder](const json &answer) {
        this->sendAnswer(request, responder, answer);
    };
    if (request.method == "GET") {
        HttpCall call;
        call.url = this->database + "/ledger/state?path=" + request.path;
        if (this->database.empty())
            finish(this->readState(request.path));
        else
            this->callDatabase(std::move(call), finish);
        return;
    }
    const LedgerEntry entry{
        0, request.path, request.headers.value("Idempotency-Key"), request.headers.value("X-Attempt-Id"), request.body};
    const json answer = this->execute(entry);
    if (this->database.empty()) {
        finish(answer);
        return;
    }
    HttpCall call;
    call.method = "POST";
    call.url = this->database + "/ledger/entries";
    call.body = dumpJson(entry);
    this->callDatabase(std::move(call), finish);
}

void ServiceStandin::sendAnswer(const HttpRequest &request, const HttpResponderPtr &responder, const json &answer)
{
    if (consumeFault(this->faults.closeAfter)) {
        abortConnection(request.remoteAddress);
        return;
    }
    HttpHeaders headers{{"Content-Type", "application/json"}};
    if (request.headers.has("X-Attempt-Id"))
        headers.add("X-Attempt-Id", request.headers.value("X-Attempt-Id"));
    this->runDelayed(this->faults.answerDelay,
                     [responder, headers, answer] { responder->reply(200, headers, dumpJson(answer)); });
}

void ServiceStandin::callDatabase(HttpCall call, std::function<void(const json &)> done)
{
    HttpCallHooks hooks;
    hooks.done = [done = std::move(done)](const HttpOutcome &outcome) {
        const json answer = json::parse(outcome.body, nullptr, false);
        done(answer.is_discarded() ? json{{"error", "the service's database does not answer"}} : answer);
    };
    this->http.start(std::move(call), std::move(hooks));
}

json ServiceStandin::execute(const LedgerEntry &call)
{
    this->ledger.append(call.path, call.key, call.attempt, call.body);
    // The reference depends only on the call, so that golden files match whichever worker executes it.
    const std::string reference = sha256Hex(call.path + "\n" + call.key + "\n" + call.body);
    return {
        {"path", call.path}, {"reference", reference.substr(0, referenceHexDigits)}, {"accepted", bodyJson(call.body)}};
}

json ServiceStandin::readState(const std::string &path) const
{
    const LedgerEntry *latest = this->ledger.latest(path);
    return {{"path", path},
            {"state", latest == nullptr ? json() : bodyJson(latest->body)},
            {"changes", this->ledger.count(path)}};
}

void ServiceStandin::updateFaults(const json &body)
{
    if (body.value("exit", false))
        std::_Exit(1);
    ServiceFaults &current = this->faults;
    current.delay = std::chrono::milliseconds(body.value("delayMs", current.delay.count()));
    current.answerDelay = std::chrono::milliseconds(body.value("answerDelayMs", current.answerDelay.count()));
    current.closeBefore = body.value("closeBefore", current.closeBefore);
    current.closeAfter = body.value("closeAfter", current.closeAfter);
    current.refuse = body.value("refuse", current.refuse);
}

json ServiceStandin::faultsJson() const
{
    return {{"delayMs", this->faults.delay.count()},
            {"answerDelayMs", this->faults.answerDelay.count()},
            {"closeBefore", this->faults.closeBefore},
            {"closeAfter", this->faults.closeAfter},
            {"refuse", this->faults.refuse}};
}

void ServiceStandin::runDelayed(std::chrono::milliseconds delay, std::function<void()> action)
{
    if (delay.count() == 0) {
        action();
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(this->loop, delay);
    timer->async_wait([timer, action = std::move(action)](const asio::error_code &error) {
        if (!error)
            action();
    });
}

} // namespace hemlock
