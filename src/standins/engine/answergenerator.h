#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hemlock {

/// Bytes of a prompt that are counted as one token.
constexpr std::size_t bytesPerToken = 4;

std::size_t countTokens(std::string_view text);

/// Generates answers that depend only on the prompt and the vocabulary, so that any engine can continue an answer that
/// another one has started.
class AnswerGenerator
{
public:
    /// Answers are made of words of the prompt and of @p vocabulary, which may be empty.
    AnswerGenerator(std::string_view prompt, const std::vector<std::string> &vocabulary);

    /// Returns the text of a token; @p index starts at 1.
    std::string token(std::size_t index) const;

private:
    std::vector<std::string> words;
    std::uint64_t seed;
};

} // namespace hemlock
