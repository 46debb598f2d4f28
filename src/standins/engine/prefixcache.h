#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlock {

/// Bytes of text per cache block.
constexpr std::size_t cacheBlockBytes = 256;

/// Returns the keys of the complete blocks of a text. A key is a prefix of the SHA-256 of the previous key and the
/// block's bytes, so it identifies the whole text up to the end of its block.
std::vector<std::string> cacheBlockKeys(std::string_view text);

/// LRU cache of prompt prefixes, divided into blocks.
class PrefixCache
{
public:
    /// Called for each block that is stored or evicted.
    using ChangeCallback = std::function<void(const std::string &key, bool isStored)>;

    PrefixCache(std::size_t maxBlocks, ChangeCallback onChange);

    /// Returns the number of leading blocks that are cached, and marks them as recently used.
    std::size_t match(const std::vector<std::string> &keys);

    void insert(const std::vector<std::string> &keys);

    std::size_t size() const;

private:
    std::size_t maxBlocks;
    ChangeCallback onChange;
    std::list<std::string> blocksByRecency; ///< Most recently used first.
    std::unordered_map<std::string, std::list<std::string>::iterator> blocks;
};

} // namespace hemlock
