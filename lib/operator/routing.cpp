// Admin formats: the routing, that is routes, pools and limits.
#include "base/host_name.hpp"
#include "caller/field_syntax.hpp"
#include "neighbour/post.hpp"
#include "operator/changes.hpp"

namespace dykestage::op {

namespace {
constexpr int64_t kMaxWeight = int64_t{1} << 40;
constexpr double kMaxRatePerS = 1e12;
constexpr size_t kMaxNameBytes = 256;
constexpr std::array kKindNames = {"writing", "readOnly", "cacheable"};  // of core::RouteKind
// A target may lie beyond the timeout, but not by this much.
constexpr int64_t kTargetBeyondTimeoutMs = 60000;

// The item as its author wrote it, kept for whoever reads it back.
auto readSource(Fields& fields, std::string& into) -> void {
  if (const auto* source = fields.raw("source")) into = print(source);
}

auto readRouteKind(Fields& fields) -> core::RouteKind {
  std::string kind;
  fields.text("kind", kind, true);
  if (kind == "readOnly") return core::RouteKind::kReadOnly;
  if (kind == "cacheable") return core::RouteKind::kCacheable;
  if (!kind.empty() && kind != "writing") fields.fault("kind", "must be writing, readOnly or cacheable");
  return core::RouteKind::kWriting;
}

auto readShares(Fields& route, std::vector<Fault>& faults, std::vector<core::Share>& into) -> void {
  const auto* shares = route.raw("shares");
  if (!cJSON_IsArray(shares) || !shares->child) {
    route.fault("shares", "must be a list with at least one share");
    return;
  }
  auto index = 0;
  auto hasWeight = false;
  for (const auto* item = shares->child; item; item = item->next, ++index) {
    core::Share share;
    Fields fields(item, route.place() + ".shares[" + std::to_string(index) + "]", faults);
    fields.text("pool", share.pool, true);
    fields.integer("weight", 0, kMaxWeight, share.weight);
    fields.close();
    hasWeight = hasWeight || share.weight > 0;
    into.push_back(std::move(share));
  }
  if (!hasWeight) route.fault("shares", "the weights add up to 0");
}

auto readRoute(const cJSON* json, const std::string& place, std::vector<Fault>& faults, std::string& source)
    -> core::Route {
  core::Route route;
  Fields fields(json, place, faults);
  if (fields.text("host", route.host, true) && canonicalHost(route.host).empty()) fields.fault("host", kHostRule);
  if (fields.text("prefix", route.prefix, true) && !route.prefix.starts_with('/'))
    fields.fault("prefix", "must start with /");
  route.kind = readRouteKind(fields);
  fields.neededInteger("giveUpMs", 1, kMaxExactInteger, route.giveUpMs);
  fields.integer("targetMs", 0, kMaxExactInteger, route.targetMs);
  if (route.targetMs - route.giveUpMs >= kTargetBeyondTimeoutMs)
    fields.fault("targetMs", "must be less than 60000 over giveUpMs");
  fields.integer("rank", 0, kMaxExactInteger, route.rank);
  fields.integer("tries", 1, kMaxExactInteger, route.tries);
  fields.integer("keepMs", 0, kMaxExactInteger, route.keepMs);
  readSource(fields, source);
  readShares(fields, faults, route.shares);
  fields.close();
  return route;
}

auto readPool(const cJSON* json, const std::string& place, std::vector<Fault>& faults, std::string& source)
    -> core::Pool {
  core::Pool pool;
  Fields fields(json, place, faults);
  auto hasProbe = fields.text("probe", pool.probe);
  if (hasProbe && !pool.probe.starts_with('/')) fields.fault("probe", "must start with /");
  if (hasProbe && pool.probe.starts_with('/') && !caller::isTarget(pool.probe))
    fields.fault("probe", "must have no blank and no control byte");
  fields.integer("connections", 0, kMaxExactInteger, pool.connections);
  fields.number("ratePerS", 0, kMaxRatePerS, pool.ratePerS);
  readSource(fields, source);
  fields.close();
  return pool;
}

auto readLimits(const cJSON* json, std::vector<Fault>& faults, std::string& source) -> core::Limits {
  core::Limits limits;
  Fields fields(json, "limits", faults);
  fields.integer("headerBytes", 1, kMaxExactInteger, limits.headerBytes);
  fields.integer("bodyBytes", 0, kMaxExactInteger, limits.bodyBytes);
  fields.integer("headerMs", 1, kMaxExactInteger, limits.headerMs);
  fields.integer("idleMs", 1, kMaxExactInteger, limits.idleMs);
  readSource(fields, source);
  fields.close();
  return limits;
}

// Named items: set by an object, retired by null.
template <typename Item, typename ReadItem>
auto readItems(Fields& fields, const std::string& key, std::vector<Fault>& faults,
               std::map<std::string, std::optional<Item>>& items, std::map<std::string, std::string>& sources,
               ReadItem readItem) -> void {
  const auto* list = fields.raw(key);
  if (!list) return;
  if (!cJSON_IsObject(list)) return fields.fault(key, "must be an object");
  for (const auto* item = list->child; item; item = item->next) {
    std::string name = item->string, source;
    auto place = key + "." + name;
    if (name.empty() || name.size() > kMaxNameBytes) faults.push_back({place, "a name has 1 to 256 bytes"});
    if (!caller::isFieldValue(name)) faults.push_back({place, "a name has no control byte"});
    if (items.count(name)) faults.push_back({place, "stands twice"});
    if (cJSON_IsNull(item)) {
      items[name] = std::nullopt;
      continue;
    }
    items[name] = readItem(item, place, faults, source);
    if (!source.empty()) sources[name] = source;
  }
}

template <typename Item>
auto merge(std::map<std::string, Item>& items, const std::map<std::string, std::optional<Item>>& changes) -> void {
  for (const auto& [name, item] : changes) {
    if (item)
      items[name] = *item;
    else
      items.erase(name);
  }
}

// A host and prefix belong to one route: of two, one would never be served. Two that were taken when spellings counted
// as different hosts don't stand in the way of a change that names neither.
auto checkPlaces(const std::map<std::string, core::Route>& routes, const core::RoutingChange& change,
                 std::vector<Fault>& faults) -> void {
  std::map<std::string, std::string> nameByPlace;
  for (const auto& [name, route] : routes) {
    auto [first, isFirst] = nameByPlace.try_emplace(route.host + route.prefix, name);
    auto isOfChange = change.routes.count(name) != 0 || change.routes.count(first->second) != 0;
    if (!isFirst && isOfChange) faults.push_back({"routes." + name, "has the host and prefix of " + first->second});
  }
}

auto addSource(cJSON* to, const std::string& source) -> void {
  if (!source.empty()) cJSON_AddRawToObject(to, "source", source.c_str());
}

auto addSource(cJSON* to, const std::map<std::string, std::string>& sources, const std::string& name) -> void {
  auto source = sources.find(name);
  if (source != sources.end()) addSource(to, source->second);
}

auto addRoute(cJSON* item, const core::Route& route) -> void {
  addText(item, "host", route.host);
  addText(item, "prefix", route.prefix);
  addText(item, "kind", nameOf(route.kind, kKindNames));
  addNumber(item, "giveUpMs", route.giveUpMs);
  addNumber(item, "targetMs", route.targetMs);
  addNumber(item, "rank", route.rank);
  auto* shares = cJSON_AddArrayToObject(item, "shares");
  for (const auto& share : route.shares) {
    auto* one = appendObject(shares);
    addText(one, "pool", share.pool);
    addNumber(one, "weight", share.weight);
  }
  addNumber(item, "tries", route.tries);
  addNumber(item, "keepMs", route.keepMs);
}

auto addPool(cJSON* item, const core::Pool& pool) -> void {
  addText(item, "probe", pool.probe);
  addNumber(item, "connections", pool.connections);
  addNumber(item, "ratePerS", pool.ratePerS);
}

auto addLimits(cJSON* item, const core::Limits& limits) -> void {
  addNumber(item, "headerBytes", limits.headerBytes);
  addNumber(item, "bodyBytes", limits.bodyBytes);
  addNumber(item, "headerMs", limits.headerMs);
  addNumber(item, "idleMs", limits.idleMs);
}
}  // namespace

auto readRouting(const std::string& body, std::vector<Fault>& faults) -> std::optional<core::Op> {
  return readChange(body, core::OpKind::kRouting, faults, [&](Fields& fields, core::Op& op) {
    auto& change = op.routing;
    int64_t version = 0;
    fields.neededInteger("version", 1, kMaxExactInteger, version);
    change.version = static_cast<uint64_t>(version);
    readBase(fields, op);
    fields.flag("whole", op.isWhole);
    if (change.version <= op.base) fields.fault("version", "must be above base");
    readItems(fields, "routes", faults, change.routes, change.sources.routes, readRoute);
    readItems(fields, "pools", faults, change.pools, change.sources.pools, readPool);
    if (const auto* limits = fields.raw("limits")) change.limits = readLimits(limits, faults, change.sources.limits);
    fields.close();
    // Over the names as they were written: by it registries know again what was taken before they kept canonical ones.
    op.print = neighbour::hash(Writer().put(op).take());
    core::canonicalizeHosts(op);
  });
}

auto checkRouting(const core::Op& op, const core::Routing& now, std::vector<Fault>& faults) -> bool {
  auto merged = op.isWhole ? core::Routing{} : now;
  merge(merged.routes, op.routing.routes);
  merge(merged.pools, op.routing.pools);
  for (const auto& [name, route] : merged.routes)
    for (const auto& share : route.shares)
      if (!merged.pools.count(share.pool))
        faults.push_back({"routes." + name + ".shares", "no pool is named " + share.pool});
  checkPlaces(merged.routes, op.routing, faults);
  return faults.empty();
}

auto writeRouting(const core::Routing& routing, const core::Sources& sources) -> std::string {
  auto json = makeObject();
  addNumber(json.get(), "code", 0);
  addNumber(json.get(), "version", routing.version);
  auto* routes = addObject(json.get(), "routes");
  for (const auto& [name, route] : routing.routes) {
    auto* item = addObject(routes, name);
    addRoute(item, route);
    addSource(item, sources.routes, name);
  }
  auto* pools = addObject(json.get(), "pools");
  for (const auto& [name, pool] : routing.pools) {
    auto* item = addObject(pools, name);
    addPool(item, pool);
    addSource(item, sources.pools, name);
  }
  auto* limits = addObject(json.get(), "limits");
  addLimits(limits, routing.limits);
  addSource(limits, sources.limits);
  return print(json.get());
}

}  // namespace dykestage::op
