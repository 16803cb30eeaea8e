// One number, one configuration: orders that race, orders whose answers are lost, and orders that are sent again.
#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

#include "sim/control_sim.hpp"
#include "sim/explorer.hpp"

using namespace dykestage;
using namespace dykestage::sim;
using core::Op;
using core::OpKind;
using core::OpResult;
using core::Outcome;

namespace {
auto routing(uint64_t base, uint64_t version, uint64_t print, bool isWhole = false) -> Op {
  Op op;
  op.kind = OpKind::kRouting;
  op.base = base;
  op.print = print;
  op.isWhole = isWhole;
  op.routing.version = version;
  op.routing.limits = core::Limits{};
  op.routing.limits->idleMs = static_cast<int64_t>(print);
  return op;
}

auto apply(core::State& state, const Op& op) -> OpResult {
  tempo::Command command;
  command.payload = Writer().put(std::vector<Op>{op}).take();
  return Reader(state.apply(command, 1)).get<std::vector<OpResult>>().front();
}

// The orders of a case: which of them are the same, by print.
struct Sent {
  tempo::Slot at;
  Op op;
};

// What has been told to submitters so far must be possible: one winner on a base, and nothing told two ways.
auto judge(const std::vector<Sent>& sent, const Cluster& cluster) -> std::string {
  std::map<uint64_t, uint64_t> winners;  // base → print
  std::map<uint64_t, Outcome> told;      // print → what its submitter knows
  for (const auto& [number, result] : cluster.outcomes()) {
    const auto& op = sent[number].op;
    if (result.outcome != Outcome::kDone && result.outcome != Outcome::kConflict) continue;
    auto [known, isFirst] = told.emplace(op.print, result.outcome);
    if (!isFirst && known->second != result.outcome)
      return "order " + std::to_string(op.print) + " is acknowledged and refused";
    if (result.outcome != Outcome::kDone) continue;
    auto [winner, isNew] = winners.emplace(op.base, op.print);
    if (!isNew && winner->second != op.print) return "two orders on one base are acknowledged";
  }
  for (auto slot : cluster.slots()) {
    auto inForce = static_cast<uint64_t>(cluster.state(slot).frame().routing.limits.idleMs);
    if (auto it = told.find(inForce); it != told.end() && it->second == Outcome::kConflict)
      return "order " + std::to_string(inForce) + " is refused and in force at " + std::to_string(slot);
  }
  return "";
}

auto judgeEnd(const std::vector<Sent>& sent, const Cluster& cluster) -> std::string {
  const auto& first = cluster.state(1).frame().routing;
  for (auto slot : cluster.slots())
    if (cluster.state(slot).frame().routing.version != first.version ||
        cluster.state(slot).frame().routing.limits.idleMs != first.limits.idleMs)
      return "replicas differ in the end";
  // Somebody won on base 0.
  if (first.version == 0) return "no order is in force";
  return judge(sent, cluster);
}

auto search(const std::string& name, const std::vector<Sent>& sent, ExplorerBudget budget, size_t mostStates,
            ApplyFunction mutated = {}, tempo::Props core = {}) -> ExplorerReport {
  core.replicas = 3;
  core.faults = 1;
  Cluster cluster({core, std::move(mutated)}, {{1, 11}, {2, 12}, {3, 13}});
  for (const auto& one : sent)
    cluster.submit(one.at, one.op);
  ExplorerProps props;
  props.budget = budget;
  props.mostStates = mostStates;
  props.invariant = [&](const Cluster& c) { return judge(sent, c); };
  props.atEnd = [&](const Cluster& c) { return judgeEnd(sent, c); };
  auto report = explore(cluster, props);
  std::cout << name << ": " << report.states << " states, " << report.ends << " ends, "
            << (report.isExhaustive ? "exhaustive" : "bounded")
            << (report.violation.empty() ? "" : ", " + report.violation) << "\n";
  return report;
}

auto traceOf(const ExplorerReport& report) -> std::string {
  auto text = report.violation;
  for (const auto& step : report.trace)
    text += "\n  " + step;
  return text;
}

const std::vector<Sent> kRace = {{1, routing(0, 1, 101)}, {2, routing(0, 1, 102, true)}, {3, routing(0, 1, 101)}};
// The second order builds on the first before anybody knows that the first is in force.
const std::vector<Sent> kChain = {{1, routing(0, 1, 101)}, {2, routing(1, 2, 102)}, {3, routing(1, 2, 102)}};

struct Case {
  const char* name;
  ExplorerBudget budget;
  size_t mostStates, leastStates;
};
}  // namespace

TEST_CASE("All orders, losses and repetitions of messages of two orders on one base and a repeat") {
  const std::vector<Case> cases = {
      {"in all orders", {}, 400000, 1000},
      {"one message lost", {.losses = 1}, 60000, 10000},
      {"one message repeated", {.repetitions = 1}, 60000, 10000},
      {"one timer early", {.timeouts = 1}, 60000, 10000},
      {"one restart", {.restarts = 1}, 60000, 10000},
  };
  for (const auto& one : cases) {
    auto report = search(std::string("race, ") + one.name, kRace, one.budget, one.mostStates);
    INFO(traceOf(report));
    CHECK(report.violation.empty());
    CHECK(report.states >= one.leastStates);
  }
}

TEST_CASE("An order on a base that is not in force yet is never refused and taken later") {
  auto report = search("chain", kChain, {}, 400000);
  INFO(traceOf(report));
  CHECK(report.violation.empty());
  CHECK(report.states >= 1000);
}

TEST_CASE("The search bites for each guard that is taken out") {
  auto withoutBase = [](core::State& state, const tempo::Command& command, tempo::Stamp stamp) {
    auto ops = core::readOps(command.payload);
    for (auto& op : ops) {
      op.base = state.frame().routing.version;
      op.routing.version = op.base + 1;
    }
    auto changed = command;
    changed.payload = Writer().put(ops).take();
    return state.apply(changed, stamp);
  };
  auto withoutMemory = [](core::State& state, const tempo::Command& command, tempo::Stamp stamp) {
    auto ops = core::readOps(command.payload);
    for (auto& op : ops)
      op.print += stamp;
    auto changed = command;
    changed.payload = Writer().put(ops).take();
    return state.apply(changed, stamp);
  };
  CHECK_FALSE(search("mutation: base ignored", kRace, {}, 60000, withoutBase).violation.empty());
  CHECK_FALSE(search("mutation: repeats not known", kRace, {}, 60000, withoutMemory).violation.empty());
  tempo::Props unstable;
  unstable.breakStability = true;
  CHECK_FALSE(search("mutation: runs before it is stable", kRace, {}, 60000, {}, unstable).violation.empty());
}

TEST_CASE("A change that was taken is acknowledged again thousands of changes later, and is never refused") {
  core::State state;
  constexpr uint64_t kChanges = 12000;
  for (uint64_t version = 1; version <= kChanges; ++version)
    REQUIRE(apply(state, routing(version - 1, version, version)).outcome == Outcome::kDone);
  // It travels with snapshots.
  core::State copy;
  for (uint8_t part = 0; part < tempo::kParts; ++part)
    copy.load(part, state.save(part));
  uint64_t remembered = 0;
  for (uint64_t version = 1; version <= kChanges; ++version) {
    auto again = apply(copy, routing(version - 1, version, version)).outcome;
    CHECK(again != Outcome::kConflict);
    if (again == Outcome::kDone) ++remembered;
  }
  CHECK(remembered >= 4000);
  // Its rival under the same number has lost, as long as that is known, and is not acknowledged in any case.
  CHECK(apply(copy, routing(kChanges - 1, kChanges, 1)).outcome == Outcome::kConflict);
  CHECK(apply(copy, routing(0, 1, 7)).outcome != Outcome::kDone);
  CHECK(copy.frame().routing.version == kChanges);
}

TEST_CASE("A call of an upstream that comes after its last word changes nothing, whatever removed the upstream") {
  auto announce = [](const std::string& name, const std::string& service, uint64_t number, bool isEmptying) {
    Op op;
    op.kind = OpKind::kAnnounce;
    op.name = name;
    op.upstream.service = service;
    op.upstream.address = "10.0.0.1:80";
    op.upstream.number = number;
    op.upstream.isEmptying = isEmptying;
    return op;
  };
  SECTION("signed off in silence") {
    core::State state;
    apply(state, announce("a", "till", 3, false));
    apply(state, announce("a", "till", 9, true));
    Op signOff;
    signOff.kind = OpKind::kSignOff;
    signOff.name = "a";
    REQUIRE(apply(state, signOff).outcome == Outcome::kDone);
    CHECK(apply(state, announce("a", "till", 8, false)).outcome == Outcome::kNoChange);
    CHECK(state.frame().upstreams.empty());
    // One that was only cut off comes back with its next call.
    CHECK(apply(state, announce("a", "till", 10, false)).outcome == Outcome::kDone);
  }
  SECTION("replaced at its address") {
    core::State state;
    apply(state, announce("a", "till", 9, true));
    apply(state, announce("b", "shop", 1, false));
    CHECK(apply(state, announce("a", "till", 8, false)).outcome == Outcome::kNoChange);
    CHECK(state.frame().upstreams.count("b") == 1);
  }
  SECTION("retired with its pool") {
    core::State state;
    auto withPool = routing(0, 1, 1, true);
    withPool.routing.pools["till"] = core::Pool{};
    apply(state, withPool);
    apply(state, announce("a", "till", 9, true));
    REQUIRE(apply(state, routing(1, 2, 2, true)).outcome == Outcome::kDone);
    REQUIRE(state.frame().upstreams.empty());
    CHECK(apply(state, announce("a", "till", 8, false)).outcome == Outcome::kNoChange);
  }
}

TEST_CASE(
    "Eight orders under way, answers lost, hundreds of changes a day, and long troubles of one registry at a time") {
  struct Row {
    std::string name;
    std::vector<ControlTrouble> troubles;
    int64_t orderEveryMs;
    uint64_t least;
  };
  const std::vector<Row> rows = {
      {"calm storm", {}, 20, 200},
      {"power loss in a storm", {{Trouble::kPowerLoss, 6000, 15000, "r2"}}, 30, 200},
      {"wiped disk in a storm", {{Trouble::kWipe, 9000, 2000, "leader"}}, 30, 200},
      {"leader cut off in a storm", {{Trouble::kSilentCut, 8000, 20000, "leader"}}, 30, 200},
      {"two restarted in turn",
       {{Trouble::kPowerLoss, 8000, 4000, "r1"}, {Trouble::kRestartInCut, 18000, 9000, "r3"}},
       30,
       200},
  };
  for (const auto& row : rows) {
    uint64_t acknowledged = 0, repeats = 0;
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      ControlProps props;
      props.seed = seed;
      props.troubles = row.troubles;
      props.lostAnswerPercent = 20;
      props.orderEveryMs = row.orderEveryMs;
      props.endMs = 60000;
      auto v = runControl(props);
      INFO(row.name << ", seed " << seed << ": " << (v.faults.empty() ? "" : v.faults.front()));
      CHECK(v.faults.empty());
      CHECK(v.acknowledged > row.least);
      acknowledged += v.acknowledged, repeats += v.repeats;
    }
    std::cout << row.name << ": acknowledged " << acknowledged << " in 3 seeds, sent again " << repeats << "\n";
  }
}
