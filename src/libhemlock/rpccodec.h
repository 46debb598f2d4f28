#pragma once

#include <string>

namespace hemlock {

/// Decoded JSON-RPC 2.0 response.
struct RpcReply
{
    bool succeeded;
    std::string result; ///< JSON text; empty when the call failed.
    std::string error; ///< Error message; empty when the call succeeded.
};

/// Encodes a JSON-RPC 2.0 request; @p params is the JSON text of an object.
std::string encodeRpcCall(const std::string &method, const std::string &params);

/// Decodes the response to a request from encodeRpcCall().
RpcReply decodeRpcReply(const std::string &method, const std::string &response);

} // namespace hemlock
