#include "bufferpool.h"

#include <utility>

namespace hemlock {

BufferPool::Share::Share(std::shared_ptr<BufferPool> pool)
    : pool(std::move(pool))
{
}

BufferPool::Share::~Share()
{
    if (this->pool)
        this->pool->used -= this->bytes;
}

BufferPool::Share::Share(Share &&other) noexcept
    : pool(std::move(other.pool))
    , bytes(std::exchange(other.bytes, 0))
{
}

BufferPool::Share &BufferPool::Share::operator=(Share &&other) noexcept
{
    std::swap(this->pool, other.pool);
    std::swap(this->bytes, other.bytes);
    return *this;
}

bool BufferPool::Share::grow(std::size_t added)
{
    this->bytes += added;
    if (!this->pool)
        return true;
    this->pool->used += added;
    const bool isWithinThreshold = this->bytes + this->pool->used <= this->pool->capacity;
    if (isWithinThreshold || this->bytes <= this->pool->guaranteedBytes)
        return true;
    this->shrink(added);
    ++this->pool->refusals;
    return false;
}

bool BufferPool::Share::resize(std::size_t newBytes)
{
    if (newBytes > this->bytes)
        return this->grow(newBytes - this->bytes);
    this->shrink(this->bytes - newBytes);
    return true;
}

void BufferPool::Share::resizeBeyondLimit(std::size_t newBytes)
{
    if (this->pool)
        this->pool->used += newBytes - this->bytes;
    this->bytes = newBytes;
}

void BufferPool::Share::shrink(std::size_t removed)
{
    this->bytes -= removed;
    if (this->pool)
        this->pool->used -= removed;
}

std::size_t BufferPool::Share::size() const
{
    return this->bytes;
}

BufferPool::BufferPool(std::size_t capacity, std::size_t guaranteedBytes)
    : capacity(capacity)
    , guaranteedBytes(guaranteedBytes)
{
}

bool BufferPool::fits(std::size_t bytes) const
{
    return bytes <= this->capacity / 2;
}

void BufferPool::setCapacity(std::size_t bytes)
{
    this->capacity = bytes;
}

std::size_t BufferPool::usedBytes() const
{
    return this->used;
}

std::uint64_t BufferPool::refusalCount() const
{
    return this->refusals;
}

} // namespace hemlock
