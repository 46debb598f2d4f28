#pragma once

#include "httpserver.h"
#include "standintokenbucket.h"

#include <nlohmann/json_fwd.hpp>

#include <asio.hpp>

#include <map>
#include <string>

namespace hemlock {

/// Simulated store of model weights whose bandwidth is shared by all downloads. No weights are transferred: a response
/// is only delayed for as long as the download would take.
class WeightStore
{
public:
    /// Settings: {"models": {NAME: MEGABYTES}, "megabytesPerSecond", "maxLoads"}; 0 MB/s means no limit.
    WeightStore(asio::io_context &loop, const nlohmann::json &settings);

    /// Handles GET /weights/MODEL: replies after the download time, with 404 for an unknown model, or with 429 if
    /// maxLoads downloads are in progress.
    void handle(const std::string &model, const HttpResponderPtr &responder);

private:
    asio::io_context &loop;
    std::map<std::string, double> megabytes;
    StandinTokenBucket bandwidth;
    int maxLoads;
    int activeLoads = 0;
};

} // namespace hemlock
