#include "relay/usageledger.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

class UsageLedgerFixture
{
protected:
    static UsageLedger::WallTime at(std::int64_t milliseconds)
    {
        return UsageLedger::WallTime(std::chrono::milliseconds(milliseconds));
    }

    UsageLedger ledger{std::chrono::milliseconds(5000)};
};

} // namespace

TEST_CASE_METHOD(UsageLedgerFixture, "UsageLedger: times around a window boundary: are assigned to the right windows")
{
    CHECK(this->ledger.windowAt(at(4999)) == 0);
    CHECK(this->ledger.windowAt(at(5000)) == 1);
    CHECK(this->ledger.windowEnd(1) == at(10000));
}

TEST_CASE_METHOD(UsageLedgerFixture, "UsageLedger: own counts and counts of peers: are summed by account")
{
    this->ledger.count("x", at(100));
    this->ledger.mergePeerCounts("run-1", {{0, {{"x", 2}, {"y", 1}}}});
    this->ledger.mergePeerCounts("run-2", {{0, {{"y", 4}}}});
    CHECK(this->ledger.totalCounts(0) == UsageCounts{{"x", 3}, {"y", 5}});
}

TEST_CASE_METHOD(UsageLedgerFixture, "UsageLedger: peer's message is repeated or arrives late: is counted once")
{
    this->ledger.mergePeerCounts("run-1", {{0, {{"x", 5}}}});
    this->ledger.mergePeerCounts("run-1", {{0, {{"x", 5}}}});
    this->ledger.mergePeerCounts("run-1", {{0, {{"x", 3}}}});
    CHECK(this->ledger.totalCounts(0) == UsageCounts{{"x", 5}});
}

TEST_CASE_METHOD(UsageLedgerFixture, "UsageLedger: peer restarts: both of its process runs are counted")
{
    this->ledger.mergePeerCounts("run-1", {{0, {{"x", 5}}}});
    this->ledger.mergePeerCounts("run-1b", {{0, {{"x", 2}}}});
    CHECK(this->ledger.totalCounts(0) == UsageCounts{{"x", 7}});
}

TEST_CASE_METHOD(UsageLedgerFixture, "UsageLedger: old windows: are removed")
{
    this->ledger.count("x", at(100));
    this->ledger.count("x", at(5100));
    this->ledger.removeBefore(1);
    CHECK(this->ledger.totalCounts(0).empty());
    CHECK(this->ledger.totalCounts(1) == UsageCounts{{"x", 1}});
}
