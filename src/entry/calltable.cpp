#include "calltable.h"

namespace hemlock {

void CallTable::add(const std::string &clientAccount,
                    const std::string &requestId,
                    const std::shared_ptr<OpenCall> &call)
{
    const RequestKey key(clientAccount, requestId);
    this->calls[call] = key;
    this->latest[key] = call;
}

void CallTable::remove(const std::shared_ptr<OpenCall> &call)
{
    const auto found = this->calls.find(call);
    if (found == this->calls.end())
        return;
    const auto newest = this->latest.find(found->second);
    if (newest != this->latest.end() && newest->second.lock() == call)
        this->latest.erase(newest);
    this->calls.erase(found);
    if (this->calls.empty() && this->lastCallEnded)
        this->lastCallEnded();
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
    for (const auto &[call, key] : this->calls)
        open.push_back(call);
    for (const auto &call : open)
        hook(*call);
}

std::size_t CallTable::size() const
{
    return this->calls.size();
}

void CallTable::setLastCallEnded(std::function<void()> hook)
{
    this->lastCallEnded = std::move(hook);
}

} // namespace hemlock
