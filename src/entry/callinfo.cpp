#include "callinfo.h"

#include "logger.h"

#include <nlohmann/json.hpp>

namespace hemlock {

void logRefusal(const CallInfo &call, const RequestError &error)
{
    logEvent(LogLevel::Info,
             "refused",
             {{"request", call.requestId},
              {"clientAccount", call.clientAccount},
              {"service", call.service.id},
              {"status", error.status},
              {"code", error.code},
              {"verdict", verdictName(error.verdict)}});
}

} // namespace hemlock
