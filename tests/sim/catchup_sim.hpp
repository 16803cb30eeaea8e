// Sim: a registry that comes back after many changes, in virtual time, with limited processors, links and disks.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/registry.hpp"
#include "sim/timeline.hpp"

namespace dykestage::sim {

/// How the registry that comes back was away.
enum class Absence { kPowerLoss, kWipe, kFreeze };

/// What a run measured.
struct CatchUpResult {
  int changes = 0;                   // acknowledged while the registry was away
  int64_t catchUpMs = -1;            // from its return until it is current; -1: never
  uint64_t catchUpBytes = 0;         // letters sent to it meanwhile
  uint64_t stateBytes = 0;           // of the snapshot on a healthy disk at the end
  int64_t longestCalmAckMs = 0;      // of changes sent before its absence
  int64_t longestAwayAckMs = 0;      // of changes sent while it is away, from one second on
  int64_t longestCatchUpAckMs = 0;   // of changes sent from its return on
  int64_t firstAckAfterLossMs = -1;  // from the loss to the first acknowledgement of a change sent after it
  uint64_t droppedLetters = 0;       // over the limit of one letter
  uint64_t largestRingBytes = 0;
  bool isConsistent = false;  // all registries show the same routing at the end
};

/// Runs one absence.
/// Example: `auto result = CatchUpSim({.changes = 1000, .absence = Absence::kPowerLoss}).run();`
class CatchUpSim : Timeline {
 public:
  struct Props {
    uint64_t seed = 1;
    int changes = 100;  // sent while the registry is away
    Absence absence = Absence::kPowerLoss;
    uint32_t replicas = 3;
    size_t changeBytes = 6000;   // of one whole routing
    int64_t changeEveryMs = 20;  // after the acknowledgement of the one before
    int64_t deafForMs = 0;       // after its return nothing reaches the registry, while it is heard
    int64_t afterMs = 10000;     // changes go on for this long after the return
    int64_t wayMs = 2, syncMs = 5;
    int64_t bytesPerMs = 60000;  // of a processor: what it reads and writes of letters in a millisecond
    int64_t messagesPerMs = 25;  // of a processor: messages of the ordering that it handles in a millisecond
    uint64_t ringBytes = 16u << 20;
  };
  explicit CatchUpSim(Props props);
  ~CatchUpSim();
  CatchUpSim(const CatchUpSim&) = delete;
  auto operator=(const CatchUpSim&) -> CatchUpSim& = delete;
  auto run() -> CatchUpResult;

 private:
  struct Host;
  auto addressOf(tempo::Slot slot) const -> std::string;
  auto propsOf(tempo::Slot slot) const -> core::Registry::Props;
  auto start(Host& host) -> void;
  auto stop(Host& host) -> void;
  auto tick(tempo::Slot slot, uint64_t life) -> void;
  auto flush(Host& host) -> void;
  auto flushDisk(Host& host, core::DiskJob job) -> void;
  auto deliver(Host& from, const core::Registry::Output::Sent& letter) -> void;
  auto work(tempo::Slot slot, uint64_t life) -> void;
  auto costMs(const std::string& body, uint8_t kind) const -> double;
  auto post(tempo::Slot slot, const std::string& target, const std::string& body,
            std::function<void(const caller::Answer&)> then) -> void;
  auto changeBody(uint64_t version) const -> std::string;
  auto sendChange() -> void;
  auto tryChange(tempo::Slot slot, int64_t sinceMs) -> void;
  auto leave() -> void;
  auto comeBack() -> void;
  auto awaitCurrent() -> void;
  auto isCurrent(const Host& host) const -> bool;

  Props props_;
  uint64_t nextLife_ = 100;
  std::map<tempo::Slot, std::unique_ptr<Host>> hosts_;
  std::map<std::string, tempo::Slot> slots_;
  std::map<const caller::Stream*, std::function<void(const caller::Answer&)>> pages_;
  uint64_t version_ = 1;
  uint64_t turn_ = 0;
  int64_t lostMs_ = -1, backMs_ = -1, endMs_ = -1;
  CatchUpResult result_;
};

}  // namespace dykestage::sim
