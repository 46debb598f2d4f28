#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlock {

/// Number of prompt bytes covered by one block of the index.
constexpr std::size_t prefixBlockBytes = 256;

/// Returns the chained hashes of the complete blocks of a prompt. Equal hashes at a position mean that the prompts are
/// equal up to the end of that block.
std::vector<std::uint64_t> prefixBlocks(std::string_view prompt);

/// An upstream that has a prefix of the prompt cached.
struct PrefixMatch
{
    std::string upstream;
    std::size_t bytes = 0; ///< Length of the cached prefix.
};

/// Maps prompt prefixes to the upstreams that have them cached, based on the routing decisions of this process and on
/// cache events. Events can be late or missing, so a match is only a hint.
///
/// Memory is bounded: at most maxBlocks blocks of about 100 bytes each, with least-recently-used eviction. A look-up is
/// O(blocks of the prompt), whatever the number of upstreams.
class PrefixIndex
{
public:
    explicit PrefixIndex(std::size_t maxBlocks = 100'000);

    /// Records that an upstream holds these blocks because a request was routed to it or a cache event reported them.
    void add(const std::vector<std::uint64_t> &blocks, const std::string &upstream);
    /// Records that an upstream has evicted one block.
    void remove(std::uint64_t block, const std::string &upstream);
    /// Removes an upstream that left or lost its cache.
    void removeUpstream(const std::string &upstream);

    /// Returns the upstreams that hold a prefix of the prompt, each once, sorted by prefix length, longest first.
    std::vector<PrefixMatch> find(const std::vector<std::uint64_t> &blocks);

    std::size_t size() const;

private:
    static constexpr std::size_t holdersPerBlock = 8;
    static constexpr std::uint32_t none = 0xffffffff;

    struct Block
    {
        std::uint64_t hash = 0;
        std::uint32_t holders[holdersPerBlock] = {
            none, none, none, none, none, none, none, none}; ///< Upstream numbers, the most recent first.
        std::uint32_t previous = none; ///< The next more recently used block.
        std::uint32_t next = none; ///< The next less recently used block.
    };

    /// Returns the number of an upstream and assigns one to a new upstream.
    std::uint32_t assignNumber(const std::string &upstream);
    /// Removes the numbers of removed upstreams from all blocks and makes them available again.
    void reclaimNumbers();
    /// Links a block as the most recently used one.
    void touch(std::uint32_t index);
    void unlink(std::uint32_t index);
    void evictOldest();

    std::size_t maxBlocks;
    std::unordered_map<std::uint64_t, std::uint32_t> indexByHash;
    std::vector<Block> blocks;
    std::vector<std::uint32_t> freeBlocks;
    std::uint32_t newest = none;
    std::uint32_t oldest = none;
    std::unordered_map<std::string, std::uint32_t> numberByName;
    std::vector<std::uint32_t> freeNumbers;
    std::vector<std::string> nameByNumber; ///< Empty for a removed upstream.
};

} // namespace hemlock
