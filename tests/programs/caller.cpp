// caller: a stand-in for callers. Drives a mix at a rate, and compares what came back with what origins ran.
#include <iostream>

#include "sim/load.hpp"

using namespace dykestage;

auto main(int argc, char** argv) -> int {
  auto program = op::Program::start(argc, argv, "caller: drives a deployment's mix of requests at its rate");
  auto props = sim::Load::take(program);
  program.ready();
  auto report = sim::Load(props).run([](int64_t) {});
  std::cout << report.text();
  return report.faults.empty() ? 0 : 1;
}
