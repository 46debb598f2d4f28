#include "rpc.h"

#include "rpccodec.h"

#include <jsonrpccpp/server.h>

#include <map>

namespace hemlock {

namespace {

Json::Value toJsoncpp(const nlohmann::json &value)
{
    Json::Value converted;
    const std::string text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    reader->parse(text.data(), text.data() + text.size(), &converted, nullptr);
    return converted;
}

nlohmann::json fromJsoncpp(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return nlohmann::json::parse(Json::writeString(builder, value));
}

} // namespace

class RpcServer::Private : public jsonrpc::IProcedureInvokationHandler
{
public:
    explicit Private(ControlAuth auth)
        : auth(std::move(auth))
        , protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
    {
    }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input, Json::Value &output) override
    {
        try {
            output = toJsoncpp(this->methods.at(procedure.GetProcedureName())(fromJsoncpp(input)));
        } catch (const std::exception &error) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, error.what());
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure &, const Json::Value &) override
    {
    }

    ControlAuth auth;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
    std::map<std::string, Method> methods;
};

RpcServer::RpcServer(ControlAuth auth)
    : d(new Private(std::move(auth)))
{
}

RpcServer::~RpcServer() = default;

void RpcServer::addMethod(const std::string &name, Method method)
{
    this->d->methods[name] = std::move(method);
    const jsonrpc::Procedure procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr);
    this->d->protocol->AddProcedure(procedure);
}

void RpcServer::handle(const HttpRequest &request, const HttpResponderPtr &responder)
{
    const std::string authError = this->d->auth.check(request, std::chrono::system_clock::now());
    if (!authError.empty()) {
        responder->reply(403, {}, nlohmann::json{{"error", authError}}.dump());
        return;
    }
    std::string responseBody;
    this->d->protocol->HandleRequest(request.body, responseBody);
    responder->reply(200, {{"Content-Type", "application/json"}}, std::move(responseBody));
}

RpcClient::RpcClient(HttpClient &http, ControlAuth auth)
    : http(http)
    , auth(std::move(auth))
{
}

void RpcClient::call(const std::string &address,
                     const std::string &method,
                     const nlohmann::json &params,
                     std::chrono::milliseconds timeout,
                     std::function<void(const RpcOutcome &)> done)
{
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + address + std::string(rpcPath);
    call.body = encodeRpcCall(method, params.dump());
    call.headers = this->auth.sign(rpcPath, call.body, std::chrono::system_clock::now());
    call.headers.add("Content-Type", "application/json");
    call.timeout = timeout;
    HttpCallHooks hooks;
    hooks.done = [method, done = std::move(done)](const HttpOutcome &outcome) {
        if (!outcome.isComplete())
            return done({false, {}, outcome.error});
        if (outcome.status != 200)
            return done({false, {}, "HTTP status " + std::to_string(outcome.status) + ": " + outcome.body});
        const RpcReply reply = decodeRpcReply(method, outcome.body);
        done({reply.succeeded, nlohmann::json::parse(reply.result, nullptr, false), reply.error});
    };
    this->http.start(std::move(call), std::move(hooks));
}

} // namespace hemlock
