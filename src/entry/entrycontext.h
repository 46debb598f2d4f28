#pragma once

#include "activesnapshot.h"
#include "calltable.h"
#include "decisionlog.h"
#include "entrysettings.h"
#include "httpclient.h"
#include "idempotency.h"
#include "peercall.h"
#include "router.h"
#include "upstreampool.h"

#include <asio.hpp>

#include <functional>

namespace hemlock {

/// Passes a call on to the entry process that owns its idempotency key.
using ForwardCall = std::function<void(const std::string &ownerAddress,
                                       const IntentRequest &intent,
                                       const HttpRequest &request,
                                       std::function<void(const ForwardOutcome &)> done)>;

/// What all calls of an entry process share.
struct EntryContext
{
    EntryContext(asio::io_context &loop, const EntrySettings &settings)
        : loop(loop)
        , settings(settings)
        , http(loop)
        , router(settings.policy)
        , random(std::random_device()())
    {
    }

    asio::io_context &loop;
    EntrySettings settings;
    HttpClient http;
    ActiveSnapshot configuration;
    UpstreamPool upstreams;
    Router router;
    RandomEngine random;
    DecisionLog decisions;
    CallTable calls;
    SubmitIntent submitIntent;
    CompleteIntent completeIntent;
    ForwardCall forwardCall;
};

/// What is known of a caller's request once it is admitted.
struct CallInfo
{
    std::string requestId;
    std::string clientAccount;
    Service service;
    int priority = 5;
    bool isForwarded = false; ///< A peer passed it on, so it is not passed on again.
    std::chrono::steady_clock::time_point received;
    std::chrono::steady_clock::time_point deadline;
};

} // namespace hemlock
