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

/// Forwards a call to the entry process that owns its idempotency key.
using ForwardCall = std::function<void(const std::string &ownerAddress,
                                       const IntentRequest &intent,
                                       const HttpRequest &request,
                                       std::function<void(const ForwardOutcome &)> done)>;

/// Token texts of a stream that a draining peer handed over; std::nullopt if no peer has the stream.
using HandedOverTokens = std::optional<std::vector<std::string>>;

/// Looks up a stream at the peers to which a draining entry process would have handed it over. The callback is called
/// once.
using FindHandedOverStream =
    std::function<void(const StreamPosition &stream, std::function<void(const HandedOverTokens &)>)>;

/// State and services shared by all calls of an entry process.
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
