#pragma once

#include "eventloop.h"
#include "scenario.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlock {

/// A request as the fake engine sees it.
struct EngineRequest
{
    std::uint64_t id = 0;
    std::vector<std::uint64_t> blocks; ///< Of the prompt, as by prefixBlocks.
    int promptTokens = 0; ///< With tokens that an earlier upstream emitted.
    int answerTokens = 0; ///< That remain.
    int priority = 5;
    bool hasCache = false; ///< Its KV cache was imported: nothing is left to prefill.
};

struct EngineHooks
{
    std::function<void(std::uint64_t request)> token;
    std::function<void(std::uint64_t request)> done;
    /// A request is admitted: of its prompt, the first cachedBlocks are cached and this many tokens are prefilled.
    std::function<void(const EngineRequest &request, std::size_t cachedBlocks, int prefillTokens)> admitted;
    std::function<void(const std::vector<std::uint64_t> &blocks)> cached;
    std::function<void(std::uint64_t block)> evicted;
};

/// Fake engine: continuous batching with chunked prefill and a prefix cache that drops the least recently used block.
class EngineModel
{
public:
    EngineModel(EventLoop &loop, const EngineSettings &settings, EngineHooks hooks);

    void submit(EngineRequest request);
    /// Takes a request out, as when it is moved or its reader leaves.
    void cancel(std::uint64_t request);
    void importBlocks(const std::vector<std::uint64_t> &blocks);
    /// Ends the engine: its hooks are never called again.
    void stop();

    int load() const;
    bool holds(std::uint64_t block) const;
    int cachedTokens() const;
    const std::list<std::uint64_t> &cachedBlocks() const
    {
        return this->cacheOrder;
    }

private:
    struct Sequence
    {
        EngineRequest request;
        int prefillLeft = 0;
    };

    void startStepping();
    void step();
    void admit();
    void touch(std::uint64_t block);

    EventLoop &loop;
    EngineSettings settings;
    EngineHooks hooks;
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
    bool isStepping = false;
    std::list<EngineRequest> waiting;
    std::vector<Sequence> running;
    std::list<std::uint64_t> cacheOrder; ///< The most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache;
};

} // namespace hemlock
