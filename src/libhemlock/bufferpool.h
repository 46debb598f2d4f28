#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

namespace hemlock {

/// Bounds the bytes that all exchanges of a process buffer together.
///
/// Uses dynamic thresholds: an exchange may hold at most as many bytes as are left for all others, so that a single one
/// gets half of the capacity. A small number of bytes is allowed to each exchange, however little is left, since large
/// exchanges may stay for long.
class BufferPool
{
public:
    /// Bytes that one exchange holds; returned to the pool when the share is destroyed.
    class Share
    {
    public:
        /// Without a pool, the share may grow without bound.
        explicit Share(std::shared_ptr<BufferPool> pool);
        ~Share();

        Share(Share &&other) noexcept;
        Share &operator=(Share &&other) noexcept;

        /// Adds @p bytes. Returns false and adds nothing if that exceeds what this share may hold.
        bool grow(std::size_t bytes);

        /// Changes the size to @p bytes, as by grow() if it is larger than before.
        bool resize(std::size_t bytes);

        /// Changes the size to @p bytes for which others are about to make room.
        void resizeBeyondLimit(std::size_t bytes);

        void shrink(std::size_t bytes);

        std::size_t size() const;

    private:
        std::shared_ptr<BufferPool> pool;
        std::size_t bytes = 0;
    };

    /// @p capacity and @p guaranteedBytes, which each share may hold in any case, in bytes.
    explicit BufferPool(std::size_t capacity, std::size_t guaranteedBytes = defaultGuaranteedBytes);

    /// Whether a share of @p bytes is allowed while there is no other one.
    bool fits(std::size_t bytes) const;

    /// Changes the capacity. Shares that exist keep their bytes.
    void setCapacity(std::size_t bytes);

    std::size_t usedBytes() const;

    /// Number of times that a share was not allowed to grow.
    std::uint64_t refusalCount() const;

private:
    static constexpr std::size_t defaultGuaranteedBytes = std::size_t{16} * 1024;

    std::size_t capacity;
    std::size_t guaranteedBytes;
    std::size_t used = 0;
    std::uint64_t refusals = 0;
};

} // namespace hemlock
