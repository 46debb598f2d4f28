#include "loadreport.h"

#include <nlohmann/json.hpp>

namespace hemlock {

void readLoadReport(HttpClient &http,
                    const std::string &address,
                    std::chrono::milliseconds timeout,
                    std::function<void(std::optional<double> load)> done)
{
    HttpCall call;
    call.url = endpointUrl(address) + std::string(loadPath);
    call.connectTimeout = timeout;
    call.timeout = timeout;
    HttpCallHooks hooks;
    hooks.done = [done = std::move(done)](const HttpOutcome &outcome) {
        const nlohmann::json body = nlohmann::json::parse(outcome.body, nullptr, false);
        if (outcome.status != 200 || !body.is_object() || !body.contains("inFlight") || !body["inFlight"].is_number())
            return done(std::nullopt);
        done(body["inFlight"].get<double>());
    };
    http.start(std::move(call), std::move(hooks));
}

} // namespace hemlock
