// Program: the registry, whoever starts it.
#pragma once
#include "operator/door.hpp"
#include "operator/program.hpp"

namespace dykestage::program {

/// Runs until the process is told to stop; returns its exit code. Settings: docs/settings.md.
/// Example: `op::Door door; return runRegistry(program, door);`
auto runRegistry(op::Program& program, op::Door& door) -> int;

}  // namespace dykestage::program
