#pragma once

#include <string>

namespace hemlock {

/// Shuts down this process's connection to a peer ("IP:PORT"), so that the peer gets no (further) answer.
/// HttpServer offers answers only; a fault needs a connection that ends without one.
void abortConnection(const std::string &remoteAddress);

} // namespace hemlock
