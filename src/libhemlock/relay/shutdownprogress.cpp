#include "relay/shutdownprogress.h"

namespace hemlock {

ShutdownProgress::ShutdownProgress(ShutdownSettings settings)
    : settings(settings)
{
}

void ShutdownProgress::begin(TimePoint now, std::chrono::milliseconds drainTime)
{
    this->isBegun = true;
    this->start = now;
    this->end = now + drainTime - this->settings.margin;
}

bool ShutdownProgress::hasBegun() const
{
    return this->isBegun;
}

std::chrono::milliseconds ShutdownProgress::elapsed(TimePoint now) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - this->start);
}

std::chrono::milliseconds ShutdownProgress::timeLeft(TimePoint now) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->end - this->settings.flushTime - now);
}

bool ShutdownProgress::accepts(std::chrono::milliseconds timeLimit, bool isResumable, TimePoint now) const
{
    if (!this->isBegun || timeLimit <= this->timeLeft(now))
        return true;
    return isResumable && this->elapsed(now) < this->settings.resumableAcceptTime;
}

bool ShutdownProgress::mustEndCalls(TimePoint now) const
{
    return this->isBegun && this->timeLeft(now).count() <= 0;
}

void ShutdownProgress::callStartedOrEnded(TimePoint now)
{
    this->lastActivity = now;
}

bool ShutdownProgress::mayExit(std::size_t openCalls, TimePoint now) const
{
    if (now >= this->end)
        return true;
    return openCalls == 0 && now - this->lastActivity > this->settings.quietTime
        && this->elapsed(now) >= this->settings.minTime;
}

} // namespace hemlock
