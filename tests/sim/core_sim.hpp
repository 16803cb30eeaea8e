// Sim: the core's real state machines in virtual time, with seeded failures and a checker.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "sim/timeline.hpp"
#include "tempo/tempo.hpp"

namespace dykestage::sim {

/// What a run causes. Rates are per hundred messages; faults happen at seeded times.
struct Faults {
  int lossPercent = 0;
  int repeatPercent = 0;
  bool splits = false, oneWayCuts = false, crashes = false, wipes = false, stalls = false, freezes = false,
       blackouts = false, fullDisks = false;
  bool dropSync = false;  // a rule broken on purpose: sends leave before the sync
};

/// The mixes of failures that core histories are run with, by name. Example: `coreMixes().at("blackouts")`
auto coreMixes() -> const std::map<std::string, Faults>&;

struct Verdict {
  std::vector<std::string> faults;  // what the checker found
  uint64_t executed = 0, answered = 0, unanswered = 0, voided = 0, fast = 0, slow = 0, recovered = 0, frames = 0,
           changes = 0;
  std::vector<int64_t> latenciesMs;
  std::vector<std::string> history;
};

/// Runs one seeded history and checks it.
/// Example: `auto verdict = sim::CoreSim({.seed = 7, .faults = {.crashes = true}}).run();`
class CoreSim : Timeline {
 public:
  struct Props {
    uint64_t seed = 1;
    Faults faults;
    tempo::Props core;
    int commands = 120;
    int64_t faultsMs = 3000;  // failures happen in this time
    int64_t healMs = 6000;    // after it everything is healed and must settle
    bool keepHistory = false;
  };
  explicit CoreSim(Props props);
  ~CoreSim();
  CoreSim(const CoreSim&) = delete;
  auto operator=(const CoreSim&) -> CoreSim& = delete;
  auto run() -> Verdict;

 private:
  struct Applied {
    tempo::Id id;
    tempo::Stamp stamp;
    std::vector<std::pair<uint8_t, uint64_t>> places;  // partition and index in its history
  };
  class TestMachine;
  struct Host;
  auto start(tempo::Slot slot) -> void;
  auto crash(tempo::Slot slot) -> void;
  auto wipe(tempo::Slot slot) -> void;
  auto flush(Host& host) -> void;
  auto deliver(tempo::Slot from, tempo::Slot to, const tempo::Message& message) -> void;
  auto beat(tempo::Slot slot, uint64_t life) -> void;
  auto submit(tempo::Slot slot, uint8_t parts, int tries) -> void;
  auto compare(tempo::Slot slot, const std::vector<Applied>& list) -> void;
  auto fault(const std::string& what) -> void;
  auto say(const std::string& what) -> void;
  auto pick(int low, int high) -> int { return static_cast<int>(Timeline::pick(low, high)); }
  auto chance(int percent) -> bool { return pick(1, 100) <= percent; }
  auto plan() -> void;
  auto check() -> void;

  struct Submitted {
    int64_t fromMs = 0, answeredMs = -1;
    uint8_t parts = 0;
  };

  Props props_;
  std::map<tempo::Slot, std::unique_ptr<Host>> hosts_;
  std::set<std::pair<tempo::Slot, tempo::Slot>> cuts_;
  bool isHealed_ = false;
  uint64_t nextIncarnation_ = 100;
  // The one true history, as the checker learns it.
  std::map<tempo::Id, tempo::Stamp> stamps_;
  std::array<std::vector<tempo::Id>, tempo::kParts> canon_;
  std::map<tempo::Id, Submitted> submitted_;
  int outstanding_ = 0;
  Verdict verdict_;
};

}  // namespace dykestage::sim
