#include "prefixindex.h"

#include "mixbits.h"

#include <algorithm>
#include <iterator>

namespace hemlock {

namespace {

// Numbers of removed upstreams that may accumulate before a pass over the index frees them.
constexpr std::size_t maxUnusedNumbers = 1024;

} // namespace

std::vector<std::uint64_t> prefixBlocks(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(prompt.size() / prefixBlockBytes);
    std::uint64_t chained = 0x9e3779b97f4a7c15ULL;
    for (std::size_t at = 0; at + prefixBlockBytes <= prompt.size(); at += prefixBlockBytes) {
        chained = mixBits(chained + std::hash<std::string_view>{}(prompt.substr(at, prefixBlockBytes)));
        hashes.push_back(chained);
    }
    return hashes;
}

PrefixIndex::PrefixIndex(std::size_t maxBlocks)
    : maxBlocks(std::max<std::size_t>(maxBlocks, 1))
{
}

void PrefixIndex::add(const std::vector<std::uint64_t> &hashes, const std::string &upstream)
{
    const std::uint32_t number = this->assignNumber(upstream);
    // Runs from the last block to the first, so that shared prefixes become the most recently used.
    for (std::size_t left = hashes.size(); left > 0; --left) {
        const std::uint64_t hash = hashes[left - 1];
        auto found = this->indexByHash.find(hash);
        if (found == this->indexByHash.end()) {
            if (this->indexByHash.size() >= this->maxBlocks)
                this->evictOldest();
            std::uint32_t index = 0;
            if (this->freeBlocks.empty()) {
                index = static_cast<std::uint32_t>(this->blocks.size());
                this->blocks.emplace_back();
            } else {
                index = this->freeBlocks.back();
                this->freeBlocks.pop_back();
                this->blocks[index] = {};
            }
            this->blocks[index].hash = hash;
            found = this->indexByHash.emplace(hash, index).first;
        } else {
            this->unlink(found->second);
        }
        this->touch(found->second);
        auto &holders = this->blocks[found->second].holders;
        auto *const position = std::find(std::begin(holders), std::end(holders) - 1, number);
        std::move_backward(std::begin(holders), position, position + 1);
        holders[0] = number;
    }
}

void PrefixIndex::remove(std::uint64_t hash, const std::string &upstream)
{
    const auto found = this->indexByHash.find(hash);
    const auto number = this->numberByName.find(upstream);
    if (found == this->indexByHash.end() || number == this->numberByName.end())
        return;
    auto &holders = this->blocks[found->second].holders;
    auto *const end = std::remove(std::begin(holders), std::end(holders), number->second);
    std::fill(end, std::end(holders), none);
}

void PrefixIndex::removeUpstream(const std::string &upstream)
{
    const auto found = this->numberByName.find(upstream);
    if (found == this->numberByName.end())
        return;
    // The number is not reused until reclaimNumbers() has removed it from all blocks, so removal needs no pass over the
    // index. A returning upstream gets a new number.
    this->nameByNumber[found->second].clear();
    this->numberByName.erase(found);
}

std::vector<PrefixMatch> PrefixIndex::find(const std::vector<std::uint64_t> &hashes)
{
    std::vector<std::pair<std::uint32_t, std::size_t>> lengths;
    for (std::size_t i = 0; i < hashes.size(); ++i) {
        const auto found = this->indexByHash.find(hashes[i]);
        if (found == this->indexByHash.end())
            break;
        for (const std::uint32_t holder : this->blocks[found->second].holders) {
            if (holder == none || this->nameByNumber[holder].empty())
                continue;
            const auto known = std::find_if(
                lengths.begin(), lengths.end(), [holder](const auto &length) { return length.first == holder; });
            if (known != lengths.end())
                known->second = i + 1;
            else
                lengths.emplace_back(holder, i + 1);
        }
    }
    std::stable_sort(lengths.begin(), lengths.end(), [](const auto &a, const auto &b) { return a.second > b.second; });
    std::vector<PrefixMatch> matches;
    for (const auto &[holder, length] : lengths)
        matches.push_back({this->nameByNumber[holder], length * prefixBlockBytes});
    return matches;
}

std::size_t PrefixIndex::size() const
{
    return this->indexByHash.size();
}

std::uint32_t PrefixIndex::assignNumber(const std::string &upstream)
{
    const auto found = this->numberByName.find(upstream);
    if (found != this->numberByName.end())
        return found->second;
    if (this->freeNumbers.empty() && this->nameByNumber.size() > 2 * this->numberByName.size() + maxUnusedNumbers)
        this->reclaimNumbers();
    auto number = static_cast<std::uint32_t>(this->nameByNumber.size());
    if (this->freeNumbers.empty()) {
        this->nameByNumber.push_back(upstream);
    } else {
        number = this->freeNumbers.back();
        this->freeNumbers.pop_back();
        this->nameByNumber[number] = upstream;
    }
    this->numberByName.emplace(upstream, number);
    return number;
}

void PrefixIndex::reclaimNumbers()
{
    for (Block &block : this->blocks) {
        for (std::uint32_t &holder : block.holders) {
            if (holder != none && this->nameByNumber[holder].empty())
                holder = none;
        }
    }
    for (std::uint32_t number = 0; number < this->nameByNumber.size(); ++number) {
        if (this->nameByNumber[number].empty())
            this->freeNumbers.push_back(number);
    }
}

void PrefixIndex::touch(std::uint32_t index)
{
    Block &block = this->blocks[index];
    block.previous = none;
    block.next = this->newest;
    if (this->newest != none)
        this->blocks[this->newest].previous = index;
    this->newest = index;
    if (this->oldest == none)
        this->oldest = index;
}

void PrefixIndex::unlink(std::uint32_t index)
{
    Block &block = this->blocks[index];
    if (block.previous != none)
        this->blocks[block.previous].next = block.next;
    else
        this->newest = block.next;
    if (block.next != none)
        this->blocks[block.next].previous = block.previous;
    else
        this->oldest = block.previous;
}

void PrefixIndex::evictOldest()
{
    const std::uint32_t index = this->oldest;
    this->unlink(index);
    this->indexByHash.erase(this->blocks[index].hash);
    this->freeBlocks.push_back(index);
}

} // namespace hemlock
