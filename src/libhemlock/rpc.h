#pragma once

#include "controlauth.h"
#include "httpclient.h"
#include "httpserver.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace hemlock {

/// Path of the JSON-RPC 2.0 endpoint of each of the system's processes.
inline constexpr std::string_view rpcPath = "/rpc";

/// Answers JSON-RPC 2.0 calls of the system's own processes; messages with a wrong signature get 403.
class RpcServer
{
public:
    /// Throw std::exception to answer with a JSON-RPC error that carries its text.
    using Method = std::function<nlohmann::json(const nlohmann::json &params)>;

    explicit RpcServer(ControlAuth auth);
    ~RpcServer();

    /// Adds a method that takes an object of named parameters.
    void addMethod(const std::string &name, Method method);

    /// Answers one POST of rpcPath.
    void handle(const HttpRequest &request, const HttpResponderPtr &responder);

private:
    class Private;
    std::unique_ptr<Private> d;
};

/// How a JSON-RPC call ended.
struct RpcOutcome
{
    bool succeeded = false;
    nlohmann::json result;
    std::string error; ///< Empty when the call succeeded.
};

/// Calls methods of the system's other processes without blocking the Asio loop.
class RpcClient
{
public:
    RpcClient(HttpClient &http, ControlAuth auth);

    /// Calls a method at "ADDRESS:PORT"; @p params is an object of named parameters.
    void call(const std::string &address,
              const std::string &method,
              const nlohmann::json &params,
              std::chrono::milliseconds timeout,
              std::function<void(const RpcOutcome &)> done);

private:
    HttpClient &http;
    ControlAuth auth;
};

} // namespace hemlock
