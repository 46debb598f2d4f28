#include "memorysampler.h"

#include <chrono>
#include <fstream>
#include <sstream>
#include <string>
#include <utility>

namespace hemlock {

namespace {

constexpr std::chrono::milliseconds sampleInterval{10};

std::uint64_t residentBytes(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (status >> word && word != "VmRSS:") {}
    std::uint64_t kilobytes = 0;
    status >> kilobytes;
    return kilobytes * 1024;
}

/// Bytes in the receive queues of the connections of these local ports.
std::uint64_t unreadBytes(const std::set<std::uint16_t> &ports)
{
    constexpr int hexadecimal = 16;
    // In state "listen" the field holds the number of connections that wait to be accepted.
    const std::string listenState = "0A";
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    std::uint64_t sum = 0;
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string slot;
        std::string localAddress;
        std::string remoteAddress;
        std::string state;
        std::string queues;
        fields >> slot >> localAddress >> remoteAddress >> state >> queues;
        const auto port = std::stoul(localAddress.substr(localAddress.find(':') + 1), nullptr, hexadecimal);
        if (state != listenState && ports.contains(static_cast<std::uint16_t>(port)))
            sum += std::stoull(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
    }
    return sum;
}

} // namespace

MemorySampler::MemorySampler(pid_t process, std::set<std::uint16_t> ports)
    : process(process)
    , ports(std::move(ports))
    , thread([this] {
        while (!this->isStopping) {
            this->sample();
            std::this_thread::sleep_for(sampleInterval);
        }
    })
{
}

MemorySampler::~MemorySampler()
{
    this->isStopping = true;
    this->thread.join();
}

std::uint64_t MemorySampler::peakBytes() const
{
    return this->peak;
}

std::uint64_t MemorySampler::unreadBytesAtPeak() const
{
    return this->unreadAtPeak;
}

void MemorySampler::sample()
{
    const std::uint64_t unread = unreadBytes(this->ports);
    const std::uint64_t sum = residentBytes(this->process) + unread;
    if (sum <= this->peak)
        return;
    this->peak = sum;
    this->unreadAtPeak = unread;
}

} // namespace hemlock
