#include "operator/changes.hpp"

namespace dykestage::op {

auto readChange(const std::string& body, core::OpKind kind, std::vector<Fault>& faults, const ChangeReader& read)
    -> std::optional<core::Op> {
  auto json = parse(body);
  if (!json) {
    faults.push_back({"the whole", "is not JSON"});
    return std::nullopt;
  }
  core::Op op;
  op.kind = kind;
  Fields fields(json.get(), "", faults);
  read(fields, op);
  if (!faults.empty()) return std::nullopt;
  return op;
}

auto readBase(Fields& fields, core::Op& op) -> void {
  int64_t base = 0;
  fields.integer("base", 0, kMaxExactInteger, base);
  op.base = static_cast<uint64_t>(base);
}

}  // namespace dykestage::op
