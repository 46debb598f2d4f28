#include "answertext.h"

#include <cctype>
#include <utility>

namespace hemlock {

namespace {

/// Words between two full stops.
constexpr std::size_t sentenceLength = 12;
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

/// Finaliser of SplitMix64.
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/// ASCII words only, since a token must be valid UTF-8 by itself.
std::vector<std::string> splitWords(std::string_view text)
{
    std::vector<std::string> words;
    std::string word;
    for (const char byte : text) {
        if (std::isalnum(static_cast<unsigned char>(byte)) != 0) {
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

AnswerText::AnswerText(std::string_view prompt, const std::vector<std::string> &vocabulary)
    : words(splitWords(prompt))
    , seed(hashText(prompt))
{
    this->words.insert(this->words.end(), vocabulary.begin(), vocabulary.end());
    if (this->words.empty())
        this->words.emplace_back("nothing");
}

std::string AnswerText::token(std::size_t index) const
{
    std::string text = index > 1 ? " " : "";
    text += this->words[mix(this->seed + index) % this->words.size()];
    if (index % sentenceLength == 0)
        text += ".";
    return text;
}

} // namespace hemlock
