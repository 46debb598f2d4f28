#include "platformstandin.h"

#include "logger.h"
#include "standinprogram.h"

int main(int argc, char **argv)
{
    return hemlock::runStandin(
        argc, argv, {"platform-standin", [](asio::io_context &loop, const nlohmann::json &settings) -> std::any {
                         auto standin = std::make_shared<hemlock::PlatformStandin>(loop, settings);
                         hemlock::announceAddress("platform", standin->start());
                         return standin;
                     }});
}
