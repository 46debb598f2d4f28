#include "kvclient.h"

#include "encoding.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace hemlock {

using nlohmann::json;

namespace {

/// First key after all keys that begin with the prefix, for the field range_end of etcd.
std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty()) {
        if (static_cast<unsigned char>(prefix.back()) < 0xffU) {
            ++prefix.back();
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');
}

json rangeBody(const std::string &key, bool prefix)
{
    json body = {{"key", encodeBase64(key)}};
    if (prefix)
        body["range_end"] = encodeBase64(prefixEnd(key));
    return body;
}

/// The gateway encodes 64-bit integers as strings and omits zeros.
std::int64_t parseInteger(const json &object, const char *name)
{
    const auto field = object.find(name);
    if (field == object.end())
        return 0;
    if (field->is_string())
        return std::stoll(field->get<std::string>());
    return field->get<std::int64_t>();
}

std::string parseBytes(const json &object, const char *name)
{
    const auto field = object.find(name);
    if (field == object.end())
        return {};
    auto bytes = decodeBase64(field->get<std::string>());
    if (!bytes)
        throw std::invalid_argument(std::string("field ") + name + " is not base64");
    return *std::move(bytes);
}

KvEntry parseEntry(const json &object)
{
    KvEntry entry;
    entry.key = parseBytes(object, "key");
    entry.value = parseBytes(object, "value");
    entry.createRevision = parseInteger(object, "create_revision");
    entry.modRevision = parseInteger(object, "mod_revision");
    entry.version = parseInteger(object, "version");
    entry.lease = parseInteger(object, "lease");
    return entry;
}

std::vector<KvEntry> parseEntries(const json &object)
{
    std::vector<KvEntry> entries;
    const auto list = object.find("kvs");
    if (list == object.end())
        return entries;
    for (const json &entry : *list)
        entries.push_back(parseEntry(entry));
    return entries;
}

std::int64_t parseRevision(const json &object)
{
    const auto header = object.find("header");
    return header == object.end() ? 0 : parseInteger(*header, "revision");
}

json txnBody(const KvTxn &txn)
{
    json body = {{"compare", json::array()}, {"success", json::array()}, {"failure", json::array()}};
    for (const KvCompare &compare : txn.compares)
        body["compare"].push_back({{"key", encodeBase64(compare.key)},
                                   {"target", "MOD"},
                                   {"result", "EQUAL"},
                                   {"mod_revision", std::to_string(compare.modRevision)}});
    for (const KvPut &put : txn.puts) {
        json request = {{"key", encodeBase64(put.key)}, {"value", encodeBase64(put.value)}};
        if (put.lease != 0)
            request["lease"] = std::to_string(put.lease);
        body["success"].push_back({{"request_put", request}});
    }
    for (const std::string &key : txn.deletes)
        body["success"].push_back({{"request_delete_range", {{"key", encodeBase64(key)}}}});
    for (const std::string &key : txn.readsOnFailure)
        body["failure"].push_back({{"request_range", rangeBody(key, false)}});
    return body;
}

KvTxnResult parseTxn(const json &body)
{
    KvTxnResult result;
    result.status = KvStatus::Ok;
    result.succeeded = body.value("succeeded", false);
    result.revision = parseRevision(body);
    const auto operations = body.find("responses");
    if (result.succeeded || operations == body.end())
        return result;
    for (const json &operation : *operations) {
        const auto range = operation.find("response_range");
        if (range == operation.end())
            continue;
        for (KvEntry &entry : parseEntries(*range))
            result.entries.push_back(std::move(entry));
    }
    return result;
}

/// Parses the newline-delimited JSON objects of a watch and reports their events.
class WatchStreamParser
{
public:
    explicit WatchStreamParser(KvClient::WatchHooks hooks)
        : hooks(std::move(hooks))
    {
    }

    void consume(std::string_view bytes)
    {
        this->buffer.append(bytes);
        std::size_t end = 0;
        while ((end = this->buffer.find('\n')) != std::string::npos) {
            const std::string line = this->buffer.substr(0, end);
            this->buffer.erase(0, end + 1);
            if (!line.empty())
                this->report(line);
        }
    }

    void end(const std::string &error) const
    {
        if (this->hooks.ended)
            this->hooks.ended(error);
    }

private:
    void report(const std::string &line) const
    {
        try {
            const json message = json::parse(line);
            const json &result = message.at("result");
            std::vector<KvEvent> events;
            for (const json &event : result.value("events", json::array()))
                events.push_back({event.value("type", "PUT") == "DELETE", parseEntry(event.at("kv"))});
            if (!events.empty())
                this->hooks.changed(events, parseRevision(result));
        } catch (const std::exception &) {
            // A malformed line is skipped: users of a watch also poll, so no change is missed for good.
            return;
        }
    }

    KvClient::WatchHooks hooks;
    std::string buffer;
};

} // namespace

struct KvClient::Response
{
    KvStatus status = KvStatus::Unknown;
    json body;
    std::string error;
};

KvClient::KvClient(HttpClient &http, const std::string &endpoint, std::chrono::milliseconds timeout)
    : http(http)
    , endpoint(endpointUrl(endpoint))
    , timeout(timeout)
{
}

void KvClient::post(const std::string &path, const json &body, std::function<void(const Response &)> done)
{
    HttpCall call;
    call.method = "POST";
    call.url = this->endpoint + path;
    call.headers.add("Content-Type", "application/json");
    call.body = body.dump();
    call.timeout = this->timeout;
    HttpCallHooks hooks;
    hooks.done = [done = std::move(done)](const HttpOutcome &outcome) {
        Response response;
        if (!outcome.isComplete()) {
            response.status = outcome.verdict == Verdict::NotRun ? KvStatus::NotApplied : KvStatus::Unknown;
            response.error = outcome.error;
        } else if (outcome.status != 200) {
            // The gateway also reports timeouts within the store as 5xx, so only 4xx proves a rejection.
            response.status = outcome.status < 500 ? KvStatus::NotApplied : KvStatus::Unknown;
            response.error = "store answered " + std::to_string(outcome.status) + ": " + outcome.body.substr(0, 200);
        } else {
            response.body = json::parse(outcome.body, nullptr, false);
            response.status = response.body.is_object() ? KvStatus::Ok : KvStatus::Unknown;
            if (response.status != KvStatus::Ok)
                response.error = "store's answer is not a JSON object";
        }
        done(response);
    };
    this->http.start(std::move(call), std::move(hooks));
}

void KvClient::range(const std::string &key, bool prefix, std::function<void(const KvRangeResult &)> done)
{
    this->post("/v3/kv/range", rangeBody(key, prefix), [done = std::move(done)](const Response &response) {
        KvRangeResult result;
        result.status = response.status;
        result.error = response.error;
        try {
            if (result.status == KvStatus::Ok) {
                result.revision = parseRevision(response.body);
                result.entries = parseEntries(response.body);
            }
        } catch (const std::exception &error) {
            result.status = KvStatus::Unknown;
            result.error = error.what();
        }
        done(result);
    });
}

void KvClient::txn(const KvTxn &txn, std::function<void(const KvTxnResult &)> done)
{
    this->post("/v3/kv/txn", txnBody(txn), [done = std::move(done)](const Response &response) {
        KvTxnResult result;
        result.status = response.status;
        result.error = response.error;
        try {
            if (response.status == KvStatus::Ok)
                result = parseTxn(response.body);
        } catch (const std::exception &error) {
            result.status = KvStatus::Unknown;
            result.error = error.what();
        }
        done(result);
    });
}

void KvClient::postLease(const std::string &path, const json &body, std::function<void(const KvLeaseResult &)> done)
{
    this->post(path, body, [done = std::move(done)](const Response &response) {
        KvLeaseResult result;
        result.status = response.status;
        result.error = response.error;
        try {
            if (response.status == KvStatus::Ok) {
                // The response to a keep-alive is one message of a stream and wrapped in "result".
                const json &body = response.body.contains("result") ? response.body.at("result") : response.body;
                result.lease = parseInteger(body, "ID");
                result.ttl = std::chrono::seconds(parseInteger(body, "TTL"));
            }
        } catch (const std::exception &error) {
            result.status = KvStatus::Unknown;
            result.error = error.what();
        }
        done(result);
    });
}

void KvClient::grantLease(std::chrono::seconds ttl, std::function<void(const KvLeaseResult &)> done)
{
    this->postLease("/v3/lease/grant", {{"TTL", std::to_string(ttl.count())}, {"ID", "0"}}, std::move(done));
}

void KvClient::keepLeaseAlive(std::int64_t lease, std::function<void(const KvLeaseResult &)> done)
{
    this->postLease("/v3/lease/keepalive", {{"ID", std::to_string(lease)}}, std::move(done));
}

void KvClient::revokeLease(std::int64_t lease, std::function<void(const KvLeaseResult &)> done)
{
    this->postLease("/v3/lease/revoke", {{"ID", std::to_string(lease)}}, std::move(done));
}

KvClient::WatchId KvClient::watch(const std::string &key, bool prefix, std::int64_t startRevision, WatchHooks hooks)
{
    json request = rangeBody(key, prefix);
    request["start_revision"] = std::to_string(startRevision);
    HttpCall call;
    call.method = "POST";
    call.url = this->endpoint + "/v3/watch";
    call.body = json{{"create_request", request}}.dump();
    const auto parser = std::make_shared<WatchStreamParser>(std::move(hooks));
    HttpCallHooks callHooks;
    callHooks.data = [parser](std::string_view bytes) { parser->consume(bytes); };
    callHooks.done = [parser](const HttpOutcome &outcome) {
        parser->end(outcome.error.empty() ? "store closed the watch" : outcome.error);
    };
    return this->http.start(std::move(call), std::move(callHooks));
}

void KvClient::cancelWatch(WatchId id)
{
    this->http.cancel(id);
}

} // namespace hemlock
