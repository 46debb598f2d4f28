#include "answergenerator.h"

#include <cctype>
#include <utility>

namespace hemlock {

namespace {

constexpr std::size_t wordsPerSentence = 12;
constexpr std::size_t maxPromptWords = 200;

constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t fnvPrime = 0x100000001b3ULL;

std::uint64_t hashText(std::string_view text)
{
    std::uint64_t hash = fnvOffset;
    for (const char byte : text)
        hash = (hash ^ static_cast<unsigned char>(byte)) * fnvPrime;
    return hash;
}

/// Finalizer of the SplitMix64 generator.
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/// Returns whether a byte is part of a word. Non-ASCII bytes are, so that no UTF-8 sequence is split.
bool isWordByte(char byte)
{
    const auto value = static_cast<unsigned char>(byte);
    return value >= 0x80U || std::isalnum(value) != 0;
}

std::vector<std::string> splitWords(std::string_view text)
{
    std::vector<std::string> words;
    std::string word;
    for (const char byte : text) {
        if (isWordByte(byte)) {
            word += byte;
            continue;
        }
        if (!word.empty())
            words.push_back(std::exchange(word, {}));
        if (words.size() == maxPromptWords)
            return words;
    }
    if (!word.empty())
        words.push_back(word);
    return words;
}

} // namespace

std::size_t countTokens(std::string_view text)
{
    return (text.size() + bytesPerToken - 1) / bytesPerToken;
}

AnswerGenerator::AnswerGenerator(std::string_view prompt, const std::vector<std::string> &vocabulary)
    : words(splitWords(prompt))
    , seed(hashText(prompt))
{
    this->words.insert(this->words.end(), vocabulary.begin(), vocabulary.end());
    if (this->words.empty())
        this->words.emplace_back("nothing");
}

std::string AnswerGenerator::token(std::size_t index) const
{
    std::string text = index > 1 ? " " : "";
    text += this->words[mix(this->seed + index) % this->words.size()];
    if (index % wordsPerSentence == 0)
        text += ".";
    return text;
}

} // namespace hemlock
