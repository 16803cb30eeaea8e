// agent: feeds the proxy beside it with news of the control plane
#include "program/agent.hpp"

using namespace dykestage;

auto main(int argc, char** argv) -> int {
  auto program = op::Program::start(argc, argv, "agent: feeds the proxy beside it with news of the control plane");
  return program::runAgent(program);
}
