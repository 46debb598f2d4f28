#include "weightstore.h"

#include "jsonreply.h"

namespace hemlock {

namespace {

constexpr int defaultMaxLoads = 4;

} // namespace

WeightStore::WeightStore(asio::io_context &loop, const nlohmann::json &settings)
    : loop(loop)
    , megabytes(settings.value("models", std::map<std::string, double>{}))
    , bandwidth(settings.value("megabytesPerSecond", 0.0))
    , maxLoads(settings.value("maxLoads", defaultMaxLoads))
{
}

void WeightStore::handle(const std::string &model, const HttpResponderPtr &responder)
{
    const auto size = this->megabytes.find(model);
    if (size == this->megabytes.end()) {
        replyError(*responder, 404, "no weights of model \"" + model + "\"");
        return;
    }
    if (this->activeLoads >= this->maxLoads) {
        responder->reply(429, {{"Retry-After", "1"}}, "");
        return;
    }
    ++this->activeLoads;
    const auto wait = this->bandwidth.reserve(size->second, std::chrono::steady_clock::now());
    const auto timer = std::make_shared<asio::steady_timer>(
        this->loop, std::chrono::duration_cast<std::chrono::steady_clock::duration>(wait));
    timer->async_wait([this, timer, responder, model, megabytes = size->second](const asio::error_code &) {
        --this->activeLoads;
        replyJson(*responder, 200, {{"model", model}, {"megabytes", megabytes}});
    });
}

} // namespace hemlock
