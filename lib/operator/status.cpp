// Admin formats: what programs tell of themselves and of the upstreams and nodes that they know.
#include "operator/services.hpp"

namespace dykestage::op {

StatusPage::StatusPage(const std::string& program) : json_(makeObject()) {
  text("program", program);
}

auto StatusPage::text(const char* key, const std::string& value) -> void {
  addText(json_.get(), key, value);
}

auto StatusPage::flag(const char* key, bool value) -> void {
  cJSON_AddBoolToObject(json_.get(), key, value);
}

auto StatusPage::number(const char* key, double value) -> void {
  addNumber(json_.get(), key, value);
}

auto StatusPage::revision(const core::Revision& revision) -> void {
  addNumber(json_.get(), "configuration", revision.configuration);
  addNumber(json_.get(), "purges", revision.purges);
  addNumber(json_.get(), "upstreams", revision.upstreams);
  addNumber(json_.get(), "members", revision.members);
}

auto writeRoster(const core::Frame& frame) -> std::string {
  auto json = makeObject();
  addNumber(json.get(), "upstreamRevision", frame.revision.upstreams);
  addNumber(json.get(), "memberRevision", frame.revision.members);
  auto* upstreams = addObject(json.get(), "upstreams");
  for (const auto& [name, upstream] : frame.upstreams) {
    auto* item = addObject(upstreams, name);
    addText(item, "service", upstream.service);
    addText(item, "kind", nameOf(upstream.kind, kUpstreamKindNames));
    addText(item, "address", upstream.address);
    addText(item, "site", upstream.site);
    addNumber(item, "capacity", upstream.capacity);
    addText(item, "state", upstream.isHeld ? "held" : upstream.isEmptying ? "emptying" : "working");
  }
  auto* members = addObject(json.get(), "members");
  for (const auto& [name, member] : frame.members) {
    auto* item = addObject(members, name);
    addText(item, "kind", member.kind);
    addText(item, "site", member.site);
    addText(item, "address", member.address);
  }
  return print(json.get());
}

}  // namespace dykestage::op
