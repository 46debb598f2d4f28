#include "rollout/exposurelimit.h"

#include <algorithm>
#include <cmath>

namespace hemlock {

namespace {

/// Part of the share that is used. The rest covers requests that are counted here and refused by their upstream.
constexpr double usedShare = 0.9;

/// Part of the slack that is used. The rest covers requests of VMs that have restarted or whose number is not known.
constexpr double usedSlack = 0.6;

/// A permission lasts for this part of the time within which a bad version must get no more requests. The rest is for
/// the decision, and for requests that are sent but arrive late.
constexpr double permitPart = 0.4;

} // namespace

ExposureLimit::ExposureLimit(ExposureSettings settings)
    : settings(settings)
{
}

void ExposureLimit::begin(double random)
{
    *this = ExposureLimit(this->settings);
    this->offset = random;
}

void ExposureLimit::requestStarted()
{
    this->requests += 1.0;
}

void ExposureLimit::targetStarted()
{
    this->targetRequests += 1.0;
}

void ExposureLimit::permit(double share, bool isJudgedGood, TimePoint reportSent)
{
    const auto lifetime =
        std::chrono::milliseconds(std::llround(static_cast<double>(this->settings.rollbackTime.count()) * permitPart));
    // Answers may overtake each other; an earlier one must not replace a later one.
    if (reportSent + lifetime <= this->permittedUntil)
        return;
    this->permittedUntil = reportSent + lifetime;
    this->permittedShare = share;
    this->isGood = isJudgedGood;
}

void ExposureLimit::stop()
{
    this->permittedShare = 0.0;
    this->isGood = false;
}

bool ExposureLimit::allows(double random, std::size_t vms, TimePoint now) const
{
    if (!this->isPermitted(now) || random >= this->permittedShare)
        return false;
    return this->isGood || this->remaining(vms) >= 1.0;
}

bool ExposureLimit::isPermitted(TimePoint now) const
{
    return now<this->permittedUntil &&this->permittedShare> 0.0;
}

double ExposureLimit::remaining(std::size_t vms) const
{
    const double slack =
        std::floor(this->settings.slack * usedSlack / static_cast<double>(std::max<std::size_t>(1, vms)));
    return this->settings.share * usedShare * this->requests + this->offset + slack - this->targetRequests;
}

} // namespace hemlock
