// Sim: rehearsals of what must never happen, with real processes. Each causes its failures under load and is
// judged by the accounts that callers and origins keep.
#pragma once
#include <algorithm>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "sim/fleet.hpp"
#include "sim/load.hpp"

namespace dykestage::sim {

/// A small fleet with two services, a store and an application one, and a load on it.
class Rehearsal {
 public:
  struct Props {
    std::string folder, programs;
    int64_t port = 0;
    uint64_t seed = 1;
    int edges = 3, shields = 3, stores = 2, applications = 3;
    int64_t perSecond = 80;
    bool hasTenant = false, hasMishaps = false;
    bool dropsSync = false;  // a guard taken out on purpose: disks that say synced and are not
  };
  struct Verdict {
    std::string name;
    uint64_t seed = 0;
    Report report;
    int64_t faultAtMs = 0;   // when the failure began
    int64_t healedAtMs = 0;  // when it ended; -1 when it stays
    int64_t backMs = -1;     // from its end until service is back
    double during = 0;       // share served well from its begin to its end
    std::vector<std::string> faults;
    std::vector<std::string> notes;
  };
  /// The names of all rehearsals. Example: `for (auto& name : Rehearsal::names()) ...`
  static auto names() -> std::vector<std::string>;
  /// Runs one. Example: `auto verdict = Rehearsal::run("split", props);`
  static auto run(const std::string& name, Props props) -> Verdict;

 private:
  // Calls each step once its time has come, in the order of their times.
  struct Steps {
    std::vector<std::pair<int64_t, std::function<void()>>> list;
    size_t next = 0;
    auto operator()(int64_t passedMs) -> void {
      if (next == 0)
        std::stable_sort(list.begin(), list.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
      while (next < list.size() && passedMs >= list[next].first)
        list[next++].second();
    }
  };
  struct Cause {
    std::string name;
    void (Rehearsal::*cause)();
    bool hasMishaps = false;
  };
  static auto all() -> const std::vector<Cause>&;
  explicit Rehearsal(Props props);
  auto post(const std::string& target, const std::string& body, size_t from = 0) -> upstream::Fetched;
  auto stand(const std::string& origin, const std::string& body) -> void;
  auto load(int64_t seconds, const std::function<void(int64_t)>& during) -> Report;
  auto pick(size_t n) -> size_t { return random_() % n; }
  auto any(const std::string& kind) -> std::string;
  // Submits a configuration beside the load, and then does what follows its acknowledgement.
  auto submitBeside(
      int64_t deadlineMs, size_t registry, std::function<void()> then = [] {}) -> void;
  auto configure() -> void;
  auto cutApart(const std::vector<std::string>& a, const std::vector<std::string>& b, bool isCut) -> void;
  auto revisionOf(const std::string& name, const char* key) -> int64_t;

  auto kills() -> void;
  auto herd() -> void;
  auto rolling() -> void;
  auto blackout() -> void;
  auto wipe() -> void;
  auto split() -> void;
  auto coreAway() -> void;
  auto freeze() -> void;
  auto upstreams() -> void;
  auto emptied() -> void;
  auto reused() -> void;
  auto purges() -> void;
  auto races() -> void;
  auto impatient() -> void;
  auto rollouts() -> void;
  // Disks, clocks and moments that fail (rehearsal_disks.cpp).
  auto powerLoss() -> void;
  auto fullDisk() -> void;
  auto stalledDisk() -> void;
  auto clocks() -> void;
  auto heldUp() -> void;
  // Upstreams that come and go (rehearsal_upstreams.cpp).
  auto release() -> void;
  auto vanish() -> void;
  auto slow() -> void;
  auto liar() -> void;
  auto silentBeats() -> void;
  // Machines cut off, restarted, flapping, frozen (rehearsal_machines.cpp).
  auto cutOff() -> void;
  auto machines() -> void;
  auto flapping() -> void;
  auto shieldHerd() -> void;
  auto freezeHolder() -> void;
  auto freezeShields() -> void;
  auto freezeAgents() -> void;
  // Operators with much to say (rehearsal_operators.cpp).
  auto growth() -> void;
  auto storm() -> void;

  using Purged =
      std::map<std::string, std::vector<std::pair<int64_t, int64_t>>>;  // target → when acknowledged, edition
  // Judges the reads by the purges; returns how many there were to judge.
  auto judgeReads(const Purged& acked) -> uint64_t;
  // The upstreams that the roster lists.
  auto listed() -> std::set<std::string>;
  auto lastServedMs(const std::string& origin) -> int64_t;
  auto machineOf(const std::string& name) -> std::vector<std::string>;
  auto get(const std::string& target) -> op::Json;
  auto holder() -> std::string;

  Props props_;
  std::mt19937_64 random_;
  std::unique_ptr<Fleet> fleet_;
  Verdict verdict_;
  bool retriesAtOnce_ = false, repeatsKeyed_ = false;
  std::vector<Kind> kinds_;
  std::vector<std::future<std::string>> beside_;
  int64_t agreedRate_ = 200;
};

}  // namespace dykestage::sim
