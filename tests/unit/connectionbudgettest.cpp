#include "connectionbudget.h"

#include <catch2/catch.hpp>

using namespace hemlock;
using Stage = ConnectionProgress::Stage;

namespace {

const ConnectionProgress::TimePoint now{std::chrono::hours(1)};

ConnectionProgress reading(std::size_t bytes, std::chrono::milliseconds age)
{
    return {Stage::Reading, bytes > 0, bytes, now - age};
}

} // namespace

// Guards against callers without bounds that displace ordinary ones.
TEST_CASE("ConnectionBudget: limits are exceeded: the least advanced request is chosen, a complete one never")
{
    using std::chrono::milliseconds;
    const ConnectionProgress running{Stage::Running, false, 0, now - std::chrono::minutes(5)};
    const ConnectionProgress idle{Stage::Idle, false, 0, now - std::chrono::minutes(2)};
    const ConnectionProgress idleLonger{Stage::Idle, false, 0, now - std::chrono::minutes(3)};
    const ConnectionProgress writing{Stage::Writing, false, 0, now - std::chrono::minutes(4)};
    const ConnectionProgress justOpened = reading(0, milliseconds(5));

    CHECK(ConnectionBudget::choose({}, now) == 0);
    CHECK(ConnectionBudget::choose({running}, now) == 1);
    CHECK(ConnectionBudget::choose({running, idle, idleLonger}, now) == 2);
    CHECK(ConnectionBudget::choose({running, idle, justOpened}, now) == 2);
    CHECK(ConnectionBudget::choose({running, writing, idle}, now) == 2);
    CHECK(ConnectionBudget::choose({running, writing}, now) == 1);
    CHECK(ConnectionBudget::choose({justOpened, reading(900, milliseconds(10))}, now) == 1);
    CHECK(ConnectionBudget::choose({justOpened, reading(900, milliseconds(2000)), idle}, now) == 1);
    CHECK(ConnectionBudget::choose({reading(900, milliseconds(2000)), reading(10, milliseconds(2000))}, now) == 1);
    CHECK(ConnectionBudget::choose({reading(10, milliseconds(2000)), reading(10, milliseconds(3000))}, now) == 1);
}

// Guards against heads that arrive a byte at a time, and against idle connections that are taken for such.
TEST_CASE("ConnectionBudget: head takes too long: it is overdue, an idle connection is not")
{
    ConnectionBudget budget;
    CHECK_FALSE(budget.isHeadOverdue(reading(5, std::chrono::milliseconds(500000)), now));
    budget.headTimeout = std::chrono::milliseconds(5000);
    CHECK(budget.isHeadOverdue(reading(5, std::chrono::milliseconds(5001)), now));
    CHECK_FALSE(budget.isHeadOverdue(reading(5, std::chrono::milliseconds(4999)), now));
    CHECK_FALSE(budget.isHeadOverdue(reading(0, std::chrono::milliseconds(50000)), now));
}

// Guards against a body that stops and holds its memory for minutes, and against one that is slow but goes on.
TEST_CASE("ConnectionBudget: body has stopped: it is overdue, one that goes on is not")
{
    ConnectionBudget budget;
    ConnectionProgress body{Stage::Reading, false, 5, now - std::chrono::minutes(10)};
    body.received = now - std::chrono::milliseconds(5001);
    CHECK_FALSE(budget.isBodyOverdue(body, now));
    budget.bodyTimeout = std::chrono::milliseconds(5000);
    CHECK(budget.isBodyOverdue(body, now));
    body.received = now - std::chrono::milliseconds(4999);
    CHECK_FALSE(budget.isBodyOverdue(body, now));
    body.received = now - std::chrono::minutes(1);
    body.isInHead = true;
    CHECK_FALSE(budget.isBodyOverdue(body, now));
}
