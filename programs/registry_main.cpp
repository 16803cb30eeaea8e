// registry: a core node of dykestage
#include "program/registry.hpp"

using namespace dykestage;

auto main(int argc, char** argv) -> int {
  auto program = op::Program::start(argc, argv, "registry: a core node of dykestage");
  op::Door door;
  return program::runRegistry(program, door);
}
