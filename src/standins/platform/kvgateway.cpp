#include "kvgateway.h"

#include "connectionabort.h"
#include "jsonreply.h"
#include "kvjson.h"
#include "refusal.h"

#include <stdexcept>

namespace hemlock {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds expiryInterval{100};

/// HTTP statuses and gRPC codes of error responses.
constexpr int invalidArgumentStatus = 400;
constexpr int invalidArgumentCode = 3;
constexpr int tooManyRequestsStatus = 429;
constexpr int resourceExhaustedCode = 8;

/// A call was rejected; nothing was applied.
class KvRequestError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

void replyGatewayError(HttpResponder &responder, int status, int code, const std::string &message)
{
    replyJson(responder, status, {{"error", message}, {"code", code}, {"message", message}});
}

bool hasWrite(const json &operations)
{
    for (const json &operation : operations) {
        if (!operation.contains("request_range"))
            return true;
    }
    return false;
}

/// Returns false for ranges, watches, lease renewals and transactions without put or delete.
bool isWrite(const std::string &path, const json &body)
{
    if (path == "/v3/kv/txn")
        return hasWrite(body.value("success", json::array())) || hasWrite(body.value("failure", json::array()));
    return path != "/v3/kv/range" && path != "/v3/watch" && path != "/v3/lease/keepalive";
}

std::vector<KvOperation> parseOperations(const json &operations)
{
    std::vector<KvOperation> parsed;
    for (const json &operation : operations)
        parsed.push_back(parseOperation(operation));
    return parsed;
}

} // namespace

KvGateway::KvGateway(asio::io_context &loop, const KvLimits &limits)
    : loop(loop)
    , expiryTimer(loop)
    , limits(limits)
    , writeLimit(limits.writesPerSecond)
    , readLimit(limits.readsPerSecond)
{
    this->scheduleExpiry();
}

bool KvGateway::serves(const std::string &path)
{
    return path.starts_with("/v3/");
}

void KvGateway::scheduleExpiry()
{
    this->expiryTimer.expires_after(expiryInterval);
    this->expiryTimer.async_wait([this](const asio::error_code &error) {
        if (error)
            return;
        this->store.expireLeases(std::chrono::steady_clock::now());
        this->scheduleExpiry();
    });
}

void KvGateway::handle(const HttpRequest &request, const HttpResponderPtr &responder)
{
    ++this->callsByPath[request.path];
    if (this->currentFaults.delay.count() == 0) {
        this->process(request, responder);
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(this->loop, this->currentFaults.delay);
    timer->async_wait([this, timer, request, responder](const asio::error_code &error) {
        if (!error)
            this->process(request, responder);
    });
}

void KvGateway::process(const HttpRequest &request, const HttpResponderPtr &responder)
{
    if (this->currentFaults.outage) {
        abortConnection(request.remoteAddress);
        return;
    }
    try {
        const json body = parseBody(request);
        const bool write = isWrite(request.path, body);
        const auto now = std::chrono::steady_clock::now();
        if (!(write ? this->writeLimit : this->readLimit).tryTake(now)) {
            ++this->refusedCount;
            replyGatewayError(*responder, tooManyRequestsStatus, resourceExhaustedCode, "too many requests");
            return;
        }
        ++(write ? this->writeCount : this->readCount);
        this->store.expireLeases(now);
        if (request.path == "/v3/watch") {
            this->openWatch(request, body, responder);
            return;
        }
        const json answer = this->dispatch(request.path, body);
        if (write && this->currentFaults.loseAnswers > 0) {
            --this->currentFaults.loseAnswers;
            abortConnection(request.remoteAddress);
            return;
        }
        replyJson(*responder, 200, answer);
    } catch (const std::exception &error) {
        ++this->refusedCount;
        replyGatewayError(*responder, invalidArgumentStatus, invalidArgumentCode, error.what());
    }
}

json KvGateway::header() const
{
    return {{"cluster_id", "1"},
            {"member_id", "1"},
            {"revision", std::to_string(this->store.revision())},
            {"raft_term", "1"}};
}

json KvGateway::dispatch(const std::string &path, const json &body)
{
    if (path == "/v3/kv/range") {
        json answer = rangeJson(this->store.range(parseInterval(body)));
        answer["header"] = this->header();
        return answer;
    }
    if (path == "/v3/kv/put") {
        const KvOperation put = parsePut(body);
        if (put.value.size() > this->limits.maxValueBytes)
            throw KvRequestError("etcdserver: request is too large");
        this->store.apply({put});
        return {{"header", this->header()}};
    }
    if (path == "/v3/kv/deleterange") {
        KvOperation operation;
        operation.kind = KvOperation::Kind::Delete;
        operation.interval = parseInterval(body);
        const std::size_t deleted = this->store.apply({operation}).front().deleted;
        return {{"header", this->header()}, {"deleted", std::to_string(deleted)}};
    }
    if (path == "/v3/kv/txn")
        return this->executeTransaction(body);
    return this->dispatchLeaseCall(path, body);
}

json KvGateway::executeTransaction(const json &body)
{
    bool succeeded = true;
    for (const json &compare : body.value("compare", json::array()))
        succeeded = succeeded && this->store.holds(parseCondition(compare));
    const auto operations = parseOperations(body.value(succeeded ? "success" : "failure", json::array()));
    for (const KvOperation &operation : operations) {
        if (operation.value.size() > this->limits.maxValueBytes)
            throw KvRequestError("etcdserver: request is too large");
    }
    const auto results = this->store.apply(operations);
    json answer = {{"header", this->header()}, {"responses", json::array()}};
    // The etcd gateway omits fields that are false.
    if (succeeded)
        answer["succeeded"] = true;
    for (const KvOperationResult &result : results)
        answer["responses"].push_back(operationResultJson(result, this->header()));
    return answer;
}

json KvGateway::dispatchLeaseCall(const std::string &path, const json &body)
{
    const auto now = std::chrono::steady_clock::now();
    const std::int64_t lease = parseInteger64(body, "ID");
    if (path == "/v3/lease/grant") {
        const std::chrono::seconds ttl(parseInteger64(body, "TTL"));
        if (ttl.count() <= 0)
            throw KvRequestError("etcdserver: invalid lease TTL");
        return {{"header", this->header()},
                {"ID", std::to_string(this->store.grantLease(ttl, now))},
                {"TTL", std::to_string(ttl.count())}};
    }
    if (path == "/v3/lease/keepalive") {
        json result = {{"header", this->header()}, {"ID", std::to_string(lease)}};
        const std::chrono::seconds ttl = this->store.keepLeaseAlive(lease, now);
        if (ttl.count() > 0)
            result["TTL"] = std::to_string(ttl.count());
        return {{"result", result}};
    }
    if (path == "/v3/lease/revoke") {
        if (!this->store.revokeLease(lease))
            throw KvRequestError("etcdserver: requested lease not found");
        return {{"header", this->header()}};
    }
    throw KvRequestError("unknown call " + path);
}

void KvGateway::openWatch(const HttpRequest &request, const json &body, const HttpResponderPtr &responder)
{
    const json create = body.value("create_request", json::object());
    const KvInterval interval = parseInterval(create);
    const std::uint64_t key = this->nextWatch++;
    responder->beginStream(200, {{"Content-Type", "application/json"}});
    responder->write(json{{"result", {{"header", this->header()}, {"watch_id", "0"}, {"created", true}}}}.dump()
                     + "\n");
    responder->setDisconnectHook([this, key] {
        const auto open = this->openWatches.find(key);
        if (open == this->openWatches.end())
            return;
        this->store.cancelWatch(open->second.id);
        this->openWatches.erase(open);
    });
    const auto sendEvents = [this, responder](const std::vector<KvEvent> &events, std::int64_t) {
        json result = {{"header", this->header()}, {"watch_id", "0"}, {"events", json::array()}};
        for (const KvEvent &event : events)
            result["events"].push_back(eventJson(event));
        responder->write(json{{"result", result}}.dump() + "\n");
    };
    const auto id = this->store.watch(interval, parseInteger64(create, "start_revision"), sendEvents);
    if (!id) {
        const std::string oldest = std::to_string(this->store.compactRevision());
        responder->write(
            dumpJson({{"result", {{"header", this->header()}, {"canceled", true}, {"compact_revision", oldest}}}})
            + "\n");
        responder->endStream();
        return;
    }
    this->openWatches[key] = {*id, responder, request.remoteAddress};
}

void KvGateway::endWatches()
{
    const auto open = std::exchange(this->openWatches, {});
    for (const auto &[key, watch] : open) {
        this->store.cancelWatch(watch.id);
        abortConnection(watch.remoteAddress);
    }
}

void KvGateway::setFaults(const KvFaults &faults)
{
    this->currentFaults = faults;
    if (faults.outage)
        this->endWatches();
}

const KvFaults &KvGateway::faults() const
{
    return this->currentFaults;
}

json KvGateway::stats() const
{
    return {{"calls", this->callsByPath},
            {"reads", this->readCount},
            {"writes", this->writeCount},
            {"refused", this->refusedCount},
            {"watches", this->openWatches.size()},
            {"revision", this->store.revision()}};
}

} // namespace hemlock
