// The ordering core: the paper's own examples, all orders of a few messages, and seeded histories.
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include <algorithm>
#include <deque>
#include <iostream>

#include "sim/core_sim.hpp"

using namespace dykestage;
using namespace dykestage::sim;
using namespace dykestage::tempo;

namespace {

class MockMachine : public Machine {
 public:
  MAKE_MOCK2(apply, auto(const Command&, Stamp)->std::string, override);
  MAKE_CONST_MOCK1(save, auto(uint8_t)->std::string, override);
  MAKE_MOCK2(load, auto(uint8_t, const std::string&)->void, override);
};

// Keeps what ran, in order.
class ListMachine : public Machine {
 public:
  auto apply(const Command& command, Stamp stamp) -> std::string override {
    ran.emplace_back(stamp, command.payload);
    return "ran " + command.payload;
  }
  auto save(uint8_t) const -> std::string override { return {}; }
  auto load(uint8_t, const std::string&) -> void override { ++loads; }
  int loads = 0;
  std::vector<std::pair<Stamp, std::string>> ran;
};

struct Letter {
  Slot from, to;
  Message message;
};

// A handful of nodes whose messages are delivered by hand.
struct Table {
  explicit Table(uint32_t r, uint32_t f) {
    tempo::Props props;
    props.replicas = r;
    props.faults = f;
    std::map<Slot, Incarnation> members;
    for (Slot s = 1; s <= r; ++s)
      members[s] = s;
    for (Slot s = 1; s <= r; ++s) {
      machines.push_back(std::make_unique<ListMachine>());
      nodes.push_back(std::make_unique<Node>(props, s, s, *machines.back()));
      nodes.back()->form(members);
    }
  }
  auto node(Slot s) -> Node& { return *nodes[s - 1]; }
  auto gather() -> void {
    for (auto& n : nodes) {
      auto out = n->take();
      for (auto& send : out.sends)
        letters.push_back({n->slot(), send.to, std::move(send.message)});
      for (auto& answer : out.answers)
        answers.push_back(answer);
    }
  }
  // Delivers the first letter that fits; false when there is none.
  auto deliver(const std::function<bool(const Letter&)>& fits) -> bool {
    gather();
    auto it = std::find_if(letters.begin(), letters.end(), fits);
    if (it == letters.end()) return false;
    auto letter = *it;
    letters.erase(it);
    node(letter.to).receive(letter.from, letter.message, nowMs);
    gather();
    return true;
  }
  auto deliverAll(const std::function<bool(const Letter&)>& fits = [](const Letter&) { return true; }) -> void {
    while (deliver(fits)) {
    }
  }
  auto pass(int64_t ms, const std::vector<Slot>& living) -> void {
    for (auto end = nowMs + ms; nowMs < end; nowMs += 10) {
      for (auto s : living)
        node(s).tick(nowMs);
      deliverAll([&](const Letter& l) {
        return std::count(living.begin(), living.end(), l.from) && std::count(living.begin(), living.end(), l.to);
      });
    }
  }
  std::vector<std::unique_ptr<ListMachine>> machines;
  std::vector<std::unique_ptr<Node>> nodes;
  std::deque<Letter> letters;
  std::vector<Answer> answers;
  int64_t nowMs = 1000;
};

// One row of the paper's table 1: the clocks of A to D before, f, and whether the fast path is taken.
auto takesFastPath(uint32_t f, std::vector<Stamp> clocks) -> std::pair<bool, Stamp> {
  Table t(5, f);
  for (size_t i = 0; i < clocks.size(); ++i)
    t.node(static_cast<Slot>(i + 1)).setClock(kMembers, clocks[i]);
  t.gather();
  t.letters.clear();
  t.node(1).submit(1u << kMembers, "c", t.nowMs);
  // Only proposals and their acks move, so that nothing but the fast quorum decides.
  t.deliverAll([](const Letter& l) { return l.message.kind == Kind::kPropose || l.message.kind == Kind::kProposeAck; });
  auto commit =
      std::find_if(t.letters.begin(), t.letters.end(), [](const auto& l) { return l.message.kind == Kind::kCommit; });
  auto consensus = std::find_if(t.letters.begin(), t.letters.end(),
                                [](const auto& l) { return l.message.kind == Kind::kConsensus; });
  REQUIRE((commit != t.letters.end()) != (consensus != t.letters.end()));
  auto isFast = commit != t.letters.end();
  return {isFast, isFast ? commit->message.stamp : consensus->message.stamp};
}

auto runSeeds(const Faults& faults, uint64_t first, uint64_t count, const tempo::Props& core = {}) -> Verdict {
  Verdict sum;
  for (auto seed = first; seed < first + count; ++seed) {
    CoreSim::Props props;
    props.seed = seed;
    props.faults = faults;
    props.core = core;
    auto v = CoreSim(props).run();
    sum.executed += v.executed, sum.answered += v.answered, sum.fast += v.fast, sum.slow += v.slow;
    sum.recovered += v.recovered, sum.frames += v.frames, sum.voided += v.voided, sum.changes += v.changes;
    for (auto& f : v.faults)
      sum.faults.push_back("seed " + std::to_string(seed) + " " + f);
  }
  return sum;
}
}  // namespace

TEST_CASE("Table 1 of the paper: when the fast path is taken") {
  CHECK(takesFastPath(2, {5, 6, 10, 10}) == std::pair{true, Stamp{11}});
  CHECK(takesFastPath(2, {5, 6, 10, 5}) == std::pair{false, Stamp{11}});
  CHECK(takesFastPath(1, {5, 6, 10}) == std::pair{true, Stamp{11}});
  CHECK(takesFastPath(1, {5, 5, 1}) == std::pair{true, Stamp{6}});
}

TEST_CASE("Figure 2 of the paper: stable stamps for sets of promises") {
  // X, Y and Z as promises of A, B and C, in every combination and order. Each promise is told as the paper
  // has it: a range that joins what came before. A gap must keep what lies above it from counting.
  auto range = [](Slot slot, Stamp from, Stamp upTo) { return Promise{kMembers, slot, slot, from, upTo, 0, {}, {}}; };
  std::map<char, std::vector<Promise>> sets = {
      {'X', {range(2, 0, 1), range(4, 2, 3)}}, {'Y', {range(3, 0, 3)}}, {'Z', {range(2, 1, 2), range(4, 0, 2)}}};
  std::map<std::string, Stamp> expected = {{"X", 0}, {"Y", 0}, {"Z", 0}, {"XY", 1}, {"XZ", 2}, {"YZ", 2}, {"XYZ", 3}};
  for (const auto& [names, stable] : expected) {
    // Three slots count (2, 3, 4 stand for A, B, C); the observer is a fourth, whose own clock is far ahead, and
    // a fifth is silent: with r = 5 the third highest decides, which leaves the majority of A, B, C to decide.
    Table t(5, 1);
    t.node(1).setClock(kMembers, 100);
    Message m;
    m.kind = Kind::kPromises;
    // Told over and over, as a replica does until it hears that it was understood.
    for (auto round = 0; round < 3; ++round)
      for (auto name : names)
        for (const auto& p : sets[name]) {
          m.from = p.incarnation;
          m.promises = {p};
          t.node(1).receive(p.slot, m, t.nowMs);
        }
    INFO(names);
    CHECK(t.node(1).stable(kMembers) == stable);
  }
}

TEST_CASE("Figure 4 of the paper: a command of two partitions takes the higher stamp in both") {
  Table t(3, 1);
  for (Slot s = 1; s <= 3; ++s) {
    t.node(s).setClock(kConfiguration, 5);
    t.node(s).setClock(kUpstreams, 9);
  }
  t.node(1).submit(1u << kConfiguration | 1u << kUpstreams, "both", t.nowMs);
  t.pass(200, {1, 2, 3});
  for (auto& m : t.machines) {
    REQUIRE(m->ran.size() == 1);
    CHECK(m->ran[0] == std::pair{Stamp{10}, std::string("both")});
  }
  // MBump: the lower partition's clocks followed before the commit.
  for (Slot s = 1; s <= 3; ++s)
    CHECK(t.node(s).clock(kConfiguration) >= 10);
}

TEST_CASE("A command runs only once it is stable, and once") {
  MockMachine machine;
  tempo::Props props;
  props.replicas = 3;
  props.faults = 1;
  Node a(props, 1, 1, machine);
  a.form({{1, 1}, {2, 2}, {3, 3}});
  auto id = a.submit(1u << kMembers, "x", 1000);
  Message ack;
  ack.kind = Kind::kProposeAck;
  ack.from = 2;
  ack.part = kMembers;
  ack.id = id;
  ack.stamp = 1;
  {
    // Committed by the fast quorum {1, 2}; without the other's promise it is not stable.
    FORBID_CALL(machine, apply(trompeloeil::_, trompeloeil::_));
    a.receive(2, ack, 1001);
  }
  REQUIRE_CALL(machine, apply(trompeloeil::_, 1u)).RETURN("done");
  Message promises;
  promises.kind = Kind::kPromises;
  promises.from = 2;
  promises.promises = {Promise{kMembers, 2, 2, 0, 1, 0, {}, {{1, id}}}};
  a.receive(2, promises, 1002);
  a.receive(2, promises, 1003);
  auto out = a.take();
  REQUIRE(out.answers.size() == 1);
  CHECK(out.answers[0].result == "done");
}

TEST_CASE("All orders of the messages of two racing commits end alike") {
  // r = 3, f = 1. Two nodes submit at once; the first letters are delivered in each of their orders, the rest
  // follows. Every replica must run both, in one order.
  std::vector<size_t> order = {0, 1, 2, 3};
  auto tried = 0;
  std::set<std::vector<std::pair<Stamp, std::string>>> outcomes;
  do {
    Table t(3, 1);
    t.node(1).submit(1u << kMembers, "a", t.nowMs);
    t.node(2).submit(1u << kMembers, "b", t.nowMs);
    t.gather();
    REQUIRE(t.letters.size() == 4);
    std::vector<Letter> first(t.letters.begin(), t.letters.end());
    t.letters.clear();
    for (auto i : order) {
      t.node(first[i].to).receive(first[i].from, first[i].message, t.nowMs);
      t.gather();
      // After each, the answers that it caused are taken up at once or kept until all four are in.
      if (tried % 2) t.deliverAll();
    }
    t.pass(300, {1, 2, 3});
    for (auto& m : t.machines) {
      REQUIRE(m->ran.size() == 2);
      CHECK(m->ran == t.machines[0]->ran);
    }
    CHECK(t.answers.size() == 2);
    outcomes.insert(t.machines[0]->ran);
    ++tried;
  } while (std::next_permutation(order.begin(), order.end()));
  CHECK(tried == 24);
  CHECK(outcomes.size() >= 2);  // the orders do matter to which one comes first
}

TEST_CASE("Recovery finds what a lost coordinator decided, whoever is lost with it") {
  // f = 2: the coordinator takes the fast path or not (table 1, a and b), tells one node or nobody, and is lost
  // with any one other node. Whatever was told must stand.
  for (auto d : {Stamp{10}, Stamp{5}})
    for (Slot told : {0u, 2u, 3u, 4u, 5u})
      for (Slot lost : {2u, 3u, 4u, 5u}) {
        Table t(5, 2);
        auto clocks = std::vector<Stamp>{5, 6, 10, d};
        for (size_t i = 0; i < clocks.size(); ++i)
          t.node(static_cast<Slot>(i + 1)).setClock(kMembers, clocks[i]);
        t.gather();
        t.letters.clear();
        t.node(1).submit(1u << kMembers, "c", t.nowMs);
        t.deliverAll(
            [](const Letter& l) { return l.message.kind != Kind::kCommit && l.message.kind != Kind::kConsensus; });
        std::optional<Stamp> decided;
        for (auto& l : t.letters)
          if (l.message.kind == Kind::kCommit) decided = l.message.stamp;
        if (told)
          t.deliver([&](const Letter& l) {
            return l.to == told && (l.message.kind == Kind::kCommit || l.message.kind == Kind::kConsensus);
          });
        t.letters.clear();
        std::vector<Slot> living;
        for (Slot s = 2; s <= 5; ++s)
          if (s != lost) living.push_back(s);
        t.pass(3000, living);
        for (auto s : living) {
          INFO("d " << d << " told " << told << " lost " << lost << " node " << s);
          REQUIRE(t.machines[s - 1]->ran.size() == 1);
          CHECK(t.machines[s - 1]->ran == t.machines[living[0] - 1]->ran);
          if (decided) CHECK(t.machines[s - 1]->ran[0].first == *decided);
        }
      }
}

TEST_CASE("All orders of the messages of two racing recoveries end alike") {
  // r = 3, f = 1. The coordinator has proposed to one other and is lost, or not; the two others, each believing
  // itself alone, recover at once. Their first letters are delivered in each of their orders.
  for (auto isLost : {true, false}) {
    std::vector<size_t> order;
    auto tried = 0;
    do {
      Table t(3, 1);
      t.node(3).setClock(kMembers, 7);
      t.node(1).submit(1u << kMembers, "c", t.nowMs);
      t.deliver([](const Letter& l) { return l.to == 2 && l.message.kind == Kind::kPropose; });
      t.deliver([](const Letter& l) { return l.to == 3 && l.message.kind == Kind::kPayload; });
      t.letters.clear();
      t.nowMs += 10;
      for (Slot s : {2u, 3u})
        t.node(s).tick(t.nowMs);
      t.nowMs += 400;
      for (Slot s : {2u, 3u})
        t.node(s).tick(t.nowMs);
      t.gather();
      std::vector<Letter> first;
      for (auto& l : t.letters)
        if (l.message.kind == Kind::kRec && (l.to != 1 || !isLost)) first.push_back(l);
      t.letters.clear();
      REQUIRE(first.size() == (isLost ? 2 : 4));
      if (order.empty())
        for (size_t i = 0; i < first.size(); ++i)
          order.push_back(i);
      for (auto i : order) {
        t.node(first[i].to).receive(first[i].from, first[i].message, t.nowMs);
        t.gather();
        if (tried % 2) t.deliverAll([&](const Letter& l) { return !isLost || l.to != 1; });
      }
      std::vector<Slot> living = isLost ? std::vector<Slot>{2, 3} : std::vector<Slot>{1, 2, 3};
      t.pass(3000, living);
      for (auto s : living) {
        INFO("lost " << isLost << " order " << tried << " node " << s);
        REQUIRE(t.machines[s - 1]->ran.size() == 1);
        CHECK(t.machines[s - 1]->ran == t.machines[living[0] - 1]->ran);
      }
      ++tried;
    } while (std::next_permutation(order.begin(), order.end()));
    CHECK(tried == (isLost ? 2 : 24));
  }
}

TEST_CASE("A replica that knows its partition's stamp never joins a ballot against it") {
  // Two partitions: the coordinator passes its fast path at one and waits for the other. A recovery that it
  // joined there would take it for a coordinator that had not.
  Table t(3, 1);
  t.node(3).setClock(kUpstreams, 20);
  t.gather();
  t.letters.clear();
  auto id = t.node(1).submit(1u << kConfiguration | 1u << kUpstreams, "c", t.nowMs);
  t.deliverAll([](const Letter& l) {
    return l.message.part == kConfiguration &&
           (l.message.kind == Kind::kPropose || l.message.kind == Kind::kProposeAck);
  });
  t.letters.clear();
  Message rec;
  rec.kind = Kind::kRec;
  rec.from = 3;
  rec.part = kConfiguration;
  rec.id = id;
  rec.ballot = 6;
  Command command;
  command.id = id;
  command.parts = 1u << kConfiguration | 1u << kUpstreams;
  command.quorum = Node::bit(1) | Node::bit(2);
  rec.command = command;
  t.node(1).receive(3, rec, t.nowMs);
  t.gather();
  CHECK(
      std::none_of(t.letters.begin(), t.letters.end(), [](const auto& l) { return l.message.kind == Kind::kRecAck; }));
  CHECK(std::any_of(t.letters.begin(), t.letters.end(),
                    [](const auto& l) { return l.to == 3 && l.message.kind == Kind::kCommit; }));
}

TEST_CASE("Seeded histories under every kind of failure") {
  for (const auto& [name, faults] : coreMixes()) {
    auto v = runSeeds(faults, 1, 60);
    INFO(name << ": " << (v.faults.empty() ? "" : v.faults.front()));
    CHECK(v.faults.empty());
    CHECK(v.answered > 60 * 120 * 2 / 5);  // a run in which nothing is answered proves nothing
    std::cout << name << ": answered " << v.answered << ", fast " << v.fast << ", slow " << v.slow << ", recovered "
              << v.recovered << ", frames " << v.frames << ", voided " << v.voided << "\n";
  }
}

TEST_CASE("The checker bites when a rule is broken") {
  Faults all{5, 5, true, true, true, false, true, true, true};
  SECTION("sends leave before the sync") {
    auto faults = all;
    faults.dropSync = true;
    CHECK_FALSE(runSeeds(faults, 1, 60).faults.empty());
  }
  SECTION("a slow quorum counts two replies too few") {
    tempo::Props core;
    core.breakSlowQuorum = 2;
    CHECK_FALSE(runSeeds(all, 1, 100, core).faults.empty());
  }
  SECTION("commands run at commit instead of at stability") {
    tempo::Props core;
    core.breakStability = true;
    CHECK_FALSE(runSeeds({.lossPercent = 5}, 1, 5, core).faults.empty());
  }
}
