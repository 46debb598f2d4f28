#include "ratelimit.h"

#include <catch2/catch.hpp>

#include <random>

using namespace hemlock;
using namespace std::chrono_literals;

namespace {

constexpr double limit = 1000.0; ///< Tokens per second.

class LimitShareFixture
{
protected:
    LimitShareFixture()
    {
        for (int i = 0; i < 4; ++i) {
            this->shares.emplace_back("account", std::to_string(i), limit, ShareSettings{}, this->now);
            this->shares.back().setMembers(4, limit, this->now);
        }
    }

    /// Advances the time with a demand in tokens per second for each entry VM; those cut off exchange no messages.
    /// Returns the tokens that passed.
    double run(std::chrono::milliseconds time, std::vector<double> demand, const std::vector<bool> &cutOff)
    {
        constexpr auto step = 10ms;
        double passed = 0.0;
        std::vector<double> pendingDemand(demand.size());
        for (auto end = this->now + time; this->now < end; this->now += step) {
            for (std::size_t i = 0; i < this->shares.size(); ++i) {
                for (pendingDemand[i] += demand[i] * 0.01; pendingDemand[i] >= 10.0; pendingDemand[i] -= 10.0)
                    passed += this->shares[i].tryTake(10.0, this->now) ? 10.0 : 0.0;
            }
            if (this->now.time_since_epoch() % 500ms == 0ms)
                this->exchange(cutOff);
            double sum = 0.0;
            for (const LimitShare &share : this->shares)
                sum += share.rate(this->now);
            this->maxRateSum = std::max(this->maxRateSum, sum);
        }
        return passed;
    }

    /// Each entry VM sends its request to all others. If isLossy is set, grants are lost, repeated or delayed at
    /// random.
    void exchange(const std::vector<bool> &cutOff)
    {
        for (std::size_t i = 0; i < this->shares.size(); ++i) {
            const auto request = this->shares[i].createRequest(this->now);
            for (std::size_t j = 0; request && j < this->shares.size(); ++j) {
                if (i == j || cutOff[i] || cutOff[j])
                    continue;
                if (const auto grant = this->shares[j].grantLoan(*request, this->now))
                    this->inTransit.push_back({i, *grant});
            }
        }
        std::shuffle(this->inTransit.begin(), this->inTransit.end(), this->random);
        const std::size_t firstDelivered = this->isLossy ? this->inTransit.size() / 3 : 0;
        for (std::size_t k = firstDelivered; k < this->inTransit.size(); ++k)
            this->shares[this->inTransit[k].first].acceptLoan(this->inTransit[k].second, this->now);
        if (!this->isLossy || this->random() % 2 == 0)
            this->inTransit.clear();
    }

    TokenBucket::TimePoint now{1h};
    std::vector<LimitShare> shares;
    std::vector<std::pair<std::size_t, ShareGrant>> inTransit;
    std::mt19937_64 random{7};
    bool isLossy = false;
    double maxRateSum = 0.0;
};

} // namespace

TEST_CASE("TokenBucket: steady demand above the rate: tokens pass at the rate")
{
    TokenBucket::TimePoint now{1h};
    TokenBucket bucket(100.0, 200ms, now);
    double passed = 0.0;
    for (int i = 0; i < 1000; ++i, now += 10ms)
        passed += bucket.tryTake(5.0, now) ? 5.0 : 0.0;
    CHECK(passed == Approx(1020.0).margin(10.0));
    CHECK(bucket.waitTime(now) <= 60ms);
}

// Guards against shares that stay at entry VMs without demand: with four entry VMs, demand at one of them would get a
// quarter of the limit.
TEST_CASE_METHOD(LimitShareFixture, "LimitShare: all demand at one entry VM: it gets most of the limit")
{
    this->run(6s, {2000, 0, 0, 0}, {false, false, false, false});
    CHECK(this->run(4s, {2000, 0, 0, 0}, {false, false, false, false}) > 0.9 * limit * 4);
    CHECK(this->run(4s, {2000, 2000, 2000, 2000}, {false, false, false, false}) < 1.05 * limit * 4);
}

// Guards against exceeding the limit while an entry VM with loans is cut off from the others.
TEST_CASE_METHOD(LimitShareFixture, "LimitShare: borrower cut off: rates never sum to more than the limit")
{
    this->run(6s, {2000, 0, 0, 0}, {false, false, false, false});
    const double passed = this->run(20s, {2000, 2000, 2000, 2000}, {true, false, false, false});
    CHECK(this->maxRateSum <= limit * 1.0001);
    CHECK(passed <= 1.05 * limit * 20);
    CHECK(this->shares[0].rate(this->now) == Approx(limit / 4));
}

// Guards against loans that are counted twice when grants are lost, repeated or reordered.
TEST_CASE_METHOD(LimitShareFixture,
                 "LimitShare: grants lost, repeated and late: rates never sum to more than the limit")
{
    this->isLossy = true;
    for (int round = 0; round < 30; ++round) {
        std::vector<double> demand;
        for (int i = 0; i < 4; ++i)
            demand.push_back(static_cast<double>(this->random() % 2000));
        this->run(1500ms, demand, {this->random() % 4 == 0, false, false, false});
    }
    CHECK(this->maxRateSum <= limit * 1.0001);
}

// Guards against a new entry VM that uses its full share before the others have reduced theirs.
TEST_CASE_METHOD(LimitShareFixture, "LimitShare: entry VM joins: starts with a small share for one lease")
{
    LimitShare joining("account", "4", limit, {}, this->now);
    joining.setMembers(5, limit, this->now);
    CHECK(joining.rate(this->now) == Approx(0.04 * limit));
    CHECK(joining.rate(this->now + 2s) == Approx(0.2 * limit));
}

TEST_CASE("RateLimiter: account without a limit: always passes")
{
    TokenBucket::TimePoint now{1h};
    RateLimiter limiter("0");
    limiter.setMembers(1, now);
    limiter.setLimit("limited", 10, now);
    limiter.take("limited", 1000, now);
    CHECK(limiter.take("limited", 1, now) > 0ms);
    CHECK(limiter.take("other", 1e9, now) == 0ms);
    CHECK(limiter.take("other", 1e9, now) == 0ms);
}
