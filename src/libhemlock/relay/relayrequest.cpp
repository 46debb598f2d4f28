#include "relay/relayrequest.h"

namespace hemlock {

bool isConnectionField(std::string_view name)
{
    static const HttpHeaders fields = {{"Connection", ""},
                                       {"Keep-Alive", ""},
                                       {"Proxy-Connection", ""},
                                       {"Transfer-Encoding", ""},
                                       {"Content-Length", ""},
                                       {"TE", ""},
                                       {"Trailer", ""},
                                       {"Upgrade", ""},
                                       {"Expect", ""}};
    return fields.has(name);
}

} // namespace hemlock
