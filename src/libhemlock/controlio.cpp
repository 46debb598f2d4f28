#include "controlio.h"

#include <algorithm>

namespace hemlock {

std::chrono::milliseconds
fleetInterval(const FleetRole &role, std::chrono::milliseconds minimum, std::chrono::milliseconds perNode)
{
    return std::max(minimum, perNode * static_cast<int>(role.nodes));
}

} // namespace hemlock
