#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace hemlock {

/// One executed call of a service.
struct LedgerEntry
{
    std::int64_t seq = 0;
    std::string path;
    std::string key; ///< Idempotency key, empty when the call had none.
    std::string attempt;
    std::string body;
};

void to_json(nlohmann::json &json, const LedgerEntry &entry);
void from_json(const nlohmann::json &json, LedgerEntry &entry);

/// Executed calls in their order. A key executed twice appears twice: the service does not deduplicate.
class Ledger
{
public:
    const LedgerEntry &append(std::string path, std::string key, std::string attempt, std::string body);

    /// All entries, or those of a key when it is not empty.
    std::vector<LedgerEntry> entries(const std::string &key) const;

    /// Body of the latest call on a path, or nothing.
    const LedgerEntry *latest(const std::string &path) const;
    std::size_t count(const std::string &path) const;

private:
    std::vector<LedgerEntry> executed;
};

} // namespace hemlock
