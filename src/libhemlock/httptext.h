#pragma once

#include <string_view>

namespace hemlock {

/// Text without the spaces and tabs around it (RFC 9110, 5.6.3).
std::string_view trimmed(std::string_view text);

/// Whether two texts differ in the case of ASCII letters at most, as names of fields may.
bool equalsIgnoringCase(std::string_view a, std::string_view b);

} // namespace hemlock
