#include "gateway.h"

#include "logger.h"
#include "modelcall.h"
#include "refusal.h"
#include "transactionalcall.h"

#include <algorithm>

namespace hemlock {

namespace {

constexpr int defaultPriority = 5;

boost::leaf::error_id refuse(int status, std::string code, std::string message)
{
    return boost::leaf::new_error(RequestError{Verdict::NotRun, status, std::move(code), std::move(message), {}});
}

} // namespace

Gateway::Gateway(EntryContext &context)
    : context(context)
{
}

void Gateway::handle(const HttpRequest &request, const HttpResponderPtr &responder)
{
    if (request.path == "/healthz") {
        this->replyHealth(*responder);
        return;
    }
    // A missing request identifier is generated here, so that the refusal and the call have the same one.
    HttpRequest identified = request;
    const std::string requestId = requestIdOf(request.headers);
    if (!request.headers.has(requestIdField))
        identified.headers.add(std::string(requestIdField), requestId);
    const auto report = [&](const RequestError &error) {
        logEvent(LogLevel::Info,
                 "refused",
                 {{"request", requestId}, {"path", request.path}, {"status", error.status}, {"code", error.code}});
        // No labels: names that callers invent would grow the number of time series without bound.
        this->context.metrics.addRequest({}, {error.verdict, error.status});
        replyRefusal(*responder, error, requestId);
    };
    boost::leaf::try_handle_all([&] { return this->route(identified, responder); },
                                [&](const RequestError &error) { report(error); },
                                [&] {
                                    report({Verdict::NotRun, 500, "internal-error", "the request was not handled", {}});
                                });
}

Result<void> Gateway::route(const HttpRequest &request, const HttpResponderPtr &responder)
{
    const bool isCompletion = request.path == "/v1/completions";
    if (!isCompletion && !request.path.starts_with("/services/"))
        return refuse(404, "unknown-path", "nothing is served at this path");
    if (!this->context.configuration.isLoaded()) {
        return boost::leaf::new_error(RequestError{Verdict::NotRun,
                                                   503,
                                                   "not-configured",
                                                   "this entry process has no configuration yet",
                                                   std::chrono::seconds(1)});
    }
    const std::size_t maxBodyBytes = this->context.settings.maxBodyBytes;
    if (request.body.size() > maxBodyBytes)
        return refuse(413, "body-too-large", "the body exceeds " + std::to_string(maxBodyBytes) + " bytes");
    BOOST_LEAF_AUTO(fields, parseCallerFields(request.headers, this->context.settings.limits));
    const ClientAccount *account = this->context.configuration.accountOfKey(bearerKey(request.headers));
    if (!account)
        return refuse(401, "unauthenticated", "no client account has this API key");
    if (isCompletion)
        return this->startCompletion(request, fields, *account, responder);
    return this->startServiceCall(request, fields, *account, responder);
}

void Gateway::runPeerCall(const PeerCall &call, const HttpResponderPtr &responder)
{
    const auto report = [&](const RequestError &error) { replyRefusal(*responder, error, call.requestId); };
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(target, parseServiceTarget(call.request.path));
            const Service *service = this->context.configuration.findService(target.service);
            if (!service) {
                // The sender knows the service, so the configuration of this process is older.
                return boost::leaf::new_error(RequestError{Verdict::NotRun,
                                                           503,
                                                           "not-configured",
                                                           "the key's owner does not know the service yet",
                                                           std::chrono::seconds(1)});
            }
            CallInfo info;
            info.requestId = call.requestId;
            info.clientAccount = call.clientAccount;
            info.service = *service;
            info.received = std::chrono::steady_clock::now();
            info.deadline = info.received + call.timeLeft;
            info.isForwarded = true;
            std::make_shared<TransactionalCall>(this->context, std::move(info), target.path, call.request, responder)
                ->start();
            return {};
        },
        report,
        [&] {
            report({Verdict::NotRun, 500, "internal-error", "the call was not handled", {}});
        });
}

Result<CallInfo> Gateway::admit(const CallerFields &fields,
                                const ClientAccount &account,
                                const std::string &service,
                                ServiceKind kind,
                                const std::string &requestId) const
{
    const Service *found = this->context.configuration.findService(service);
    if (!found)
        return refuse(404, "unknown-service", "there is no service of this name");
    if (found->kind != kind)
        return refuse(400, "wrong-service-kind", "the service does not answer at this path");
    const AccessRule *rule = this->context.configuration.findRule(account.id, service);
    if (!rule)
        return refuse(403, "access-denied", "no rule lets the client account use this service");
    CallInfo call;
    call.requestId = requestId;
    call.clientAccount = account.id;
    call.service = *found;
    call.priority = std::max(rule->priority, fields.priority.value_or(defaultPriority));
    call.received = std::chrono::steady_clock::now();
    call.deadline = call.received + fields.timeLeft;
    return call;
}

Result<void> Gateway::startCompletion(const HttpRequest &request,
                                      const CallerFields &fields,
                                      const ClientAccount &account,
                                      const HttpResponderPtr &responder)
{
    if (request.method != "POST")
        return refuse(405, "method-not-allowed", "POST is expected at this path");
    BOOST_LEAF_AUTO(completion, parseCompletion(request.body, this->context.settings.limits));
    BOOST_LEAF_AUTO(call, this->admit(fields, account, completion.service, ServiceKind::Model, fields.requestId));
    if (fields.resume && !completion.stream)
        return refuse(400, "invalid-last-event-id", "Last-Event-ID: only a streamed answer can be resumed");
    completion.resume = fields.resume;
    std::make_shared<ModelCall>(this->context, std::move(call), std::move(completion), responder)->start();
    return {};
}

Result<void> Gateway::startServiceCall(const HttpRequest &request,
                                       const CallerFields &fields,
                                       const ClientAccount &account,
                                       const HttpResponderPtr &responder)
{
    if (request.method != "POST" && request.method != "GET")
        return refuse(405, "method-not-allowed", "GET or POST is expected at this path");
    BOOST_LEAF_AUTO(target, parseServiceTarget(request.path));
    BOOST_LEAF_AUTO(call, this->admit(fields, account, target.service, ServiceKind::Transactional, fields.requestId));
    const bool isRepeatable = call.service.isRepeatable(request.method, target.path);
    if (!isRepeatable && fields.idempotencyKey.empty())
        return refuse(400, "missing-idempotency-key", "this call may not be repeated and needs an Idempotency-Key");
    std::make_shared<TransactionalCall>(this->context, std::move(call), target.path, request, responder)->start();
    return {};
}

void Gateway::replyHealth(HttpResponder &responder) const
{
    const bool ready = !this->context.isDraining && this->context.configuration.isLoaded();
    const nlohmann::json body = {{"status",
                                  this->context.isDraining ? "draining"
                                      : ready              ? "ready"
                                                           : "not-configured"}};
    responder.reply(ready ? 200 : 503, {{"Content-Type", "application/json"}}, body.dump());
}

} // namespace hemlock
