#pragma once

#include "kvaccess.h"
#include "relay/storepoll.h"
#include "relay/storepollserver.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace hemlock {

/// Entry VM that reads the store for others.
struct StoreReader
{
    std::string node;
    std::string address; ///< "IP:PORT" of its control address.
};

struct StorePollRouterSettings
{
    /// A peer that did not answer a poll is not asked again for this long.
    std::chrono::milliseconds failedPeerTime{5000};
};

struct StorePollRouterHooks
{
    std::function<std::chrono::steady_clock::time_point()> now; ///< Includes the time of a suspension.
    /// Returns the peer that reads the store for this VM, without those in @p excluded; unset if this VM reads itself.
    std::function<std::optional<StoreReader>(const std::set<std::string> &excluded)> reader;
    /// Sends a poll to a peer; the returned function cancels it. @p done is not called from within this function.
    std::function<std::function<void()>(
        const std::string &address, const StorePoll &poll, std::function<void(const PeerPollResult &)> done)>
        askPeer;
    /// Records the era of the store that a peer tells; as StoreEra::observe(). Unset for a store that tells no era.
    std::function<bool(std::int64_t era)> eraTold;
    /// Returns the era of the store that this VM knows; unset for a store that tells no era.
    std::function<std::int64_t()> era;
    /// Cancels the long polls in progress and starts them again.
    std::function<void()> restartPolls;
};

/// Sends the long polls of this VM to the store, or to the entry VM that reads the store for its neighbours.
///
/// One VM of each availability zone of a large fleet reads the store, so that the calls to the store grow with the
/// number of zones instead of VMs. A poll that the reader does not answer, or whose reader has lost the store, is sent
/// to the store at once, without a wait: a VM then learns of a change no later than if the store itself had not
/// answered, and of an outage only by its own calls. Full reads and writes always go to the store.
class StorePollRouter
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    StorePollRouter(KvAccess kv, StorePollRouterHooks hooks, StorePollRouterSettings settings = {});

    /// Access to the store whose long polls are routed and whose reads feed the server. The router must outlive it.
    KvAccess access();

    /// Answers polls of other VMs; the owner passes on what it reads.
    StorePollServer &server();

    /// The store does not answer other calls, so that the polls in progress do not count either.
    void storeLost();

    /// Handles a poll of another VM. Makes this VM read the store itself if it does not yet.
    void handlePoll(const StorePoll &poll, StorePollServer::Answer answer);

    /// Follows changes of the reader, and ends waits of other VMs.
    void tick();

    /// Whether this VM's long polls go to the store.
    bool readsStore() const;

    /// Long polls sent to the store and to peers since the start.
    std::uint64_t storePollCount() const;
    std::uint64_t peerPollCount() const;

private:
    class Poll;

    std::function<void()> start(const StorePoll &poll, std::function<void(const KvChanges &)> done);
    void askStore(const std::shared_ptr<Poll> &poll, std::chrono::milliseconds wait);
    void askReader(const std::shared_ptr<Poll> &poll, const StoreReader &reader);
    void peerAnswered(const std::shared_ptr<Poll> &poll, const std::string &node, const PeerPollResult &result);
    void storeAnswered(const std::string &prefix);
    std::optional<StoreReader> currentReader() const;
    bool needsConfirmation(const std::string &prefix) const;

    KvAccess kv;
    StorePollRouterHooks hooks;
    StorePollRouterSettings settings;
    StorePollServer pollServer;
    std::string readerNode; ///< Reader as of the last tick(); empty if this VM reads the store.
    std::map<std::string, TimePoint> failedUntil; ///< Peers that did not answer, by node.
    std::map<std::string, std::chrono::milliseconds> waits; ///< Latest wait of the polls, by prefix.
    std::uint64_t storePolls = 0;
    std::uint64_t peerPolls = 0;
    int fallbackPolls = 0; ///< Polls at the store in progress that a peer could not answer.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Lets pending callbacks detect the destruction.
};

} // namespace hemlock
