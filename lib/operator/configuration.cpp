#include "operator/configuration.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "policy/script.hpp"

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

auto Fields::number(const std::string& key, double low, double high, double& into) -> bool {
  const auto* item = raw(key);
  if (!item) return false;
  if (!cJSON_IsNumber(item) || !(item->valuedouble >= low && item->valuedouble <= high))
    fault(key, "must be a number from " + std::to_string(low) + " to " + std::to_string(high));
  else
    into = item->valuedouble;
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
  if (port.empty() || port.size() > 5 ||
      !std::all_of(port.begin(), port.end(), [](char c) { return c >= '0' && c <= '9'; }))
    return false;
  auto number = std::stoi(port);
  return number >= 1 && number <= 65535;
}

namespace {
auto isName(const std::string& text) -> bool {
  return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) || c == '-' || c == '_' || c == '.';
  });
}

auto parseWhole(const std::string& body, std::vector<Fault>& faults) -> Json {
  auto json = parse(body);
  if (!json) faults.push_back({"the whole", "is not JSON"});
  return json;
}

// What a path of a service and one of a template's shape have in common. Returns the kind as written.
auto readPathHead(Fields& p, std::string& prefix, core::UpstreamKind& into, std::set<std::string>& prefixes)
    -> std::string {
  std::string kind;
  if (p.text("prefix", prefix, true) && !prefix.empty() && prefix[0] != '/') p.fault("prefix", "must start with /");
  if (!prefixes.insert(prefix).second) p.fault("prefix", "stands twice in this service");
  p.text("kind", kind, true);
  if (!kind.empty() && kind != "store" && kind != "application") p.fault("kind", "must be store or application");
  into = kind == "store" ? core::UpstreamKind::kStore : core::UpstreamKind::kApplication;
  return kind;
}

// A path's policy is compiled when it is configured; what does not compile is a fault.
auto readPolicy(Fields& f, std::string& policy) -> void {
  std::string reason;
  if (f.text("policy", policy) && !policy.empty() && !policy::Script::compile(policy, reason))
    f.fault("policy", reason);
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
      auto kind = readPathHead(p, path.prefix, path.kind, prefixes);
      if (p.integer("keepMs", 0, 86400000, path.keepMs) && path.keepMs > 0 && kind == "application")
        p.fault("keepMs", "only what comes from a store may be kept");
      readPolicy(p, path.policy);
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

auto readConfiguration(const std::string& body, const std::map<std::string, Service>& now, std::vector<Fault>& faults,
                       const std::map<std::string, core::Tenant>& tenants) -> std::optional<core::Op> {
  auto json = parseWhole(body, faults);
  if (!json) return std::nullopt;
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
      if (tenants.count(name)) faults.push_back({place, "belongs to a tenant, and changes with its template"});
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
  for (const auto& [name, tenant] : tenants)
    if (now.count(name)) merged[name] = now.at(name);
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

namespace {
constexpr auto kMostCount = int64_t{1} << 53;

auto readSource(Fields& f, std::string& into) -> void {
  if (const auto* source = f.raw("source")) into = print(source);
}

auto readRoute(const cJSON* json, const std::string& place, std::vector<Fault>& faults, std::string& source)
    -> core::Route {
  core::Route route;
  std::string kind;
  Fields f(json, place, faults);
  f.text("host", route.host, true);
  if (f.text("prefix", route.prefix, true) && !route.prefix.starts_with('/')) f.fault("prefix", "must start with /");
  f.text("kind", kind, true);
  if (kind == "readOnly")
    route.kind = core::RouteKind::kReadOnly;
  else if (kind == "cacheable")
    route.kind = core::RouteKind::kCacheable;
  else if (!kind.empty() && kind != "writing")
    f.fault("kind", "must be writing, readOnly or cacheable");
  if (!f.integer("giveUpMs", 1, kMostCount, route.giveUpMs)) f.fault("giveUpMs", "is missing");
  f.integer("targetMs", 0, kMostCount, route.targetMs);
  if (route.targetMs - route.giveUpMs >= 60000) f.fault("targetMs", "must be less than 60000 over giveUpMs");
  f.integer("rank", 0, kMostCount, route.rank);
  f.integer("tries", 1, kMostCount, route.tries);
  f.integer("keepMs", 0, kMostCount, route.keepMs);
  readSource(f, source);
  const auto* shares = f.raw("shares");
  auto isList = cJSON_IsArray(shares) && shares->child;
  if (!isList) f.fault("shares", "must be a list with at least one share");
  auto index = 0;
  auto weighs = false;
  for (const auto* item = isList ? shares->child : nullptr; item; item = item->next, ++index) {
    core::Share share;
    Fields one(item, place + ".shares[" + std::to_string(index) + "]", faults);
    one.text("pool", share.pool, true);
    one.integer("weight", 0, 1LL << 40, share.weight);
    one.close();
    weighs = weighs || share.weight > 0;
    route.shares.push_back(std::move(share));
  }
  if (isList && !weighs) f.fault("shares", "the weights add up to 0");
  f.close();
  return route;
}

auto readPool(const cJSON* json, const std::string& place, std::vector<Fault>& faults, std::string& source)
    -> core::Pool {
  core::Pool pool;
  Fields f(json, place, faults);
  if (f.text("probe", pool.probe) && !pool.probe.starts_with('/')) f.fault("probe", "must start with /");
  f.integer("connections", 0, kMostCount, pool.connections);
  f.number("ratePerS", 0, 1e12, pool.ratePerS);
  readSource(f, source);
  f.close();
  return pool;
}

// Named items: set by an object, retired by null.
auto readItems(Fields& f, const std::string& key, std::vector<Fault>& faults, auto& items, auto& sources, auto read)
    -> void {
  const auto* list = f.raw(key);
  if (!list) return;
  if (!cJSON_IsObject(list)) return f.fault(key, "must be an object");
  for (const auto* item = list->child; item; item = item->next) {
    std::string name = item->string, source;
    auto place = key + "." + name;
    if (name.empty() || name.size() > 256) faults.push_back({place, "a name has 1 to 256 bytes"});
    if (items.count(name)) faults.push_back({place, "stands twice"});
    if (cJSON_IsNull(item)) {
      items[name] = std::nullopt;
      continue;
    }
    items[name] = read(item, place, faults, source);
    if (!source.empty()) sources[name] = source;
  }
}
}  // namespace

auto readRouting(const std::string& body, std::vector<Fault>& faults) -> std::optional<core::Op> {
  auto json = parseWhole(body, faults);
  if (!json) return std::nullopt;
  core::Op op;
  op.kind = core::OpKind::kRouting;
  auto& change = op.routing;
  int64_t version = 0, base = 0;
  Fields f(json.get(), "", faults);
  if (!f.integer("version", 1, kMostCount, version)) f.fault("version", "is missing");
  f.integer("base", 0, kMostCount, base);
  f.flag("whole", op.isWhole);
  change.version = static_cast<uint64_t>(version);
  op.base = static_cast<uint64_t>(base);
  if (version <= base) f.fault("version", "must be above base");
  readItems(f, "routes", faults, change.routes, change.sources.routes, readRoute);
  readItems(f, "pools", faults, change.pools, change.sources.pools, readPool);
  if (const auto* limits = f.raw("limits")) {
    core::Limits read;
    Fields l(limits, "limits", faults);
    l.integer("headerBytes", 1, kMostCount, read.headerBytes);
    l.integer("bodyBytes", 0, kMostCount, read.bodyBytes);
    l.integer("headerMs", 1, kMostCount, read.headerMs);
    l.integer("idleMs", 1, kMostCount, read.idleMs);
    readSource(l, change.sources.limits);
    l.close();
    change.limits = read;
  }
  f.close();
  if (!faults.empty()) return std::nullopt;
  return op;
}

auto checkRouting(const core::Op& op, const core::Routing& now, std::vector<Fault>& faults) -> bool {
  auto merged = op.isWhole ? core::Routing{} : now;
  auto merge = [](auto& items, const auto& change) {
    for (const auto& [name, item] : change) {
      if (item)
        items[name] = *item;
      else
        items.erase(name);
    }
  };
  merge(merged.routes, op.routing.routes);
  merge(merged.pools, op.routing.pools);
  for (const auto& [name, route] : merged.routes)
    for (const auto& share : route.shares)
      if (!merged.pools.count(share.pool))
        faults.push_back({"routes." + name + ".shares", "no pool is named " + share.pool});
  return faults.empty();
}

auto writeRouting(const core::Routing& routing, const core::Sources& sources) -> std::string {
  Json json(cJSON_CreateObject(), cJSON_Delete);
  auto number = [](cJSON* to, const char* key, auto value) {
    cJSON_AddNumberToObject(to, key, static_cast<double>(value));
  };
  auto source = [](cJSON* to, const std::string& text) {
    if (!text.empty()) cJSON_AddRawToObject(to, "source", text.c_str());
  };
  auto sourceOf = [](const auto& list, const std::string& name) {
    auto it = list.find(name);
    return it == list.end() ? std::string() : it->second;
  };
  number(json.get(), "code", 0);
  number(json.get(), "version", routing.version);
  auto* routes = cJSON_AddObjectToObject(json.get(), "routes");
  for (const auto& [name, route] : routing.routes) {
    auto* r = cJSON_AddObjectToObject(routes, name.c_str());
    cJSON_AddStringToObject(r, "host", route.host.c_str());
    cJSON_AddStringToObject(r, "prefix", route.prefix.c_str());
    cJSON_AddStringToObject(r, "kind",
                            route.kind == core::RouteKind::kWriting    ? "writing"
                            : route.kind == core::RouteKind::kReadOnly ? "readOnly"
                                                                       : "cacheable");
    number(r, "giveUpMs", route.giveUpMs);
    number(r, "targetMs", route.targetMs);
    number(r, "rank", route.rank);
    auto* shares = cJSON_AddArrayToObject(r, "shares");
    for (const auto& share : route.shares) {
      auto* s = cJSON_CreateObject();
      cJSON_AddStringToObject(s, "pool", share.pool.c_str());
      number(s, "weight", share.weight);
      cJSON_AddItemToArray(shares, s);
    }
    number(r, "tries", route.tries);
    number(r, "keepMs", route.keepMs);
    source(r, sourceOf(sources.routes, name));
  }
  auto* pools = cJSON_AddObjectToObject(json.get(), "pools");
  for (const auto& [name, pool] : routing.pools) {
    auto* p = cJSON_AddObjectToObject(pools, name.c_str());
    cJSON_AddStringToObject(p, "probe", pool.probe.c_str());
    number(p, "connections", pool.connections);
    number(p, "ratePerS", pool.ratePerS);
    source(p, sourceOf(sources.pools, name));
  }
  auto* limits = cJSON_AddObjectToObject(json.get(), "limits");
  number(limits, "headerBytes", routing.limits.headerBytes);
  number(limits, "bodyBytes", routing.limits.bodyBytes);
  number(limits, "headerMs", routing.limits.headerMs);
  number(limits, "idleMs", routing.limits.idleMs);
  source(limits, sources.limits);
  return print(json.get());
}

auto readPurge(const std::string& body, std::vector<Fault>& faults) -> std::optional<core::Op> {
  auto json = parseWhole(body, faults);
  if (!json) return std::nullopt;
  core::Op op;
  op.kind = core::OpKind::kPurge;
  Fields f(json.get(), "", faults);
  f.text("change", op.changeId);
  std::string host;
  f.text("service", op.purge.service);
  f.text("host", host);
  f.text("path", op.purge.path);
  f.text("label", op.purge.label);
  f.close();
  if (!host.empty() && !op.purge.service.empty()) faults.push_back({"host", "either a service or a host may be given"});
  if (op.purge.service.empty()) op.purge.service = host;
  if (op.purge.service.empty() && op.purge.label.empty())
    faults.push_back({"service", "is missing; a label alone needs none"});
  if (op.purge.path.empty() == op.purge.label.empty())
    faults.push_back({"path", "either a path or a label must be given"});
  if (!faults.empty()) return std::nullopt;
  return op;
}

auto readAnnouncement(const std::string& body, std::vector<Fault>& faults) -> std::optional<core::Op> {
  auto json = parseWhole(body, faults);
  if (!json) return std::nullopt;
  core::Op op;
  op.kind = core::OpKind::kAnnounce;
  auto& u = op.upstream;
  std::string kind, state;
  Fields f(json.get(), "", faults);
  f.text("instance", op.name, true);
  f.text("state", state);
  auto isGone = state == "gone";
  f.text("service", u.service, !isGone);
  f.text("kind", kind);
  f.text("address", u.address, !isGone);
  f.text("site", u.site, !isGone);
  f.integer("capacity", 1, 100000, u.capacity);
  f.integer("coldMs", 0, 86400000, u.coldMs);
  // Without a number "gone" is the last word: whatever numbered announcement comes after it is late.
  int64_t number = isGone ? kMostCount : 0;
  f.integer("number", 1, kMostCount, number);
  u.number = static_cast<uint64_t>(number);
  f.close();
  if (!kind.empty() && kind != "store" && kind != "application") f.fault("kind", "must be store or application");
  if (!u.address.empty() && !isAddress(u.address)) f.fault("address", "must be an IP number and a port");
  if (!op.name.empty() && !isName(op.name)) f.fault("instance", "a name has letters, digits, - _ . only, at most 64");
  if (!state.empty() && state != "working" && state != "emptying" && state != "gone")
    f.fault("state", "must be working, emptying or gone");
  u.kind = kind.empty()      ? core::UpstreamKind::kAny
           : kind == "store" ? core::UpstreamKind::kStore
                             : core::UpstreamKind::kApplication;
  u.isEmptying = state == "emptying";
  if (isGone) op.kind = core::OpKind::kDeregister;
  if (!faults.empty()) return std::nullopt;
  return op;
}

namespace {
// A number, or {"parameter": name}.
auto readValue(Fields& f, const std::string& key, const std::string& place, int64_t low, int64_t high,
               const core::Template& shape, std::vector<Fault>& faults, core::Value& value) -> void {
  const auto* item = f.raw(key);
  if (!item) return;
  if (!cJSON_IsObject(item)) {
    f.integer(key, low, high, value.number);
    return;
  }
  Fields p(item, place + "." + key, faults);
  p.text("parameter", value.parameter, true);
  p.close();
  auto known = shape.parameters.find(value.parameter);
  if (known == shape.parameters.end())
    p.fault("parameter", "is not among the template's parameters");
  else if (known->second.low < low || known->second.high > high)
    p.fault("parameter", "its bounds must lie within " + std::to_string(low) + " to " + std::to_string(high));
}

auto isWithin(int64_t value, int64_t low, int64_t high) -> bool {
  return value >= low && value <= high;
}
}  // namespace

auto readTemplate(const std::string& body, std::vector<Fault>& faults) -> std::optional<core::Op> {
  auto json = parseWhole(body, faults);
  if (!json) return std::nullopt;
  core::Op op;
  op.kind = core::OpKind::kTemplate;
  Fields top(json.get(), "", faults);
  top.text("change", op.changeId);
  if (top.text("name", op.name, true) && !isName(op.name))
    top.fault("name", "a name has letters, digits, - _ . only, at most 64");
  auto& shape = op.shape;
  Fields t(top.raw("template"), "template", faults);
  if (const auto* list = t.raw("parameters")) {
    for (const auto* item = cJSON_IsObject(list) ? list->child : nullptr; item; item = item->next) {
      core::Parameter parameter;
      Fields p(item, std::string("template.parameters.") + item->string, faults);
      constexpr auto kMost = int64_t{1} << 40;
      if (!p.integer("low", 0, kMost, parameter.low)) p.fault("low", "is missing");
      if (!p.integer("high", 0, kMost, parameter.high)) p.fault("high", "is missing");
      if (!p.integer("default", 0, kMost, parameter.standard)) p.fault("default", "is missing");
      if (parameter.low > parameter.high || !isWithin(parameter.standard, parameter.low, parameter.high))
        p.fault("default", "must lie between low and high");
      p.close();
      shape.parameters[item->string] = parameter;
    }
    if (!cJSON_IsObject(list)) t.fault("parameters", "must be an object");
  }
  auto place = std::string("template.service");
  Fields s(t.raw("service"), place, faults);
  readValue(s, "deadlineMs", place, 50, 60000, shape, faults, shape.deadlineMs);
  readValue(s, "originRate", place, 0, 1000000, shape, faults, shape.originRate);
  readValue(s, "triesPercent", place, 0, 20, shape, faults, shape.triesPercent);
  readValue(s, "triesAllowance", place, 0, 1000, shape, faults, shape.triesAllowance);
  const auto* paths = s.raw("paths");
  if (!cJSON_IsArray(paths) || !paths->child) s.fault("paths", "must be a list with at least one path");
  auto index = 0;
  std::set<std::string> prefixes;
  for (const auto* item = cJSON_IsArray(paths) ? paths->child : nullptr; item; item = item->next, ++index) {
    core::ShapePath path;
    auto at = place + ".paths[" + std::to_string(index) + "]";
    Fields p(item, at, faults);
    auto kind = readPathHead(p, path.prefix, path.kind, prefixes);
    readValue(p, "keepMs", at, 0, 86400000, shape, faults, path.keepMs);
    if (kind == "application" && (path.keepMs.number > 0 || !path.keepMs.parameter.empty()))
      p.fault("keepMs", "only what comes from a store may be kept");
    readPolicy(p, path.policy);
    p.close();
    shape.paths.push_back(path);
  }
  s.close();
  if (const auto* rollout = t.raw("rollout")) {
    auto& points = shape.points;
    Fields r(rollout, "template.rollout", faults);
    if (const auto* steps = r.raw("stepsPermille")) {
      points.stepsPermille.clear();
      for (const auto* item = cJSON_IsArray(steps) ? steps->child : nullptr; item; item = item->next)
        points.stepsPermille.push_back(cJSON_IsNumber(item) ? static_cast<int64_t>(item->valuedouble) : -1);
      auto isRising = !points.stepsPermille.empty() && points.stepsPermille.size() <= 20;
      for (size_t i = 0; i < points.stepsPermille.size(); ++i)
        isRising = isRising && isWithin(points.stepsPermille[i], 1, 900) &&
                   (i == 0 || points.stepsPermille[i] > points.stepsPermille[i - 1]);
      if (!isRising) r.fault("stepsPermille", "must be rising numbers from 1 to 900, 20 at most");
    }
    r.integer("leastSample", 1, 1000000, points.leastSample);
    r.integer("stepMs", 100, 86400000, points.stepMs);
    r.integer("longestMs", 100, 86400000, points.longestMs);
    r.integer("quantilePermille", 1, 999, points.quantilePermille);
    r.integer("latencyPercent", 0, 10000, points.latencyPercent);
    r.integer("latencyMs", 0, 60000, points.latencyMs);
    r.integer("errorsPermille", 0, 1000, points.errorsPermille);
    r.integer("loadPercent", 0, 10000, points.loadPercent);
    r.close();
    if (points.longestMs < points.stepMs) r.fault("longestMs", "must not be less than stepMs");
  }
  t.close();
  top.close();
  if (!faults.empty()) return std::nullopt;
  return op;
}

auto readTenants(const std::string& body, const core::State& state, std::vector<Fault>& faults)
    -> std::optional<core::Op> {
  auto json = parseWhole(body, faults);
  if (!json) return std::nullopt;
  core::Op op;
  op.kind = core::OpKind::kTenants;
  Fields top(json.get(), "", faults);
  int64_t base = 0;
  top.text("change", op.changeId);
  top.integer("base", 0, 1LL << 53, base);
  op.base = static_cast<uint64_t>(base);
  const auto* list = top.raw("tenants");
  if (!cJSON_IsObject(list) || !list->child) top.fault("tenants", "must be an object with at least one tenant");
  std::map<std::string, std::string> owners;
  for (const auto& [name, service] : state.frame().services)
    for (const auto& host : service.hosts)
      owners[host] = name;
  for (const auto* item = cJSON_IsObject(list) ? list->child : nullptr; item; item = item->next) {
    std::string name = item->string;
    auto place = "tenants." + name;
    if (!isName(name)) faults.push_back({place, "a name has letters, digits, - _ . only, at most 64"});
    if (state.frame().services.count(name) && !state.tenants().count(name))
      faults.push_back({place, "is a service of the configuration"});
    std::erase_if(owners, [&](const auto& one) { return one.second == name; });
    if (cJSON_IsNull(item)) {
      if (!state.tenants().count(name)) faults.push_back({place, "is no tenant, so that it can't be retired"});
      op.tenants[name] = std::nullopt;
      continue;
    }
    core::Tenant tenant;
    Fields f(item, place, faults);
    f.text("template", tenant.shape, true);
    f.texts("hosts", tenant.hosts);
    if (tenant.hosts.empty()) f.fault("hosts", "must name at least one host");
    for (const auto& host : tenant.hosts) {
      auto [it, isNew] = owners.try_emplace(host, name);
      if (!isNew) f.fault("hosts", host + " belongs to " + it->second);
    }
    auto shape = state.templates().find(tenant.shape);
    if (shape == state.templates().end()) f.fault("template", "is not known");
    if (const auto* values = f.raw("values")) {
      for (const auto* value = cJSON_IsObject(values) ? values->child : nullptr; value; value = value->next) {
        auto at = std::string("values.") + value->string;
        if (shape == state.templates().end()) break;
        auto parameter = shape->second.parameters.find(value->string);
        if (parameter == shape->second.parameters.end())
          f.fault(at, "is not among the template's parameters");
        else if (!cJSON_IsNumber(value) || std::floor(value->valuedouble) != value->valuedouble ||
                 !isWithin(static_cast<int64_t>(value->valuedouble), parameter->second.low, parameter->second.high))
          f.fault(at, "must be a whole number from " + std::to_string(parameter->second.low) + " to " +
                          std::to_string(parameter->second.high));
        else
          tenant.values[value->string] = static_cast<int64_t>(value->valuedouble);
      }
      if (!cJSON_IsObject(values)) f.fault("values", "must be an object");
    }
    f.close();
    op.tenants[name] = std::move(tenant);
  }
  top.close();
  if (!faults.empty()) return std::nullopt;
  return op;
}

auto writeFaults(const std::vector<Fault>& faults) -> std::string {
  Json list(cJSON_CreateArray(), cJSON_Delete);
  for (const auto& fault : faults) {
    auto* item = cJSON_CreateObject();
    cJSON_AddStringToObject(item, "place", fault.place.c_str());
    cJSON_AddStringToObject(item, "what", fault.what.c_str());
    cJSON_AddItemToArray(list.get(), item);
  }
  return print(list.get());
}

namespace {
auto verdictName(policy::Verdict verdict, bool isState) -> const char* {
  switch (verdict) {
    case policy::Verdict::kHold:
      return isState ? "running" : "hold";
    case policy::Verdict::kWiden:
      return "widen";
    case policy::Verdict::kFallBack:
      return isState ? "fallen back" : "fall back";
    case policy::Verdict::kFinish:
      return isState ? "finished" : "finish";
  }
  return "";
}

auto addSample(cJSON* to, const char* key, const policy::Sample& sample, int64_t quantilePermille) -> void {
  auto* o = cJSON_AddObjectToObject(to, key);
  cJSON_AddNumberToObject(o, "requests", static_cast<double>(sample.requests));
  cJSON_AddNumberToObject(o, "errors", static_cast<double>(sample.errors));
  cJSON_AddNumberToObject(o, "fetches", static_cast<double>(sample.fetches));
  cJSON_AddNumberToObject(o, "quantileMs", std::round(10 * sample.quantileMs(quantilePermille)) / 10);
}
}  // namespace

auto writeRollout(const std::string& id, const core::Rollout& rollout) -> std::string {
  Json json(cJSON_CreateObject(), cJSON_Delete);
  cJSON_AddStringToObject(json.get(), "rollout", id.c_str());
  cJSON_AddStringToObject(json.get(), "template", rollout.shape.c_str());
  cJSON_AddNumberToObject(json.get(), "from", static_cast<double>(rollout.from));
  cJSON_AddNumberToObject(json.get(), "to", static_cast<double>(rollout.to));
  cJSON_AddStringToObject(json.get(), "state", verdictName(rollout.state, true));
  cJSON_AddNumberToObject(json.get(), "step", rollout.step + 1);
  auto slice = rollout.state == policy::Verdict::kFinish     ? 1000
               : rollout.state == policy::Verdict::kFallBack ? 0
                                                             : rollout.next.points.stepsPermille[rollout.step];
  cJSON_AddNumberToObject(json.get(), "slicePermille", static_cast<double>(slice));
  auto* list = cJSON_AddArrayToObject(json.get(), "decisions");
  for (const auto& d : rollout.decisions) {
    auto* o = cJSON_CreateObject();
    cJSON_AddNumberToObject(o, "step", d.step + 1);
    cJSON_AddNumberToObject(o, "slicePermille", static_cast<double>(d.slicePermille));
    cJSON_AddStringToObject(o, "verdict", verdictName(d.verdict, false));
    cJSON_AddStringToObject(o, "why", d.why.c_str());
    addSample(o, "old", d.old, rollout.next.points.quantilePermille);
    addSample(o, "new", d.next, rollout.next.points.quantilePermille);
    cJSON_AddItemToArray(list, o);
  }
  return print(json.get());
}

auto writeTemplates(const core::State& state) -> std::string {
  Json json(cJSON_CreateObject(), cJSON_Delete);
  auto* templates = cJSON_AddObjectToObject(json.get(), "templates");
  auto addValue = [](cJSON* to, const char* key, const core::Value& value) {
    if (value.parameter.empty())
      cJSON_AddNumberToObject(to, key, static_cast<double>(value.number));
    else
      cJSON_AddStringToObject(cJSON_AddObjectToObject(to, key), "parameter", value.parameter.c_str());
  };
  for (const auto& [name, shape] : state.templates()) {
    auto* t = cJSON_AddObjectToObject(templates, name.c_str());
    cJSON_AddNumberToObject(t, "revision", static_cast<double>(shape.revision));
    auto* parameters = cJSON_AddObjectToObject(t, "parameters");
    for (const auto& [key, parameter] : shape.parameters) {
      auto* p = cJSON_AddObjectToObject(parameters, key.c_str());
      cJSON_AddNumberToObject(p, "low", static_cast<double>(parameter.low));
      cJSON_AddNumberToObject(p, "high", static_cast<double>(parameter.high));
      cJSON_AddNumberToObject(p, "default", static_cast<double>(parameter.standard));
    }
    auto* service = cJSON_AddObjectToObject(t, "service");
    addValue(service, "deadlineMs", shape.deadlineMs);
    addValue(service, "originRate", shape.originRate);
    addValue(service, "triesPercent", shape.triesPercent);
    addValue(service, "triesAllowance", shape.triesAllowance);
    auto* paths = cJSON_AddArrayToObject(service, "paths");
    for (const auto& path : shape.paths) {
      auto* p = cJSON_CreateObject();
      cJSON_AddStringToObject(p, "prefix", path.prefix.c_str());
      cJSON_AddStringToObject(p, "kind", path.kind == core::UpstreamKind::kStore ? "store" : "application");
      addValue(p, "keepMs", path.keepMs);
      if (!path.policy.empty()) cJSON_AddStringToObject(p, "policy", path.policy.c_str());
      cJSON_AddItemToArray(paths, p);
    }
  }
  auto* tenants = cJSON_AddObjectToObject(json.get(), "tenants");
  for (const auto& [name, tenant] : state.tenants()) {
    auto* t = cJSON_AddObjectToObject(tenants, name.c_str());
    cJSON_AddStringToObject(t, "template", tenant.shape.c_str());
    auto* hosts = cJSON_AddArrayToObject(t, "hosts");
    for (const auto& host : tenant.hosts)
      cJSON_AddItemToArray(hosts, cJSON_CreateString(host.c_str()));
    auto* values = cJSON_AddObjectToObject(t, "values");
    for (const auto& [key, value] : tenant.values)
      cJSON_AddNumberToObject(values, key.c_str(), static_cast<double>(value));
  }
  return print(json.get());
}

auto writeConfiguration(const core::Frame& frame) -> std::string {
  Json json(cJSON_CreateObject(), cJSON_Delete);
  cJSON_AddNumberToObject(json.get(), "revision", static_cast<double>(frame.revision.configuration));
  cJSON_AddNumberToObject(json.get(), "purges", static_cast<double>(frame.revision.purges));
  auto* services = cJSON_AddObjectToObject(json.get(), "services");
  for (const auto& [name, service] : frame.services) {
    auto* s = cJSON_AddObjectToObject(services, name.c_str());
    auto* hosts = cJSON_AddArrayToObject(s, "hosts");
    for (const auto& host : service.hosts)
      cJSON_AddItemToArray(hosts, cJSON_CreateString(host.c_str()));
    auto* paths = cJSON_AddArrayToObject(s, "paths");
    for (const auto& path : service.paths) {
      auto* p = cJSON_CreateObject();
      cJSON_AddStringToObject(p, "prefix", path.prefix.c_str());
      cJSON_AddStringToObject(p, "kind", path.kind == core::UpstreamKind::kStore ? "store" : "application");
      if (path.keepMs) cJSON_AddNumberToObject(p, "keepMs", static_cast<double>(path.keepMs));
      if (!path.policy.empty()) cJSON_AddStringToObject(p, "policy", path.policy.c_str());
      cJSON_AddItemToArray(paths, p);
    }
    cJSON_AddNumberToObject(s, "deadlineMs", static_cast<double>(service.deadlineMs));
    cJSON_AddNumberToObject(s, "originRate", static_cast<double>(service.originRate));
    cJSON_AddNumberToObject(s, "triesPercent", static_cast<double>(service.triesPercent));
    cJSON_AddNumberToObject(s, "triesAllowance", static_cast<double>(service.triesAllowance));
  }
  return print(json.get());
}

StatusPage::StatusPage(const std::string& program) : json_(cJSON_CreateObject(), cJSON_Delete) {
  text("program", program);
}
auto StatusPage::text(const char* key, const std::string& value) -> void {
  cJSON_AddStringToObject(json_.get(), key, value.c_str());
}
auto StatusPage::flag(const char* key, bool value) -> void {
  cJSON_AddBoolToObject(json_.get(), key, value);
}
auto StatusPage::number(const char* key, double value) -> void {
  cJSON_AddNumberToObject(json_.get(), key, value);
}
auto StatusPage::revision(const core::Revision& revision) -> void {
  number("configuration", static_cast<double>(revision.configuration));
  number("purges", static_cast<double>(revision.purges));
  number("upstreams", static_cast<double>(revision.upstreams));
  number("members", static_cast<double>(revision.members));
}

auto writeRoster(const core::Frame& frame) -> std::string {
  Json json(cJSON_CreateObject(), cJSON_Delete);
  cJSON_AddNumberToObject(json.get(), "upstreamRevision", static_cast<double>(frame.revision.upstreams));
  cJSON_AddNumberToObject(json.get(), "memberRevision", static_cast<double>(frame.revision.members));
  auto* upstreams = cJSON_AddObjectToObject(json.get(), "upstreams");
  for (const auto& [name, u] : frame.upstreams) {
    auto* o = cJSON_AddObjectToObject(upstreams, name.c_str());
    cJSON_AddStringToObject(o, "service", u.service.c_str());
    cJSON_AddStringToObject(o, "kind",
                            u.kind == core::UpstreamKind::kStore ? "store"
                            : u.kind == core::UpstreamKind::kAny ? "any"
                                                                 : "application");
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
