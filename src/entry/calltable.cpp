#include "calltable.h"

namespace hemlock {

void CallTable::add(std::shared_ptr<OpenCall> call)
{
    this->calls.insert(std::move(call));
}

void CallTable::remove(const std::shared_ptr<OpenCall> &call)
{
    if (this->calls.erase(call) > 0 && this->calls.empty() && this->emptied)
        this->emptied();
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
