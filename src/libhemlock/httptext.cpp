#include "httptext.h"

#include <algorithm>

namespace hemlock {

namespace {

char lowerCase(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

} // namespace

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(
        a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return lowerCase(x) == lowerCase(y); });
}

} // namespace hemlock
