// Operator: reading and checking what operators and upstreams send as JSON.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <cjson/cJSON.h>

#include "core/state.hpp"

namespace dykestage::op {

/// Owns a parsed JSON value. Example: `auto json = parse(text); if (!json) ...`
using Json = std::unique_ptr<cJSON, decltype(&cJSON_Delete)>;
/// Parses text; null when it is no JSON, or when something stands behind it. Example: `parse("{}")`
auto parse(const std::string& text) -> Json;
/// Prints compactly. Example: `print(json.get())`
auto print(const cJSON* json) -> std::string;

/// A fault of an input and where it stands. Example: `{"services.shop.paths[0].prefix", "must start with /"}`
struct Fault {
  std::string place, what;
};

/// Reads fields of a JSON object, collects every fault, and finds unknown keys.
/// Example:
///   Fields f(json, "services.shop", faults);
///   f.integer("deadlineMs", 10, 60000, service.deadlineMs);
///   f.close();
class Fields {
 public:
  Fields(const cJSON* json, std::string place, std::vector<Fault>& faults);
  /// Each takes a field when it is there; false when it is missing. Wrong types and ranges become faults.
  auto integer(const std::string& key, int64_t low, int64_t high, int64_t& into) -> bool;
  auto number(const std::string& key, double low, double high, double& into) -> bool;
  auto text(const std::string& key, std::string& into, bool needed = false) -> bool;
  auto flag(const std::string& key, bool& into) -> bool;
  auto texts(const std::string& key, std::vector<std::string>& into) -> bool;
  /// The raw value, for objects and lists. Example: `if (auto* list = f.raw("paths")) ...`
  auto raw(const std::string& key) -> const cJSON*;
  /// Adds a fault at a key. Example: `f.fault("kind", "must be store or application");`
  auto fault(const std::string& key, const std::string& what) -> void;
  /// Reports the keys that nothing asked for. Example: `f.close();`
  auto close() -> void;

 private:
  const cJSON* json_;
  std::string place_;
  std::vector<Fault>& faults_;
  std::vector<std::string> seen_;
};

/// Takes a submitted configuration, whole or partial. Every fault is reported; with any fault nothing is kept.
/// Example: `auto op = readConfiguration(body, frame.services, faults); if (!op) return turnAway(faults);`
auto readConfiguration(const std::string& body, const std::map<std::string, core::Service>& now,
                       std::vector<Fault>& faults, const std::map<std::string, core::Tenant>& tenants = {})
    -> std::optional<core::Op>;
/// True when the submission named the revision it builds on itself. Example: `namesBase(body)`
auto namesBase(const std::string& body) -> bool;
/// Takes a template: {"change": id, "name": n, "template": {"parameters", "service", "rollout"}}.
/// Example: `auto op = readTemplate(body, faults); if (!op) return turnAway(faults);`
auto readTemplate(const std::string& body, std::vector<Fault>& faults) -> std::optional<core::Op>;
/// Takes tenants: {"change": id, "base": r, "tenants": {name: {"template", "hosts", "values"} or null}}.
/// Example: `auto op = readTenants(body, state, faults);`
auto readTenants(const std::string& body, const core::State& state, std::vector<Fault>& faults)
    -> std::optional<core::Op>;
/// Templates and tenants as JSON. Example: `writeTemplates(state)`
auto writeTemplates(const core::State& state) -> std::string;
/// A rollout with the figures of each decision. Example: `writeRollout("retail-2", rollout)`
auto writeRollout(const std::string& id, const core::Rollout& rollout) -> std::string;
/// Faults as a JSON list of places. Example: `writeFaults(faults)`
auto writeFaults(const std::vector<Fault>& faults) -> std::string;
/// Takes a change of the routing: {"version", "base", "whole", "routes", "pools", "limits"}; with any fault nothing.
/// Example: `auto op = readRouting(body, faults); if (!op) return turnAway(faults);`
auto readRouting(const std::string& body, std::vector<Fault>& faults) -> std::optional<core::Op>;
/// True when the change fits together with the routing at its base; else the faults say why not.
/// Example: `if (!checkRouting(*op, frame.routing, faults)) return turnAway(faults);`
auto checkRouting(const core::Op& op, const core::Routing& now, std::vector<Fault>& faults) -> bool;
/// The routing as JSON, each item with its source. Example: `writeRouting(state.frame().routing, state.sources())`
auto writeRouting(const core::Routing& routing, const core::Sources& sources) -> std::string;
/// Takes a purge: {"change": id, "service": s or "host": h, "path": p or "label": l}, or a label alone.
/// Example: `auto op = readPurge(body, faults);`
auto readPurge(const std::string& body, std::vector<Fault>& faults) -> std::optional<core::Op>;
/// Takes an upstream's announcement. Example: `auto op = readAnnouncement(body, faults);`
auto readAnnouncement(const std::string& body, std::vector<Fault>& faults) -> std::optional<core::Op>;
/// The configuration as JSON. Example: `writeConfiguration(frame)`
auto writeConfiguration(const core::Frame& frame) -> std::string;
/// The live roster as JSON. Example: `writeRoster(frame)`
auto writeRoster(const core::Frame& frame) -> std::string;

/// What a program tells of itself at /status, in the order in which it is added.
/// Example: `StatusPage page("edge"); page.flag("ready", isReady); page.number("open", edge.open()); return
/// page.take();`
class StatusPage {
 public:
  explicit StatusPage(const std::string& program);
  auto text(const char* key, const std::string& value) -> void;
  auto flag(const char* key, bool value) -> void;
  auto number(const char* key, double value) -> void;
  auto revision(const core::Revision& revision) -> void;
  auto take() const -> std::string { return print(json_.get()); }

 private:
  Json json_;
};

/// True for "ip:port" with a numeric IPv4 address. Example: `isAddress("127.0.0.1:80")`
auto isAddress(const std::string& text) -> bool;

}  // namespace dykestage::op
