#include "verdict.h"

#include <algorithm>
#include <cstdint>

namespace hemlock {

std::string_view verdictName(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::Ran:
        return "ran";
    case Verdict::MayHaveRun:
        return "may-have-run";
    }
    return "may-have-run";
}

std::string retryAfterText(std::chrono::milliseconds time)
{
    constexpr std::int64_t msPerSecond = 1000;
    const std::int64_t ms = std::max<std::int64_t>(0, time.count());
    std::string text = std::to_string(ms / msPerSecond);
    if (ms % msPerSecond == 0)
        return text;
    text += "." + std::to_string(msPerSecond + ms % msPerSecond).substr(1);
    text.erase(text.find_last_not_of('0') + 1);
    return text;
}

} // namespace hemlock
