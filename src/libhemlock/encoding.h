#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hemlock {

std::string encodeBase64(std::string_view bytes);

/// Decodes padded base64; returns nothing when the text is malformed.
std::optional<std::string> decodeBase64(std::string_view text);

/// Lower-case hexadecimal SHA-256 of the bytes.
std::string sha256Hex(std::string_view bytes);

/// Lower-case hexadecimal HMAC-SHA-256.
std::string hmacSha256Hex(std::string_view key, std::string_view bytes);

/// Compares secrets: the time does not depend on the position of the first difference.
bool equalsConstantTime(std::string_view a, std::string_view b);

/// 128 random bits in lower-case hexadecimal. Throws std::runtime_error when no random numbers are available.
std::string makeUniqueId();

} // namespace hemlock
