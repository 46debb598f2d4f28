#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hemlock {

/// Bytes of a prompt that count as one token.
constexpr std::size_t bytesPerToken = 4;

std::size_t countTokens(std::string_view text);

/// Generates answers that depend on the prompt only, so that every engine continues an answer in the same way.
class AnswerGenerator
{
public:
    /// @p vocabulary are words that answers mix with those of the prompt; it may be empty.
    AnswerGenerator(std::string_view prompt, const std::vector<std::string> &vocabulary);

    /// Text of the token with this index, counted from 1.
    std::string token(std::size_t index) const;

private:
    std::vector<std::string> words;
    std::uint64_t seed;
};

} // namespace hemlock
