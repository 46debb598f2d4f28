#include "calltable.h"

namespace hemlock {

void CallTable::add(const std::string &clientAccount,
                    const std::string &requestId,
                    const std::shared_ptr<OpenCall> &call)
{
    const Name name(clientAccount, requestId);
    this->calls[call] = name;
    this->latest[name] = call;
}

void CallTable::remove(const std::shared_ptr<OpenCall> &call)
{
    const auto found = this->calls.find(call);
    if (found == this->calls.end())
        return;
    const auto named = this->latest.find(found->second);
    if (named != this->latest.end() && named->second.lock() == call)
        this->latest.erase(named);
    this->calls.erase(found);
    if (this->calls.empty() && this->emptied)
        this->emptied();
}

std::shared_ptr<OpenCall> CallTable::find(const std::string &clientAccount, const std::string &requestId) const
{
    const auto found = this->latest.find({clientAccount, requestId});
    return found == this->latest.end() ? nullptr : found->second.lock();
}

void CallTable::forEach(const std::function<void(OpenCall &call)> &hook) const
{
    std::vector<std::shared_ptr<OpenCall>> open;
    open.reserve(this->calls.size());
    for (const auto &[call, name] : this->calls)
        open.push_back(call);
    for (const auto &call : open)
        hook(*call);
}

std::size_t CallTable::size() const
{
    return this->calls.size();
}

void CallTable::setEmptied(std::function<void()> hook)
{
    this->emptied = std::move(hook);
}

} // namespace hemlock
