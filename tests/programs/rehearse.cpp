// rehearse: causes each kind of failure under load, with real processes, and judges by the accounts.
#include <filesystem>
#include <iomanip>
#include <iostream>

#include "operator/program.hpp"
#include "sim/rehearsal.hpp"

using namespace dykestage;

auto main(int argc, char** argv) -> int {
  auto program =
      op::Program::start(argc, argv,
                         "rehearse: causes failures under load and judges by callers' and origins' accounts\n"
                         "  rehearse [NAME ...]   one, several, or all rehearsals");
  auto& s = program.settings();
  sim::Rehearsal::Props props;
  int64_t seeds = 1, first = 1;
  props.folder = "run/rehearsal";
  s.text("folder", props.folder);
  s.integer("port", 0, 60000, props.port);
  s.integer("seeds", 1, 100000, seeds);
  s.integer("first", 0, 1LL << 50, first);
  auto isVerbose = false;
  s.flag("verbose", isVerbose);
  program.ready();
  props.programs = std::filesystem::canonical("/proc/self/exe").parent_path();
  auto names = program.words().empty() ? sim::Rehearsal::names() : program.words();
  auto isWell = true;
  std::cout << "rehearsal    seed  asked   well%  during%  back ms  faults\n";
  for (const auto& name : names)
    for (auto seed = first; seed < first + seeds; ++seed) {
      props.seed = static_cast<uint64_t>(seed);
      auto v = sim::Rehearsal::run(name, props);
      uint64_t asked = 0;
      for (auto& [kind, count] : v.report.kinds)
        asked += count.asked;
      std::cout << std::left << std::setw(12) << name << std::right << std::setw(5) << seed << std::setw(7) << asked
                << std::fixed << std::setprecision(2) << std::setw(8) << 100 * v.report.share(0, 1 << 30)
                << std::setw(9) << 100 * v.during << std::setw(9) << v.backMs << std::setw(8) << v.faults.size()
                << "\n";
      for (auto& note : v.notes)
        std::cout << "    " << note << "\n";
      for (auto& fault : v.faults)
        std::cout << "    FAULT " << fault << "\n";
      if (isVerbose) std::cout << v.report.text();
      std::cout << std::flush;
      isWell = isWell && v.faults.empty();
    }
  return isWell ? 0 : 1;
}
