#pragma once

#include <functional>
#include <memory>
#include <set>

namespace hemlock {

/// A caller's request that is being worked on.
class OpenCall
{
public:
    virtual ~OpenCall() = default;
};

/// Keeps open calls alive and tells when the last one has ended.
class CallTable
{
public:
    void add(std::shared_ptr<OpenCall> call);
    void remove(const std::shared_ptr<OpenCall> &call);

    std::size_t size() const;

    /// Called each time that the last open call ends.
    void setEmptied(std::function<void()> hook);

private:
    std::set<std::shared_ptr<OpenCall>> calls;
    std::function<void()> emptied;
};

} // namespace hemlock
