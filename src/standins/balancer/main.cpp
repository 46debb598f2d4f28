#include "balancerstandin.h"

#include "logger.h"
#include "standinprogram.h"

int main(int argc, char **argv)
{
    return hemlock::runStandin(
        argc, argv, {"balancer-standin", [](asio::io_context &loop, const nlohmann::json &settings) -> std::any {
                         auto standin = std::make_shared<hemlock::BalancerStandin>(loop, settings);
                         hemlock::announceAddress("balancer", standin->start());
                         return standin;
                     }});
}
