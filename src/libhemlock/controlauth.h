#pragma once

#include "httpmessage.h"

#include <chrono>
#include <string>
#include <string_view>

namespace hemlock {

/// Signs and checks messages between the system's own processes with HMAC-SHA-256 over time, path and body.
class ControlAuth
{
public:
    /// @p key is shared by all processes of a deployment; an empty key is refused with std::invalid_argument.
    explicit ControlAuth(std::string key);

    /// Header fields to send with a message.
    HttpHeaders sign(std::string_view path, std::string_view body, std::chrono::system_clock::time_point now) const;

    /// Why a message is refused, or an empty string when it is authentic and recent.
    std::string check(const HttpRequest &request, std::chrono::system_clock::time_point now) const;

private:
    std::string signature(std::string_view time, std::string_view path, std::string_view body) const;

    std::string key;
};

} // namespace hemlock
