#pragma once

#include <chrono>
#include <map>
#include <string>

namespace hemlock {

/// Bounds of the deployment, as in the settings of the processes.
inline constexpr std::chrono::milliseconds contactTime{3000};
inline constexpr std::chrono::milliseconds drainBound{2000};
inline constexpr double retryRatio = 0.2;
inline constexpr double retrySlack = 50.0;
inline constexpr std::chrono::seconds retryWindow{10};

inline constexpr std::chrono::milliseconds restartDelay{300};

/// A process that starts reads the store within this time.
inline constexpr std::chrono::milliseconds copyMargin{1500};

inline const std::string streamService = "model";
inline const std::string plainService = "app";

inline const std::map<std::string, std::string> permanentKeys = {{"key-of-north", "north"}, {"key-of-south", "south"}};
inline constexpr auto rotatingAccount = "south";

} // namespace hemlock
