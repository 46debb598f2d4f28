#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace hemlock {

/// Rate limit of one client account.
struct QuotaLimit
{
    double rate = 0.0; ///< Units a second over all entry VMs; 0 for no limit.
    double burst = 0.0;
};

struct QuotaSettings
{
    std::chrono::milliseconds window{8000}; ///< In any span of this length the limit holds.
    std::chrono::milliseconds silence{1000}; ///< A peer that said nothing for so long may use its fair part.
    double headroom = 0.05; ///< Part of the limit that may be used beyond it, since peers' news are late.
};

/// Rate limits of client accounts over all entry VMs, as a sum over a sliding window.
///
/// Each entry VM counts what it admitted and tells the others its running totals. A request passes while the sum over
/// all of them stays below the limit. A peer that is not heard of is taken to use its fair part, so that VMs that
/// cannot reach each other share the limit evenly. Peers' counts lag by the exchange interval, which bounds the
/// overshoot to what is admitted meanwhile.
class AccountQuota
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit AccountQuota(QuotaSettings settings = {});

    /// Admits a request of this many units or refuses it. @p peers counts the other entry VMs.
    bool tryTake(const std::string &account, const QuotaLimit &limit, double units, std::size_t peers, TimePoint now);

    /// When a request of this many units is likely to pass.
    std::chrono::milliseconds
    waitTime(const std::string &account, const QuotaLimit &limit, double units, TimePoint now) const;

    /// Units that this process has admitted by account, since its start.
    const std::map<std::string, double> &totals() const;

    /// Running totals of a peer; @p epoch changes when the peer restarts.
    void peerTotals(const std::string &peer,
                    const std::string &epoch,
                    const std::map<std::string, double> &totals,
                    TimePoint now);

private:
    struct Use
    {
        TimePoint time;
        double units;
    };

    struct Window
    {
        std::deque<Use> uses;
        double sum = 0.0;
    };

    struct Peer
    {
        std::string epoch;
        std::map<std::string, double> totals;
        TimePoint heard;
    };

    void add(const std::string &account, double units, TimePoint now);
    void expire(Window &window, TimePoint now) const;
    double silentPart(const QuotaLimit &limit, std::size_t peers, TimePoint now) const;

    QuotaSettings settings;
    std::map<std::string, double> own;
    std::unordered_map<std::string, Window> windows;
    std::unordered_map<std::string, Peer> peersByName;
};

} // namespace hemlock
