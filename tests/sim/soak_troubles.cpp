#include "sim/soak_troubles.hpp"

#include <signal.h>

#include <algorithm>
#include <array>

namespace dykestage::sim {

namespace {
constexpr int64_t kSyncMs = 4000;    // that a registry counts as lost after its return
constexpr int64_t kLateEndMs = 500;  // over the grace, of the machine that the soak runs on
constexpr int64_t kLongestDownMs = 1500;
constexpr int64_t kLongestFreezeMs = 3500;
constexpr std::array kProcessKinds = {"edge", "edge", "shield", "agent", "registry", "origin"};
constexpr std::array kTroubleKinds = {TroubleKind::kStop, TroubleKind::kStop, TroubleKind::kKill, TroubleKind::kFreeze,
                                      TroubleKind::kReread};

auto nameOf(TroubleKind kind) -> std::string {
  switch (kind) {
    case TroubleKind::kStop:
      return "stop";
    case TroubleKind::kKill:
      return "kill";
    case TroubleKind::kFreeze:
      return "freeze";
    case TroubleKind::kReread:
      return "reread";
  }
  return "";
}
}  // namespace

SoakTroubles::SoakTroubles(Fleet& fleet, Props props)
    : fleet_(fleet), props_(std::move(props)), random_(props_.seed), nowMs_(props_.startMs) {
  for (const auto* kind : {"registry", "shield", "edge", "agent", "origin"})
    for (const auto& name : fleet_.names(kind))
      processes_[name].kind = kind;
  plan();
}

auto SoakTroubles::between(int64_t low, int64_t high) -> int64_t {
  return std::uniform_int_distribution<int64_t>(low, high)(random_);
}

// Series begin anywhere in the span and last up to its half, so that they overlap.
auto SoakTroubles::plan() -> void {
  for (auto i = 0; i < props_.series; ++i) {
    TroubleSeries series;
    series.kind = kTroubleKinds[random_() % kTroubleKinds.size()];
    series.processes = kProcessKinds[random_() % kProcessKinds.size()];
    series.nextMs = props_.startMs + between(0, props_.spanMs * 2 / 3);
    series.untilMs =
        std::min(props_.startMs + props_.spanMs, series.nextMs + between(props_.spanMs / 5, props_.spanMs / 2));
    series.gapMs = between(50, 2500);
    series_.push_back(std::move(series));
  }
}

auto SoakTroubles::step(int64_t nowMs) -> void {
  nowMs_ = nowMs;
  for (auto& [name, process] : processes_)
    follow(name, process, nowMs);
  for (auto& series : series_) {
    if (nowMs < series.nextMs || nowMs >= series.untilMs) continue;
    series.nextMs = nowMs + series.gapMs;
    act(series, nowMs);
  }
}

auto SoakTroubles::heal(int64_t nowMs) -> void {
  for (auto& series : series_)
    series.untilMs = std::min(series.untilMs, nowMs);
  for (auto& [name, process] : processes_)
    process.changeMs = std::min(process.changeMs, nowMs);
  step(nowMs);
}

auto SoakTroubles::begin(const std::string& name) -> void {
  if (props_.hidesKills) return;
  auto& list = troubles_[name];
  if (list.empty() || list.back().untilMs != INT64_MAX) list.push_back({nowMs_});
}

auto SoakTroubles::over(const std::string& name, Process& process, int64_t nowMs) -> void {
  process.restedMs = nowMs;
  if (auto list = troubles_.find(name); list != troubles_.end() && list->second.back().untilMs == INT64_MAX)
    list->second.back().untilMs = nowMs;
}

auto SoakTroubles::wasTroubled(const std::string& name, int64_t fromMs, int64_t untilMs) const -> bool {
  auto list = troubles_.find(name);
  if (list == troubles_.end()) return false;
  return std::any_of(list->second.begin(), list->second.end(),
                     [&](const Trouble& trouble) { return trouble.fromMs <= untilMs && trouble.untilMs >= fromMs; });
}

auto SoakTroubles::isBack(const Process& process, int64_t nowMs) const -> bool {
  auto hasRested = process.restedMs < 0 || nowMs - process.restedMs >= kSyncMs;
  return process.condition == Condition::kUp && (process.kind != "registry" || hasRested);
}

// A registry that is not back yet is a loss already: its disk goes before another one's.
auto SoakTroubles::registriesToWipe(int64_t nowMs) -> std::vector<std::string> {
  auto names = fleet_.names("registry");
  std::shuffle(names.begin(), names.end(), random_);
  std::stable_partition(names.begin(), names.end(),
                        [&](const auto& name) { return !isBack(processes_.at(name), nowMs); });
  names.resize(std::min(names.size(), props_.disksLost));
  return names;
}

auto SoakTroubles::loseAll(int64_t nowMs) -> void {
  nowMs_ = nowMs;
  ++counts_["loss of all"];
  auto wiped = registriesToWipe(nowMs);
  for (const auto& [name, process] : processes_)
    if (process.kind != "origin") fleet_.signal(name, SIGKILL);
  for (auto& [name, process] : processes_) {
    if (process.kind == "origin") continue;
    begin(name);
    fleet_.kill(name);
    process.condition = Condition::kDown;
    process.changeMs = nowMs + between(50, kLongestDownMs);
  }
  for (const auto& name : wiped)
    fleet_.wipe(name);
}

auto SoakTroubles::hasDown() const -> bool {
  return std::any_of(processes_.begin(), processes_.end(),
                     [](const auto& one) { return one.second.condition == Condition::kDown; });
}

// A majority of the registries is left in peace, and one process of each other kind.
auto SoakTroubles::mayTrouble(const std::string& name, const Process& process, TroubleKind kind, int64_t nowMs) const
    -> bool {
  // A process that has not come to its first line yet can't be told anything.
  if (kind == TroubleKind::kReread) return process.condition != Condition::kDown && fleet_.catches(name, SIGHUP);
  if (process.kind == "origin" && fleet_.service(name) == props_.spared && kind != TroubleKind::kFreeze) return false;
  size_t all = 0, troubled = 0;
  for (const auto& [other, one] : processes_) {
    auto isAlike = one.kind == process.kind && fleet_.service(other) == fleet_.service(name);
    if (!isAlike) continue;
    ++all;
    if (!isBack(one, nowMs) && other != name) ++troubled;
  }
  auto most = process.kind == "registry" ? (all - 1) / 2 : all - 1;
  return troubled < most;
}

auto SoakTroubles::act(const TroubleSeries& series, int64_t nowMs) -> void {
  std::vector<std::string> names;
  for (const auto& [name, process] : processes_) {
    auto isHeld = process.condition == Condition::kDown || process.condition == Condition::kFrozen;
    if (process.kind == series.processes && !isHeld && mayTrouble(name, process, series.kind, nowMs))
      names.push_back(name);
  }
  if (names.empty()) return;
  const auto& name = names[random_() % names.size()];
  auto& process = processes_.at(name);
  ++counts_[nameOf(series.kind) + " " + process.kind];
  switch (series.kind) {
    case TroubleKind::kStop:
      fleet_.signal(name, SIGTERM);
      if (process.condition == Condition::kUp) {
        process.condition = Condition::kStopping;
        process.sinceMs = nowMs;
        process.wasHeldUp = false;
      }
      break;
    case TroubleKind::kKill:
      begin(name);
      fleet_.kill(name);
      process.condition = Condition::kDown;
      process.changeMs = nowMs + between(50, kLongestDownMs);
      break;
    case TroubleKind::kFreeze:
      begin(name);
      fleet_.signal(name, SIGSTOP);
      process.wasStopping = process.condition == Condition::kStopping;
      process.condition = Condition::kFrozen;
      process.changeMs = nowMs + between(100, kLongestFreezeMs);
      break;
    case TroubleKind::kReread:
      fleet_.signal(name, SIGHUP);
      break;
  }
}

// Plays the platform: starts what is gone, and kills what takes longer than its grace.
auto SoakTroubles::follow(const std::string& name, Process& process, int64_t nowMs) -> void {
  switch (process.condition) {
    case Condition::kUp:
      if (fleet_.isRunning(name)) return;
      faults_.push_back(name + " ended by itself");
      begin(name);
      process.condition = Condition::kDown;
      process.changeMs = nowMs;
      return;
    case Condition::kStopping:
      if (!fleet_.isRunning(name)) {
        process.condition = Condition::kDown;
        process.changeMs = nowMs + between(0, kLongestDownMs);
        return;
      }
      if (nowMs - process.sinceMs < props_.graceMs + (process.wasHeldUp ? kLongestFreezeMs : kLateEndMs)) return;
      if (!process.wasHeldUp) faults_.push_back(name + " took longer than its grace");
      begin(name);
      fleet_.kill(name);
      process.condition = Condition::kDown;
      process.changeMs = nowMs;
      return;
    case Condition::kFrozen:
      if (nowMs < process.changeMs) return;
      fleet_.signal(name, SIGCONT);
      process.condition = process.wasStopping ? Condition::kStopping : Condition::kUp;
      process.wasHeldUp = process.wasStopping;
      over(name, process, nowMs);
      return;
    case Condition::kDown:
      if (nowMs < process.changeMs) return;
      fleet_.start(name);
      process.condition = Condition::kUp;
      over(name, process, nowMs);
      return;
  }
}

}  // namespace dykestage::sim
