#pragma once

namespace hemlock {

/// Rules of admission and order in RelayScheduler; each can be switched off to compare it with the decision without it.
struct AdmissionSettings
{
    /// Smaller requests may start past those that fit nowhere.
    bool startsPastBlocked = true;
    /// Requests that cannot be expected to start in time are refused without a wait.
    bool refusesAtArrival = true;
    /// Less urgent ranks and accounts keep a share, and leave room for the prompts of more urgent ranks.
    bool keepsShares = true;
    /// Within an account, the request with the earliest latest start goes first.
    bool ordersByLatestStart = true;
};

} // namespace hemlock
