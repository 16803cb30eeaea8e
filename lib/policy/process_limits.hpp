// Policy: how a process parts its machine's memory and descriptors.
#pragma once
#include <cstddef>
#include <memory>

#include "base/memory_account.hpp"

namespace dykestage::policy {

/// What the machine gives a process.
struct MachineLimits {
  size_t memoryBytes = 1 << 30;
  size_t openFiles = 4096;
  size_t bodyBytes = 8 << 20;  // the largest body that is asked for
  size_t peers = 0;            // other nodes to which it has lines
};

/// How that is parted. The rest of the memory is for the program itself and for what the kernel queues.
struct ProcessLimits {
  size_t accountBytes = 0;  // held for others: requests, answers, the cache
  size_t reserveBytes = 0;  // of these, for small requests and answers
  size_t bodyBytes = 0;     // the largest body that fits while nothing else is held
  size_t roomBytes = 0;     // that the cache leaves for large bodies while nobody is refused
  size_t connections = 0;   // of clients
  size_t upstreams = 0;     // connections to upstreams
};

/// Each direction of a client's or an upstream's connection may queue so much in the kernel.
inline constexpr int kSocketBufferBytes = 64 << 10;

/// Example: `auto limits = processLimitsOf({memoryBytes, openFiles, bodyBytes});`
auto processLimitsOf(const MachineLimits& machine) -> ProcessLimits;
/// The account that goes with them. Example: `auto memory = accountOf(limits);`
auto accountOf(const ProcessLimits& limits) -> std::shared_ptr<MemoryAccount>;

}  // namespace dykestage::policy
