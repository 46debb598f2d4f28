#include "slotrecord.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

class SlotRecordFixture
{
protected:
    SlotRecordFixture()
    {
        this->record.slot = 3;
        this->record.slotCount = 8;
        this->record.epoch = 7;
        this->record.owner = "instance";
        this->record.ownerAddress = "127.0.0.1:1";
        this->record.commitId = "commit";
        this->record.nextSegment = 5;
        const WallTime time{std::chrono::seconds(1764820000)};
        this->record.intents = {{hashKey("a", "open"), "0123456789abcdef0123456789abcdef", time}};
        const StoredAnswer answer{200, "text/plain", std::string("\0\xff", 2)};
        this->record.completions = {{hashKey("a", "done"), "body", time, true, answer}};
        this->record.tombstones = {{hashKey("a", "lost"), time}};
        this->record.segments = {{4, time}};
        this->value = encodeSlotRecord(this->record);
    }

    static std::string decodeError(std::string_view value, std::uint32_t slot = 3, std::uint32_t slotCount = 8)
    {
        return boost::leaf::try_handle_all(
            [&]() -> Result<std::string> {
                BOOST_LEAF_CHECK(decodeSlotRecord(value, slot, slotCount));
                return std::string();
            },
            [](const RecordError &problem) { return problem.text; },
            [] { return std::string("no problem text"); });
    }

    SlotRecord record;
    std::string value;
};

} // namespace

// Guards against losing part of a record when it is encoded and decoded.
TEST_CASE_METHOD(SlotRecordFixture, "SlotRecord: encoded and decoded: is unchanged")
{
    const SlotRecord decoded = decodeSlotRecord(this->value, 3, 8).value();
    CHECK(encodeSlotRecord(decoded) == this->value);
    CHECK(decoded.intents == this->record.intents);
    CHECK(decoded.tombstones == this->record.tombstones);
    CHECK(decoded.completions.at(0).answer.body == std::string("\0\xff", 2));
}

// Guards against accepting a damaged or unrelated value as an empty record, after which calls would run twice.
TEST_CASE_METHOD(SlotRecordFixture,
                 "SlotRecord: value that is not a complete record of the slot: is refused with a reason")
{
    for (std::size_t size = 0; size < this->value.size(); ++size)
        REQUIRE_FALSE(decodeError(std::string_view(this->value).substr(0, size)).empty());
    std::string altered = this->value;
    altered.back() = ' ';
    CHECK(decodeError(altered) == "hemlock-slot value: its checksum does not match");
    CHECK(decodeError("{\"owner\":\"x\"}") == "hemlock-slot value: it was not written by this system");
    std::string newer = this->value;
    newer.replace(newer.find(" 1 "), 3, " 2 ");
    CHECK(decodeError(newer) == "hemlock-slot value: its version is 2, this program reads version 1");
    CHECK(decodeError(this->value, 4) == "hemlock-slot value: it belongs to slot 3, not 4");
    CHECK(decodeError(this->value, 3, 16) == "hemlock-slot value: it was written for 8 slots, the settings say 16");
}

// Guards against size estimates that are too low and let a record exceed the value size limit of the store.
TEST_CASE_METHOD(SlotRecordFixture, "SlotRecord: entry of each kind: takes no more bytes than estimated")
{
    SlotRecord empty = this->record;
    empty.intents.clear();
    empty.completions.clear();
    empty.tombstones.clear();
    empty.segments.clear();
    const std::size_t base = encodeSlotRecord(empty).size();
    CHECK(base <= encodedHeaderBytes);
    const std::size_t digits = 8; // The length in the first line may gain digits.
    CHECK(this->value.size() - base <= encodedIntentBytes + encodedTombstoneBytes + encodedSegmentReferenceBytes
              + encodedSize(this->record.completions.at(0)) + digits);
}

// Guards against a key of one client account that replays answers to or blocks calls of another account.
TEST_CASE("hashKey: same text split differently between account and key: hashes differ")
{
    CHECK(hashKey("a", "bc") != hashKey("ab", "c"));
}
