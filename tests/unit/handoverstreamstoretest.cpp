#include "handoverstreamstore.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace hemlock;

namespace {

class HandoverStreamStoreFixture
{
protected:
    std::size_t store(std::size_t from, std::vector<std::string> tokens, const std::string &digest = "digest")
    {
        return this->streams.store({"account", "request", digest, from, std::move(tokens)}, this->now);
    }

    std::optional<std::vector<std::string>> find(const std::string &account = "account",
                                                 const std::string &digest = "digest")
    {
        return this->streams.find(account, "request", digest, this->now);
    }

    HandoverStreamStore streams;
    HandoverStreamStore::Time now{std::chrono::hours(1)};
};

using Tokens = std::vector<std::string>;

} // namespace

// Guards against duplicated or missing tokens when messages are repeated, overlap or get lost.
TEST_CASE_METHOD(HandoverStreamStoreFixture,
                 "HandoverStreamStore: messages overlap or leave a gap: tokens stay in order")
{
    CHECK(this->store(0, {"1", "2"}) == 2);
    CHECK(this->store(0, {"1", "2"}) == 2);
    CHECK(this->store(1, {"2", "3"}) == 3);
    CHECK(this->store(4, {"5"}) == 3);
    CHECK(this->store(0, {"1"}) == 3);
    CHECK(this->find() == Tokens{"1", "2", "3"});
}

// Guards against a caller that resumes the answer of another caller, or its own answer with a different prompt.
TEST_CASE_METHOD(HandoverStreamStoreFixture, "HandoverStreamStore: other account or body: finds nothing")
{
    this->store(0, {"1"});
    CHECK_FALSE(this->find("other"));
    CHECK_FALSE(this->find("account", "other"));
    CHECK(this->store(0, {"x"}, "other") == 1);
    CHECK(this->find("account", "other") == Tokens{"x"});
}

// Guards against stored streams that are never removed or use unbounded memory.
TEST_CASE_METHOD(HandoverStreamStoreFixture, "HandoverStreamStore: old or too large: streams are removed or truncated")
{
    this->store(0, {"1"});
    this->now += std::chrono::seconds(61);
    CHECK_FALSE(this->find());
    CHECK(this->streams.size() == 0);
    const Tokens large(40, std::string(std::size_t{1024} * 1024, 'x'));
    CHECK(this->store(0, large) == 31);
    this->now += std::chrono::seconds(61);
    CHECK(this->store(0, large, "next") == 31);
}

// Guards against processes that look for a stream on other peers than the one that stores it.
TEST_CASE_METHOD(HandoverStreamStoreFixture,
                 "rendezvousOrder: members listed differently or one leaves: order is the same")
{
    const Tokens order = rendezvousOrder("request", {"a", "b", "c", "d"});
    CHECK(rendezvousOrder("request", {"d", "c", "b", "a"}) == order);
    Tokens rest = order;
    rest.erase(rest.begin() + 1);
    CHECK(rendezvousOrder("request", rest) == rest);
    int differing = 0;
    for (int i = 0; i < 100; ++i)
        differing += rendezvousOrder("request " + std::to_string(i), {"a", "b", "c", "d"}).front() != order.front();
    CHECK(differing > 50);
}
