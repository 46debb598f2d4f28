#pragma once

#include "relay/changelog.h"
#include "relay/storepoll.h"

#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <string>

namespace hemlock {

/// Answers the store polls of other entry VMs from what this VM reads in the store.
///
/// An answer is given only while this VM's own reads of the store succeed, so that it is as current as an answer of the
/// store itself. A VM whose reads fail reports the store as lost instead; one that was paused, or that has not read the
/// store itself yet, has no answer.
class StorePollServer
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Answer = std::function<void(int status, std::string body)>;

    /// The store was restored: what was read before answers no polls any more.
    void storeRestored();

    /// Keys with @p prefix were read completely, at @p revision of an era of the store; 0 when the era is unknown.
    void keysLoaded(const std::string &prefix, std::int64_t revision, std::int64_t era);

    /// Keys with @p prefix changed; the changes are complete up to @p revision.
    void keysChanged(const std::string &prefix, const std::vector<KvEvent> &events, std::int64_t revision);

    /// The store answered a read of this VM. Polls are answered from it until @p validUntil.
    void storeAnswered(const std::string &prefix, TimePoint validUntil);

    /// A read of this VM failed; waiting polls are answered at once.
    void storeLost(const std::string &prefix);

    /// Answers a poll now, or later when keys change, the wait ends or the store is lost.
    void poll(const StorePoll &poll, Answer answer, TimePoint now);

    /// Ends the waits that are over.
    void tick(TimePoint now);

    /// Whether a peer has asked recently, so that this VM has to read the store itself.
    bool isAsked(TimePoint now) const;

    /// Whether the last read of the keys with a prefix is recent enough to answer polls.
    bool isCurrent(const std::string &prefix, TimePoint now) const;

    std::size_t waitingCount() const;

private:
    struct Waiting
    {
        StorePoll poll;
        Answer answer;
        TimePoint end;
    };

    struct Feed
    {
        ChangeLog log;
        std::int64_t era = 0; ///< That the revisions of the log belong to.
        TimePoint validUntil = TimePoint::min();
        bool isLost = false; ///< The last read failed.
        std::list<Waiting> waiting;
    };

    /// Answers with the changes after the poll's revision; returns false if there are none and @p mayWait.
    static bool tryAnswer(const Feed &feed, const Waiting &waiting, bool mayWait);
    /// Answers that this VM cannot tell whether there are changes.
    static void answerUnknown(const Feed &feed, const Waiting &waiting);

    std::map<std::string, Feed> feeds; ///< By prefix.
    TimePoint askedUntil = TimePoint::min();
};

} // namespace hemlock
