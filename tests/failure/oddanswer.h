#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hemlock {

/// Field in an answer that asks a FaultProxy to send it as another form, with the number of the form.
inline constexpr std::string_view oddAnswerField = "Soak-Form";

/// Answer that is cut, or whose head does not say how long it is; its connection ends after it.
struct OddAnswer
{
    std::string bytes;
    bool isReset = false; ///< The connection is reset instead of closed.
};

/// Number of forms.
int oddAnswerForms();

/// What a form does, for messages.
std::string oddAnswerName(int form);

/// Makes the form that the answer asks for in oddAnswerField; nullopt when it has no such field. @p answer must be
/// complete and have a length.
std::optional<OddAnswer> oddAnswer(std::string_view answer);

} // namespace hemlock
