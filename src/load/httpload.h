#pragma once

#include <cstdint>
#include <filesystem>
#include <iosfwd>

namespace hemlock {

/// Sends the requests of a JSON file to real addresses. The file holds "ratePerS", "durationS", "seed" and "targets":
/// each with "name", "addresses" (one is chosen at random), "headers" and "requests" of "method", "path", "body",
/// "promptTokens" (a random text of that length becomes the body's "prompt"), "idField" (body field) and "idHeader"
/// that get a unique identifier. Each arrival is sent to every target, in changing order, so that the targets meet the
/// same conditions.
///
/// Writes one JSON line per target with the quantiles of the time to the first byte of the body and to the end, and one
/// line with the differences of the first target to the last one, which is reached directly. Throws SettingsError.
/// Returns whether no request failed.
bool runHttpLoad(const std::filesystem::path &file, std::ostream &output);

} // namespace hemlock
