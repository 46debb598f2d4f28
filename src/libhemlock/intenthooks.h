#pragma once

#include "intentsettings.h"

namespace asio {
class io_context;
}

namespace hemlock {

/// Builds the hooks of an intent log from a store client, an Asio loop, the system's clocks and a random generator.
/// Both arguments must outlive the intent log.
IntentLogHooks makeIntentLogHooks(asio::io_context &loop, KvClient &store);

} // namespace hemlock
