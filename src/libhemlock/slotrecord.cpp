#include "slotrecord.h"

#include "encoding.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>
#include <stdexcept>

namespace hemlock {

using nlohmann::json;

namespace {

constexpr std::string_view recordFormat = "hemlock-slot";
constexpr std::string_view segmentFormat = "hemlock-segment";
constexpr int formatVersion = 1;
// The checksum detects truncation and corruption; it does not protect against a writer with access to the store.
constexpr std::size_t checksumHexDigits = 16;

/// Encodes a JSON body behind a first line of the form "FORMAT VERSION LENGTH CHECKSUM".
std::string addHeader(std::string_view format, const json &body)
{
    const std::string text = body.dump(-1, ' ', false, json::error_handler_t::replace);
    std::string value(format);
    value += " " + std::to_string(formatVersion) + " " + std::to_string(text.size()) + " ";
    value += sha256Hex(text).substr(0, checksumHexDigits) + "\n" + text;
    return value;
}

std::vector<std::string_view> splitWords(std::string_view line)
{
    std::vector<std::string_view> words;
    while (!line.empty()) {
        const std::size_t end = std::min(line.find(' '), line.size());
        words.push_back(line.substr(0, end));
        line.remove_prefix(std::min(end + 1, line.size()));
    }
    return words;
}

template <class T>
std::optional<T> parseNumber(std::string_view text)
{
    T number{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

/// Returns the JSON body of a value, or a RecordError if its first line does not match the format or the body.
Result<json> checkAndRemoveHeader(std::string_view format, std::string_view value)
{
    const auto fail = [format](const std::string &text) {
        return boost::leaf::new_error(RecordError{std::string(format) + " value: " + text});
    };
    const std::size_t lineEnd = value.find('\n');
    const std::vector<std::string_view> words = splitWords(value.substr(0, lineEnd));
    if (words.empty() || words.front() != format)
        return fail("it was not written by this system");
    if (words.size() < 2 || !parseNumber<int>(words[1]))
        return fail("its first line is damaged");
    if (parseNumber<int>(words[1]) != formatVersion)
        return fail("its version is " + std::string(words[1]) + ", this program reads version "
                    + std::to_string(formatVersion));
    constexpr std::size_t wordCount = 4;
    if (lineEnd == std::string_view::npos || words.size() != wordCount)
        return fail("its first line is damaged");
    const std::string_view text = value.substr(lineEnd + 1);
    if (parseNumber<std::size_t>(words[2]) != text.size())
        return fail("it has " + std::to_string(text.size()) + " bytes of " + std::string(words[2]));
    if (sha256Hex(text).substr(0, checksumHexDigits) != words[3])
        return fail("its checksum does not match");
    json body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return fail("it is not a JSON object");
    return body;
}

std::int64_t toUnixSeconds(WallTime time)
{
    return time.time_since_epoch().count();
}

WallTime parseTime(const json &value)
{
    return WallTime(std::chrono::seconds(value.get<std::int64_t>()));
}

json completionJson(const DurableCompletion &completion)
{
    json value = {completion.keyHash, completion.bodyHash, toUnixSeconds(completion.finishedAt)};
    if (completion.hasAnswer) {
        value.push_back(completion.answer.status);
        value.push_back(encodeBase64(completion.answer.contentType));
        value.push_back(encodeBase64(completion.answer.body));
    }
    return value;
}

std::string parseBase64(const json &value)
{
    auto bytes = decodeBase64(value.get<std::string>());
    if (!bytes)
        throw std::invalid_argument("an answer is not base64");
    return *std::move(bytes);
}

DurableCompletion parseCompletion(const json &value)
{
    constexpr std::size_t sizeWithAnswer = 6;
    DurableCompletion completion;
    completion.keyHash = value.at(0).get<std::string>();
    completion.bodyHash = value.at(1).get<std::string>();
    completion.finishedAt = parseTime(value.at(2));
    completion.hasAnswer = value.size() == sizeWithAnswer;
    if (completion.hasAnswer) {
        completion.answer.status = value.at(3).get<int>();
        completion.answer.contentType = parseBase64(value.at(4));
        completion.answer.body = parseBase64(value.at(5));
    }
    return completion;
}

SlotRecord parseRecord(const json &body)
{
    SlotRecord record;
    record.slot = body.at("slot").get<std::uint32_t>();
    record.slotCount = body.at("slotCount").get<std::uint32_t>();
    record.epoch = body.at("epoch").get<std::uint64_t>();
    record.owner = body.at("owner").get<std::string>();
    record.ownerAddress = body.at("ownerAddress").get<std::string>();
    record.commitId = body.at("commitId").get<std::string>();
    record.nextSegment = body.at("nextSegment").get<std::uint64_t>();
    for (const json &value : body.at("intents"))
        record.intents.push_back({value.at(0), value.at(1), parseTime(value.at(2))});
    for (const json &value : body.at("completions"))
        record.completions.push_back(parseCompletion(value));
    for (const json &value : body.at("tombstones"))
        record.tombstones.push_back({value.at(0), parseTime(value.at(1))});
    for (const json &value : body.at("segments"))
        record.segments.push_back({value.at(0).get<std::uint64_t>(), parseTime(value.at(1))});
    return record;
}

} // namespace

std::string encodeSlotRecord(const SlotRecord &record)
{
    json body = {{"slot", record.slot},
                 {"slotCount", record.slotCount},
                 {"epoch", record.epoch},
                 {"owner", record.owner},
                 {"ownerAddress", record.ownerAddress},
                 {"commitId", record.commitId},
                 {"nextSegment", record.nextSegment},
                 {"intents", json::array()},
                 {"completions", json::array()},
                 {"tombstones", json::array()},
                 {"segments", json::array()}};
    for (const DurableIntent &intent : record.intents)
        body["intents"].push_back({intent.keyHash, intent.bodyHash, toUnixSeconds(intent.startedAt)});
    for (const DurableCompletion &completion : record.completions)
        body["completions"].push_back(completionJson(completion));
    for (const Tombstone &tombstone : record.tombstones)
        body["tombstones"].push_back(json::array({tombstone.keyHash, toUnixSeconds(tombstone.startedAt)}));
    for (const SegmentReference &segment : record.segments)
        body["segments"].push_back({segment.number, toUnixSeconds(segment.newestFinishedAt)});
    return addHeader(recordFormat, body);
}

Result<SlotRecord> decodeSlotRecord(std::string_view value, std::uint32_t slot, std::uint32_t slotCount)
{
    BOOST_LEAF_AUTO(body, checkAndRemoveHeader(recordFormat, value));
    SlotRecord record;
    try {
        record = parseRecord(body);
    } catch (const std::exception &error) {
        return boost::leaf::new_error(RecordError{std::string("hemlock-slot value: ") + error.what()});
    }
    if (record.slot != slot)
        return boost::leaf::new_error(RecordError{"hemlock-slot value: it belongs to slot "
                                                  + std::to_string(record.slot) + ", not " + std::to_string(slot)});
    if (record.slotCount != slotCount)
        return boost::leaf::new_error(RecordError{"hemlock-slot value: it was written for "
                                                  + std::to_string(record.slotCount) + " slots, the settings say "
                                                  + std::to_string(slotCount)});
    return record;
}

std::string encodeSegment(const std::vector<DurableCompletion> &completions)
{
    json body = {{"completions", json::array()}};
    for (const DurableCompletion &completion : completions)
        body["completions"].push_back(completionJson(completion));
    return addHeader(segmentFormat, body);
}

Result<std::vector<DurableCompletion>> decodeSegment(std::string_view value)
{
    BOOST_LEAF_AUTO(body, checkAndRemoveHeader(segmentFormat, value));
    std::vector<DurableCompletion> completions;
    try {
        for (const json &completion : body.at("completions"))
            completions.push_back(parseCompletion(completion));
    } catch (const std::exception &error) {
        return boost::leaf::new_error(RecordError{std::string("hemlock-segment value: ") + error.what()});
    }
    return completions;
}

std::size_t encodedSize(const DurableCompletion &completion)
{
    // Base64 takes four characters for three bytes; fixedBytes covers quotes, commas, the time and the status.
    constexpr std::size_t fixedBytes = 48;
    const auto base64Size = [](std::size_t bytes) { return (bytes + 2) / 3 * 4; };
    std::size_t size = fixedBytes + completion.keyHash.size() + completion.bodyHash.size();
    if (completion.hasAnswer)
        size += base64Size(completion.answer.contentType.size()) + base64Size(completion.answer.body.size());
    return size;
}

std::string hashKey(std::string_view clientAccount, std::string_view key)
{
    // The length prefix distinguishes account "a" with key "bc" from account "ab" with key "c".
    std::string text = std::to_string(clientAccount.size()) + ":";
    text.append(clientAccount).append(key);
    const std::string hex = sha256Hex(text);
    constexpr std::size_t hashBytes = 16;
    constexpr std::size_t base64Digits = 22;
    constexpr int hexBase = 16;
    std::string bytes;
    for (std::size_t i = 0; i < hashBytes; ++i)
        bytes.push_back(static_cast<char>(std::stoi(hex.substr(2 * i, 2), nullptr, hexBase)));
    return encodeBase64(bytes).substr(0, base64Digits);
}

std::uint32_t slotOfKeyHash(std::string_view keyHash, std::uint32_t slotCount)
{
    // 32-bit FNV-1a over the text of the key hash, which is uniformly distributed.
    std::uint32_t hash = 2166136261U;
    for (const char c : keyHash)
        hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
    return hash % slotCount;
}

std::string slotKey(std::uint32_t slot)
{
    return "slots/" + std::to_string(slot);
}

std::string slotHolderKey(std::uint32_t slot)
{
    return slotKey(slot) + "/holder";
}

std::string segmentKey(std::uint32_t slot, std::uint64_t number)
{
    return slotKey(slot) + "/segments/" + std::to_string(number);
}

} // namespace hemlock
