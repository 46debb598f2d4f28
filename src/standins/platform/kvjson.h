#pragma once

#include "kvstore.h"

#include <nlohmann/json.hpp>

namespace hemlock {

/// Conversions between the types of KvStore and the JSON of the etcd v3 gateway: keys and values are base64, 64-bit
/// integers are strings, and zeros are omitted. Malformed input throws std::invalid_argument.

KvInterval parseInterval(const nlohmann::json &request);
KvCondition parseCondition(const nlohmann::json &compare);
KvOperation parseOperation(const nlohmann::json &requestOp);
KvOperation parsePut(const nlohmann::json &request);
std::int64_t parseInteger64(const nlohmann::json &object, const char *name);

nlohmann::json entryJson(const KvEntry &entry);
nlohmann::json eventJson(const KvEvent &event);
nlohmann::json rangeJson(const std::vector<KvEntry> &entries);
nlohmann::json operationResultJson(const KvOperationResult &result, const nlohmann::json &header);

} // namespace hemlock
