// One control machine out of contact with the others for twenty seconds: what it says, and how soon it says that it
// can't say anything.
#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

#include "agent/feed.hpp"
#include "sim/control_sim.hpp"

using namespace dykestage;
using namespace dykestage::sim;

namespace {
constexpr int64_t kTroubleMs = 8000, kLongMs = 20000;

auto runSeeds(const std::string& name, ControlProps props, uint64_t seeds) -> ControlVerdict {
  ControlVerdict sum;
  for (props.seed = 1; props.seed <= seeds; ++props.seed) {
    auto v = runControl(props);
    for (const auto& fault : v.faults)
      sum.faults.push_back(name + ", seed " + std::to_string(props.seed) + ", " + fault);
    sum.acknowledged += v.acknowledged, sum.refused += v.refused, sum.repeats += v.repeats, sum.reads += v.reads;
    sum.turnedAway += v.turnedAway, sum.heldInContact += v.heldInContact;
    sum.longestHeldMs = std::max(sum.longestHeldMs, v.longestHeldMs);
    sum.noticedMs = std::max(sum.noticedMs, v.noticedMs);
    sum.oldestNewsMs = std::max(sum.oldestNewsMs, v.oldestNewsMs);
  }
  std::cout << name << ": " << seeds << " seeds, acknowledged " << sum.acknowledged << ", refused " << sum.refused
            << ", sent again " << sum.repeats << ", reads " << sum.reads << ", turned away at once " << sum.turnedAway
            << " (in contact " << sum.heldInContact << "), noticed within " << sum.noticedMs << " ms, held at most "
            << sum.longestHeldMs << " ms, news at most " << sum.oldestNewsMs << " ms old, faults " << sum.faults.size()
            << "\n";
  return sum;
}

struct Row {
  std::string name;
  std::vector<ControlTrouble> troubles;
  uint64_t leastTurnedAway = 500;
};
auto longTroubles() -> std::vector<Row> {
  return {
      {"silent cut", {{Trouble::kSilentCut, kTroubleMs, kLongMs, "r1"}}},
      {"silent cut of the leader", {{Trouble::kSilentCut, kTroubleMs, kLongMs, "leader"}}},
      {"outbound cut", {{Trouble::kOutboundCut, kTroubleMs, kLongMs, "leader"}}},
      {"inbound cut", {{Trouble::kInboundCut, kTroubleMs, kLongMs, "r2"}}},
      {"inbound cut of the leader", {{Trouble::kInboundCut, kTroubleMs, kLongMs, "leader"}}},
      {"cut by reset", {{Trouble::kResetCut, kTroubleMs, kLongMs, "leader"}}},
      {"cut off from data nodes too", {{Trouble::kLonelyCut, kTroubleMs, kLongMs, "r3"}}},
      {"freeze", {{Trouble::kFreeze, kTroubleMs, kLongMs, "leader"}}, 1},
      {"restarted while cut off", {{Trouble::kRestartInCut, kTroubleMs, kLongMs, "leader"}}},
      {"data node cut off", {{Trouble::kNodeCut, kTroubleMs, kLongMs, "shield-1"}}, 0},
      {"two in turn",
       {{Trouble::kSilentCut, kTroubleMs, 9000, "r1"}, {Trouble::kResetCut, kTroubleMs + 12000, 9000, "r2"}}},
      {"freeze, then cut",
       {{Trouble::kFreeze, kTroubleMs, 9000, "leader"}, {Trouble::kOutboundCut, kTroubleMs + 12000, 9000, "leader"}}},
  };
}
}  // namespace

TEST_CASE("A registry out of contact for 20 s says nothing that rests on the past, and turns calls away at once") {
  for (const auto& row : longTroubles()) {
    ControlProps props;
    props.troubles = row.troubles;
    props.lostAnswerPercent = 30;
    props.endMs = 44000;
    auto v = runSeeds(row.name, props, 6);
    INFO((v.faults.empty() ? row.name : v.faults.front()));
    CHECK(v.faults.empty());
    CHECK(v.acknowledged > 400);
    CHECK(v.reads > 800);
    CHECK(v.turnedAway >= row.leastTurnedAway);
    CHECK(v.heldInContact == 0);
  }
}

TEST_CASE("The checker of calls bites for each guard that is taken out") {
  struct Mutated {
    ControlMutation mutation;
    const char* caught;
  };
  const std::vector<Mutated> rows = {
      {ControlMutation::kStaleRead, "was acknowledged before"},
      {ControlMutation::kLoserTaken, "were both acknowledged"},
      {ControlMutation::kRepeatRefused, "is refused when it is sent again"},
      {ControlMutation::kSilence, "holds"},
      {ControlMutation::kAcknowledgesAll, "acknowledged"},
  };
  for (const auto& row : rows) {
    ControlProps props;
    props.troubles = {{Trouble::kSilentCut, kTroubleMs, kLongMs, "r1"}};
    props.endMs = 44000;
    props.mutation = row.mutation;
    auto v = runControl(props);
    INFO(row.caught);
    CHECK(std::any_of(v.faults.begin(), v.faults.end(),
                      [&](const auto& fault) { return fault.find(row.caught) != std::string::npos; }));
  }
}

TEST_CASE("A connection that is stuck after a long cut is dialled anew") {
  neighbour::SilenceWatch watch(1000);
  CHECK_FALSE(watch.isSilent("r1", 5000));  // nothing was asked
  watch.sent("r1", 5000);
  watch.sent("r1", 5900);
  CHECK_FALSE(watch.isSilent("r1", 5999));
  CHECK(watch.isSilent("r1", 6000));
  watch.heard("r1");
  CHECK_FALSE(watch.isSilent("r1", 9000));
  // Without it, nodes in touch again have old news for as long again as the cut was.
  ControlProps props;
  props.troubles = {{Trouble::kNodeCut, kTroubleMs, kLongMs, "shield-1"}};
  props.endMs = 44000;
  props.mutation = ControlMutation::kNoRedial;
  auto v = runControl(props);
  CHECK(std::any_of(v.faults.begin(), v.faults.end(), [](const auto& fault) {
    return fault.find("shield-1 reaches two registries, and its news is") != std::string::npos;
  }));
}

TEST_CASE("An answer with news that was frozen on its way counts as old as it is") {
  core::Member member{"shield", "site", "data:s", "agent:s", 7, 0};
  core::Frame frame;
  frame.members["s"] = member;
  frame.revision.members = 1;
  agent::Follower follower("s", 400, 1);
  agent::Giver giver(200);
  follower.be(member);
  auto poll = follower.tick({"r1", "r2"}, 2, {}, 1000);
  REQUIRE(poll);
  giver.take("agent:s", poll->second, 1010);
  auto given = giver.give(frame, 1000, 1020);
  REQUIRE(given.size() == 1);
  // The publisher stands still for twenty seconds between making the answer and sending it.
  auto isNews = follower.take(given[0].second, 21030);
  CHECK(isNews);
  CHECK(follower.held().asOfMs <= 1000);
  CHECK_FALSE(follower.held().isCurrent(21030, 1500));
  // Whoever gave it is left.
  auto next = follower.tick({"r1", "r2"}, 2, {}, 21040);
  REQUIRE(next);
  CHECK(next->first == "r2");
}
