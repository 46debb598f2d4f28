#pragma once

#include "entrycontext.h"

#include <asio.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace hemlock {

/// Reads the load reports of model engines in round-robin order, a bounded number in each interval.
class LoadPoller
{
public:
    explicit LoadPoller(EntryContext &context);

    void start();

private:
    void poll();
    void read(const Upstream &upstream);

    EntryContext &context;
    asio::steady_timer timer;
    std::size_t nextUpstream = 0; ///< Position in the snapshot's list of upstreams.
};

} // namespace hemlock
