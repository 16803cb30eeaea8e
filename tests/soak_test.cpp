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
auto soak(Soak::Props props) -> Soak::Verdict {
  props.folder = std::filesystem::temp_directory_path() / ("dykestage-soak-" + std::to_string(::getpid()));
  props.programs = std::filesystem::canonical("/proc/self/exe").parent_path();
  auto verdict = Soak::run(props);
  std::cout << verdict.line() << "\n";
  if (verdict.faults.empty() || props.defect != SoakDefect::kNone) std::filesystem::remove_all(props.folder);
  return verdict;
}

auto soakOf(uint64_t seed, SoakDefect defect = SoakDefect::kNone) -> Soak::Props {
  constexpr int64_t kSpanMs = 12000;
  Soak::Props props;
  props.seed = seed;
  props.spanMs = kSpanMs;
  props.defect = defect;
  return props;
}

auto soakWell(const Soak::Props& props) -> Soak::Verdict {
  auto verdict = soak(props);
  INFO(verdict.line());
  CHECK(verdict.faults.empty());
  CHECK(verdict.well > verdict.requests / 4);
  CHECK(verdict.judgedReads > 0);
  CHECK(verdict.changes > 0);
  return verdict;
}

constexpr int64_t kLossSpanMs = 8000;

auto hasFault(const Soak::Verdict& verdict, const std::string& what) -> bool {
  return std::any_of(verdict.faults.begin(), verdict.faults.end(),
                     [&](const auto& fault) { return fault.find(what) != std::string::npos; });
}
}  // namespace

TEST_CASE("Kept connections, and troubles that overlap, at edges that fetch themselves") {
  CHECK(soakWell(soakOf(21)).shape.find('p') != std::string::npos);
}

TEST_CASE("Kept connections, and troubles that overlap, at edges beside shields") {
  CHECK(soakWell(soakOf(11)).shape.find('p') == std::string::npos);
}

TEST_CASE("Clients that keep to no limit, beside kept connections and troubles that overlap") {
  for (uint64_t seed : {41, 46}) {
    auto props = soakOf(seed);
    props.hasCrowds = true;
    soakWell(props);
  }
}

TEST_CASE("Upstreams some of whose answers are broken, beside kept connections and troubles that overlap") {
  auto props = soakOf(51);
  props.spanMs = kLossSpanMs;
  props.spoilsAnswers = true;
  soakWell(props);
}

TEST_CASE("The soak bites when processes are killed and nobody tells") {
  auto verdict = soak(soakOf(21, SoakDefect::kHiddenKills));
  INFO(verdict.line());
  CHECK(hasFault(verdict, "without an answer"));
}

TEST_CASE("The soak bites when purges are acknowledged and don't happen") {
  auto verdict = soak(soakOf(11, SoakDefect::kUnsentPurges));
  INFO(verdict.line());
  CHECK(hasFault(verdict, "purged before edition"));
}

TEST_CASE("A disk is lost and everything else ends at the same moment, during troubles and after an acknowledgement") {
  for (uint64_t seed : {31, 34}) {
    auto props = soakOf(seed);
    props.spanMs = kLossSpanMs;
    props.losesAll = true;
    soakWell(props);
  }
}

TEST_CASE("The soak bites when most of the disks are lost") {
  auto props = soakOf(34, SoakDefect::kLostMajority);
  props.spanMs = kLossSpanMs / 2;
  props.losesAll = true;
  auto verdict = soak(props);
  INFO(verdict.line());
  CHECK(hasFault(verdict, "at the end"));
}
