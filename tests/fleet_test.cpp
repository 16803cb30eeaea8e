// Real processes, small: failures under load, callers' and origins' accounts compared. The long runs over many
// seeds are the same rehearsals: `rehearse`.
#include <catch2/catch.hpp>
#include <unistd.h>

#include <filesystem>
#include <iostream>

#include "sim/rehearsal.hpp"

using namespace dykestage::sim;

namespace {
auto rehearse(const std::string& name) -> Rehearsal::Verdict {
  Rehearsal::Props props;
  props.folder = std::filesystem::temp_directory_path() / ("dykestage-" + name + "-" + std::to_string(::getpid()));
  props.programs = std::filesystem::canonical("/proc/self/exe").parent_path();
  props.perSecond = 60;
  auto verdict = Rehearsal::run(name, props);
  std::cout << name << ":\n" << verdict.report.text();
  std::string text;
  for (auto& fault : verdict.faults) text += fault + "\n";
  INFO(text);
  CHECK(verdict.faults.empty());
  if (verdict.faults.empty()) std::filesystem::remove_all(props.folder);
  return verdict;
}
}  // namespace

TEST_CASE("Single processes of every kind are killed under load") {
  auto v = rehearse("kills");
  CHECK(v.report.share(0, 1 << 30) > 0.9);
}

TEST_CASE("Everything loses power right after an acknowledgement") {
  auto v = rehearse("blackout");
  CHECK(v.backMs >= 0);
}

TEST_CASE("Purges and storms of purges while fills run") {
  auto v = rehearse("purges");
  CHECK(v.report.share(0, 1 << 30) > 0.9);
}
