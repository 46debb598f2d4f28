#pragma once

namespace hemlock {

/// Rules of admission and order in RelayScheduler; each can be switched off to compare it with the decision without it.
struct AdmissionSettings
{
    /// Smaller requests may start past those that fit nowhere.
    bool startsPastBlocked = true;
};

} // namespace hemlock
