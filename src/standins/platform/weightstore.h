#pragma once

#include "httpserver.h"
#include "standintokenbucket.h"

#include <nlohmann/json_fwd.hpp>

#include <asio.hpp>

#include <map>
#include <string>

namespace hemlock {

/// Store of model weights with a limited rate that all loads share. Sizes are virtual: a load only takes its time.
class WeightStore
{
public:
    /// Settings: {"models": {NAME: MEGABYTES}, "megabytesPerSecond", "maxLoads"}; rate 0 means no limit.
    WeightStore(asio::io_context &loop, const nlohmann::json &settings);

    /// Answers GET /weights/MODEL after the load's time, 404 for an unknown model, or 429 beyond maxLoads.
    void handle(const std::string &model, const HttpResponderPtr &responder);

private:
    asio::io_context &loop;
    std::map<std::string, double> megabytes;
    StandinTokenBucket bandwidth;
    int maxLoads;
    int activeLoads = 0;
};

} // namespace hemlock
