#include "servicestandin.h"

#include "logger.h"
#include "standinprogram.h"

int main(int argc, char **argv)
{
    return hemlock::runStandin(
        argc, argv, {"service-standin", [](asio::io_context &loop, const nlohmann::json &settings) -> std::any {
                         auto standin = std::make_shared<hemlock::ServiceStandin>(loop, settings);
                         hemlock::announceAddress("service", standin->start());
                         return standin;
                     }});
}
