#pragma once

#include "httpserver.h"

#include <nlohmann/json_fwd.hpp>

#include <any>
#include <functional>
#include <string>

namespace hemlock {

/// What a stand-in's main function gives to runStandin.
struct StandinProgram
{
    std::string name; ///< Name of the program, and of its schema file NAME.json.
    /// Creates the stand-in on the loop, makes it listen and returns it; it lives until the loop ends.
    std::function<std::any(asio::io_context &loop, const nlohmann::json &settings)> start;
};

/// Reads the command line (--settings FILE, --check), runs the loop until SIGTERM or SIGINT; returns the exit status.
int runStandin(int argc, char **argv, const StandinProgram &program);

/// Address and port of the settings' "listen" object.
HttpServerSettings listenSettings(const nlohmann::json &settings);

} // namespace hemlock
