#include "kvjson.h"

#include "encoding.h"

#include <stdexcept>

namespace hemlock {

using nlohmann::json;

namespace {

std::string parseBytes(const json &object, const char *name)
{
    auto bytes = decodeBase64(object.value(name, ""));
    if (!bytes)
        throw std::invalid_argument(std::string("field ") + name + " is not base64");
    return *std::move(bytes);
}

KvCondition::Target parseTarget(const std::string &name)
{
    if (name == "MOD")
        return KvCondition::Target::ModRevision;
    if (name == "CREATE")
        return KvCondition::Target::CreateRevision;
    if (name == "VERSION")
        return KvCondition::Target::Version;
    if (name == "VALUE")
        return KvCondition::Target::Value;
    throw std::invalid_argument("unknown compare target \"" + name + "\"");
}

KvCondition::Relation parseRelation(const std::string &name)
{
    if (name == "EQUAL")
        return KvCondition::Relation::Equal;
    if (name == "NOT_EQUAL")
        return KvCondition::Relation::NotEqual;
    if (name == "GREATER")
        return KvCondition::Relation::Greater;
    if (name == "LESS")
        return KvCondition::Relation::Less;
    throw std::invalid_argument("unknown compare result \"" + name + "\"");
}

void setInteger(json &object, const char *name, std::int64_t value)
{
    if (value != 0)
        object[name] = std::to_string(value);
}

} // namespace

std::int64_t parseInteger64(const json &object, const char *name)
{
    const auto field = object.find(name);
    if (field == object.end())
        return 0;
    return field->is_string() ? std::stoll(field->get<std::string>()) : field->get<std::int64_t>();
}

KvInterval parseInterval(const json &request)
{
    KvInterval interval{parseBytes(request, "key"), parseBytes(request, "range_end")};
    if (interval.begin.empty())
        throw std::invalid_argument("key is not provided");
    return interval;
}

KvCondition parseCondition(const json &compare)
{
    KvCondition condition;
    condition.key = parseBytes(compare, "key");
    condition.target = parseTarget(compare.value("target", "VERSION"));
    condition.relation = parseRelation(compare.value("result", "EQUAL"));
    switch (condition.target) {
    case KvCondition::Target::ModRevision:
        condition.number = parseInteger64(compare, "mod_revision");
        break;
    case KvCondition::Target::CreateRevision:
        condition.number = parseInteger64(compare, "create_revision");
        break;
    case KvCondition::Target::Version:
        condition.number = parseInteger64(compare, "version");
        break;
    case KvCondition::Target::Value:
        condition.value = parseBytes(compare, "value");
        break;
    }
    return condition;
}

KvOperation parsePut(const json &request)
{
    KvOperation operation;
    operation.kind = KvOperation::Kind::Put;
    operation.interval = parseInterval(request);
    operation.value = parseBytes(request, "value");
    operation.lease = parseInteger64(request, "lease");
    return operation;
}

KvOperation parseOperation(const json &requestOp)
{
    if (const auto put = requestOp.find("request_put"); put != requestOp.end())
        return parsePut(*put);
    KvOperation operation;
    if (const auto range = requestOp.find("request_range"); range != requestOp.end()) {
        operation.interval = parseInterval(*range);
        return operation;
    }
    if (const auto range = requestOp.find("request_delete_range"); range != requestOp.end()) {
        operation.kind = KvOperation::Kind::Delete;
        operation.interval = parseInterval(*range);
        return operation;
    }
    throw std::invalid_argument("unknown operation in a transaction");
}

json entryJson(const KvEntry &entry)
{
    json object = {{"key", encodeBase64(entry.key)}};
    setInteger(object, "create_revision", entry.createRevision);
    setInteger(object, "mod_revision", entry.modRevision);
    setInteger(object, "version", entry.version);
    setInteger(object, "lease", entry.lease);
    if (!entry.value.empty())
        object["value"] = encodeBase64(entry.value);
    return object;
}

json eventJson(const KvEvent &event)
{
    json object = {{"kv", entryJson(event.entry)}};
    if (event.isDelete)
        object["type"] = "DELETE";
    return object;
}

json rangeJson(const std::vector<KvEntry> &entries)
{
    json object = json::object();
    if (entries.empty())
        return object;
    object["kvs"] = json::array();
    for (const KvEntry &entry : entries)
        object["kvs"].push_back(entryJson(entry));
    object["count"] = std::to_string(entries.size());
    return object;
}

json operationResultJson(const KvOperationResult &result, const json &header)
{
    json object = {{"header", header}};
    switch (result.kind) {
    case KvOperation::Kind::Range:
        object.update(rangeJson(result.entries));
        return {{"response_range", object}};
    case KvOperation::Kind::Put:
        return {{"response_put", object}};
    case KvOperation::Kind::Delete:
        setInteger(object, "deleted", static_cast<std::int64_t>(result.deleted));
        return {{"response_delete_range", object}};
    }
    return object;
}

} // namespace hemlock
