#include "operator/configuration.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace dykestage::op {

using core::Path;
using core::Service;

auto parse(const std::string& text) -> Json {
  // The library stops at the first NUL: a text that holds one is no JSON.
  if (text.find('\0') != std::string::npos) return Json(nullptr, cJSON_Delete);
  return Json(cJSON_ParseWithOpts(text.c_str(), nullptr, true), cJSON_Delete);
}

auto print(const cJSON* json) -> std::string {
  std::unique_ptr<char, decltype(&cJSON_free)> text(cJSON_PrintUnformatted(json), cJSON_free);
  return text ? text.get() : "";
}

Fields::Fields(const cJSON* json, std::string place, std::vector<Fault>& faults)
    : json_(json), place_(std::move(place)), faults_(faults) {
  if (!cJSON_IsObject(json)) {
    faults_.push_back({place_.empty() ? "the whole" : place_, "must be an object"});
    json_ = nullptr;
    return;
  }
  std::set<std::string> keys;
  for (const auto* item = json_->child; item; item = item->next)
    if (!keys.insert(item->string).second) fault(item->string, "stands twice");
}

auto Fields::fault(const std::string& key, const std::string& what) -> void {
  faults_.push_back({place_.empty() ? key : place_ + "." + key, what});
}

auto Fields::raw(const std::string& key) -> const cJSON* {
  seen_.push_back(key);
  return json_ ? cJSON_GetObjectItemCaseSensitive(json_, key.c_str()) : nullptr;
}

auto Fields::integer(const std::string& key, int64_t low, int64_t high, int64_t& into) -> bool {
  const auto* item = raw(key);
  if (!item) return false;
  auto isWhole = cJSON_IsNumber(item) && std::floor(item->valuedouble) == item->valuedouble;
  if (!isWhole || item->valuedouble < static_cast<double>(low) || item->valuedouble > static_cast<double>(high)) {
    fault(key, "must be a whole number from " + std::to_string(low) + " to " + std::to_string(high));
    return true;
  }
  into = static_cast<int64_t>(item->valuedouble);
  return true;
}

auto Fields::text(const std::string& key, std::string& into, bool needed) -> bool {
  const auto* item = raw(key);
  if (!item) {
    if (needed) fault(key, "is missing");
    return false;
  }
  if (!cJSON_IsString(item) || (needed && !*item->valuestring)) {
    fault(key, "must be a text that is not empty");
    return true;
  }
  into = item->valuestring;
  return true;
}

auto Fields::flag(const std::string& key, bool& into) -> bool {
  const auto* item = raw(key);
  if (!item) return false;
  if (!cJSON_IsBool(item))
    fault(key, "must be true or false");
  else
    into = cJSON_IsTrue(item);
  return true;
}

auto Fields::texts(const std::string& key, std::vector<std::string>& into) -> bool {
  const auto* list = raw(key);
  if (!list) return false;
  if (!cJSON_IsArray(list)) {
    fault(key, "must be a list of texts");
    return true;
  }
  into.clear();
  auto index = 0;
  for (const auto* item = list->child; item; item = item->next, ++index) {
    if (!cJSON_IsString(item) || !*item->valuestring)
      fault(key + "[" + std::to_string(index) + "]", "must be a text that is not empty");
    else
      into.emplace_back(item->valuestring);
  }
  return true;
}

auto Fields::close() -> void {
  if (!json_) return;
  for (const auto* item = json_->child; item; item = item->next)
    if (std::find(seen_.begin(), seen_.end(), item->string) == seen_.end()) fault(item->string, "is not known");
}

auto isAddress(const std::string& text) -> bool {
  auto colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  in_addr address{};
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address) != 1) return false;
  auto port = text.substr(colon + 1);
  if (port.empty() || port.size() > 5 || !std::all_of(port.begin(), port.end(), [](char c) { return c >= '0' && c <= '9'; })) return false;
  auto number = std::stoi(port);
  return number >= 1 && number <= 65535;
}

namespace {
auto isName(const std::string& text) -> bool {
  return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) || c == '-' || c == '_' || c == '.';
  });
}

auto readService(const cJSON* json, const std::string& place, std::vector<Fault>& faults) -> Service {
  Service service;
  Fields f(json, place, faults);
  f.texts("hosts", service.hosts);
  f.integer("deadlineMs", 50, 60000, service.deadlineMs);
  f.integer("originRate", 0, 1000000, service.originRate);
  f.integer("triesPercent", 0, 20, service.triesPercent);
  f.integer("triesAllowance", 0, 1000, service.triesAllowance);
  const auto* paths = f.raw("paths");
  if (!cJSON_IsArray(paths) || !paths->child) {
    f.fault("paths", "must be a list with at least one path");
  } else {
    auto index = 0;
    std::set<std::string> prefixes;
    for (const auto* item = paths->child; item; item = item->next, ++index) {
      Path path;
      Fields p(item, place + ".paths[" + std::to_string(index) + "]", faults);
      std::string kind;
      if (p.text("prefix", path.prefix, true) && !path.prefix.empty() && path.prefix[0] != '/') p.fault("prefix", "must start with /");
      if (!prefixes.insert(path.prefix).second) p.fault("prefix", "stands twice in this service");
      p.text("kind", kind, true);
      if (!kind.empty() && kind != "store" && kind != "application") p.fault("kind", "must be store or application");
      path.kind = kind == "store" ? core::UpstreamKind::kStore : core::UpstreamKind::kApplication;
      if (p.integer("keepMs", 0, 86400000, path.keepMs) && path.keepMs > 0 && kind == "application")
        p.fault("keepMs", "only what comes from a store may be kept");
      p.close();
      service.paths.push_back(path);
    }
  }
  f.close();
  return service;
}
}  // namespace

auto namesBase(const std::string& body) -> bool {
  auto json = parse(body);
  return json && cJSON_GetObjectItemCaseSensitive(json.get(), "base");
}

auto readConfiguration(const std::string& body, const std::map<std::string, Service>& now, std::vector<Fault>& faults)
    -> std::optional<core::Op> {
  auto json = parse(body);
  if (!json) {
    faults.push_back({"the whole", "is not JSON"});
    return std::nullopt;
  }
  core::Op op;
  op.kind = core::OpKind::kConfigure;
  Fields f(json.get(), "", faults);
  int64_t base = 0;
  f.text("change", op.changeId);
  f.integer("base", 0, 1LL << 53, base);
  f.flag("whole", op.isWhole);
  op.base = static_cast<uint64_t>(base);
  const auto* services = f.raw("services");
  if (!cJSON_IsObject(services)) {
    f.fault("services", "must be an object of services");
  } else {
    for (const auto* item = services->child; item; item = item->next) {
      std::string name = item->string;
      auto place = "services." + name;
      if (!isName(name)) faults.push_back({place, "a name has letters, digits, - _ . only, at most 64"});
      if (op.services.count(name)) faults.push_back({place, "stands twice"});
      if (cJSON_IsNull(item)) {
        if (!now.count(name)) faults.push_back({place, "is not configured, so that it can't be retired"});
        op.services[name] = std::nullopt;
      } else {
        op.services[name] = readService(item, place, faults);
      }
    }
  }
  f.close();
  // A host belongs to one service, also together with those that stay as they are.
  std::map<std::string, std::string> owners;
  std::map<std::string, Service> merged = op.isWhole ? std::map<std::string, Service>() : now;
  for (const auto& [name, service] : op.services) {
    if (service)
      merged[name] = *service;
    else
      merged.erase(name);
  }
  for (const auto& [name, service] : merged) {
    if (service.hosts.empty()) faults.push_back({"services." + name + ".hosts", "must name at least one host"});
    for (const auto& host : service.hosts) {
      auto [it, isNew] = owners.try_emplace(host, name);
      if (!isNew) faults.push_back({"services." + name + ".hosts", host + " belongs to " + it->second});
    }
  }
  if (!faults.empty()) return std::nullopt;
  return op;
}

auto readPurge(const std::string& body, std::vector<Fault>& faults) -> std::optional<core::Op> {
  auto json = parse(body);
  if (!json) {
    faults.push_back({"the whole", "is not JSON"});
    return std::nullopt;
  }
  core::Op op;
  op.kind = core::OpKind::kPurge;
  Fields f(json.get(), "", faults);
  f.text("change", op.changeId);
  f.text("service", op.purge.service, true);
  f.text("path", op.purge.path);
  f.text("label", op.purge.label);
  f.close();
  if (op.purge.path.empty() == op.purge.label.empty()) faults.push_back({"path", "either a path or a label must be given"});
  if (!faults.empty()) return std::nullopt;
  return op;
}

auto readAnnouncement(const std::string& body, std::vector<Fault>& faults) -> std::optional<core::Op> {
  auto json = parse(body);
  if (!json) {
    faults.push_back({"the whole", "is not JSON"});
    return std::nullopt;
  }
  core::Op op;
  op.kind = core::OpKind::kAnnounce;
  auto& u = op.upstream;
  std::string kind, state;
  Fields f(json.get(), "", faults);
  f.text("instance", op.name, true);
  f.text("service", u.service, true);
  f.text("kind", kind, true);
  f.text("address", u.address, true);
  f.text("site", u.site, true);
  f.integer("capacity", 1, 100000, u.capacity);
  f.text("state", state);
  f.close();
  if (!kind.empty() && kind != "store" && kind != "application") f.fault("kind", "must be store or application");
  if (!u.address.empty() && !isAddress(u.address)) f.fault("address", "must be an IP number and a port");
  if (!op.name.empty() && !isName(op.name)) f.fault("instance", "a name has letters, digits, - _ . only, at most 64");
  if (!state.empty() && state != "working" && state != "emptying") f.fault("state", "must be working or emptying");
  u.kind = kind == "store" ? core::UpstreamKind::kStore : core::UpstreamKind::kApplication;
  u.isEmptying = state == "emptying";
  if (!faults.empty()) return std::nullopt;
  return op;
}

auto writeConfiguration(const core::Frame& frame) -> std::string {
  Json json(cJSON_CreateObject(), cJSON_Delete);
  cJSON_AddNumberToObject(json.get(), "revision", static_cast<double>(frame.revision.configuration));
  cJSON_AddNumberToObject(json.get(), "purges", static_cast<double>(frame.revision.purges));
  auto* services = cJSON_AddObjectToObject(json.get(), "services");
  for (const auto& [name, service] : frame.services) {
    auto* s = cJSON_AddObjectToObject(services, name.c_str());
    auto* hosts = cJSON_AddArrayToObject(s, "hosts");
    for (const auto& host : service.hosts) cJSON_AddItemToArray(hosts, cJSON_CreateString(host.c_str()));
    auto* paths = cJSON_AddArrayToObject(s, "paths");
    for (const auto& path : service.paths) {
      auto* p = cJSON_CreateObject();
      cJSON_AddStringToObject(p, "prefix", path.prefix.c_str());
      cJSON_AddStringToObject(p, "kind", path.kind == core::UpstreamKind::kStore ? "store" : "application");
      if (path.keepMs) cJSON_AddNumberToObject(p, "keepMs", static_cast<double>(path.keepMs));
      cJSON_AddItemToArray(paths, p);
    }
    cJSON_AddNumberToObject(s, "deadlineMs", static_cast<double>(service.deadlineMs));
    cJSON_AddNumberToObject(s, "originRate", static_cast<double>(service.originRate));
    cJSON_AddNumberToObject(s, "triesPercent", static_cast<double>(service.triesPercent));
    cJSON_AddNumberToObject(s, "triesAllowance", static_cast<double>(service.triesAllowance));
  }
  return print(json.get());
}

auto writeRoster(const core::Frame& frame) -> std::string {
  Json json(cJSON_CreateObject(), cJSON_Delete);
  cJSON_AddNumberToObject(json.get(), "upstreamRevision", static_cast<double>(frame.revision.upstreams));
  cJSON_AddNumberToObject(json.get(), "memberRevision", static_cast<double>(frame.revision.members));
  auto* upstreams = cJSON_AddObjectToObject(json.get(), "upstreams");
  for (const auto& [name, u] : frame.upstreams) {
    auto* o = cJSON_AddObjectToObject(upstreams, name.c_str());
    cJSON_AddStringToObject(o, "service", u.service.c_str());
    cJSON_AddStringToObject(o, "kind", u.kind == core::UpstreamKind::kStore ? "store" : "application");
    cJSON_AddStringToObject(o, "address", u.address.c_str());
    cJSON_AddStringToObject(o, "site", u.site.c_str());
    cJSON_AddNumberToObject(o, "capacity", static_cast<double>(u.capacity));
    cJSON_AddStringToObject(o, "state", u.isHeld ? "held" : u.isEmptying ? "emptying" : "working");
  }
  auto* members = cJSON_AddObjectToObject(json.get(), "members");
  for (const auto& [name, m] : frame.members) {
    auto* o = cJSON_AddObjectToObject(members, name.c_str());
    cJSON_AddStringToObject(o, "kind", m.kind.c_str());
    cJSON_AddStringToObject(o, "site", m.site.c_str());
    cJSON_AddStringToObject(o, "address", m.address.c_str());
  }
  return print(json.get());
}

}  // namespace dykestage::op
