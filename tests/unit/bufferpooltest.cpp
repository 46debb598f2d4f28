#include "bufferpool.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace hemlock;

namespace {

class BufferPoolFixture
{
protected:
    static constexpr std::size_t capacity = 1000;

    /// Grows @p share by one byte at a time until the pool refuses.
    static std::size_t growToLimit(BufferPool::Share &share)
    {
        while (share.grow(1))
            continue;
        return share.size();
    }

    static constexpr std::size_t guaranteed = 4;

    std::shared_ptr<BufferPool> pool = std::make_shared<BufferPool>(capacity, guaranteed);
};

} // namespace

TEST_CASE_METHOD(BufferPoolFixture, "BufferPool: one share grows without end: half of the capacity stays free")
{
    BufferPool::Share share(this->pool);
    CHECK(growToLimit(share) == capacity / 2);
    CHECK(this->pool->refusalCount() == 1);
}

// Guards against exchanges without end that leave no room for others.
TEST_CASE_METHOD(BufferPoolFixture, "BufferPool: many shares grow without end: a small one still finds room")
{
    constexpr std::size_t shareCount = 60;
    std::vector<BufferPool::Share> shares;
    for (std::size_t i = 0; i < shareCount; ++i) {
        shares.emplace_back(this->pool);
        growToLimit(shares.back());
    }
    CHECK(this->pool->usedBytes() <= capacity + shareCount * guaranteed);
    BufferPool::Share small(this->pool);
    CHECK(small.grow(guaranteed));
    CHECK_FALSE(small.grow(1));
}

TEST_CASE_METHOD(BufferPoolFixture, "BufferPool: share ends, moves or shrinks: its bytes are counted once")
{
    {
        BufferPool::Share share(this->pool);
        REQUIRE(share.grow(100));
        BufferPool::Share moved(std::move(share));
        CHECK(this->pool->usedBytes() == 100);
        moved.shrink(30);
        CHECK(this->pool->usedBytes() == 70);
        REQUIRE(moved.resize(90));
        CHECK(this->pool->usedBytes() == 90);
    }
    CHECK(this->pool->usedBytes() == 0);
}

TEST_CASE_METHOD(BufferPoolFixture, "BufferPool: share is refused: keeps its size")
{
    BufferPool::Share share(this->pool);
    REQUIRE(share.grow(300));
    CHECK_FALSE(share.grow(capacity));
    CHECK(share.size() == 300);
    CHECK(this->pool->usedBytes() == 300);
}
