// Program: the agent, whoever starts it.
#pragma once
#include "operator/program.hpp"

namespace dykestage::program {

/// Runs until the process is told to stop; returns its exit code. Settings: docs/settings.md.
/// Example: `return runAgent(program);`
auto runAgent(op::Program& program) -> int;

}  // namespace dykestage::program
