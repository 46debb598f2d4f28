#include "relay/repeatedanswers.h"

namespace hemlock {

namespace {

constexpr std::chrono::seconds observationLifetime{30};

} // namespace

void RepeatedAnswers::record(const Upstream &upstream, TimePoint now)
{
    std::erase_if(this->latest, [now](const auto &entry) { return now - entry.second.time >= observationLifetime; });
    this->latest[upstream.id] = {upstream.incarnation, now};
}

bool RepeatedAnswers::isExpected(const Upstream &upstream, TimePoint now) const
{
    const auto found = this->latest.find(upstream.id);
    return found != this->latest.end() && found->second.incarnation == upstream.incarnation
        && now - found->second.time < observationLifetime;
}

} // namespace hemlock
