#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hemlock {

struct BatchSettings
{
    std::size_t maxBatch = 16; ///< Maximum number of sequences in a step.
    std::chrono::microseconds stepDuration{
        4000}; ///< Duration of a step with one sequence; with 0 all steps are instantaneous.
    double batchGrowth = 0.05; ///< Relative increase of the duration per additional sequence.
    std::size_t prefillTokensPerStep = 512; ///< Maximum number of prompt tokens that a step computes.
    double prefillGrowth = 0.004; ///< Relative increase of the duration per computed prompt token.
};

/// Continuous batching: in each step the sequences with the highest priority either process prompt tokens or generate
/// one token each.
class BatchScheduler
{
public:
    struct Step
    {
        std::vector<std::string> emitted; ///< Sequences that generated a token, in order.
        std::vector<std::string> admitted; ///< Sequences that ran for the first time.
        std::vector<std::string> finished; ///< Sequences that are complete and have been removed.
        std::chrono::microseconds duration{0};
    };

    explicit BatchScheduler(const BatchSettings &settings);

    /// Adds a sequence that processes @p promptTokens and then generates @p tokens. Priority 0 is the highest.
    void add(const std::string &id, int priority, std::size_t promptTokens, std::size_t tokens);
    void remove(const std::string &id);

    bool isIdle() const;
    std::size_t running() const; ///< Number of sequences in the next step.
    std::size_t waiting() const; ///< Number of sequences that do not fit into the batch.

    Step step();

private:
    struct Sequence
    {
        std::string id;
        std::size_t promptTokens = 0;
        std::size_t tokens = 0;
        bool isAdmitted = false;
    };
    /// Scheduling order: priority, then order of arrival.
    using QueuePosition = std::pair<int, std::uint64_t>;

    BatchSettings settings;
    std::uint64_t nextArrival = 0;
    std::map<QueuePosition, Sequence> sequences;
};

} // namespace hemlock
