// Sim: what the kernel tells of a process.
#pragma once
#include <sys/types.h>

#include <cstddef>

namespace dykestage::sim {

/// Resident memory now, and the most that it ever was, in bytes; 0 for a process that is gone.
auto residentMemoryOf(pid_t process) -> size_t;
auto peakMemoryOf(pid_t process) -> size_t;
/// Open descriptors. Example: `CHECK(descriptorsOf(fleet.processId("edge-1")) <= openFiles);`
auto descriptorsOf(pid_t process) -> size_t;

}  // namespace dykestage::sim
