#include "relay/repeatedanswers.h"

#include <catch2/catch.hpp>

using namespace hemlock;

TEST_CASE("RepeatedAnswers: upstream sent an answer twice: is expected to, until it restarts or some time has passed")
{
    const std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
    RepeatedAnswers answers;
    Upstream upstream;
    upstream.id = "a";
    upstream.incarnation = "1";
    Upstream other = upstream;
    other.id = "b";
    CHECK_FALSE(answers.isExpected(upstream, now));
    answers.record(upstream, now);
    CHECK(answers.isExpected(upstream, now + std::chrono::seconds(29)));
    CHECK_FALSE(answers.isExpected(other, now));
    CHECK_FALSE(answers.isExpected(upstream, now + std::chrono::seconds(30)));
    upstream.incarnation = "2";
    CHECK_FALSE(answers.isExpected(upstream, now));
}
