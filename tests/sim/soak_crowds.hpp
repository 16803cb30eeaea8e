// Sim: crowds of clients that keep to no limit, beside a soak's own clients, and the bounds that processes must keep
// meanwhile.
#pragma once
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "sim/fleet.hpp"
#include "sim/misbehaving_clients.hpp"

namespace dykestage::sim {

/// Example:
///   SoakCrowds crowds(fleet, {.seed = 7});
///   crowds.step(steadyMs());
///   for (auto& fault : crowds.faults()) ...
class SoakCrowds {
 public:
  struct Props {
    uint64_t seed = 1;
    int64_t gapMs = 1500;   // between two crowds
    int64_t stayMs = 2500;  // that a crowd stays
    size_t edgeBytes = 96 << 20, edgeFiles = 1200;
    size_t registryBytes = 256 << 20, registryFiles = 4096;
  };
  SoakCrowds(Fleet& fleet, Props props) : fleet_(fleet), props_(props), random_(props.seed) {}
  /// The settings of edges that go with the bounds, as JSON members with leading commas.
  static auto edgeExtra(const Props& props) -> std::string;
  /// Lets crowds come, act and leave, and looks at the processes.
  auto step(int64_t nowMs) -> void;
  /// All crowds leave.
  auto finish() -> void { crowds_.clear(); }
  /// Processes that had more memory or descriptors than they were given.
  auto faults() const -> const std::vector<std::string>& { return faults_; }
  /// What came, by kind.
  auto counts() const -> const std::map<std::string, int>& { return counts_; }

 private:
  struct Crowd {
    MisbehavingClients clients;
    int64_t untilMs = 0;
  };
  auto begin(int64_t nowMs) -> void;
  auto look() -> void;
  auto lookAt(const std::string& name, size_t memoryBytes, size_t openFiles) -> void;

  Fleet& fleet_;
  Props props_;
  std::mt19937_64 random_;
  std::vector<Crowd> crowds_;
  std::map<std::string, pid_t> told_;  // processes that a fault was told of
  std::vector<std::string> faults_;
  std::map<std::string, int> counts_;
  int64_t nextMs_ = 0, lookMs_ = 0;
};

}  // namespace dykestage::sim
