#include "reclaimplan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace hemlock {

namespace {

// The rest of the notice is reserved for late deliveries, retries and the shutdown of the process.
constexpr double usableNoticeShare = 0.9;

double seconds(std::chrono::milliseconds time)
{
    return static_cast<double>(time.count()) / 1000.0;
}

class ReclaimPlanner
{
public:
    explicit ReclaimPlanner(const ReclaimInput &input)
        : input(input)
        , targets(input.targets)
        , secondsLeft(usableNoticeShare * seconds(input.timeLeft))
    {
        for (const CacheItem &item : input.items)
            this->itemById[item.id] = &item;
    }

    std::vector<ReclaimStep> run()
    {
        std::vector<const CacheItem *> pending;
        for (const CacheItem &item : this->input.items) {
            if (item.isStream && seconds(item.timeToFinish) < usableNoticeShare * seconds(input.timeLeft))
                this->steps.push_back({item.id, ReclaimAction::Finish, {}, "ends before the deadline"});
            else
                pending.push_back(&item);
        }
        // Exporting a prefix makes the streams that extend it cheaper, so the next item is selected anew each time.
        while (!pending.empty()) {
            const auto best = std::max_element(pending.begin(), pending.end(), [this](const auto *a, const auto *b) {
                return this->tokensPerByte(*a) < this->tokensPerByte(*b);
            });
            const CacheItem &item = **best;
            pending.erase(best);
            this->planItem(item);
        }
        return std::move(this->steps);
    }

private:
    /// Bytes to export for an item, including its prefix unless that is exported already.
    double exportBytes(const CacheItem &item) const
    {
        const auto prefix = this->itemById.find(item.prefix);
        const bool includesPrefix = prefix != this->itemById.end() && this->targetOf.count(item.prefix) == 0;
        return item.bytes + (includesPrefix ? prefix->second->bytes : 0.0);
    }

    /// Weighted saved tokens per byte. An interrupted stream delays a waiting caller, so streams weigh more than
    /// prefixes and urgent streams more than others.
    double tokensPerByte(const CacheItem &item) const
    {
        constexpr double weightPerPriorityStep = 1.1;
        const double weight = item.isStream ? 2.0 * std::pow(weightPerPriorityStep, 5 - item.priority) : 1.0;
        const auto prefix = this->itemById.find(item.prefix);
        const bool includesPrefix = prefix != this->itemById.end() && this->targetOf.count(item.prefix) == 0;
        const double tokens = item.savedTokens + (includesPrefix ? prefix->second->savedTokens : 0.0);
        return weight * tokens / std::max(this->exportBytes(item), 1.0);
    }

    void planItem(const CacheItem &item)
    {
        const auto exported = this->targetOf.find(item.id);
        if (exported != this->targetOf.end()) {
            this->steps.push_back({item.id, ReclaimAction::Export, exported->second, "exported with a stream"});
            return;
        }
        double bytes = this->exportBytes(item);
        ExportTarget *target = this->targetOfPrefix(item, bytes);
        if (target == nullptr) {
            // On any other upstream than that of its prefix, the stream needs a copy of the prefix.
            const auto prefix = this->itemById.find(item.prefix);
            bytes = item.bytes + (prefix != this->itemById.end() ? prefix->second->bytes : 0.0);
            target = this->bestTarget(bytes);
        }
        if (target == nullptr) {
            this->steps.push_back({item.id, ReclaimAction::Replay, {}, "no upstream has room"});
            return;
        }
        const double duration = bytes / std::max(this->input.bytesPerSecond, 1.0) + seconds(this->input.timePerExport);
        if (duration > this->secondsLeft) {
            this->steps.push_back({item.id, ReclaimAction::Replay, {}, "does not fit into the time left"});
            return;
        }
        this->secondsLeft -= duration;
        target->freeBytes -= bytes;
        target->load += item.isStream ? 1.0 : 0.0;
        if (this->itemById.count(item.prefix) > 0)
            this->targetOf.emplace(item.prefix, target->id);
        this->targetOf.emplace(item.id, target->id);
        this->steps.push_back({item.id,
                               ReclaimAction::Export,
                               target->id,
                               std::to_string(std::lround(item.savedTokens)) + " tokens for "
                                   + std::to_string(std::lround(bytes)) + " bytes"});
    }

    ExportTarget *targetOfPrefix(const CacheItem &item, double bytes)
    {
        const auto known = this->targetOf.find(item.prefix);
        if (known == this->targetOf.end())
            return nullptr;
        const auto found = std::find_if(this->targets.begin(), this->targets.end(), [&](const ExportTarget &target) {
            return target.id == known->second && target.freeBytes >= bytes;
        });
        return found == this->targets.end() ? nullptr : &*found;
    }

    ExportTarget *bestTarget(double bytes)
    {
        ExportTarget *best = nullptr;
        const auto rank = [this](const ExportTarget &target) {
            return std::pair(target.zone.name == this->input.zone.name, target.load);
        };
        for (ExportTarget &target : this->targets) {
            if (target.freeBytes >= bytes && (best == nullptr || rank(target) < rank(*best)))
                best = &target;
        }
        return best;
    }

    const ReclaimInput &input;
    std::vector<ExportTarget> targets;
    double secondsLeft;
    std::map<std::string, const CacheItem *> itemById;
    std::map<std::string, std::string> targetOf; ///< Upstream that imports an item, by exported item.
    std::vector<ReclaimStep> steps;
};

} // namespace

std::vector<ReclaimStep> planReclaim(const ReclaimInput &input)
{
    return ReclaimPlanner(input).run();
}

} // namespace hemlock
