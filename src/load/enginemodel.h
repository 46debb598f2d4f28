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

/// A request as submitted to the simulated engine.
struct EngineRequest
{
    std::uint64_t id = 0;
    std::vector<std::uint64_t> blocks; ///< Block hashes of the prompt, as returned by prefixBlocks().
    int promptTokens = 0; ///< Includes the answer tokens that an earlier upstream emitted.
    int answerTokens = 0; ///< Answer tokens still to generate.
    int priority = 5;
    bool hasCache = false; ///< The KV cache was imported, so no prefill is needed.
};

/// Callbacks of EngineModel.
struct EngineHooks
{
    /// The request with this identifier emitted a token.
    std::function<void(std::uint64_t request)> token;
    /// The request with this identifier emitted its last token; called after token.
    std::function<void(std::uint64_t request)> done;
    /// A request joined the batch: the first cachedBlocks blocks of its prompt are cached, prefillTokens tokens are
    /// computed.
    std::function<void(const EngineRequest &request, std::size_t cachedBlocks, int prefillTokens)> admitted;
    std::function<void(const std::vector<std::uint64_t> &blocks)> cached;
    std::function<void(std::uint64_t block)> evicted;
};

/// Simulated inference engine: continuous batching with chunked prefill and an LRU prefix cache.
class EngineModel
{
public:
    EngineModel(EventLoop &loop, const EngineSettings &settings, EngineHooks hooks);

    void submit(EngineRequest request);
    /// Removes a request, for example when it moves to another VM or its client disconnects.
    void cancel(std::uint64_t request);
    /// Adds blocks that were exported by another engine to the cache.
    void importBlocks(const std::vector<std::uint64_t> &blocks);
    /// Stops the engine; no hook is called afterwards.
    void stop();

    /// Number of waiting and running requests.
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
    std::list<std::uint64_t> cacheOrder; ///< Most recently used block first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache;
};

} // namespace hemlock
