#pragma once

#include "idempotency.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hemlock {

/// Answers up to this size are kept with the completion and replayed.
inline constexpr std::size_t maxStoredAnswerBytes = std::size_t{4} * 1024;

using WallTime = std::chrono::sys_seconds;

/// An intent without a completion: its call may be running.
struct DurableIntent
{
    std::string keyHash;
    std::string bodyHash;
    WallTime startedAt;

    bool operator==(const DurableIntent &) const = default;
};

/// A call that ran.
struct DurableCompletion
{
    std::string keyHash;
    std::string bodyHash;
    WallTime finishedAt;
    bool hasAnswer = false; ///< False when the answer exceeded maxStoredAnswerBytes.
    StoredAnswer answer;
};

/// An intent whose outcome is unknown for ever; its call may have run and is never run again.
struct Tombstone
{
    std::string keyHash;
    WallTime startedAt;

    bool operator==(const Tombstone &) const = default;
};

/// A sealed segment of completions, which is stored under its own key and dropped as a whole.
struct SegmentReference
{
    std::uint64_t number = 0;
    WallTime newestFinishedAt; ///< When the last of its calls finished.

    bool operator==(const SegmentReference &) const = default;
};

/// Durable state of one slot of idempotency keys, replaced as a whole by compare-and-swap.
struct SlotRecord
{
    std::uint32_t slot = 0;
    std::uint32_t slotCount = 0; ///< Keys hash to other slots under another count, so a mismatch is refused.
    std::uint64_t epoch = 0; ///< Grows with each change of owner.
    std::string owner; ///< Instance identifier of the owner's entry process; empty after a release.
    std::string ownerAddress; ///< Control address of the owner's entry process, "IP:PORT".
    std::string commitId; ///< Unique per commit, so that a lost answer is settled by reading the record.
    std::uint64_t nextSegment = 1;
    std::vector<DurableIntent> intents;
    std::vector<DurableCompletion> completions;
    std::vector<Tombstone> tombstones;
    std::vector<SegmentReference> segments;
};

/// Why a stored value cannot be used; carried as an error object of a Result.
struct RecordError
{
    std::string text;
};

std::string encodeSlotRecord(const SlotRecord &record);

/// Fails with RecordProblem for a truncated, altered, foreign or newer value, or one of another slot.
Result<SlotRecord> decodeSlotRecord(std::string_view value, std::uint32_t slot, std::uint32_t slotCount);

std::string encodeSegment(const std::vector<DurableCompletion> &completions);
Result<std::vector<DurableCompletion>> decodeSegment(std::string_view value);

/// Bytes that one entry takes in an encoded record, at most.
std::size_t encodedSize(const DurableCompletion &completion);
inline constexpr std::size_t encodedIntentBytes = 80;
inline constexpr std::size_t encodedTombstoneBytes = 42;
inline constexpr std::size_t encodedSegmentReferenceBytes = 40;
inline constexpr std::size_t encodedHeaderBytes = 1024;

/// Identifies an idempotency key within its client account: 128 bits of SHA-256 in base64 without padding.
std::string hashKey(std::string_view clientAccount, std::string_view key);

/// Slot of a key hash.
std::uint32_t slotOfKeyHash(std::string_view keyHash, std::uint32_t slotCount);

/// Key of the slot's record in the store.
std::string slotKey(std::uint32_t slot);
/// Key that the owner of the slot holds under its lease; a hint that the owner lives.
std::string slotHolderKey(std::uint32_t slot);
std::string segmentKey(std::uint32_t slot, std::uint64_t number);

} // namespace hemlock
