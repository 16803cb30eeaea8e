// News of the control plane after a restart of all registries, and acknowledgements that wait for it.
#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

#include "sim/control_sim.hpp"

using namespace dykestage;
using namespace dykestage::sim;

namespace {
struct Sum {
  std::vector<std::string> faults;
  uint64_t acknowledged = 0;
  int64_t newsAgainMs = 0, longestAckMs = 0;
};

auto runSeeds(ControlProps props, uint64_t seeds) -> Sum {
  Sum sum;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    props.seed = seed;
    auto v = runControl(props);
    for (const auto& fault : v.faults)
      sum.faults.push_back("seed " + std::to_string(seed) + ": " + fault);
    sum.acknowledged += v.acknowledged;
    sum.newsAgainMs = std::max(sum.newsAgainMs, v.newsAgainMs);
    sum.longestAckMs = std::max(sum.longestAckMs, v.longestAckMs);
  }
  return sum;
}

auto restarts() -> ControlProps {
  ControlProps props;
  props.orderEveryMs = 200;
  props.troubles = {
      {Trouble::kAllKilled, 6000, 300}, {Trouble::kAllKilled, 13000, 900}, {Trouble::kAllKilled, 20000, 3000}};
  return props;
}

auto firstOf(const Sum& sum) -> std::string {
  return sum.faults.empty() ? "none" : sum.faults.front();
}
}  // namespace

TEST_CASE("After a restart of all registries every data node has news within half of the bound") {
  auto sum = runSeeds(restarts(), 20);
  std::cout << "all registries restarted: 20 seeds, acknowledged " << sum.acknowledged << ", news again after "
            << sum.newsAgainMs << " ms at most, acknowledged after " << sum.longestAckMs << " ms at most\n";
  INFO(firstOf(sum));
  CHECK(sum.faults.empty());
  CHECK(sum.acknowledged > 200);
}

TEST_CASE("The checker of news finds answers that are lost while their lines come up") {
  auto props = restarts();
  props.mutation = ControlMutation::kAnswersDropped;
  auto sum = runSeeds(props, 5);
  CHECK(std::any_of(sum.faults.begin(), sum.faults.end(),
                    [](const auto& fault) { return fault.find("has had no news") != std::string::npos; }));
}

TEST_CASE("A change is acknowledged once every node that is heard acts on it") {
  ControlProps props;
  props.troubles = {{Trouble::kSlowNode, 6000, 20000, "shield-1"}};
  auto sum = runSeeds(props, 20);
  std::cout << "a slow node: 20 seeds, acknowledged " << sum.acknowledged << ", after " << sum.longestAckMs
            << " ms at most\n";
  INFO(firstOf(sum));
  CHECK(sum.faults.empty());
  CHECK(sum.acknowledged > 200);
}

TEST_CASE("Nodes that are out of contact hold up no acknowledgement for long") {
  ControlProps props;
  props.troubles = {{Trouble::kNodeCut, 6000, 20000, "shield-1"}};
  auto sum = runSeeds(props, 20);
  std::cout << "a node cut off: 20 seeds, acknowledged " << sum.acknowledged << ", after " << sum.longestAckMs
            << " ms at most\n";
  INFO(firstOf(sum));
  CHECK(sum.faults.empty());
  CHECK(sum.longestAckMs < 2000);
}
