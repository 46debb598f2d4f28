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

// Guards against bodies that do not advance and shut out those that do.
TEST_CASE("ConnectionBudget: buffers are full: the largest request that does not advance is chosen")
{
    using std::chrono::milliseconds;
    const auto upload = [](std::size_t bytes, milliseconds sinceAdvance) {
        ConnectionProgress progress = reading(bytes, std::chrono::minutes(1));
        progress.advanced = now - sinceAdvance;
        return progress;
    };
    const auto unreadResponse = [](std::size_t bytes, milliseconds sinceWrite) {
        ConnectionProgress progress{Stage::Writing, false, 0, now - sinceWrite};
        progress.responseBytes = bytes;
        return progress;
    };
    const ConnectionProgress moving = upload(4000000, milliseconds(100));
    const ConnectionProgress running{Stage::Running, false, 0, now - std::chrono::minutes(5)};
    const ConnectionProgress idle{Stage::Idle, false, 0, now - std::chrono::minutes(2)};

    CHECK(ConnectionBudget::chooseStalled({}, now) == 0);
    CHECK(ConnectionBudget::chooseStalled({moving, running, idle, reading(0, milliseconds(5))}, now) == 4);
    CHECK(ConnectionBudget::chooseStalled({moving, upload(10, milliseconds(3000))}, now) == 1);
    CHECK(ConnectionBudget::chooseStalled({upload(10, milliseconds(9000)), upload(900, milliseconds(3000))}, now) == 1);
    CHECK(ConnectionBudget::chooseStalled({unreadResponse(900, milliseconds(100)), moving}, now) == 2);
    CHECK(ConnectionBudget::chooseStalled({unreadResponse(900, milliseconds(3000)), moving}, now) == 0);
    CHECK(ConnectionBudget::chooseStalled(
              {unreadResponse(900, milliseconds(3000)), upload(10, milliseconds(3000)), moving}, now)
          == 1);
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
