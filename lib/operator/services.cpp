// Admin formats: services as they are configured.
#include "operator/services.hpp"

#include "policy/script.hpp"

namespace dykestage::op {

using core::Service;
using core::Services;
using Tenants = std::map<std::string, core::Tenant>;

namespace {
auto readPathHead(Fields& path, std::set<std::string>& prefixes) -> PathHead {
  PathHead head;
  std::string kind;
  if (path.text("prefix", head.prefix, true) && !head.prefix.empty() && head.prefix[0] != '/')
    path.fault("prefix", "must start with /");
  if (!prefixes.insert(head.prefix).second) path.fault("prefix", "stands twice in this service");
  path.text("kind", kind, true);
  if (!kind.empty() && kind != "store" && kind != "application") path.fault("kind", "must be store or application");
  head.kind = kind == "store" ? core::UpstreamKind::kStore : core::UpstreamKind::kApplication;
  head.isApplication = kind == "application";
  return head;
}

auto readService(const cJSON* json, const std::string& place, std::vector<Fault>& faults) -> Service {
  Service service;
  Fields fields(json, place, faults);
  fields.hosts("hosts", service.hosts);
  for (const auto& number : kServiceNumbers)
    fields.integer(number.key, number.low, number.high, service.*number.inService);
  readPaths(fields, faults, [&](Fields& path, const PathHead& head) {
    core::Path read{head.prefix, head.kind, 0, ""};
    if (path.integer("keepMs", 0, kMaxKeepMs, read.keepMs) && read.keepMs > 0 && head.isApplication)
      path.fault("keepMs", kKeepRule);
    readPolicy(path, read.policy);
    service.paths.push_back(std::move(read));
  });
  fields.close();
  return service;
}

// The services that a configuration names: set by an object, retired by null.
auto readServices(const cJSON* services, const Services& now, const Tenants& tenants, std::vector<Fault>& faults,
                  core::Op& op) -> void {
  for (const auto* item = services->child; item; item = item->next) {
    std::string name = item->string;
    auto place = "services." + name;
    if (!isName(name)) faults.push_back({place, kNameRule});
    if (op.services.count(name)) faults.push_back({place, "stands twice"});
    if (tenants.count(name)) faults.push_back({place, "belongs to a tenant, and changes with its template"});
    if (!cJSON_IsNull(item)) {
      op.services[name] = readService(item, place, faults);
      continue;
    }
    if (!now.count(name)) faults.push_back({place, "is not configured, so that it can't be retired"});
    op.services[name] = std::nullopt;
  }
}

// All services as they are once the change has run.
auto servicesAfter(const core::Op& op, const Services& now, const Tenants& tenants) -> Services {
  auto services = op.isWhole ? Services() : now;
  for (const auto& [name, tenant] : tenants)
    if (now.count(name)) services[name] = now.at(name);
  for (const auto& [name, service] : op.services) {
    if (service)
      services[name] = *service;
    else
      services.erase(name);
  }
  return services;
}

// A host belongs to one service. Two that were taken when spellings counted as different hosts don't stand in the way
// of a change that names neither.
auto checkHosts(const Services& services, const core::Op& op, std::vector<Fault>& faults) -> void {
  std::map<std::string, std::string> owners;
  for (const auto& [name, service] : services) {
    auto place = "services." + name + ".hosts";
    if (service.hosts.empty()) faults.push_back({place, "must name at least one host"});
    for (const auto& host : service.hosts) {
      auto [owner, isNew] = owners.try_emplace(host, name);
      auto isOfChange = op.services.count(name) != 0 || op.services.count(owner->second) != 0;
      if (!isNew && isOfChange) faults.push_back({place, host + " belongs to " + owner->second});
    }
  }
}

auto addPath(cJSON* list, const core::Path& path) -> void {
  auto* item = appendObject(list);
  addText(item, "prefix", path.prefix);
  addText(item, "kind", nameOf(path.kind, kUpstreamKindNames));
  if (path.keepMs) addNumber(item, "keepMs", path.keepMs);
  if (!path.policy.empty()) addText(item, "policy", path.policy);
}
}  // namespace

auto readPaths(Fields& service, std::vector<Fault>& faults, const PathReader& readPath) -> void {
  const auto* paths = service.raw("paths");
  if (!cJSON_IsArray(paths) || !paths->child) {
    service.fault("paths", "must be a list with at least one path");
    return;
  }
  auto index = 0;
  std::set<std::string> prefixes;
  for (const auto* item = paths->child; item; item = item->next, ++index) {
    Fields path(item, service.place() + ".paths[" + std::to_string(index) + "]", faults);
    auto head = readPathHead(path, prefixes);
    readPath(path, head);
    path.close();
  }
}

auto readPolicy(Fields& path, std::string& policy) -> void {
  std::string reason;
  if (path.text("policy", policy) && !policy.empty() && !policy::Script::compile(policy, reason))
    path.fault("policy", reason);
}

auto namesBase(const std::string& body) -> bool {
  auto json = parse(body);
  return json && cJSON_GetObjectItemCaseSensitive(json.get(), "base");
}

auto readConfiguration(const std::string& body, const Services& now, std::vector<Fault>& faults, const Tenants& tenants)
    -> std::optional<core::Op> {
  return readChange(body, core::OpKind::kConfigure, faults, [&](Fields& fields, core::Op& op) {
    fields.text("change", op.changeId);
    readBase(fields, op);
    fields.flag("whole", op.isWhole);
    const auto* services = fields.raw("services");
    if (!cJSON_IsObject(services))
      fields.fault("services", "must be an object of services");
    else
      readServices(services, now, tenants, faults, op);
    fields.close();
    checkHosts(servicesAfter(op, now, tenants), op, faults);
  });
}

auto writeConfiguration(const core::Frame& frame) -> std::string {
  auto json = makeObject();
  addNumber(json.get(), "revision", frame.revision.configuration);
  addNumber(json.get(), "purges", frame.revision.purges);
  auto* services = addObject(json.get(), "services");
  for (const auto& [name, service] : frame.services) {
    auto* item = addObject(services, name);
    addTexts(item, "hosts", service.hosts);
    auto* paths = cJSON_AddArrayToObject(item, "paths");
    for (const auto& path : service.paths)
      addPath(paths, path);
    for (const auto& number : kServiceNumbers)
      addNumber(item, number.key, service.*number.inService);
  }
  return print(json.get());
}

}  // namespace dykestage::op
