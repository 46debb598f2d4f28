#pragma once

#include <cstdint>
#include <string>

namespace hemlock {

/// A port of a loopback address for a process that listens on it later, for TCP or UDP; no test program returns one
/// twice.
///
/// It is below the range from which the system takes the ports of outgoing connections (32768 and above on Linux unless
/// it is set otherwise), so that no connection occupies it before the process listens. Throws std::runtime_error if no
/// port is free.
std::uint16_t freePort(const std::string &ip = "127.0.0.1");

/// The address with freePort(), such as 127.0.0.1:10001.
std::string freeAddress(const std::string &ip = "127.0.0.1");

} // namespace hemlock
