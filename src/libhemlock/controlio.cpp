#include "controlio.h"

#include <algorithm>

namespace hemlock {

std::chrono::milliseconds
fleetInterval(const FleetRole &role, std::chrono::milliseconds shortest, std::chrono::milliseconds perNode)
{
    return std::max(shortest, perNode * static_cast<int>(role.nodes));
}

} // namespace hemlock
