#pragma once

#include "activesnapshot.h"
#include "admission.h"
#include "calltable.h"
#include "dispatcher.h"
#include "entrysettings.h"
#include "httpclient.h"
#include "idempotency.h"
#include "metrics.h"
#include "peercall.h"

#include <asio.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hemlock {

/// Passes a call on to the entry process that owns its idempotency key.
using ForwardCall = std::function<void(const std::string &ownerAddress,
                                       const IntentRequest &intent,
                                       const HttpRequest &request,
                                       std::function<void(const ForwardOutcome &)> done)>;

/// Tokens of a stream that a draining peer handed over; nothing when no peer knows the stream.
using HandedOverTokens = std::optional<std::vector<std::string>>;

/// Asks the peers that a draining entry process would have chosen; answers once.
using FindHandedOverStream =
    std::function<void(const StreamPosition &stream, std::function<void(const HandedOverTokens &)>)>;

/// What all calls of an entry process share.
struct EntryContext
{
    EntryContext(asio::io_context &loop, const EntrySettings &settings)
        : loop(loop)
        , settings(settings)
        , http(loop)
        , dispatcher(loop, this->http, settings)
        , admission(settings.id)
    {
    }

    asio::io_context &loop;
    EntrySettings settings;
    HttpClient http;
    ActiveSnapshot configuration;
    Dispatcher dispatcher;
    Admission admission;
    CallTable calls;
    Metrics metrics;
    SubmitIntent submitIntent;
    CompleteIntent completeIntent;
    ForwardCall forwardCall;
    FindHandedOverStream findHandedOverStream;
    bool isDraining = false;
};

} // namespace hemlock
