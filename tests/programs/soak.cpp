// soak: fleets of real processes under clients that keep their connections, with overlapping series of troubles.
#include <filesystem>
#include <iostream>

#include "operator/program.hpp"
#include "sim/soak.hpp"

using namespace dykestage;

auto main(int argc, char** argv) -> int {
  auto program = op::Program::start(
      argc, argv,
      "soak: overlapping series of signals, restarts and changes, under kept connections\n"
      "  soak [--set=first=1,seeds=50,full=10]   every tenth seed with as many processes as\n"
      "  this machine bears\n"
      "  soak --set=crowds=true                  with crowds of clients that keep to no limit\n"
      "  soak --set=spoilt=true                  with upstreams some of whose answers are broken\n"
      "  soak --set=losesAll=true                a disk is lost, and everything ends at once, twice");
  auto& s = program.settings();
  sim::Soak::Props props;
  int64_t seeds = 1, first = 1, full = 0, most = sim::Soak::mostProcesses();
  props.folder = "run/soak";
  s.text("folder", props.folder);
  s.integer("seeds", 1, 100000, seeds);
  s.integer("first", 0, 1LL << 50, first);
  s.integer("spanMs", 1000, 3600000, props.spanMs);
  s.flag("losesAll", props.losesAll);
  s.flag("crowds", props.hasCrowds);
  s.flag("spoilt", props.spoilsAnswers);
  s.integer("full", 0, 100000, full);
  s.integer("processes", 1, 1000, most);
  program.ready();
  props.programs = std::filesystem::canonical("/proc/self/exe").parent_path();
  auto failed = 0;
  for (auto seed = first; seed < first + seeds; ++seed) {
    props.seed = static_cast<uint64_t>(seed);
    props.processes = full > 0 && seed % full == 0 ? static_cast<int>(most) : 0;
    auto verdict = sim::Soak::run(props);
    std::cout << verdict.line() << std::endl;
    if (!verdict.faults.empty()) {
      ++failed;
      std::filesystem::rename(props.folder, props.folder + "-failed-" + std::to_string(seed));
    }
  }
  std::cout << seeds << " seeds, " << failed << " failed" << std::endl;
  return failed == 0 ? 0 : 1;
}
