// The soak, short and seeded: real processes, clients that keep their connections, overlapping series of troubles. The
// long runs over many seeds are the same: `soak`.
#include <unistd.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <iostream>

#include "sim/soak.hpp"

using namespace dykestage::sim;

namespace {
auto soak(uint64_t seed, int64_t spanMs, SoakDefect defect = SoakDefect::kNone) -> Soak::Verdict {
  Soak::Props props;
  props.seed = seed;
  props.spanMs = spanMs;
  props.defect = defect;
  props.folder = std::filesystem::temp_directory_path() / ("dykestage-soak-" + std::to_string(::getpid()));
  props.programs = std::filesystem::canonical("/proc/self/exe").parent_path();
  auto verdict = Soak::run(props);
  std::cout << verdict.line() << "\n";
  if (verdict.faults.empty() || defect != SoakDefect::kNone) std::filesystem::remove_all(props.folder);
  return verdict;
}

auto soakWell(uint64_t seed) -> Soak::Verdict {
  constexpr int64_t kSpanMs = 12000;
  auto verdict = soak(seed, kSpanMs);
  INFO(verdict.line());
  CHECK(verdict.faults.empty());
  CHECK(verdict.well > verdict.requests / 4);
  CHECK(verdict.judgedReads > 0);
  CHECK(verdict.changes > 0);
  return verdict;
}

auto hasFault(const Soak::Verdict& verdict, const std::string& what) -> bool {
  return std::any_of(verdict.faults.begin(), verdict.faults.end(),
                     [&](const auto& fault) { return fault.find(what) != std::string::npos; });
}

constexpr int64_t kDefectSpanMs = 12000;
}  // namespace

TEST_CASE("Kept connections, and troubles that overlap, at edges that fetch themselves") {
  CHECK(soakWell(21).shape.find('p') != std::string::npos);
}

TEST_CASE("Kept connections, and troubles that overlap, at edges beside shields") {
  CHECK(soakWell(11).shape.find('p') == std::string::npos);
}

TEST_CASE("The soak bites when processes are killed and nobody tells") {
  auto verdict = soak(21, kDefectSpanMs, SoakDefect::kHiddenKills);
  INFO(verdict.line());
  CHECK(hasFault(verdict, "without an answer"));
}

TEST_CASE("The soak bites when purges are acknowledged and don't happen") {
  auto verdict = soak(11, kDefectSpanMs, SoakDefect::kUnsentPurges);
  INFO(verdict.line());
  CHECK(hasFault(verdict, "purged before edition"));
}
