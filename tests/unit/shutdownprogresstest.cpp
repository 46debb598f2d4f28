#include "relay/shutdownprogress.h"

#include <catch2/catch.hpp>

using namespace hemlock;

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

TEST_CASE_METHOD(ShutdownProgressFixture,
                 "ShutdownProgress: a call stays open: exits shortly before the platform kills")
{
    CHECK_FALSE(this->mayExitAt(7500, 1));
    CHECK(this->mayExitAt(7600, 1));
}
