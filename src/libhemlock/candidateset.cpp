#include "candidateset.h"

#include "mixbits.h"

#include <algorithm>
#include <functional>

namespace hemlock {

namespace {

// Virtual nodes on the hash ring. More of them balance the ring better; the load bound corrects the remaining skew.
constexpr std::uint64_t pointsPerUpstream = 8;

} // namespace

double UpstreamView::load() const
{
    // The weight of the requests of other processes decays with the age of the report: half after 4 seconds.
    constexpr double halfLifeMs = 4000.0;
    const double others = std::max(0.0, this->reportedLoad - this->inFlightAtReport);
    return this->inFlight + others * halfLifeMs / (halfLifeMs + static_cast<double>(this->reportAge.count()));
}

CandidateSet::CandidateSet(const std::vector<UpstreamView> &views)
{
    for (const UpstreamView &view : views)
        this->set(view);
}

void CandidateSet::set(const UpstreamView &view)
{
    const auto found = this->slotById.find(view.id);
    if (found != this->slotById.end()) {
        Slot &slot = this->slots[found->second];
        if (slot.view.zone == view.zone) {
            this->totalLoad += view.load() - slot.view.load();
            slot.view = view;
            return;
        }
        this->remove(view.id);
    }
    std::uint32_t slotIndex = 0;
    if (this->freeSlots.empty()) {
        slotIndex = static_cast<std::uint32_t>(this->slots.size());
        this->slots.emplace_back();
    } else {
        slotIndex = this->freeSlots.back();
        this->freeSlots.pop_back();
    }
    Slot &slot = this->slots[slotIndex];
    slot.view = view;
    slot.activeIndex = static_cast<std::uint32_t>(this->activeSlots.size());
    this->activeSlots.push_back(slotIndex);
    auto &zone = this->slotsByZone[view.zone.name];
    slot.zoneIndex = static_cast<std::uint32_t>(zone.size());
    zone.push_back(slotIndex);
    this->slotById[view.id] = slotIndex;
    this->totalLoad += view.load();
    const std::uint64_t idHash = std::hash<std::string>{}(view.id);
    for (std::uint64_t point = 0; point < pointsPerUpstream; ++point)
        this->newPoints.push_back({mixBits(idHash + point * 0x9e3779b97f4a7c15ULL), slotIndex, slot.generation});
}

void CandidateSet::remove(const std::string &id)
{
    const auto found = this->slotById.find(id);
    if (found == this->slotById.end())
        return;
    const std::uint32_t slotIndex = found->second;
    Slot &slot = this->slots[slotIndex];
    this->totalLoad -= slot.view.load();
    auto &zone = this->slotsByZone[slot.view.zone.name];
    zone[slot.zoneIndex] = zone.back();
    this->slots[zone[slot.zoneIndex]].zoneIndex = slot.zoneIndex;
    zone.pop_back();
    this->activeSlots[slot.activeIndex] = this->activeSlots.back();
    this->slots[this->activeSlots[slot.activeIndex]].activeIndex = slot.activeIndex;
    this->activeSlots.pop_back();
    ++slot.generation;
    this->freeSlots.push_back(slotIndex);
    this->slotById.erase(found);
    this->stalePoints += pointsPerUpstream;
    // Floating-point sums accumulate rounding errors, so the total is reset when the set is empty.
    if (this->activeSlots.empty())
        this->totalLoad = 0.0;
}

void CandidateSet::addInFlight(const std::string &id, int change)
{
    const auto found = this->slotById.find(id);
    if (found == this->slotById.end())
        return;
    this->slots[found->second].view.inFlight += change;
    this->totalLoad += change;
}

std::size_t CandidateSet::size() const
{
    return this->activeSlots.size();
}

const UpstreamView &CandidateSet::at(std::size_t index) const
{
    return this->slots[this->activeSlots[index]].view;
}

const UpstreamView *CandidateSet::find(const std::string &id) const
{
    const auto found = this->slotById.find(id);
    return found == this->slotById.end() ? nullptr : &this->slots[found->second].view;
}

double CandidateSet::meanLoad() const
{
    return this->activeSlots.empty() ? 0.0
                                     : std::max(0.0, this->totalLoad) / static_cast<double>(this->activeSlots.size());
}

const UpstreamView &CandidateSet::randomChoice(RandomEngine &random) const
{
    std::uniform_int_distribution<std::size_t> index(0, this->activeSlots.size() - 1);
    return this->at(index(random));
}

const UpstreamView *CandidateSet::randomChoiceIn(const AvailabilityZone &zone, RandomEngine &random) const
{
    const auto found = this->slotsByZone.find(zone.name);
    if (found == this->slotsByZone.end() || found->second.empty())
        return nullptr;
    std::uniform_int_distribution<std::size_t> index(0, found->second.size() - 1);
    return &this->slots[found->second[index(random)]].view;
}

std::vector<const UpstreamView *> CandidateSet::ringSuccessors(std::uint64_t hash, std::size_t count) const
{
    std::vector<const UpstreamView *> result;
    this->mergeRing();
    count = std::min(count, this->activeSlots.size());
    auto point = std::lower_bound(
        this->ring.begin(), this->ring.end(), hash, [](const RingPoint &a, std::uint64_t b) { return a.hash < b; });
    for (std::size_t steps = 0; steps < this->ring.size() && result.size() < count; ++steps, ++point) {
        if (point == this->ring.end())
            point = this->ring.begin();
        if (!this->isCurrent(*point))
            continue;
        const UpstreamView *view = &this->slots[point->slot].view;
        if (std::find(result.begin(), result.end(), view) == result.end())
            result.push_back(view);
    }
    return result;
}

bool CandidateSet::isCurrent(const RingPoint &point) const
{
    return this->slots[point.slot].generation == point.generation;
}

void CandidateSet::mergeRing() const
{
    if (this->newPoints.empty() && this->stalePoints * 2 <= this->ring.size())
        return;
    const auto byHash = [](const RingPoint &a, const RingPoint &b) { return a.hash < b.hash; };
    std::erase_if(this->ring, [this](const RingPoint &point) { return !this->isCurrent(point); });
    std::erase_if(this->newPoints, [this](const RingPoint &point) { return !this->isCurrent(point); });
    this->stalePoints = 0;
    std::sort(this->newPoints.begin(), this->newPoints.end(), byHash);
    const auto middle = static_cast<std::ptrdiff_t>(this->ring.size());
    this->ring.insert(this->ring.end(), this->newPoints.begin(), this->newPoints.end());
    std::inplace_merge(this->ring.begin(), this->ring.begin() + middle, this->ring.end(), byHash);
    this->newPoints.clear();
}

} // namespace hemlock
