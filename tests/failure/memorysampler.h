#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <set>
#include <thread>

namespace hemlock {

/// Watches the memory of a process until it is destroyed: its resident memory, and the bytes that its connections have
/// received and it has not read yet.
class MemorySampler
{
public:
    /// @p ports are the TCP ports that the process listens on.
    MemorySampler(pid_t process, std::set<std::uint16_t> ports);
    ~MemorySampler();

    MemorySampler(const MemorySampler &) = delete;
    MemorySampler &operator=(const MemorySampler &) = delete;

    /// The greatest sum so far, in bytes, and the unread bytes in it.
    std::uint64_t peakBytes() const;
    std::uint64_t unreadBytesAtPeak() const;

private:
    void sample();

    const pid_t process;
    const std::set<std::uint16_t> ports;
    std::atomic<std::uint64_t> peak{0};
    std::atomic<std::uint64_t> unreadAtPeak{0};
    std::atomic<bool> isStopping{false};
    std::thread thread;
};

} // namespace hemlock
