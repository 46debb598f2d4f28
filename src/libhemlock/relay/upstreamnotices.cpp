#include "relay/upstreamnotices.h"

#include "logger.h"
#include "mixbits.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

namespace hemlock {

namespace {

/// Rank of an entry VM among those that may hold a share of an upstream's limit.
std::uint64_t holderRank(const std::string &upstream, const std::string &node)
{
    return mixBits(std::hash<std::string>()(upstream + "/" + node));
}

/// A notice to send.
struct DatedNotice
{
    UpstreamNotices::Time observed;
    std::string upstream;
    nlohmann::json value;
};

/// Encodes the latest notices as {"UPSTREAM": [value, age in ms], ...}.
nlohmann::json encodeLatest(std::vector<DatedNotice> notices, std::size_t maxEntries, UpstreamNotices::Time now)
{
    std::sort(notices.begin(), notices.end(), [](const DatedNotice &a, const DatedNotice &b) {
        return std::tie(a.observed, a.upstream) > std::tie(b.observed, b.upstream);
    });
    nlohmann::json message = nlohmann::json::object();
    for (const DatedNotice &notice : notices) {
        if (message.size() == maxEntries)
            break;
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - notice.observed);
        message.emplace(notice.upstream, nlohmann::json::array({notice.value, age.count()}));
    }
    return message;
}

/// When the notice of a message was observed, by its age.
UpstreamNotices::Time observationTime(const nlohmann::json &notice, UpstreamNotices::Time now)
{
    return now - std::chrono::milliseconds(std::max<std::int64_t>(0, notice.at(1).get<std::int64_t>()));
}

} // namespace

UpstreamNotices::UpstreamNotices(UpstreamNoticesSettings settings)
    : settings(settings)
{
}

void UpstreamNotices::setFleet(std::string name, std::function<std::set<std::string>()> others)
{
    this->node = std::move(name);
    this->otherNodes = std::move(others);
}

bool UpstreamNotices::record(const Upstream &upstream, const UpstreamNotice &notice, Time now)
{
    for (const std::string &field : notice.invalidFields)
        logEvent(LogLevel::Warning, "invalid-upstream-notice", {{"upstream", upstream.id}, {"notice", field}});
    this->totals.invalid += notice.invalidFields.size();
    const Origin origin{now, true, Source::Zone};
    if (notice.limit && (*notice.limit > 0.0 || this->limits.contains(upstream.id))) {
        Limit limit;
        limit.origin = origin;
        limit.perSecond = *notice.limit;
        limit.lastRefill = now;
        this->setLimit(upstream.id, limit);
    }
    if (notice.pause)
        this->setPause(upstream.id, *notice.pause, now);
    return notice.isLeaving && this->setLeaving({upstream.id, upstream.incarnation}, origin);
}

void UpstreamNotices::setPause(const std::string &upstream, std::chrono::milliseconds pause, Time now)
{
    if (pause.count() == 0)
        return;
    Pause &known = this->pauses[upstream];
    // Answers to requests that were sent before the pause began may name an earlier end.
    if (now + pause <= known.end)
        return;
    if (known.end <= now)
        ++this->totals.pauses;
    known = {now + pause, {}};
    logEvent(LogLevel::Info, "upstream-pause", {{"upstream", upstream}, {"ms", pause.count()}});
}

bool UpstreamNotices::setLeaving(const Incarnation &incarnation, const Origin &origin)
{
    const auto [entry, isNew] = this->departures.try_emplace(incarnation, origin);
    if (isNew) {
        ++this->totals.leaving;
        logEvent(LogLevel::Info,
                 "upstream-leaving",
                 {{"upstream", incarnation.first}, {"incarnation", incarnation.second}, {"ownAnswer", origin.isOwn}});
    } else if (origin.isOwn || (!entry->second.isOwn && origin.observed > entry->second.observed)) {
        entry->second = origin;
    }
    return isNew;
}

void UpstreamNotices::setLimit(const std::string &upstream, const Limit &changed)
{
    const auto [entry, isNew] = this->limits.try_emplace(upstream, changed);
    Limit &limit = entry->second;
    if (isNew || limit.perSecond != changed.perSecond)
        logEvent(LogLevel::Info,
                 "upstream-limit",
                 {{"upstream", upstream},
                  {"perSecond", changed.perSecond},
                  {"before", isNew ? 0.0 : limit.perSecond},
                  {"ownAnswer", changed.origin.isOwn}});
    if (isNew)
        return;
    // Tokens are kept: a new value must not let another burst pass.
    const bool wasUnlimited = limit.perSecond == 0.0;
    const bool isSameLimit = limit.perSecond == changed.perSecond;
    const Limit before = std::exchange(limit, changed);
    if (wasUnlimited)
        return;
    limit.tokens = before.tokens;
    limit.lastRefill = before.lastRefill;
    limit.ownRate = before.ownRate;
    if (isSameLimit)
        limit.rateUpdated = before.rateUpdated;
}

void UpstreamNotices::remove(const std::string &upstream)
{
    this->limits.erase(upstream);
    this->departures.erase({upstream, std::string()});
}

void UpstreamNotices::prune(const std::vector<Upstream> &listed, Time now)
{
    std::set<Incarnation> kept;
    for (const Upstream &upstream : listed)
        kept.emplace(upstream.id, upstream.incarnation);
    std::erase_if(this->departures, [this, now, &kept](const auto &departure) {
        return now - departure.second.observed > this->settings.leavingMemory && !kept.contains(departure.first);
    });
}

bool UpstreamNotices::isLeaving(const Upstream &upstream) const
{
    return this->departures.contains({upstream.id, upstream.incarnation});
}

std::optional<UpstreamNotices::Time> UpstreamNotices::pauseEnd(const std::string &upstream, Time now) const
{
    const auto pause = this->pauses.find(upstream);
    return pause == this->pauses.end() || now >= pause->second.end ? std::nullopt : std::optional(pause->second.end);
}

std::set<std::string> UpstreamNotices::unavailable(Time now)
{
    std::set<std::string> upstreams;
    std::erase_if(this->pauses,
                  [this, now](const auto &pause) { return now >= pause.second.end + this->settings.returnDuration; });
    for (const auto &[upstream, pause] : this->pauses) {
        if (now < pause.end || now < pause.lastSent + this->settings.returnInterval)
            upstreams.insert(upstream);
    }
    this->updateOwnRates(now);
    for (auto &[upstream, limit] : this->limits) {
        if (limit.perSecond == 0.0)
            continue;
        this->refill(limit, now);
        if (limit.tokens < 1.0)
            upstreams.insert(upstream);
    }
    return upstreams;
}

void UpstreamNotices::updateOwnRates(Time now)
{
    std::optional<std::set<std::string>> others;
    for (auto &[upstream, limit] : this->limits) {
        if (now - limit.rateUpdated < this->settings.holderInterval)
            continue;
        if (!others)
            others = this->otherNodes ? this->otherNodes() : std::set<std::string>();
        this->refill(limit, now);
        limit.ownRate = limit.perSecond == 0.0 ? 0.0 : this->ownShare(upstream, limit.perSecond, *others);
        limit.rateUpdated = now;
    }
}

void UpstreamNotices::requestStarted(const std::string &upstream, Time now)
{
    if (const auto pause = this->pauses.find(upstream); pause != this->pauses.end())
        pause->second.lastSent = now;
    const auto found = this->limits.find(upstream);
    if (found == this->limits.end() || found->second.perSecond == 0.0)
        return;
    this->refill(found->second, now);
    found->second.tokens -= 1.0;
}

double UpstreamNotices::limitOf(const std::string &upstream) const
{
    const auto found = this->limits.find(upstream);
    return found == this->limits.end() ? 0.0 : found->second.perSecond;
}

const UpstreamNotices::Counts &UpstreamNotices::counts() const
{
    return this->totals;
}

double UpstreamNotices::ownShare(const std::string &upstream, double limit, const std::set<std::string> &others) const
{
    const std::size_t fleet = others.size() + 1;
    const std::size_t holders = std::clamp<std::size_t>(static_cast<std::size_t>(std::min(limit, 1e6)), 1, fleet);
    const std::uint64_t rank = holderRank(upstream, this->node);
    const auto before = static_cast<std::size_t>(std::count_if(
        others.begin(), others.end(), [&](const std::string &other) { return holderRank(upstream, other) < rank; }));
    return before < holders ? limit / static_cast<double>(holders) : 0.0;
}

void UpstreamNotices::refill(Limit &limit, Time now) const
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - limit.lastRefill).count());
    limit.lastRefill = std::max(limit.lastRefill, now);
    // A VM that holds no share keeps no tokens for the moment at which it gets one: its predecessor may have sent just
    // before.
    if (limit.ownRate == 0.0)
        limit.tokens = std::min(limit.tokens, 0.0);
    const double burst = std::max(1.0, limit.ownRate * this->settings.burstFraction);
    limit.tokens = std::min(burst, limit.tokens + seconds * limit.ownRate);
}

bool UpstreamNotices::isSent(const Origin &origin, bool includesNeighbours, Time now) const
{
    const bool isTold = origin.isOwn || (includesNeighbours && origin.source == Source::Zone);
    return isTold && now - origin.observed <= this->settings.sentDuration;
}

nlohmann::json UpstreamNotices::encode(bool includesNeighbours, Time now) const
{
    std::vector<DatedNotice> recentLimits;
    for (const auto &[upstream, limit] : this->limits) {
        if (this->isSent(limit.origin, includesNeighbours, now))
            recentLimits.push_back({limit.origin.observed, upstream, limit.perSecond});
    }
    std::vector<DatedNotice> recentDepartures;
    for (const auto &[incarnation, origin] : this->departures) {
        if (this->isSent(origin, includesNeighbours, now))
            recentDepartures.push_back({origin.observed, incarnation.first, incarnation.second});
    }
    return {{"limits", encodeLatest(std::move(recentLimits), this->settings.entriesPerMessage, now)},
            {"leaving", encodeLatest(std::move(recentDepartures), this->settings.entriesPerMessage, now)}};
}

bool UpstreamNotices::apply(const nlohmann::json &message, Source source, Time now)
{
    for (const auto &[upstream, value] : message.at("limits").items()) {
        Limit reported;
        reported.origin = {observationTime(value, now), false, source};
        reported.perSecond = value.at(0).get<double>();
        reported.lastRefill = now;
        const auto known = this->limits.find(upstream);
        const bool isNews = known == this->limits.end() ? reported.perSecond > 0.0
                                                        : known->second.origin.observed < reported.origin.observed;
        if (isNews)
            this->setLimit(upstream, reported);
    }
    bool hasNewDeparture = false;
    for (const auto &[upstream, value] : message.at("leaving").items()) {
        const Origin origin{observationTime(value, now), false, source};
        hasNewDeparture = this->setLeaving({upstream, value.at(0).get<std::string>()}, origin) || hasNewDeparture;
    }
    return hasNewDeparture;
}

} // namespace hemlock
