#pragma once

namespace hemlock {

/// Makes the allocator return large blocks to the system as soon as they are freed.
///
/// By default glibc keeps blocks like those that were freed before, up to 32 MiB each, so that a process that has once
/// held many large requests stays as large.
void returnFreedMemory();

} // namespace hemlock
