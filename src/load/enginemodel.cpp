#include "enginemodel.h"

#include "prefixindex.h"

#include <algorithm>
#include <utility>

namespace hemlock {

namespace {

constexpr int tokensPerBlock = static_cast<int>(prefixBlockBytes / bytesPerToken);

} // namespace

EngineModel::EngineModel(EventLoop &loop, const EngineSettings &settings, EngineHooks hooks)
    : loop(loop)
    , settings(settings)
    , hooks(std::move(hooks))
{
}

void EngineModel::submit(EngineRequest request)
{
    auto position = this->waiting.end();
    while (position != this->waiting.begin() && std::prev(position)->priority > request.priority)
        --position;
    this->waiting.insert(position, std::move(request));
    this->startStepping();
}

void EngineModel::cancel(std::uint64_t request)
{
    this->waiting.remove_if([request](const EngineRequest &other) { return other.id == request; });
    std::erase_if(this->running, [request](const Sequence &sequence) { return sequence.request.id == request; });
}

void EngineModel::importBlocks(const std::vector<std::uint64_t> &blocks)
{
    for (const std::uint64_t block : blocks)
        this->touch(block);
    this->hooks.cached(blocks);
}

void EngineModel::stop()
{
    *this->isAlive = false;
    this->waiting.clear();
    this->running.clear();
}

int EngineModel::load() const
{
    return static_cast<int>(this->waiting.size() + this->running.size());
}

bool EngineModel::holds(std::uint64_t block) const
{
    return this->cache.count(block) > 0;
}

int EngineModel::cachedTokens() const
{
    return static_cast<int>(this->cache.size()) * tokensPerBlock;
}

void EngineModel::startStepping()
{
    if (this->isStepping || !*this->isAlive)
        return;
    this->isStepping = true;
    this->step();
}

void EngineModel::step()
{
    this->admit();
    if (this->running.empty()) {
        this->isStepping = false;
        return;
    }
    int budget = this->settings.prefillTokensPerStep;
    int prefilled = 0;
    std::vector<std::uint64_t> emitting;
    for (Sequence &sequence : this->running) {
        const int chunk = std::min(budget, sequence.prefillLeft);
        budget -= chunk;
        prefilled += chunk;
        sequence.prefillLeft -= chunk;
        if (sequence.prefillLeft == 0)
            emitting.push_back(sequence.request.id);
    }
    const double milliseconds = this->settings.stepMs
        + this->settings.stepMsPerSequence * static_cast<double>(emitting.size())
        + this->settings.stepMsPerPrefillToken * prefilled;
    this->loop.after(fromSeconds(milliseconds / 1000.0), [this, emitting, isAlive = this->isAlive] {
        if (!*isAlive)
            return;
        for (const std::uint64_t id : emitting) {
            const auto found = std::find_if(
                this->running.begin(), this->running.end(), [id](const Sequence &s) { return s.request.id == id; });
            if (found == this->running.end())
                continue;
            const bool isLast = --found->request.answerTokens <= 0;
            if (isLast)
                this->running.erase(found);
            this->hooks.token(id);
            if (isLast)
                this->hooks.done(id);
            if (!*isAlive)
                return;
        }
        this->step();
    });
}

void EngineModel::admit()
{
    while (!this->waiting.empty() && static_cast<int>(this->running.size()) < this->settings.maxBatch) {
        EngineRequest request = std::move(this->waiting.front());
        this->waiting.pop_front();
        std::size_t cached = 0;
        while (cached < request.blocks.size() && this->holds(request.blocks[cached]))
            ++cached;
        const int missing = request.promptTokens - static_cast<int>(cached) * tokensPerBlock;
        // The last prompt token is computed even if the whole prompt is cached.
        const int prefill = request.hasCache ? 0 : std::max(missing, 1);
        this->hooks.admitted(request, cached, prefill);
        for (std::size_t remaining = request.blocks.size(); remaining > 0; --remaining)
            this->touch(request.blocks[remaining - 1]);
        this->hooks.cached(request.blocks);
        this->running.push_back({std::move(request), prefill});
    }
}

void EngineModel::touch(std::uint64_t block)
{
    const auto found = this->cache.find(block);
    if (found != this->cache.end()) {
        this->cacheOrder.splice(this->cacheOrder.begin(), this->cacheOrder, found->second);
        return;
    }
    this->cacheOrder.push_front(block);
    this->cache[block] = this->cacheOrder.begin();
    if (this->cachedTokens() > this->settings.cacheTokens) {
        const std::uint64_t oldest = this->cacheOrder.back();
        this->cacheOrder.pop_back();
        this->cache.erase(oldest);
        this->hooks.evicted(oldest);
    }
}

} // namespace hemlock
