#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlock {

/// Bytes of text in one block of the cache.
constexpr std::size_t cacheBlockBytes = 256;

/// Keys of the whole blocks of a text. A key is the start of the SHA-256 of the key before it and the block's bytes,
/// so it stands for the whole text up to the end of its block.
std::vector<std::string> cacheBlockKeys(std::string_view text);

/// Limited cache of prompt prefixes in blocks; the least recently used block is evicted first.
class PrefixCache
{
public:
    /// Called for each block that is stored or evicted.
    using ChangeCallback = std::function<void(const std::string &key, bool isStored)>;

    PrefixCache(std::size_t maxBlocks, ChangeCallback onChange);

    /// Number of leading blocks that are cached; they count as used.
    std::size_t match(const std::vector<std::string> &keys);

    void insert(const std::vector<std::string> &keys);

    std::size_t size() const;

private:
    std::size_t maxBlocks;
    ChangeCallback onChange;
    std::list<std::string> blocksByRecency; ///< The most recently used first.
    std::unordered_map<std::string, std::list<std::string>::iterator> blocks;
};

} // namespace hemlock
