// A registry's disk is lost, and all other machines lose power at the same moment: nothing acknowledged is lost, and
// the core orders again soon, whatever went on before and in whatever order the machines return.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <random>

#include "sim/membership_sim.hpp"

using dykestage::sim::MembershipSim;
using Mutation = MembershipSim::Mutation;

namespace {
constexpr int64_t kBackMs = 3000;  // from the last return until a change is acknowledged
constexpr int64_t kAcknowledgedMs = 4000;
constexpr uint64_t kSeeds = 64;

enum class Before : uint8_t {
  kFewChanges,
  kHundredsOfChanges,
  kReplacement,  // one is gone for good, and an empty one at another address learns
  kWipedDisk,    // one is back with an empty disk and learns
  kCutOff,       // one has missed changes behind a cut
  kAway,         // one has missed changes without power
  kHandover,     // one is stopping, and a newcomer takes its place
  kStalledDisk,
};
constexpr std::array kAllBefore = {
    Before::kFewChanges, Before::kHundredsOfChanges, Before::kReplacement, Before::kWipedDisk, Before::kCutOff,
    Before::kAway,       Before::kHandover,          Before::kStalledDisk};

/// One core, what went on before the loss, and the loss.
class Core {
 public:
  Core(uint64_t seed, Before before, Mutation mutation = Mutation::kNone)
      : random_(seed), options_(optionsOf(seed, mutation)), sim_(options_), before_(before) {
    sim_.boot();
  }
  auto sim() -> MembershipSim& { return sim_; }

  /// Brings about what went on before. The machine in trouble may be the one whose disk is lost, at any moment of it;
  /// another one's disk is lost only once the machine in trouble counts as back.
  auto prepare() -> void {
    makeTrouble();
    auto isTroubled = !troubled_.empty();
    if (isTroubled && sim_.members().count(troubled_) != 0 && pick(0, 1) == 0) {
      wiped_ = troubled_;
      return;
    }
    if (isTroubled) sim_.pass(options_.graceMs + options_.syncWithinMs);
    wiped_ = anyMember();
  }
  /// Strikes right after an acknowledgement, or soon after a change was sent; all machines return in any order.
  auto loseAll() -> void {
    if (pick(0, 1) == 0) {
      sim_.acknowledgedWithin(kAcknowledgedMs);
    } else {
      sim_.order();
      sim_.pass(pick(0, 60));
    }
    auto machines = sim_.addresses();
    for (const auto& address : machines)
      if (sim_.isUp(address)) sim_.powerOff(address);
    sim_.wipeOff(wiped_);
    std::shuffle(machines.begin(), machines.end(), random_);
    sim_.pass(pick(50, 2000));
    auto longestGapMs = pick(0, 2) == 0 ? 2500 : 300;
    for (const auto& address : machines) {
      sim_.start(address);
      sim_.pass(pick(0, longestGapMs));
    }
  }
  auto settle() -> void { sim_.pass(options_.syncWithinMs); }

 private:
  static auto optionsOf(uint64_t seed, Mutation mutation) -> MembershipSim::Options {
    MembershipSim::Options options;
    options.mutation = mutation;
    options.hasRandomIncarnations = true;
    options.seed = seed;
    if (seed % 4 == 0) options.replicas = 5;
    return options;
  }
  auto pick(int64_t low, int64_t high) -> int64_t {
    return low + static_cast<int64_t>(random_() % static_cast<uint64_t>(high - low + 1));
  }
  auto anyMember() -> std::string {
    auto members = sim_.members();
    REQUIRE_FALSE(members.empty());
    return *std::next(members.begin(), pick(0, static_cast<int64_t>(members.size()) - 1));
  }
  auto order(int64_t count) -> void {
    for (; count > 0; --count) {
      sim_.order();
      sim_.pass(pick(5, 80));
    }
  }
  auto makeTrouble() -> void {
    troubled_.clear();
    if (before_ == Before::kFewChanges) return order(pick(1, 5));
    if (before_ == Before::kHundredsOfChanges) return order(300);
    troubled_ = anyMember();
    switch (before_) {
      case Before::kReplacement:
        sim_.remove(troubled_);
        sim_.pass(pick(100, 1500));
        sim_.addMachine();
        break;
      case Before::kWipedDisk:
        sim_.wipe(troubled_);
        sim_.pass(pick(100, 3000));
        sim_.start(troubled_);
        break;
      case Before::kCutOff:
        sim_.cutOff(troubled_);
        order(20);
        sim_.pass(pick(100, 8000));
        sim_.join(troubled_);
        break;
      case Before::kAway:
        sim_.powerOff(troubled_);
        order(20);
        sim_.pass(pick(100, 8000));
        sim_.start(troubled_);
        break;
      case Before::kHandover:
        sim_.addMachine();
        sim_.pass(pick(300, 2000));
        sim_.terminate(troubled_, true);
        break;
      default:
        sim_.stallDisk(troubled_, pick(500, 4000));
        break;
    }
    order(pick(0, 10));
    sim_.pass(pick(0, options_.syncWithinMs));
  }

  std::mt19937_64 random_;
  MembershipSim::Options options_;
  MembershipSim sim_;
  Before before_;
  std::string troubled_, wiped_;
};
}  // namespace

TEST_CASE("One disk is lost and all others lose power: changes are acknowledged again, and none is lost") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    Core core(seed, kAllBefore[seed % kAllBefore.size()]);
    for (auto loss = 0; loss < 2; ++loss) {
      core.prepare();
      core.loseAll();
      CHECK(core.sim().acknowledgedWithin(kBackMs));
      core.settle();
    }
    core.sim().settle();
    for (const auto& fault : core.sim().faults())
      UNSCOPED_INFO(fault);
    CHECK(core.sim().faults().empty());
  }
}

TEST_CASE("Losses of all bite when disks only say that they have synced") {
  auto isFound = false;
  for (uint64_t seed = 1; seed <= kSeeds && !isFound; ++seed) {
    Core core(seed, Before::kFewChanges, Mutation::kNoSync);
    core.prepare();
    core.loseAll();
    core.sim().settle();
    isFound = !core.sim().faults().empty();
  }
  CHECK(isFound);
}
