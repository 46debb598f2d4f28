#include "weightstore.h"

#include "jsonreply.h"

namespace hemlock {

namespace {

constexpr int defaultMaxLoads = 4;

} // namespace

WeightStore::WeightStore(asio::io_context &loop, const nlohmann::json &settings)
    : loop(loop)
    , megabytes(settings.value("models", std::map<std::string, double>{}))
    , rate(settings.value("megabytesPerSecond", 0.0))
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
    if (this->loads >= this->maxLoads) {
        responder->reply(429, {{"Retry-After", "1"}}, "");
        return;
    }
    ++this->loads;
    const auto wait = this->rate.borrow(size->second, std::chrono::steady_clock::now());
    const auto timer = std::make_shared<asio::steady_timer>(
        this->loop, std::chrono::duration_cast<std::chrono::steady_clock::duration>(wait));
    timer->async_wait([this, timer, responder, model, megabytes = size->second](const asio::error_code &) {
        --this->loads;
        replyJson(*responder, 200, {{"model", model}, {"megabytes", megabytes}});
    });
}

} // namespace hemlock
