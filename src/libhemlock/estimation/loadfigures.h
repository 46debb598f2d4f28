#pragma once

#include <optional>

namespace hemlock {

/// Load of an upstream as it reports it in the head of an answer.
struct LoadFigures
{
    int running = 0;
    int waiting = 0;
    int slots = 0; ///< Requests that it runs at once; 0 when unknown.
    std::optional<double> slowdown; ///< Current processing time relative to the usual one; 1.0 is as usual.
};

} // namespace hemlock
