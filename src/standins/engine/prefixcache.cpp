#include "prefixcache.h"

#include "encoding.h"

namespace hemlock {

namespace {

constexpr std::size_t keyHexDigits = 16;

} // namespace

std::vector<std::string> cacheBlockKeys(std::string_view text)
{
    std::vector<std::string> keys;
    std::string previous;
    for (std::size_t offset = 0; offset + cacheBlockBytes <= text.size(); offset += cacheBlockBytes) {
        previous = sha256Hex(previous + std::string(text.substr(offset, cacheBlockBytes))).substr(0, keyHexDigits);
        keys.push_back(previous);
    }
    return keys;
}

PrefixCache::PrefixCache(std::size_t maxBlocks, ChangeCallback onChange)
    : maxBlocks(maxBlocks)
    , onChange(std::move(onChange))
{
}

std::size_t PrefixCache::match(const std::vector<std::string> &keys)
{
    std::size_t matched = 0;
    while (matched < keys.size() && this->blocks.contains(keys[matched]))
        ++matched;
    // Backwards, so that a block is never evicted before the blocks that follow it in the prefix.
    for (std::size_t block = matched; block > 0; --block) {
        const auto position = this->blocks.at(keys[block - 1]);
        this->blocksByRecency.splice(this->blocksByRecency.begin(), this->blocksByRecency, position);
    }
    return matched;
}

void PrefixCache::insert(const std::vector<std::string> &keys)
{
    for (std::size_t block = keys.size(); block > 0; --block) {
        const std::string &key = keys[block - 1];
        if (const auto found = this->blocks.find(key); found != this->blocks.end()) {
            this->blocksByRecency.splice(this->blocksByRecency.begin(), this->blocksByRecency, found->second);
            continue;
        }
        this->blocksByRecency.push_front(key);
        this->blocks[key] = this->blocksByRecency.begin();
        this->onChange(key, true);
    }
    while (this->blocks.size() > this->maxBlocks) {
        const std::string evicted = this->blocksByRecency.back();
        this->blocksByRecency.pop_back();
        this->blocks.erase(evicted);
        this->onChange(evicted, false);
    }
}

std::size_t PrefixCache::size() const
{
    return this->blocks.size();
}

} // namespace hemlock
