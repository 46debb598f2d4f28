#include "soakstore.h"

#include "encoding.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace hemlock {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds tickInterval{20};

/// A write without an answer may be executed for up to six seconds.
constexpr std::chrono::milliseconds lateWriteDelay{5500};

constexpr std::chrono::milliseconds copyInterval{200};
constexpr std::chrono::seconds copyLifetime{15};

std::string percentDecoded(const std::string &text)
{
    constexpr int hexadecimal = 16;
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool isEncoded = text[i] == '%' && i + 2 < text.size();
        decoded += isEncoded ? static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, hexadecimal)) : text[i];
        i += isEncoded ? 2 : 0;
    }
    return decoded;
}

} // namespace

SoakStore::SoakStore(asio::io_context &loop)
    : timer(loop)
    , server(loop, {}, [this](const HttpRequest &request, const HttpResponderPtr &responder) {
        this->handle(request, responder);
    })
{
}

std::string SoakStore::start()
{
    this->tick();
    return this->server.start();
}

void SoakStore::put(const std::string &key, const std::string &value)
{
    ++this->revision;
    this->written[key] = value;
    this->write(key, value, 0);
}

void SoakStore::remove(const std::string &key)
{
    ++this->revision;
    this->written[key] = std::nullopt;
    this->erase(key);
}

void SoakStore::write(const std::string &key, const std::string &value, std::int64_t lease)
{
    Item &item = this->items[key];
    item.value = value;
    item.lease = lease;
    item.revision = this->revision;
    if (item.created == 0)
        item.created = item.revision;
    this->history.push_back(this->encode(key, item));
}

void SoakStore::erase(const std::string &key)
{
    if (this->items.erase(key) > 0)
        this->history.push_back({{"key", key}, {"revision", this->revision}, {"removed", true}});
}

void SoakStore::setFault(Fault changed)
{
    this->fault = changed;
    if (changed == Fault::None)
        return;
    // Polls that wait end with the store's other calls: a silent store never answers them.
    for (const Poll &poll : this->polls) {
        if (changed == Fault::Silent)
            this->unanswered.push_back(poll.responder);
        else
            poll.responder->abort();
    }
    this->polls.clear();
}

void SoakStore::compact()
{
    this->history.clear();
    this->compactedRevision = this->revision;
}

void SoakStore::restore(std::chrono::milliseconds age)
{
    const auto time = Clock::now() - age;
    while (this->copies.size() > 1 && this->copies.back().time > time)
        this->copies.pop_back();
    if (this->copies.empty())
        return;
    const Copy &copy = this->copies.back();
    this->items = copy.items;
    this->leases = copy.leases;
    this->revision = copy.revision;
    this->compact();
    this->lateWrites.clear();
    ++this->era;
    for (const Poll &poll : std::exchange(this->polls, {}))
        poll.responder->abort();
}

void SoakStore::writeAgain()
{
    for (const auto &[key, value] : std::map(this->written)) {
        const auto item = this->items.find(key);
        if (value && (item == this->items.end() || item->second.value != *value))
            this->put(key, *value);
        else if (!value && item != this->items.end())
            this->remove(key);
    }
}

void SoakStore::reply(const HttpResponderPtr &responder, int status, const json &body) const
{
    responder->reply(
        status, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(this->era)}}, body.dump());
}

void SoakStore::handle(const HttpRequest &request, const HttpResponderPtr &responder)
{
    switch (this->fault) {
    case Fault::None:
        return this->execute(request, responder);
    case Fault::Refuses:
        return responder->reply(503, {}, {});
    case Fault::Silent:
        this->unanswered.push_back(responder);
        return;
    case Fault::LosesAnswers:
        if (request.path == "/kv-txn" && ++this->lostWrites % 2 == 0)
            this->lateWrites.emplace(Clock::now() + lateWriteDelay, request);
        else if (request.path == "/kv-txn")
            this->runTransaction(request, nullptr);
        return responder->abort();
    }
}

void SoakStore::execute(const HttpRequest &request, const HttpResponderPtr &responder)
{
    if (request.path == "/kv-key")
        return this->readKey(request, responder);
    if (request.path == "/kv-range")
        return this->readRange(request, responder);
    if (request.path == "/kv-watch")
        return this->startPoll(request, responder);
    if (request.path == "/kv-txn")
        return this->runTransaction(request, responder);
    if (request.path == "/kv-lease") {
        const std::chrono::milliseconds ttl(json::parse(request.body).at("ttl-ms").get<std::int64_t>());
        this->leases[++this->lastLease] = {ttl, Clock::now() + ttl};
        return this->reply(responder, 200, {{"lease", this->lastLease}, {"ttl-ms", ttl.count()}});
    }
    const std::string keepPath = "/kv-keep/";
    if (request.path.starts_with(keepPath)) {
        const auto lease = this->leases.find(std::stoll(request.path.substr(keepPath.size())));
        if (lease == this->leases.end())
            return this->reply(responder, 404, {});
        lease->second.end = Clock::now() + lease->second.ttl;
        return this->reply(responder, 200, {{"ttl-ms", lease->second.ttl.count()}});
    }
    this->reply(responder, 404, {});
}

void SoakStore::readKey(const HttpRequest &request, const HttpResponderPtr &responder)
{
    const std::string key = percentDecoded(request.queryValue("key"));
    const auto item = this->items.find(key);
    json body = item == this->items.end() ? json::object() : this->encode(key, item->second);
    body["current-rev"] = this->revision;
    this->reply(responder, item == this->items.end() ? 404 : 200, body);
}

void SoakStore::readRange(const HttpRequest &request, const HttpResponderPtr &responder)
{
    const std::string prefix = percentDecoded(request.queryValue("path-prefix"));
    const std::string after = percentDecoded(request.queryValue("after"));
    json found = json::array();
    for (const auto &[key, item] : this->items) {
        if (key.starts_with(prefix) && key > after)
            found.push_back(this->encode(key, item));
    }
    this->reply(responder, 200, {{"items", found}, {"more-pages", false}, {"current-rev", this->revision}});
}

void SoakStore::startPoll(const HttpRequest &request, const HttpResponderPtr &responder)
{
    Poll poll;
    poll.prefix = percentDecoded(request.queryValue("path-prefix"));
    poll.after = std::stoll(request.queryValue("after"));
    poll.end = Clock::now() + std::chrono::milliseconds(std::stoll(request.queryValue("wait-ms")));
    poll.responder = responder;
    // A revision that the store has not reached is one that it lost.
    if (poll.after < this->compactedRevision || poll.after > this->revision)
        return this->reply(responder, 410, json::object());
    this->polls.push_back(std::move(poll));
}

void SoakStore::runTransaction(const HttpRequest &request, const HttpResponderPtr &responder)
{
    const json txn = json::parse(request.body);
    json current = json::array();
    bool isApplied = true;
    for (const json &expected : txn.at("expected-rev")) {
        const std::string key = expected.at("key");
        const auto item = this->items.find(key);
        isApplied = isApplied
            && expected.at("revision") == (item == this->items.end() ? std::int64_t{0} : item->second.revision);
        if (item != this->items.end())
            current.push_back(this->encode(key, item->second));
    }
    const json &puts = txn.at("puts");
    const bool hasLeases = std::all_of(puts.begin(), puts.end(), [this](const json &put) {
        const std::int64_t lease = put.value("lease", std::int64_t{0});
        return lease == 0 || this->leases.contains(lease);
    });
    if (isApplied && hasLeases) {
        // All changes of one transaction have the same revision.
        ++this->revision;
        for (const json &put : puts)
            this->write(put.at("key"), *decodeBase64(put.at("value").get<std::string>()), put.value("lease", 0));
        for (const json &key : txn.at("remove"))
            this->erase(key);
    }
    if (!responder)
        return;
    if (!hasLeases)
        return this->reply(responder, 404, json::object());
    this->reply(responder, isApplied ? 200 : 412, {{"revision", this->revision}, {"items", current}});
}

bool SoakStore::answerPoll(Poll &poll) const
{
    const auto first = std::partition_point(this->history.begin(), this->history.end(), [&poll](const json &event) {
        return event.at("revision") <= poll.after;
    });
    json events = json::array();
    std::copy_if(first, this->history.end(), std::back_inserter(events), [&poll](const json &event) {
        return event.at("key").get<std::string>().starts_with(poll.prefix);
    });
    poll.after = this->revision;
    if (events.empty() && Clock::now() < poll.end)
        return false;
    this->reply(poll.responder, 200, {{"events", events}, {"current-rev", this->revision}});
    return true;
}

void SoakStore::tick()
{
    const auto now = Clock::now();
    if (this->copies.empty() || now - this->copies.back().time >= copyInterval)
        this->copies.push_back({now, this->items, this->leases, this->revision});
    if (now - this->copies.front().time > copyLifetime)
        this->copies.pop_front();
    while (!this->lateWrites.empty() && this->lateWrites.begin()->first <= now) {
        const HttpRequest request = this->lateWrites.begin()->second;
        this->lateWrites.erase(this->lateWrites.begin());
        this->runTransaction(request, nullptr);
    }
    std::vector<std::string> lapsed;
    for (const auto &[key, item] : this->items) {
        const auto lease = this->leases.find(item.lease);
        if (lease != this->leases.end() && now >= lease->second.end)
            lapsed.push_back(key);
    }
    for (const std::string &key : lapsed) {
        ++this->revision;
        this->erase(key);
    }
    std::erase_if(this->leases, [now](const auto &lease) { return now >= lease.second.end; });
    std::erase_if(this->polls, [this](Poll &poll) { return !poll.responder->isConnected() || this->answerPoll(poll); });
    this->timer.expires_after(tickInterval);
    this->timer.async_wait([this](const asio::error_code &error) {
        if (!error)
            this->tick();
    });
}

json SoakStore::encode(const std::string &key, const Item &item) const
{
    return {{"key", key},
            {"value", encodeBase64(item.value)},
            {"revision", item.revision},
            {"created-rev", item.created},
            {"lease", item.lease}};
}

} // namespace hemlock
