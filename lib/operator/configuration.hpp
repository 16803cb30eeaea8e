// Admin formats: reading and checking what admins and upstreams send as JSON, and writing what they read.
//
// services.cpp: configurations; templates.cpp: templates and tenants; rollouts.cpp; routing.cpp: routes, pools and
// limits; announcements.cpp: registrations of upstreams, purges; status.cpp: status pages and the roster.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/state.hpp"
#include "operator/json.hpp"

namespace dykestage::op {

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

}  // namespace dykestage::op
