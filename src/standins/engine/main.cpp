#include "enginestandin.h"

#include "logger.h"
#include "standinprogram.h"

int main(int argc, char **argv)
{
    return hemlock::runStandin(
        argc, argv, {"engine-standin", [](asio::io_context &loop, const nlohmann::json &settings) -> std::any {
                         auto standin = std::make_shared<hemlock::EngineStandin>(loop, settings);
                         hemlock::announceAddress("engine", standin->start());
                         return standin;
                     }});
}
