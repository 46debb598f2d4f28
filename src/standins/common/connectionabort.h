#pragma once

#include <string>

namespace hemlock {

/// Shuts down this process's connection to a peer ("IP:PORT"), so that the peer receives no (further) response.
/// HttpServer can only send responses; fault injection needs connections that close without one.
void abortConnection(const std::string &remoteAddress);

} // namespace hemlock
