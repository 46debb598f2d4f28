#include "relay/runningtotals.h"

#include <catch2/catch.hpp>

using namespace hemlock;

TEST_CASE("RunningTotals: two reporters count the same events: they count once")
{
    RunningTotals totals;
    totals.merge("a", {{"account", 0.0}});
    totals.merge("b", {{"account", 0.0}});
    totals.merge("a", {{"account", 10.0}});
    CHECK(totals.merge("b", {{"account", 10.0}}).at("account") == 10.0);
}

TEST_CASE("RunningTotals: first totals of a reporter: set the baseline and do not count")
{
    RunningTotals totals;
    CHECK(totals.merge("a", {{"account", 500.0}}).at("account") == 0.0);
    CHECK(totals.merge("a", {{"account", 510.0}}).at("account") == 10.0);
}

TEST_CASE("RunningTotals: a reporter fails: the other one continues without a gap")
{
    RunningTotals totals;
    totals.merge("a", {{"account", 0.0}});
    totals.merge("a", {{"account", 100.0}});
    totals.merge("b", {{"account", 40.0}});
    CHECK(totals.merge("b", {{"account", 70.0}}).at("account") == 130.0);
}

TEST_CASE("RunningTotals: reporter restarts and counts from zero: the totals do not fall")
{
    RunningTotals totals;
    totals.merge("a", {{"account", 0.0}});
    totals.merge("a", {{"account", 100.0}});
    CHECK(totals.merge("a-again", {{"account", 1.0}}).at("account") == 100.0);
    CHECK(totals.merge("a-again", {{"account", 6.0}}).at("account") == 105.0);
}

TEST_CASE("RunningTotals: name appears later: it is counted from zero")
{
    RunningTotals totals;
    totals.merge("a", {});
    CHECK(totals.merge("a", {{"new", 7.0}}).at("new") == 7.0);
}
