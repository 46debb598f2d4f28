#pragma once

#include "idempotency.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hemlock {

/// Answers up to this size, body and content type together, are stored with the completion and replayed.
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

/// The result of a call that ran.
struct DurableCompletion
{
    std::string keyHash;
    std::string bodyHash;
    WallTime finishedAt;
    bool hasAnswer = false; ///< False when the answer exceeded maxStoredAnswerBytes.
    StoredAnswer answer;
};

/// An intent whose outcome can no longer be determined. Its call may have run and is never run again.
struct Tombstone
{
    std::string keyHash;
    WallTime startedAt;

    bool operator==(const Tombstone &) const = default;
};

/// Refers to a sealed segment of completions, which is stored under its own key and deleted as a whole.
struct SegmentReference
{
    std::uint64_t number = 0;
    WallTime newestFinishedAt; ///< When the latest call in the segment finished.

    bool operator==(const SegmentReference &) const = default;
};

/// Durable state of one slot of idempotency keys, replaced as a whole by compare-and-swap.
struct SlotRecord
{
    std::uint32_t slot = 0;
    std::uint32_t slotCount = 0; ///< Determines the slot of a key, so a record with another count is refused.
    std::uint64_t epoch = 0; ///< Increases by one with each claim.
    std::string owner; ///< Instance identifier of the owner's entry process; empty after a release.
    std::string ownerAddress; ///< Control address of the owner's entry process, "IP:PORT".
    std::string commitId; ///< Unique per commit; shows after a lost response whether the commit was applied.
    std::uint64_t nextSegment = 1;
    std::vector<DurableIntent> intents;
    std::vector<DurableCompletion> completions;
    std::vector<Tombstone> tombstones;
    std::vector<SegmentReference> segments;
};

/// Why a stored value cannot be used; an error object of Result.
struct RecordError
{
    std::string text;
};

std::string encodeSlotRecord(const SlotRecord &record);

/// Fails with RecordError if the value is truncated or altered, has another format or version, or belongs to another
/// slot or slot count.
Result<SlotRecord> decodeSlotRecord(std::string_view value, std::uint32_t slot, std::uint32_t slotCount);

std::string encodeSegment(const std::vector<DurableCompletion> &completions);
/// Fails with RecordError if the value is truncated or altered, or has another format or version.
Result<std::vector<DurableCompletion>> decodeSegment(std::string_view value);

/// Upper bound of the bytes that one entry takes in an encoded record. The header includes all single fields.
std::size_t encodedSize(const DurableCompletion &completion);
inline constexpr std::size_t encodedIntentBytes = 80;
inline constexpr std::size_t encodedTombstoneBytes = 42;
inline constexpr std::size_t encodedSegmentReferenceBytes = 40;
inline constexpr std::size_t encodedHeaderBytes = 1024;

/// Identifies an idempotency key within its client account: 128 bits of SHA-256 in base64 without padding.
std::string hashKey(std::string_view clientAccount, std::string_view key);

/// Maps a key hash to a slot number below @p slotCount.
std::uint32_t slotOfKeyHash(std::string_view keyHash, std::uint32_t slotCount);

/// Store key of the slot's record.
std::string slotKey(std::uint32_t slot);
/// Store key that the owner of the slot attaches to its lease; its presence suggests that the owner is alive.
std::string slotHolderKey(std::uint32_t slot);
/// Store key of a sealed segment.
std::string segmentKey(std::uint32_t slot, std::uint64_t number);

} // namespace hemlock
