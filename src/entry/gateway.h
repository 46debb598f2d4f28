#pragma once

#include "callerrequest.h"
#include "entrycontext.h"
#include "httpserver.h"

namespace hemlock {

/// Serves callers: authenticates the client account, checks the request and starts the call. While the process drains
/// or has no configuration, /healthz answers 503 so that the balancer sends no callers.
class Gateway
{
public:
    explicit Gateway(EntryContext &context);

    /// Handles a request of a caller. A refused request is answered with its error and counted in the metrics.
    void handle(const HttpRequest &request, const HttpResponderPtr &responder);

    /// Runs a call of a transactional service that a peer has forwarded.
    void runPeerCall(const PeerCall &call, const HttpResponderPtr &responder);

private:
    Result<void> route(const HttpRequest &request, const HttpResponderPtr &responder);
    Result<void> startCompletion(const HttpRequest &request,
                                 const CallerFields &fields,
                                 const ClientAccount &account,
                                 const HttpResponderPtr &responder);
    Result<void> startServiceCall(const HttpRequest &request,
                                  const CallerFields &fields,
                                  const ClientAccount &account,
                                  const HttpResponderPtr &responder);
    Result<CallInfo> admit(const CallerFields &fields,
                           const ClientAccount &account,
                           const std::string &service,
                           ServiceKind kind,
                           const std::string &requestId) const;
    void replyHealth(HttpResponder &responder) const;

    EntryContext &context;
};

} // namespace hemlock
