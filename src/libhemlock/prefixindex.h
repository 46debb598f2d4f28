#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlock {

/// Bytes of prompt that one block of the index covers.
constexpr std::size_t prefixBlockBytes = 256;

/// Chained hashes of the whole blocks of a prompt: equal hashes at a position mean equal prompts up to there.
std::vector<std::uint64_t> prefixBlocks(std::string_view prompt);

/// An upstream that holds the beginning of a prompt.
struct PrefixMatch
{
    std::string upstream;
    std::size_t bytes = 0; ///< Length of the beginning that it holds.
};

/// Which upstream holds which beginnings of prompts, as far as this process knows from its own routing and from cache
/// events. Events arrive late and with gaps, so a match is a hint.
///
/// Memory is bounded: at most maxBlocks blocks of about 100 bytes each, the least recently used are dropped first.
/// A look-up costs O(blocks of the prompt), whatever the number of upstreams.
class PrefixIndex
{
public:
    explicit PrefixIndex(std::size_t maxBlocks = 100'000);

    /// Notes that an upstream holds these blocks, from routing a request to it or from a cache event.
    void add(const std::vector<std::uint64_t> &blocks, const std::string &upstream);
    /// Notes that an upstream has dropped one block.
    void remove(std::uint64_t block, const std::string &upstream);
    /// Forgets an upstream that left or lost its cache.
    void removeUpstream(const std::string &upstream);

    /// Upstreams that hold a beginning of the prompt, the longest first; each upstream once.
    std::vector<PrefixMatch> find(const std::vector<std::uint64_t> &blocks);

    std::size_t size() const;

private:
    static constexpr std::size_t holdersPerBlock = 8;
    static constexpr std::uint32_t none = 0xffffffff;

    struct Block
    {
        std::uint64_t hash = 0;
        std::uint32_t holders[holdersPerBlock] = {
            none, none, none, none, none, none, none, none}; ///< The latest first.
        std::uint32_t previous = none; ///< More recently used.
        std::uint32_t next = none;
    };

    std::uint32_t assignNumber(const std::string &upstream);
    void reclaimNumbers();
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
    std::vector<std::string> nameByNumber; ///< By number; empty when the upstream is forgotten.
};

} // namespace hemlock
