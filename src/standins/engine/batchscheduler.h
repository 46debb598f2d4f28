#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hemlock {

struct BatchSettings
{
    std::size_t maxBatch = 16; ///< Sequences that take part in a step.
    std::chrono::microseconds stepDuration{
        4000}; ///< Duration of a step with one sequence; 0 for steps without duration.
    double batchGrowth = 0.05; ///< Part of the step by which each further sequence lengthens it.
    std::size_t prefillTokensPerStep = 512; ///< Prompt tokens that one step computes at most.
    double prefillGrowth = 0.004; ///< Part of the step by which each prompt token lengthens it.
};

/// Continuous batching: in each step the sequences with the highest priority compute prompt tokens or one token each.
class BatchScheduler
{
public:
    struct Step
    {
        std::vector<std::string> emitted; ///< Sequences that generated a token, in order.
        std::vector<std::string> admitted; ///< Sequences that took part for the first time.
        std::vector<std::string> finished; ///< Of the emitted ones, those that are complete and removed.
        std::chrono::microseconds duration{0};
    };

    explicit BatchScheduler(const BatchSettings &settings);

    /// @p promptTokens must be computed before @p tokens are generated. Priority 0 is the highest.
    void add(const std::string &id, int priority, std::size_t promptTokens, std::size_t tokens);
    void remove(const std::string &id);

    bool isIdle() const;
    std::size_t running() const; ///< Sequences in the next step.
    std::size_t waiting() const; ///< Sequences beyond the size of the batch.

    Step step();

private:
    struct Sequence
    {
        std::string id;
        std::size_t promptTokens = 0;
        std::size_t tokens = 0;
        bool isAdmitted = false;
    };
    /// Order of service: priority, then arrival.
    using QueuePosition = std::pair<int, std::uint64_t>;

    BatchSettings settings;
    std::uint64_t nextArrival = 0;
    std::map<QueuePosition, Sequence> sequences;
};

} // namespace hemlock
