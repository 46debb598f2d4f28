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

/// Path of the JSON-RPC 2.0 endpoint of every process of the system.
inline constexpr std::string_view rpcPath = "/rpc";

/// Serves JSON-RPC 2.0 calls from other processes of the system. Replies with status 403 to an invalid signature.
class RpcServer
{
public:
    /// Returns the result. A thrown std::exception becomes a JSON-RPC error with its message.
    using Method = std::function<nlohmann::json(const nlohmann::json &params)>;

    explicit RpcServer(ControlAuth auth);
    ~RpcServer();

    /// Registers a method that takes an object of named parameters.
    void addMethod(const std::string &name, Method method);

    /// Handles a POST request to rpcPath.
    void handle(const HttpRequest &request, const HttpResponderPtr &responder);

private:
    class Private;
    std::unique_ptr<Private> d;
};

/// Result of a JSON-RPC call.
struct RpcOutcome
{
    bool succeeded = false;
    nlohmann::json result;
    std::string error; ///< Empty when the call succeeded.
};

/// Calls methods of other processes of the system without blocking the Asio loop.
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
