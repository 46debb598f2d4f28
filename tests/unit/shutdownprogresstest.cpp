#include "relay/shutdownprogress.h"

#include <catch2/catch.hpp>

using namespace hemlock;
using namespace std::chrono_literals;

namespace {

class ShutdownProgressFixture
{
protected:
    ShutdownProgressFixture()
    {
        this->progress.begin(this->start, std::chrono::milliseconds(8000));
    }

    bool mayExitAt(int ms, std::size_t openCalls = 0) const
    {
        return this->progress.mayExit(openCalls, this->at(ms));
    }

    bool acceptsAt(std::chrono::milliseconds time, std::chrono::milliseconds timeLimit, bool isResumable = false) const
    {
        return this->progress.accepts(timeLimit, isResumable, this->start + time);
    }

    std::chrono::steady_clock::time_point at(int ms) const
    {
        return this->start + std::chrono::milliseconds(ms);
    }

    std::chrono::steady_clock::time_point start{std::chrono::hours(1)};
    ShutdownProgress progress;
};

} // namespace

TEST_CASE_METHOD(ShutdownProgressFixture, "ShutdownProgress: no call is open: exits after the load balancer noticed")
{
    CHECK_FALSE(this->mayExitAt(3400));
    CHECK(this->mayExitAt(3500));
}

TEST_CASE_METHOD(ShutdownProgressFixture, "ShutdownProgress: a request has just arrived: waits for more")
{
    this->progress.callStartedOrEnded(this->at(3300));
    CHECK_FALSE(this->mayExitAt(3500));
    CHECK(this->mayExitAt(3900));
}

// Guards against an answer that is cut off because the process exits before the bytes are written.
TEST_CASE_METHOD(ShutdownProgressFixture, "ShutdownProgress: the last call has just ended: its answer is written first")
{
    this->progress.callStartedOrEnded(this->at(1000));
    CHECK_FALSE(this->mayExitAt(5000, 1));
    this->progress.callStartedOrEnded(this->at(5000));
    CHECK_FALSE(this->mayExitAt(5100));
    CHECK(this->mayExitAt(5600));
}

// Guards against calls that are taken and cut by the exit, though their limits would let them run on.
TEST_CASE_METHOD(ShutdownProgressFixture, "ShutdownProgress: request may take longer than is left: it is not accepted")
{
    CHECK(this->acceptsAt(0ms, 3000ms));
    CHECK(this->acceptsAt(4400ms, 3000ms));
    CHECK_FALSE(this->acceptsAt(4401ms, 3000ms));
    CHECK_FALSE(this->acceptsAt(5400ms, 3000ms));
    CHECK(this->acceptsAt(5400ms, 2000ms));
    CHECK_FALSE(this->acceptsAt(0ms, 12000ms));
}

TEST_CASE_METHOD(ShutdownProgressFixture,
                 "ShutdownProgress: stream can be resumed at another VM: it is accepted until others get the requests")
{
    CHECK(this->acceptsAt(2400ms, 12000ms, true));
    CHECK_FALSE(this->acceptsAt(2500ms, 12000ms, true));
    CHECK(this->acceptsAt(2500ms, 4000ms, true));
}

TEST_CASE_METHOD(ShutdownProgressFixture, "ShutdownProgress: calls stay open: they end before the process exits")
{
    CHECK_FALSE(this->progress.mustEndCalls(this->at(7300)));
    CHECK(this->progress.mustEndCalls(this->at(7400)));
    CHECK_FALSE(this->mayExitAt(7400, 1));
}

TEST_CASE_METHOD(ShutdownProgressFixture,
                 "ShutdownProgress: a call stays open: exits shortly before the platform kills")
{
    CHECK_FALSE(this->mayExitAt(7500, 1));
    CHECK(this->mayExitAt(7600, 1));
}
