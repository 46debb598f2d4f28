#include "retrybudget.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

class RetryBudgetFixture
{
protected:
    /// Retries until the budget is used up. Returns the number of retries.
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

// Guards against retry amplification: retries that add to the overload which causes them.
TEST_CASE_METHOD(RetryBudgetFixture,
                 "RetryBudget: all attempts fail: retries are limited to a fraction of the requests")
{
    CHECK(this->useAllRetries("account", "upstream") == 10);
    for (int i = 0; i < 8; ++i)
        this->budget.recordRequest("account", "upstream", this->now);
    CHECK(this->useAllRetries("account", "upstream") == 4);
}

// Guards against an account whose failing requests use up the retries of all others.
TEST_CASE_METHOD(RetryBudgetFixture,
                 "RetryBudget: budget of one account used up: other accounts retry on other upstreams")
{
    this->useAllRetries("failing", "upstream 1");
    CHECK_FALSE(this->budget.tryRetry("failing", "upstream 2", this->now));
    CHECK_FALSE(this->budget.tryRetry("other", "upstream 1", this->now));
    CHECK(this->useAllRetries("other", "upstream 2") == 10);
}

// Guards against an account that can never retry again once a short outage has used up its budget.
TEST_CASE_METHOD(RetryBudgetFixture, "RetryBudget: time passes: retries are earned up to the maximum")
{
    this->useAllRetries("account", "upstream");
    this->now += std::chrono::seconds(3);
    CHECK(this->useAllRetries("account", "upstream") == 3);
    this->now += std::chrono::hours(1);
    CHECK(this->useAllRetries("account", "upstream") == 10);
}

// Guards against replays after the loss of an availability zone that block the retries of an account for longer than
// an empty budget takes to fill.
TEST_CASE_METHOD(RetryBudgetFixture, "RetryBudget: many replays: the debt is bounded")
{
    for (int i = 0; i < 1000; ++i)
        this->budget.chargeReplay("account", "upstream", this->now);
    CHECK(this->useAllRetries("account", "upstream") == 0);
    this->now += std::chrono::seconds(11);
    CHECK(this->useAllRetries("account", "upstream") == 1);
}

// Guards against memory use that grows with every upstream that has ever existed.
TEST_CASE_METHOD(RetryBudgetFixture, "RetryBudget: upstreams come and go: full budgets are removed")
{
    for (int i = 0; i < 20000; ++i)
        this->budget.recordRequest("account", "upstream " + std::to_string(i), this->now);
    CHECK(this->budget.size() < 5000);
}

TEST_CASE_METHOD(RetryBudgetFixture, "RetryBudget: maximum is lowered, as when the fleet grows: balances are cut to it")
{
    this->budget.recordRequest("account", "upstream", this->now);
    this->budget.setMaxRetries(3.0);
    CHECK(this->useAllRetries("account", "upstream") == 3);
}

TEST_CASE_METHOD(RetryBudgetFixture, "RetryBudget: initial balance is deferred: only earned retries are allowed before")
{
    this->budget.deferInitialBalance(this->now + std::chrono::hours(1));
    CHECK(this->useAllRetries("account", "upstream") == 0);
    for (int i = 0; i < 8; ++i)
        this->budget.recordRequest("account", "upstream", this->now);
    CHECK(this->useAllRetries("account", "upstream") == 4);
    this->now += std::chrono::hours(1);
    CHECK(this->useAllRetries("account", "upstream") == 10);
}

// Guards against an initial balance that is granted on top of what was earned and spent just before.
TEST_CASE("RetryBudget: deferred initial balance is due: adds only what was never saved up")
{
    RetryBudget budget{{.earnedPerRequest = 1.0, .earnedPerSecond = 0.0, .maxRetries = 10.0}};
    RetryBudget::TimePoint now{std::chrono::hours(1)};
    budget.deferInitialBalance(now + std::chrono::seconds(10));
    for (int i = 0; i < 6; ++i)
        budget.recordRequest("account", "upstream", now);
    for (int i = 0; i < 6; ++i)
        CHECK(budget.tryRetry("account", "upstream", now));
    now += std::chrono::seconds(10);
    CHECK(budget.balance("account", "upstream", now) == Approx(4.0));
    CHECK(budget.balance("account", "other upstream", now) == Approx(4.0));
}

// Guards against retries that wait while as many are saved up again.
TEST_CASE("RetryBudget: retries are reserved: they count towards the maximum until they are sent")
{
    RetryBudget budget{{.earnedPerRequest = 1.0, .earnedPerSecond = 0.0, .maxRetries = 3.0}};
    const RetryBudget::TimePoint now{std::chrono::hours(1)};
    CHECK(budget.reserveRetry("account", "upstream", now));
    CHECK(budget.reserveRetry("account", "upstream", now));
    for (int i = 0; i < 5; ++i)
        budget.recordRequest("account", "upstream", now);
    CHECK(budget.balance("account", "upstream", now) == Approx(1.0));
    budget.commitRetry("account", "upstream", now);
    budget.recordRequest("account", "upstream", now);
    CHECK(budget.balance("account", "upstream", now) == Approx(2.0));
    budget.returnRetry("account", "upstream", now);
    CHECK(budget.balance("account", "upstream", now) == Approx(3.0));
}
