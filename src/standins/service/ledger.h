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
    std::string key; ///< Idempotency key; empty if the call had none.
    std::string attempt;
    std::string body;
};

void to_json(nlohmann::json &json, const LedgerEntry &entry);
void from_json(const nlohmann::json &json, LedgerEntry &entry);

/// Executed calls in order. A key that was executed twice has two entries, because the service does not deduplicate.
class Ledger
{
public:
    const LedgerEntry &append(std::string path, std::string key, std::string attempt, std::string body);

    /// Returns the entries of an idempotency key, or all entries if @p key is empty.
    std::vector<LedgerEntry> entries(const std::string &key) const;

    /// Returns the latest entry of a path, or nullptr.
    const LedgerEntry *latest(const std::string &path) const;
    std::size_t count(const std::string &path) const;

private:
    std::vector<LedgerEntry> executedCalls;
};

} // namespace hemlock
