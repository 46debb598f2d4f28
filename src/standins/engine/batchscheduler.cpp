#include "batchscheduler.h"

#include <algorithm>

namespace hemlock {

BatchScheduler::BatchScheduler(const BatchSettings &settings)
    : settings(settings)
{
}

void BatchScheduler::add(const std::string &id, int priority, std::size_t promptTokens, std::size_t tokens)
{
    this->sequences[{priority, this->nextArrival++}] = {id, promptTokens, tokens};
}

void BatchScheduler::remove(const std::string &id)
{
    std::erase_if(this->sequences, [&id](const auto &entry) { return entry.second.id == id; });
}

bool BatchScheduler::isIdle() const
{
    return this->sequences.empty();
}

std::size_t BatchScheduler::running() const
{
    return std::min(this->sequences.size(), this->settings.maxBatch);
}

std::size_t BatchScheduler::waiting() const
{
    return this->sequences.size() - this->running();
}

BatchScheduler::Step BatchScheduler::step()
{
    Step step;
    std::size_t batchSize = 0;
    std::size_t prefillLeft = this->settings.prefillTokensPerStep;
    auto position = this->sequences.begin();
    while (position != this->sequences.end() && batchSize < this->settings.maxBatch) {
        Sequence &sequence = position->second;
        ++batchSize;
        if (!sequence.isAdmitted)
            step.admitted.push_back(sequence.id);
        sequence.isAdmitted = true;
        if (sequence.promptTokens > 0) {
            const std::size_t computed = std::min(sequence.promptTokens, prefillLeft);
            sequence.promptTokens -= computed;
            prefillLeft -= computed;
        } else if (sequence.tokens > 0) {
            --sequence.tokens;
            step.emitted.push_back(sequence.id);
        }
        if (sequence.promptTokens == 0 && sequence.tokens == 0) {
            step.finished.push_back(sequence.id);
            position = this->sequences.erase(position);
        } else {
            ++position;
        }
    }
    const auto computed = static_cast<double>(this->settings.prefillTokensPerStep - prefillLeft);
    const double others = batchSize > 0 ? static_cast<double>(batchSize - 1) : 0.0;
    const double factor = 1.0 + this->settings.batchGrowth * others + this->settings.prefillGrowth * computed;
    step.duration = std::chrono::duration_cast<std::chrono::microseconds>(this->settings.stepDuration * factor);
    return step;
}

} // namespace hemlock
