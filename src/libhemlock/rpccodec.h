#pragma once

#include <string>

namespace hemlock {

/// A decoded JSON-RPC 2.0 answer.
struct RpcReply
{
    bool succeeded;
    std::string result; ///< JSON text.
    std::string error;
};

/// Encodes a JSON-RPC 2.0 call; @p params is the JSON text of an object.
std::string encodeRpcCall(const std::string &method, const std::string &params);

/// Decodes the answer to a call that encodeRpcCall() made.
RpcReply decodeRpcReply(const std::string &method, const std::string &answer);

} // namespace hemlock
