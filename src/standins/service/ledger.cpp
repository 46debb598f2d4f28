#include "ledger.h"

#include <algorithm>

namespace hemlock {

void to_json(nlohmann::json &json, const LedgerEntry &entry)
{
    json = {
        {"seq", entry.seq}, {"path", entry.path}, {"key", entry.key}, {"attempt", entry.attempt}, {"body", entry.body}};
}

void from_json(const nlohmann::json &json, LedgerEntry &entry)
{
    entry = {json.value("seq", std::int64_t{0}),
             json.at("path"),
             json.value("key", ""),
             json.value("attempt", ""),
             json.value("body", "")};
}

const LedgerEntry &Ledger::append(std::string path, std::string key, std::string attempt, std::string body)
{
    const auto seq = static_cast<std::int64_t>(this->executedCalls.size()) + 1;
    this->executedCalls.push_back({seq, std::move(path), std::move(key), std::move(attempt), std::move(body)});
    return this->executedCalls.back();
}

std::vector<LedgerEntry> Ledger::entries(const std::string &key) const
{
    if (key.empty())
        return this->executedCalls;
    std::vector<LedgerEntry> found;
    std::copy_if(this->executedCalls.begin(),
                 this->executedCalls.end(),
                 std::back_inserter(found),
                 [&key](const LedgerEntry &entry) { return entry.key == key; });
    return found;
}

const LedgerEntry *Ledger::latest(const std::string &path) const
{
    const auto found = std::find_if(this->executedCalls.rbegin(),
                                    this->executedCalls.rend(),
                                    [&path](const LedgerEntry &entry) { return entry.path == path; });
    return found == this->executedCalls.rend() ? nullptr : &*found;
}

std::size_t Ledger::count(const std::string &path) const
{
    return static_cast<std::size_t>(std::count_if(this->executedCalls.begin(),
                                                  this->executedCalls.end(),
                                                  [&path](const LedgerEntry &entry) { return entry.path == path; }));
}

} // namespace hemlock
