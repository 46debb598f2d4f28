#include "relay/storepollserver.h"

#include <algorithm>
#include <utility>

namespace hemlock {

namespace {

/// A VM goes on reading the store for this long after a peer asked, longer than the shorter polls of a peer last.
constexpr std::chrono::seconds askedTime{8};

/// Limits what a malformed poll may hold.
constexpr std::chrono::milliseconds maxWait{30000};

} // namespace

void StorePollServer::storeRestored()
{
    for (auto &[prefix, feed] : this->feeds) {
        feed.log = ChangeLog();
        feed.validUntil = TimePoint::min();
        for (const Waiting &waiting : std::exchange(feed.waiting, {}))
            answerUnknown(feed, waiting);
    }
}

void StorePollServer::keysLoaded(const std::string &prefix, std::int64_t revision, std::int64_t era)
{
    Feed &feed = this->feeds[prefix];
    feed.era = era;
    feed.log.reset(revision);
    feed.waiting.remove_if([&feed](const Waiting &waiting) { return tryAnswer(feed, waiting, true); });
}

void StorePollServer::keysChanged(const std::string &prefix, const std::vector<KvEvent> &events, std::int64_t revision)
{
    Feed &feed = this->feeds[prefix];
    feed.log.append(events, revision);
    feed.waiting.remove_if([&feed](const Waiting &waiting) { return tryAnswer(feed, waiting, true); });
}

void StorePollServer::storeAnswered(const std::string &prefix, TimePoint validUntil)
{
    Feed &feed = this->feeds[prefix];
    feed.validUntil = validUntil;
    feed.isLost = false;
}

void StorePollServer::storeLost(const std::string &prefix)
{
    Feed &feed = this->feeds[prefix];
    feed.validUntil = TimePoint::min();
    feed.isLost = true;
    for (const Waiting &waiting : std::exchange(feed.waiting, {}))
        answerUnknown(feed, waiting);
}

void StorePollServer::poll(const StorePoll &poll, Answer answer, TimePoint now)
{
    this->askedUntil = now + askedTime;
    Feed &feed = this->feeds[poll.prefix];
    Waiting waiting{poll, std::move(answer), now + std::clamp(poll.wait, std::chrono::milliseconds(0), maxWait)};
    if (feed.log.revision() == 0 || feed.isLost || poll.era > feed.era)
        return answerUnknown(feed, waiting);
    if (!tryAnswer(feed, waiting, true))
        feed.waiting.push_back(std::move(waiting));
}

void StorePollServer::tick(TimePoint now)
{
    for (auto &[prefix, feed] : this->feeds) {
        feed.waiting.remove_if([&feed = feed, now](const Waiting &waiting) {
            if (now < waiting.end)
                return false;
            if (now > feed.validUntil)
                answerUnknown(feed, waiting);
            else
                tryAnswer(feed, waiting, false);
            return true;
        });
    }
}

bool StorePollServer::isAsked(TimePoint now) const
{
    return now < this->askedUntil;
}

bool StorePollServer::isCurrent(const std::string &prefix, TimePoint now) const
{
    const auto feed = this->feeds.find(prefix);
    return feed != this->feeds.end() && now <= feed->second.validUntil;
}

std::size_t StorePollServer::waitingCount() const
{
    std::size_t count = 0;
    for (const auto &[prefix, feed] : this->feeds)
        count += feed.waiting.size();
    return count;
}

bool StorePollServer::tryAnswer(const Feed &feed, const Waiting &waiting, bool mayWait)
{
    KvChanges changes;
    const auto events = feed.log.eventsAfter(waiting.poll.revision);
    changes.isCompacted = !events || waiting.poll.era != feed.era;
    changes.era = feed.era;
    if (events)
        changes.events = *events;
    if (mayWait && !changes.isCompacted && changes.events.empty())
        return false;
    // A peer that read the store more recently keeps its own revision.
    changes.revision = changes.isCompacted ? feed.log.revision() : std::max(feed.log.revision(), waiting.poll.revision);
    waiting.answer(200, encodeStoreChanges(changes));
    return true;
}

void StorePollServer::answerUnknown(const Feed &feed, const Waiting &waiting)
{
    waiting.answer(feed.isLost ? storeLostStatus : notCurrentStatus, {});
}

} // namespace hemlock
