// Sim: what the soak does to processes: series of signals, kills, freezes and restarts, which overlap. Every trouble is
// noted, so that whoever judges knows which process was meant to misbehave when.
#pragma once
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "sim/fleet.hpp"

namespace dykestage::sim {

/// What one step of a series does to a process.
enum class TroubleKind : uint8_t {
  kStop,    // SIGTERM, and SIGKILL after the grace; started again once it is gone
  kKill,    // SIGKILL, and started again
  kFreeze,  // SIGSTOP, and SIGCONT
  kReread,  // SIGHUP
};

/// Troubles of one kind at processes of one kind, one after the other.
struct TroubleSeries {
  TroubleKind kind = TroubleKind::kStop;
  std::string processes;  // "edge", "shield", "agent", "registry" or "origin"
  int64_t nextMs = 0, untilMs = 0, gapMs = 0;
};

class SoakTroubles {
 public:
  struct Props {
    uint64_t seed = 1;
    int64_t startMs = 0, spanMs = 20000;  // when troubles begin, and for how long new ones come
    int series = 6;
    int64_t graceMs = 6000;
    std::string spared;       // origins of this service are neither killed nor stopped
    bool hidesKills = false;  // a defect on purpose: whoever judges is not told of kills
    size_t disksLost = 1;     // when everything ends at once; more than a minority is a defect on purpose
  };
  SoakTroubles(Fleet& fleet, Props props);

  /// Does what is due. Example: `troubles.step(steadyMs());`
  auto step(int64_t nowMs) -> void;
  /// Ends every process of the system at the same moment, and empties the disks of some registries; all are started
  /// again, each after a time of its own. Example: `troubles.loseAll(steadyMs());`
  auto loseAll(int64_t nowMs) -> void;
  /// True while a process is down and waits for its start. Example: `while (troubles.hasDown()) step();`
  auto hasDown() const -> bool;
  /// Ends all troubles: what is frozen goes on, what is down is started. Example: `troubles.heal(steadyMs());`
  auto heal(int64_t nowMs) -> void;
  /// True while a process could be cut off from its work by something unplanned, or was not long ago.
  /// Example: `if (troubles.wasTroubled("edge-1", sentMs - 3000, endedMs)) return;`
  auto wasTroubled(const std::string& name, int64_t fromMs, int64_t untilMs) const -> bool;
  /// What must never happen, and did: processes that end by themselves or take longer than their grace.
  auto faults() const -> const std::vector<std::string>& { return faults_; }
  /// What was done, by kind of trouble and of process. Example: `for (auto [what, count] : troubles.counts()) ...`
  auto counts() const -> const std::map<std::string, int>& { return counts_; }

 private:
  enum class Condition : uint8_t { kUp, kStopping, kFrozen, kDown };
  struct Process {
    std::string kind;
    Condition condition = Condition::kUp;
    int64_t sinceMs = 0;     // of its condition
    int64_t changeMs = 0;    // when it is started, or goes on
    int64_t restedMs = -1;   // when its last trouble ended; -1: none yet
    bool wasHeldUp = false;  // frozen while it was stopping: its grace means nothing
    bool wasStopping = false;
  };
  struct Trouble {
    int64_t fromMs = 0, untilMs = INT64_MAX;
  };
  auto plan() -> void;
  auto act(const TroubleSeries& series, int64_t nowMs) -> void;
  auto follow(const std::string& name, Process& process, int64_t nowMs) -> void;
  auto mayTrouble(const std::string& name, const Process& process, TroubleKind kind, int64_t nowMs) const -> bool;
  auto isBack(const Process& process, int64_t nowMs) const -> bool;
  auto registriesToWipe(int64_t nowMs) -> std::vector<std::string>;
  auto begin(const std::string& name) -> void;
  auto over(const std::string& name, Process& process, int64_t nowMs) -> void;
  auto between(int64_t low, int64_t high) -> int64_t;

  Fleet& fleet_;
  Props props_;
  std::mt19937_64 random_;
  std::map<std::string, Process> processes_;
  std::vector<TroubleSeries> series_;
  std::map<std::string, std::vector<Trouble>> troubles_;  // unplanned ones, by process
  std::vector<std::string> faults_;
  std::map<std::string, int> counts_;
  int64_t nowMs_ = 0;
};

}  // namespace dykestage::sim
