#include "prefixcache.h"

#include "encoding.h"

namespace hemlock {

namespace {

constexpr std::size_t keyLength = 16;

} // namespace

std::vector<std::string> cacheBlockKeys(std::string_view text)
{
    std::vector<std::string> keys;
    std::string previous;
    for (std::size_t at = 0; at + cacheBlockBytes <= text.size(); at += cacheBlockBytes) {
        previous = sha256Hex(previous + std::string(text.substr(at, cacheBlockBytes))).substr(0, keyLength);
        keys.push_back(previous);
    }
    return keys;
}

PrefixCache::PrefixCache(std::size_t maxBlocks, Hook changed)
    : maxBlocks(maxBlocks)
    , changed(std::move(changed))
{
}

std::size_t PrefixCache::match(const std::vector<std::string> &keys)
{
    std::size_t matched = 0;
    while (matched < keys.size() && this->blocks.contains(keys[matched]))
        ++matched;
    // From the last block on, so that a prefix is never evicted before what follows it.
    for (std::size_t block = matched; block > 0; --block) {
        const auto place = this->blocks.at(keys[block - 1]);
        this->byUse.splice(this->byUse.begin(), this->byUse, place);
    }
    return matched;
}

void PrefixCache::insert(const std::vector<std::string> &keys)
{
    for (std::size_t block = keys.size(); block > 0; --block) {
        const std::string &key = keys[block - 1];
        if (const auto found = this->blocks.find(key); found != this->blocks.end()) {
            this->byUse.splice(this->byUse.begin(), this->byUse, found->second);
            continue;
        }
        this->byUse.push_front(key);
        this->blocks[key] = this->byUse.begin();
        this->changed(key, true);
    }
    while (this->blocks.size() > this->maxBlocks) {
        const std::string evicted = this->byUse.back();
        this->byUse.pop_back();
        this->blocks.erase(evicted);
        this->changed(evicted, false);
    }
}

std::size_t PrefixCache::size() const
{
    return this->blocks.size();
}

} // namespace hemlock
