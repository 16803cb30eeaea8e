// Admin formats: registrations of upstreams, and purges.
#include "operator/changes.hpp"

namespace dykestage::op {

namespace {
constexpr int64_t kMaxCapacity = 100000;
constexpr int64_t kMaxColdMs = 86400000;

auto upstreamKind(const std::string& kind) -> core::UpstreamKind {
  if (kind.empty()) return core::UpstreamKind::kAny;
  return kind == "store" ? core::UpstreamKind::kStore : core::UpstreamKind::kApplication;
}

auto readPurgeFields(Fields& fields, core::Op& op) -> void {
  auto& purge = op.purge;
  std::string host;
  fields.text("change", op.changeId);
  fields.text("service", purge.service);
  fields.host("host", host);
  fields.text("path", purge.path);
  fields.text("label", purge.label);
  fields.close();
  if (!host.empty() && !purge.service.empty()) fields.fault("host", "either a service or a host may be given");
  if (purge.service.empty()) purge.service = host;
  if (purge.service.empty() && purge.label.empty()) fields.fault("service", "is missing; a label alone needs none");
  if (purge.path.empty() == purge.label.empty()) fields.fault("path", "either a path or a label must be given");
}

auto readAnnouncementFields(Fields& fields, core::Op& op) -> void {
  auto& upstream = op.upstream;
  std::string kind;
  std::string state;
  fields.text("instance", op.name, true);
  fields.text("state", state);
  auto isGone = state == "gone";
  if (isGone) op.kind = core::OpKind::kDeregister;
  fields.text("service", upstream.service, !isGone);
  fields.text("kind", kind);
  fields.text("address", upstream.address, !isGone);
  fields.text("site", upstream.site, !isGone);
  fields.integer("capacity", 1, kMaxCapacity, upstream.capacity);
  fields.integer("coldMs", 0, kMaxColdMs, upstream.coldMs);
  // Without a number "gone" is the last word: whatever numbered announcement comes after it is late.
  int64_t number = isGone ? kMaxExactInteger : 0;
  fields.integer("number", 1, kMaxExactInteger, number);
  fields.close();
  if (!kind.empty() && kind != "store" && kind != "application") fields.fault("kind", "must be store or application");
  if (!upstream.address.empty() && !isAddress(upstream.address))
    fields.fault("address", "must be an IP number and a port");
  if (!op.name.empty() && !isName(op.name)) fields.fault("instance", kNameRule);
  if (!state.empty() && state != "working" && state != "emptying" && !isGone)
    fields.fault("state", "must be working, emptying or gone");
  upstream.number = static_cast<uint64_t>(number);
  upstream.kind = upstreamKind(kind);
  upstream.isEmptying = state == "emptying";
}
}  // namespace

auto readPurge(const std::string& body, std::vector<Fault>& faults) -> std::optional<core::Op> {
  return readChange(body, core::OpKind::kPurge, faults, readPurgeFields);
}

auto readAnnouncement(const std::string& body, std::vector<Fault>& faults) -> std::optional<core::Op> {
  return readChange(body, core::OpKind::kAnnounce, faults, readAnnouncementFields);
}

}  // namespace dykestage::op
