// Real processes, small: failures under load, callers' and origins' accounts compared. The long runs over many
// seeds are the same rehearsals: `rehearse`.
#include <unistd.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <iostream>

#include "sim/rehearsal.hpp"

using namespace dykestage::sim;

namespace {
auto rehearse(const std::string& name, bool dropsSync = false) -> Rehearsal::Verdict {
  Rehearsal::Props props;
  props.dropsSync = dropsSync;
  props.seed = 3;
  props.folder = std::filesystem::temp_directory_path() / ("dykestage-" + name + "-" + std::to_string(::getpid()));
  props.programs = std::filesystem::canonical("/proc/self/exe").parent_path();
  props.perSecond = 60;
  auto verdict = Rehearsal::run(name, props);
  std::cout << name << ":\n" << verdict.report.text();
  std::string text;
  for (auto& fault : verdict.faults)
    text += fault + "\n";
  INFO(text);
  if (!dropsSync) CHECK(verdict.faults.empty());
  if (verdict.faults.empty()) std::filesystem::remove_all(props.folder);
  return verdict;
}
}  // namespace

TEST_CASE("Single processes of every kind are killed under load") {
  auto v = rehearse("kills");
  CHECK(v.report.share(0, 1 << 30) > 0.9);
}

TEST_CASE("Power is lost right after acknowledgements, with all that was not synced") {
  auto v = rehearse("powerLoss");
  CHECK(v.backMs >= 0);
}

TEST_CASE("The same run bites when disks say that they have synced and have not") {
  auto v = rehearse("powerLoss", true);
  CHECK(std::any_of(v.faults.begin(), v.faults.end(),
                    [](const auto& fault) { return fault.find("lost at") != std::string::npos; }));
}

TEST_CASE("Disks stall for seconds, and a registry on one of them still ends within its grace") {
  auto v = rehearse("stalledDisk");
  CHECK(v.report.share(0, 1 << 30) > 0.7);
}

TEST_CASE("All shields are lost at once under writes with keys that callers repeat") {
  auto v = rehearse("shieldHerd");
  CHECK(v.report.share(0, 1 << 30) > 0.3);
}

TEST_CASE("Purges and storms of purges while fills run") {
  auto v = rehearse("purges");
  CHECK(v.report.share(0, 1 << 30) > 0.9);
}
