// Admin formats: what a configured service and a template's service have in common.
#pragma once
#include <array>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "operator/changes.hpp"

namespace dykestage::op {

/// A number that a service has, with its range. A template has either the number or a parameter in its place.
struct ServiceNumber {
  const char* key;
  int64_t low;
  int64_t high;
  int64_t core::Service::*inService;
  core::Value core::Template::*inTemplate;
};
inline constexpr std::array<ServiceNumber, 4> kServiceNumbers = {{
    {"deadlineMs", 50, 60000, &core::Service::deadlineMs, &core::Template::deadlineMs},
    {"originRate", 0, 1000000, &core::Service::originRate, &core::Template::originRate},
    {"triesPercent", 0, 20, &core::Service::triesPercent, &core::Template::triesPercent},
    {"triesAllowance", 0, 1000, &core::Service::triesAllowance, &core::Template::triesAllowance},
}};
/// The longest TTL of a path's cache entries.
inline constexpr int64_t kMaxKeepMs = 86400000;
/// What a fault says of a TTL on a path whose answers come from applications.
inline constexpr auto kKeepRule = "only what comes from a store may be kept";

/// How a path begins: its prefix and the kind of its upstreams.
struct PathHead {
  std::string prefix;
  core::UpstreamKind kind = core::UpstreamKind::kApplication;
  bool isApplication = false;  // as written; a path without a valid kind is neither
};
/// Reads one path; `head` has been read, and the fields are closed afterwards.
using PathReader = std::function<void(Fields& fields, const PathHead& head)>;
/// Reads the list `paths` of a service. Example: `readPaths(fields, faults, [&](Fields& path, const PathHead& head) {
/// ... });`
auto readPaths(Fields& service, std::vector<Fault>& faults, const PathReader& readPath) -> void;
/// Reads a path's policy and compiles it; what does not compile is a fault. Example: `readPolicy(path, into.policy);`
auto readPolicy(Fields& path, std::string& policy) -> void;
/// How kinds of upstreams are written. Example: `addText(json, "kind", nameOf(path.kind, kUpstreamKindNames));`
inline constexpr std::array kUpstreamKindNames = {"store", "application", "any"};

}  // namespace dykestage::op
