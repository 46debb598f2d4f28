#pragma once

#include "httpmessage.h"

#include <chrono>
#include <string>
#include <string_view>

namespace hemlock {

/// Signs and verifies messages between the system's own processes with HMAC-SHA-256 over time, path and body.
class ControlAuth
{
public:
    /// @p key is shared by all processes of a deployment. Throws std::invalid_argument if it is empty.
    explicit ControlAuth(std::string key);

    /// Returns the header fields with the time and the signature that authenticate a message.
    HttpHeaders sign(std::string_view path, std::string_view body, std::chrono::system_clock::time_point now) const;

    /// Returns why a message is rejected, or an empty string if it is authentic and recent.
    std::string check(const HttpRequest &request, std::chrono::system_clock::time_point now) const;

private:
    std::string signature(std::string_view time, std::string_view path, std::string_view body) const;

    std::string key;
};

} // namespace hemlock
