#pragma once

#include <cstdint>

namespace hemlock {

/// Finalizer of SplitMix64; spreads the bits of a hash, so that similar values get unrelated ones.
constexpr std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

} // namespace hemlock
