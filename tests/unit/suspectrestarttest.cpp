#include "suspectfixture.h"

#include <catch2/catch.hpp>

using namespace hemlock;

// Guards against prompt parts that crash further upstreams after each restart of all entry VMs.
TEST_CASE_METHOD(SuspectFixture,
                 "RelayProcess: every VM restarts after a prompt part was refused: the part stays refused")
{
    this->start();
    constexpr int maxRequests = 10;
    int requests = 0;
    while (this->statusWithPart("bad") != 503 && requests < maxRequests)
        ++requests;
    REQUIRE(requests < maxRequests);
    this->runFor(std::chrono::seconds(1), [this] { return this->hasSuspectRecord(); });
    this->start();
    const int sentBefore = this->sentCount;
    CHECK(this->statusWithPart("bad") == 503);
    CHECK(this->sentCount == sentBefore);
    CHECK(this->statusWithPart("5a") == 200);
}
