// edge: takes callers' requests
#include "program/edge.hpp"

using namespace dykestage;

auto main(int argc, char** argv) -> int {
  auto program = op::Program::start(argc, argv, "edge: takes callers' requests");
  return program::runEdge(program);
}
