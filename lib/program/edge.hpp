// Program: the edge, whoever starts it.
#pragma once
#include "operator/program.hpp"

namespace dykestage::program {

/// Runs until the process is told to stop; returns its exit code. Settings: docs/settings.md.
/// Example: `return runEdge(program);`
auto runEdge(op::Program& program) -> int;

}  // namespace dykestage::program
