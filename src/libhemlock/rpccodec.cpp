// Compiled as C++14: the client headers of libjsonrpccpp use dynamic exception specifications, which C++17 removed.
#include "rpccodec.h"

#include <jsonrpccpp/client.h>

#include <memory>

namespace hemlock {

namespace {

Json::Value parseJson(const std::string &text)
{
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    return value;
}

std::string writeJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

/// Captures the message that jsonrpc::Client encodes, without sending it.
class RecordingConnector : public jsonrpc::IClientConnector
{
public:
    void SendRPCMessage(const std::string &message, std::string &) throw(jsonrpc::JsonRpcException) override
    {
        this->message = message;
        throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "recorded");
    }

    std::string message;
};

/// Passes a response that has already arrived to jsonrpc::Client for decoding.
class ReplayingConnector : public jsonrpc::IClientConnector
{
public:
    explicit ReplayingConnector(std::string response)
        : response(std::move(response))
    {
    }

    void SendRPCMessage(const std::string &, std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        result = this->response;
    }

private:
    std::string response;
};

} // namespace

std::string encodeRpcCall(const std::string &method, const std::string &params)
{
    RecordingConnector connector;
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        client.CallMethod(method, parseJson(params));
    } catch (const jsonrpc::JsonRpcException &) {
        return connector.message;
    }
    return connector.message;
}

RpcReply decodeRpcReply(const std::string &method, const std::string &response)
{
    try {
        ReplayingConnector connector(response);
        jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
        return {true, writeJson(client.CallMethod(method, Json::Value(Json::objectValue))), std::string()};
    } catch (const jsonrpc::JsonRpcException &error) {
        return {false, std::string(), error.GetMessage()};
    }
}

} // namespace hemlock
