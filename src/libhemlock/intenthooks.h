#pragma once

#include "intentsettings.h"

namespace asio {
class io_context;
}

namespace hemlock {

/// Connects the intent log with a store, an Asio loop, the system's clocks and a random generator. Both arguments must
/// outlive the log.
IntentLogHooks makeIntentLogHooks(asio::io_context &loop, KvClient &store);

} // namespace hemlock
