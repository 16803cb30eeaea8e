#include "policy/process_limits.hpp"

#include <algorithm>

namespace dykestage::policy {

namespace {
// Of the memory.
constexpr double kAccountPart = 0.55;
constexpr double kReservePart = 0.2;  // of the account
constexpr size_t kCachePart = 4;      // a quarter of the account is the cache's until somebody is refused
constexpr size_t kSocketsPart = 5;    // a fifth may be queued in the kernel for clients

// Of the descriptors.
constexpr size_t kUpstreamsPart = 4;
constexpr size_t kOwnPart = 8;  // for files, peers and the status port, and so many more:
constexpr size_t kLeastOwn = 64;
constexpr size_t kMostOwn = 512;
constexpr size_t kDescriptorsPerConnection = 3;  // two, and one for a second after its end
constexpr size_t kDescriptorsPerPeer = 3;        // its line, ours, and what our line's socket needs

constexpr size_t kLeastConnections = 8;
}  // namespace

auto processLimitsOf(const MachineLimits& machine) -> ProcessLimits {
  ProcessLimits limits;
  limits.accountBytes = static_cast<size_t>(static_cast<double>(machine.memoryBytes) * kAccountPart);
  limits.reserveBytes = static_cast<size_t>(static_cast<double>(limits.accountBytes) * kReservePart);
  auto smallBytes = MemoryAccount::Options().smallBytes;
  limits.bodyBytes = std::min(machine.bodyBytes, limits.accountBytes - limits.reserveBytes - smallBytes);
  auto largeBytes = limits.accountBytes - limits.reserveBytes;
  limits.roomBytes = std::min(limits.bodyBytes, largeBytes - limits.accountBytes / kCachePart);
  limits.upstreams = machine.openFiles / kUpstreamsPart;
  auto own = std::max(std::min(kMostOwn, kLeastOwn + machine.openFiles / kOwnPart),
                      kLeastOwn + kDescriptorsPerPeer * machine.peers);
  auto taken = std::min(machine.openFiles, limits.upstreams + own);
  auto byDescriptors = (machine.openFiles - taken) / kDescriptorsPerConnection;
  auto byMemory = machine.memoryBytes / kSocketsPart / kSocketBufferBytes;
  limits.connections = std::max(kLeastConnections, std::min(byDescriptors, byMemory));
  return limits;
}

auto accountOf(const ProcessLimits& limits) -> std::shared_ptr<MemoryAccount> {
  MemoryAccount::Options options;
  options.totalBytes = limits.accountBytes;
  options.reserveBytes = limits.reserveBytes;
  return std::make_shared<MemoryAccount>(options);
}

}  // namespace dykestage::policy
