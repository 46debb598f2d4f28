#include "standinprogram.h"

#include "logger.h"
#include "settings.h"

#include <CLI/CLI.hpp>
#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace hemlock {

int runStandin(int argc, char **argv, const StandinProgram &program)
{
    CLI::App app("Stand-in of a part of the platform, for tests: " + program.name);
    std::string file;
    bool checkOnly = false;
    app.add_option("--settings", file, "Settings file (JSON)")->required();
    app.add_flag("--check", checkOnly, "Check the settings file and exit");
    CLI11_PARSE(app, argc, argv);
    try {
        const nlohmann::json settings = loadSettings(file, program.name + ".json");
        if (checkOnly)
            return 0;
        setupLogger(program.name, settings.value("id", program.name));
        asio::io_context loop;
        asio::signal_set signals(loop, SIGTERM, SIGINT);
        signals.async_wait([&loop](const asio::error_code &, int) { loop.stop(); });
        const std::any standin = program.start(loop, settings);
        loop.run();
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
    return 0;
}

HttpServerSettings listenSettings(const nlohmann::json &settings)
{
    HttpServerSettings server;
    if (const auto listen = settings.find("listen"); listen != settings.end()) {
        server.address = listen->value("address", server.address);
        server.port = listen->value("port", server.port);
    }
    return server;
}

} // namespace hemlock
