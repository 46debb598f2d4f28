#include "retrybudget.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

class RetryBudgetFixture
{
protected:
    int useAllRetries(const std::string &account, const std::string &upstream)
    {
        int retries = 0;
        while (retries < 1000 && this->budget.tryRetry(account, upstream, this->now))
            ++retries;
        return retries;
    }

    RetryBudget budget{{.earnedPerRequest = 0.5, .earnedPerSecond = 1.0, .maxRetries = 10.0}};
    RetryBudget::TimePoint now{std::chrono::hours(1)};
};

} // namespace

// Guards against retry amplification: an overload that grows by its own retries.
TEST_CASE_METHOD(RetryBudgetFixture, "RetryBudget: all attempts fail: retries end at a share of the requests")
{
    CHECK(this->useAllRetries("account", "upstream") == 10);
    for (int i = 0; i < 8; ++i)
        this->budget.recordRequest("account", "upstream", this->now);
    CHECK(this->useAllRetries("account", "upstream") == 4);
}

// Guards against an account whose failing requests take the retries of all others.
TEST_CASE_METHOD(RetryBudgetFixture, "RetryBudget: one account used up: other accounts retry elsewhere")
{
    this->useAllRetries("failing", "upstream 1");
    CHECK_FALSE(this->budget.tryRetry("failing", "upstream 2", this->now));
    CHECK_FALSE(this->budget.tryRetry("other", "upstream 1", this->now));
    CHECK(this->useAllRetries("other", "upstream 2") == 10);
}

// Guards against an account that can never retry again after one bad minute.
TEST_CASE_METHOD(RetryBudgetFixture, "RetryBudget: time passes: retries are earned up to the maximum")
{
    this->useAllRetries("account", "upstream");
    this->now += std::chrono::seconds(3);
    CHECK(this->useAllRetries("account", "upstream") == 3);
    this->now += std::chrono::hours(1);
    CHECK(this->useAllRetries("account", "upstream") == 10);
}

// Guards against a zone loss whose replays bar an account from retries for longer than a fresh budget takes to fill.
TEST_CASE_METHOD(RetryBudgetFixture, "RetryBudget: many replays: the debt is bounded")
{
    for (int i = 0; i < 1000; ++i)
        this->budget.chargeReplay("account", "upstream", this->now);
    CHECK(this->useAllRetries("account", "upstream") == 0);
    this->now += std::chrono::seconds(11);
    CHECK(this->useAllRetries("account", "upstream") == 1);
}

// Guards against memory that grows with each upstream of the day.
TEST_CASE_METHOD(RetryBudgetFixture, "RetryBudget: upstreams come and go: full budgets are forgotten")
{
    for (int i = 0; i < 20000; ++i)
        this->budget.recordRequest("account", "upstream " + std::to_string(i), this->now);
    CHECK(this->budget.size() < 5000);
}

TEST_CASE_METHOD(RetryBudgetFixture,
                 "RetryBudget: fewer retries may be kept, as the fleet grows: balances shrink to that")
{
    this->budget.recordRequest("account", "upstream", this->now);
    this->budget.setMaxRetries(3.0);
    CHECK(this->useAllRetries("account", "upstream") == 3);
}
