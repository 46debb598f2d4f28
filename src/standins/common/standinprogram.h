#pragma once

#include "httpserver.h"

#include <nlohmann/json_fwd.hpp>

#include <any>
#include <functional>
#include <string>

namespace hemlock {

/// Name and start function of a stand-in program, passed to runStandin().
struct StandinProgram
{
    std::string name; ///< Name of the program, and of its schema file NAME.json.
    /// Creates the stand-in, starts listening and returns the object, which is kept until the loop ends.
    std::function<std::any(asio::io_context &loop, const nlohmann::json &settings)> start;
};

/// Parses the command line (--settings FILE, --check) and runs the loop until SIGTERM or SIGINT. Returns the exit
/// status.
int runStandin(int argc, char **argv, const StandinProgram &program);

/// Returns the address and port of the "listen" object of the settings.
HttpServerSettings listenSettings(const nlohmann::json &settings);

} // namespace hemlock
