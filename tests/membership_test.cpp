// Replicas of the core are replaced, at any address, and nothing that was acknowledged is lost by it.
#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>
#include <memory>

#include "sim/membership_sim.hpp"

using dykestage::sim::MembershipSim;
using Mutation = MembershipSim::Mutation;

namespace {
constexpr int64_t kAckLimitMs = 1000;

auto threeReplicas(uint64_t seed = 1) -> MembershipSim::Options {
  MembershipSim::Options options;
  options.seed = seed;
  return options;
}

auto fiveReplicas(uint64_t seed = 1) -> MembershipSim::Options {
  auto options = threeReplicas(seed);
  options.replicas = 5;
  options.syncWithinMs = 6000;
  return options;
}

auto requireWell(MembershipSim& sim) -> void {
  sim.settle();
  for (const auto& line : sim.history())
    std::cout << line << "\n";
  for (const auto& fault : sim.faults())
    UNSCOPED_INFO(fault);
  REQUIRE(sim.faults().empty());
}
}  // namespace

TEST_CASE("Every member is replaced in turn, and a second loss comes as soon as it is to be borne") {
  for (const auto& options : {threeReplicas(), fiveReplicas()}) {
    MembershipSim sim(options);
    sim.boot();
    REQUIRE(sim.acknowledgedWithin(kAckLimitMs));
    for (const auto& first : sim.members()) {
      sim.remove(first);
      sim.pass(1000);
      auto fresh = sim.addMachine();
      sim.pass(options.syncWithinMs);
      CHECK(sim.isMember(fresh));
      CHECK(sim.members().count(first) == 0);
      CHECK(sim.acknowledgedWithin(kAckLimitMs));
    }
    CHECK(sim.replacements() >= options.replicas);
    requireWell(sim);
  }
}

TEST_CASE("Two replicas of five are replaced at once") {
  MembershipSim sim(fiveReplicas());
  sim.boot();
  sim.remove("core-1");
  sim.remove("core-4");
  sim.pass(500);
  auto first = sim.addMachine(), second = sim.addMachine();
  sim.pass(6000);
  CHECK(sim.isMember(first));
  CHECK(sim.isMember(second));
  sim.remove("core-2");
  sim.remove("core-5");
  CHECK(sim.acknowledgedWithin(kAckLimitMs));
  sim.addMachine();
  sim.addMachine();
  requireWell(sim);
}

TEST_CASE("A leaving replica stays until its successor is in") {
  for (auto stallMs : {0, 300, 2500}) {
    MembershipSim sim(threeReplicas());
    sim.boot();
    auto fresh = sim.addMachine();
    sim.stallDisk(fresh, stallMs);
    sim.pass(100);
    sim.terminate("core-2", true);
    for (auto i = 0; i < 600 && sim.isUp("core-2"); ++i) {
      sim.pass(10);
      // Never fewer replicas than before: until the successor is one, the leaving one is.
      CHECK((sim.isMember("core-2") || sim.isMember(fresh) || sim.members().count(fresh) == 1));
    }
    CHECK_FALSE(sim.isUp("core-2"));
    CHECK(sim.isMember(fresh));
    sim.remove("core-1");
    CHECK(sim.acknowledgedWithin(kAckLimitMs));
    sim.addMachine();
    requireWell(sim);
  }
}

TEST_CASE("Without a successor a replica that is asked to stop does so soon, and is a member when it is back") {
  MembershipSim sim(threeReplicas());
  sim.boot();
  sim.terminate("core-3", false);
  sim.pass(700);
  CHECK_FALSE(sim.isUp("core-3"));
  sim.start("core-3");
  sim.pass(2000);
  CHECK(sim.isMember("core-3"));
  requireWell(sim);
}

TEST_CASE("A newcomer that loses its disk while it learns is no loss") {
  MembershipSim sim(threeReplicas());
  sim.boot();
  sim.remove("core-1");
  auto fresh = sim.addMachine();
  for (auto atMs : {220, 300, 400, 2200}) {
    sim.pass(atMs);
    sim.wipe(fresh);
    sim.pass(100);
    sim.start(fresh);
  }
  sim.pass(4000);
  CHECK(sim.isMember(fresh));
  CHECK(sim.acknowledgedWithin(kAckLimitMs));
  requireWell(sim);
}

TEST_CASE("A replica that was replaced while it was away is fenced, and stands by as a learner") {
  MembershipSim sim(threeReplicas());
  sim.boot();
  sim.powerOff("core-3");
  auto fresh = sim.addMachine();
  sim.pass(5000);
  REQUIRE(sim.isMember(fresh));
  sim.start("core-3");
  sim.pass(3000);
  CHECK_FALSE(sim.isMember("core-3"));
  // It is as good a successor as any other.
  sim.remove("core-1");
  sim.pass(5000);
  CHECK(sim.isMember("core-3"));
  sim.remove(fresh);
  CHECK(sim.acknowledgedWithin(kAckLimitMs));
  sim.addMachine();
  requireWell(sim);
}

TEST_CASE("A newcomer finds the core though most of its seeds are gone") {
  MembershipSim sim(threeReplicas());
  sim.boot();
  for (const auto* gone : {"core-1", "core-2"}) {
    sim.remove(gone);
    sim.pass(300);
    sim.addMachine();
    sim.pass(5000);
  }
  // Of the first seeds one is left, and it is cut off for a while.
  sim.cutOff("core-3");
  auto fresh = sim.addMachine({"core-1", "core-2", "core-3"});
  sim.pass(3000);
  sim.join("core-3");
  sim.pass(4000);
  sim.remove("core-4");
  sim.pass(5000);
  CHECK(sim.isMember(fresh));
  requireWell(sim);
}

TEST_CASE("All lose power in the middle of a replacement") {
  for (auto atMs = 1500; atMs <= 3000; atMs += 50) {
    MembershipSim sim(threeReplicas(static_cast<uint64_t>(atMs)));
    sim.boot();
    REQUIRE(sim.acknowledgedWithin(kAckLimitMs));
    sim.remove("core-2");
    auto fresh = sim.addMachine();
    sim.pass(atMs);
    sim.order();
    for (const auto& address : {std::string("core-1"), std::string("core-3"), fresh})
      sim.powerOff(address);
    sim.pass(300);
    for (const auto& address : {std::string("core-1"), std::string("core-3"), fresh})
      sim.start(address);
    sim.pass(6000);
    CHECK(sim.isMember(fresh));
    requireWell(sim);
  }
}

namespace {
// Random lives of one seed, and what the checker found.
auto liveOnce(MembershipSim::Options options) -> std::unique_ptr<MembershipSim> {
  constexpr int64_t kLiveMs = 40000;
  auto sim = std::make_unique<MembershipSim>(options);
  sim->boot();
  sim->live(kLiveMs, options.seed % 2 == 0);
  sim->settle();
  return sim;
}
}  // namespace

TEST_CASE("Lives of replacements, losses, cuts, freezes and wipes keep what was acknowledged") {
  uint64_t acknowledged = 0, replacements = 0;
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    auto options = seed % 3 == 0 ? fiveReplicas(seed) : threeReplicas(seed);
    auto sim = liveOnce(options);
    acknowledged += sim->acknowledged();
    replacements += sim->replacements();
    if (!sim->faults().empty()) {
      options.keepHistory = true;
      auto again = liveOnce(options);
      for (const auto& line : again->history())
        std::cout << "seed " << seed << " " << line << "\n";
    }
    for (const auto& fault : sim->faults())
      UNSCOPED_INFO("seed " << seed << " " << fault);
    CHECK(sim->faults().empty());
  }
  std::cout << "acknowledged " << acknowledged << ", replacements " << replacements << "\n";
  CHECK(acknowledged > 1000);
  CHECK(replacements > 100);
}

TEST_CASE("The checker of memberships finds seeded defects") {
  for (auto mutation : {Mutation::kNoSync, Mutation::kNoFencing}) {
    auto found = false;
    for (uint64_t seed = 1; seed <= 20 && !found; ++seed) {
      auto options = threeReplicas(seed);
      options.mutation = mutation;
      found = !liveOnce(options)->faults().empty();
    }
    CHECK(found);
  }
}

TEST_CASE("A successor that only claims to have learned takes the majority away") {
  for (auto mutation : {Mutation::kNone, Mutation::kNoLearning}) {
    auto options = threeReplicas();
    options.mutation = mutation;
    MembershipSim sim(options);
    sim.boot();
    auto fresh = sim.addMachine();
    sim.stallDisk(fresh, 5000);
    sim.pass(700);
    sim.terminate("core-2", true);
    sim.pass(1500);
    sim.powerOff("core-1");
    // Two of the three replicas are to be there, the leaving one among them.
    auto isServed = sim.acknowledgedWithin(kAckLimitMs).has_value();
    CHECK(isServed == (mutation == Mutation::kNone));
  }
}
