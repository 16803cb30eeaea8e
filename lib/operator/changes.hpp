// Admin formats: what the readers of all changes of control-plane state have in common.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "operator/configuration.hpp"

namespace dykestage::op {

/// Reads the fields of a change into its operation, and closes them.
using ChangeReader = std::function<void(Fields& fields, core::Op& op)>;
/// Reads a change from a request's body; none with any fault.
/// Example: `return readChange(body, core::OpKind::kPurge, faults, [&](Fields& fields, core::Op& op) { ... });`
auto readChange(const std::string& body, core::OpKind kind, std::vector<Fault>& faults, const ChangeReader& read)
    -> std::optional<core::Op>;
/// Reads the revision or version that a change builds on. Example: `readBase(fields, op);`
auto readBase(Fields& fields, core::Op& op) -> void;

}  // namespace dykestage::op
