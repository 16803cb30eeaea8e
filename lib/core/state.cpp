#include "core/state.hpp"

#include <algorithm>

#include "core/canonical_hosts.hpp"

namespace dykestage::core {

namespace {
constexpr size_t kPurgesKept = 2000;
constexpr size_t kChangesKept = 10000;
constexpr size_t kRolloutsKept = 200;
constexpr size_t kKeysKept = 400000;
constexpr size_t kRemovalsKept = 1000;
constexpr size_t kTakenKept = 8192;  // at least half of them are remembered at any moment
constexpr size_t kGoneKept = 10000;
constexpr auto bitOf(uint8_t part) -> uint8_t {
  return static_cast<uint8_t>(1u << part);
}
}  // namespace

auto addressesOf(const Frame& frame, const std::string& kind, const std::string& except) -> std::vector<std::string> {
  std::vector<std::string> list;
  for (const auto& [name, member] : frame.members)
    if (member.kind == kind && name != except) list.push_back(member.address);
  return list;
}

auto countOf(const Frame& frame, const std::string& kind) -> int64_t {
  return std::count_if(frame.members.begin(), frame.members.end(),
                       [&](const auto& one) { return one.second.kind == kind; });
}

auto ConfigurationLog::add(Removal removal) -> void {
  removals.push_back(std::move(removal));
  if (removals.size() <= kRemovalsKept) return;
  floor = removals[kRemovalsKept / 2].revision;
  std::erase_if(removals, [&](const Removal& r) { return r.revision <= floor; });
}

namespace {
auto configurationSince(const Frame& frame, uint64_t since) -> ConfigurationNews {
  const auto& log = frame.log;
  // Whoever is behind the listed removals can't know which of its routes are gone.
  if (since < log.floor) since = 0;
  ConfigurationNews news;
  news.since = since;
  news.version = frame.routing.version;
  news.log = {log.services, log.pools, log.limits, log.floor, {}};
  if (since == 0) news.log.floor = frame.revision.configuration;
  if (since == 0 || log.services > since) news.services = frame.services;
  if (since == 0 || log.pools > since) news.pools = frame.routing.pools;
  if (since == 0 || log.limits > since) news.limits = frame.routing.limits;
  for (const auto& [name, route] : frame.routing.routes)
    if (since == 0 || route.revision > since) news.routes.emplace(name, route);
  for (const auto& removal : log.removals)
    if (since > 0 && removal.revision > since) news.log.removals.push_back(removal);
  return news;
}

auto join(Frame& frame, const ConfigurationNews& news) -> void {
  auto& [version, routes, pools, limits] = frame.routing;
  auto had = frame.revision.configuration;
  auto& log = frame.log;
  if (news.since == 0) {
    routes.clear();
    log.removals.clear();
    log.floor = news.log.floor;
  }
  log.services = news.log.services, log.pools = news.log.pools, log.limits = news.log.limits;
  if (news.services) {
    frame.services = *news.services;
    canonicalizeHosts(frame.services);
  }
  if (news.pools) pools = *news.pools;
  if (news.limits) limits = *news.limits;
  // A route may have been removed and set again since: what is set now counts.
  for (const auto& removal : news.log.removals) {
    routes.erase(removal.route);
    if (removal.revision > had) log.add(removal);
  }
  auto changed = news.routes;
  canonicalizeHosts(changed);
  for (auto& [name, route] : changed)
    routes[name] = std::move(route);
  version = news.version;
}
}  // namespace

auto newsSince(const Frame& frame, const Revision& since) -> News {
  News news{frame.revision, {}, {}, frame.purgeFloor, {}, {}};
  if (frame.revision.configuration > since.configuration)
    news.configuration = configurationSince(frame, since.configuration);
  if (frame.revision.upstreams > since.upstreams) news.upstreams = frame.upstreams;
  if (frame.revision.members > since.members) news.members = frame.members;
  for (const auto& purge : frame.purges)
    if (purge.number > since.purges) news.purges.push_back(purge);
  return news;
}

auto join(Frame& frame, const News& news) -> bool {
  if (!news.revision.covers(frame.revision)) return false;
  auto isWhole = (news.revision.configuration == frame.revision.configuration ||
                  (news.configuration && news.configuration->since <= frame.revision.configuration)) &&
                 (news.revision.upstreams == frame.revision.upstreams || news.upstreams) &&
                 (news.revision.members == frame.revision.members || news.members);
  if (!isWhole) return false;
  if (news.configuration) join(frame, *news.configuration);
  if (news.upstreams) frame.upstreams = *news.upstreams;
  if (news.members) frame.members = *news.members;
  frame.purgeFloor = std::max(frame.purgeFloor, news.purgeFloor);
  for (const auto& purge : news.purges)
    if (purge.number > frame.revision.purges) frame.purges.push_back(purge);
  std::erase_if(frame.purges, [&](const Purge& p) { return p.number <= frame.purgeFloor; });
  frame.revision = news.revision;
  return true;
}

auto Op::parts() const -> uint8_t {
  switch (kind) {
    case OpKind::kTick:
      return tempo::kAllParts;  // a registry is current in all it serves, or in none
    case OpKind::kConfigure: {
      auto parts = bitOf(tempo::kConfiguration);
      auto retires = isWhole;
      for (const auto& [service, props] : services)
        retires = retires || !props;
      return retires ? parts | bitOf(tempo::kUpstreams) : parts;  // a retired service takes its upstreams along
    }
    case OpKind::kRouting: {
      auto retires =
          isWhole || std::any_of(routing.pools.begin(), routing.pools.end(), [](const auto& p) { return !p.second; });
      return bitOf(tempo::kConfiguration) | (retires ? bitOf(tempo::kUpstreams) : uint8_t{0});
    }
    case OpKind::kPurge:
    case OpKind::kTemplate:
    case OpKind::kRead:
      return bitOf(tempo::kConfiguration);
    case OpKind::kTenants: {
      auto retires = std::any_of(tenants.begin(), tenants.end(), [](const auto& t) { return !t.second; });
      return bitOf(tempo::kConfiguration) | (retires ? bitOf(tempo::kUpstreams) : uint8_t{0});
    }
    case OpKind::kDecide:
      return bitOf(tempo::kConfiguration) | bitOf(tempo::kMembers);  // decided under a duty's term
    case OpKind::kAnnounce:
    case OpKind::kDeregister:
      return bitOf(tempo::kUpstreams);
    case OpKind::kSignOff:
    case OpKind::kRelease:
      return bitOf(tempo::kUpstreams) | bitOf(tempo::kMembers);  // decided under a duty's term
    case OpKind::kJoin:
    case OpKind::kLeave:
    case OpKind::kClaim:
      return bitOf(tempo::kMembers);
    case OpKind::kKeys:
      return bitOf(tempo::kKeys);
  }
  return tempo::kAllParts;
}

auto readOps(const std::string& payload) -> std::vector<Op> {
  auto ops = Reader(payload).get<std::vector<Op>>();
  for (auto& op : ops)
    canonicalizeHosts(op);
  return ops;
}

auto State::apply(const tempo::Command& command, tempo::Stamp) -> std::string {
  std::vector<OpResult> results;
  for (const auto& op : readOps(command.payload))
    results.push_back(applyOp(op));
  return Writer().put(results).take();
}

// NOLINTNEXTLINE(readability-function-size): split with its module in issue 17
auto State::applyOp(const Op& op) -> OpResult {
  auto& revision = frame_.revision;
  auto isOldTerm = [&] { return duty(kWatchDuty).term != op.term; };
  switch (op.kind) {
    case OpKind::kTick:
      ++ticks_;
      lastTicks_[op.incarnation] = ticks_;
      passTime(op);
      return {Outcome::kDone, revision, {}};
    case OpKind::kConfigure:
      return configure(op);
    case OpKind::kPurge: {
      if (auto first = earlier(op)) return *first;
      auto purge = op.purge;
      purge.number = ++revision.purges;
      frame_.purges.push_back(purge);
      if (frame_.purges.size() > kPurgesKept) {
        frame_.purgeFloor = frame_.purges[frame_.purges.size() / 2].number;
        std::erase_if(frame_.purges, [&](const Purge& p) { return p.number <= frame_.purgeFloor; });
      }
      OpResult result{Outcome::kDone, {}, {}};
      result.revision.purges = revision.purges;
      remember(op, result);
      return result;
    }
    case OpKind::kKeys:
      return claimKeys(op);
    case OpKind::kAnnounce:
      return announce(op);
    case OpKind::kDeregister:
      return deregister(op);
    case OpKind::kRouting:
      return setRouting(op);
    case OpKind::kRead:
      return {Outcome::kDone, {}, {}};
    case OpKind::kTemplate:
      return submitTemplate(op);
    case OpKind::kTenants:
      return setTenants(op);
    case OpKind::kDecide:
      return isOldTerm() ? OpResult{Outcome::kOldTerm, {}, {}} : decide(op);
    case OpKind::kSignOff: {
      if (isOldTerm()) return {Outcome::kOldTerm, {}, {}};
      auto it = frame_.upstreams.find(op.name);
      if (it == frame_.upstreams.end()) return {Outcome::kNoChange, {}, {}};
      noteGone(op.name, it->second.number);
      frame_.upstreams.erase(it);
      ++revision.upstreams;
      break;
    }
    case OpKind::kRelease: {
      if (isOldTerm()) return {Outcome::kOldTerm, {}, {}};
      auto it = frame_.upstreams.find(op.name);
      if (it == frame_.upstreams.end() || !it->second.isHeld) return {Outcome::kNoChange, {}, {}};
      it->second.isHeld = false;
      ++revision.upstreams;
      break;
    }
    case OpKind::kJoin: {
      auto it = frame_.members.find(op.name);
      if (it != frame_.members.end() && it->second == op.member) return {Outcome::kNoChange, {}, {}};
      auto replaced = it == frame_.members.end() ? 0 : it->second.incarnation;
      frame_.members[op.name] = op.member;
      frame_.members[op.name].replaced = replaced;
      ++revision.members;
      OpResult result{Outcome::kDone, {}, {}};
      result.revision.members = revision.members;
      return result;
    }
    case OpKind::kLeave: {
      if (isOldTerm()) return {Outcome::kOldTerm, {}, {}};
      auto it = frame_.members.find(op.name);
      if (it == frame_.members.end() || it->second.incarnation != op.incarnation) return {Outcome::kNoChange, {}, {}};
      frame_.members.erase(it);
      ++revision.members;
      OpResult result{Outcome::kDone, {}, {}};
      result.revision.members = revision.members;
      return result;
    }
    case OpKind::kClaim: {
      // The first claim of a term wins; the ballots that order it decide which one is first.
      auto& duty = duties_[op.name];
      if (duty.term + 1 != op.term) return {Outcome::kOldTerm, {}, {}};
      duty = {op.term, op.incarnation};
      return {Outcome::kDone, {}, {}};
    }
  }
  OpResult result{Outcome::kDone, {}, {}};
  result.revision.upstreams = revision.upstreams;
  return result;
}

auto State::configure(const Op& op) -> OpResult {
  if (auto first = earlier(op)) return *first;
  auto& revision = frame_.revision;
  if (op.base != revision.configuration) {
    OpResult conflict{Outcome::kConflict, {}, {}};
    conflict.revision.configuration = revision.configuration;
    return conflict;  // not remembered: the same id may be tried again on the revision that won
  }
  std::set<std::string> retired;
  for (const auto& [name, service] : op.services) {
    if (service)
      frame_.services[name] = *service;
    else if (frame_.services.erase(name))
      retired.insert(name);
  }
  if (op.isWhole)
    for (auto it = frame_.services.begin(); it != frame_.services.end();) {
      auto isNamed = op.services.count(it->first) != 0 || tenants_.count(it->first) != 0;
      if (!isNamed) retired.insert(it->first);
      it = isNamed ? std::next(it) : frame_.services.erase(it);
    }
  frame_.log.services = ++revision.configuration;
  OpResult result{Outcome::kDone, {}, {}};
  result.revision.configuration = revision.configuration;
  if (op.parts() & (1u << tempo::kUpstreams)) {
    retire(retired);
    result.revision.upstreams = revision.upstreams;
  }
  remember(op, result);
  return result;
}

// Upstreams go along with the service or pool that they belong to.
auto State::retire(const std::set<std::string>& services) -> void {
  auto isGone = [&](const auto& one) {
    const auto& name = one.second.service;
    return services.count(name) && !frame_.services.count(name) && !frame_.routing.pools.count(name);
  };
  for (const auto& one : frame_.upstreams)
    if (isGone(one)) noteGone(one.first, one.second.number);
  if (std::erase_if(frame_.upstreams, isGone)) ++frame_.revision.upstreams;
}

// Its content was checked against the routing at its base, which must still be in force.
auto State::setRouting(const Op& op) -> OpResult {
  const auto& change = op.routing;
  if (auto first = taken(change.version, op.print)) return *first;
  auto& routing = frame_.routing;
  OpResult result{Outcome::kDone, {}, {}};
  if (op.base != routing.version || change.version <= routing.version) {
    // What builds on a later version may still be taken, and what is too old may have been: neither is refused.
    auto isUndecided = op.base > routing.version || change.version <= takenFloor_;
    result.outcome = isUndecided ? Outcome::kUndecided : Outcome::kConflict;
    result.version = routing.version;
    return result;
  }
  auto& log = frame_.log;
  auto revision = ++frame_.revision.configuration;
  auto isSame = [](const auto& a, const auto& b) { return Writer().put(a).take() == Writer().put(b).take(); };
  // A whole change retires what it does not name.
  std::set<std::string> goneRoutes, gonePools;
  for (const auto& [name, route] : routing.routes)
    if (auto it = change.routes.find(name); it == change.routes.end() ? op.isWhole : !it->second)
      goneRoutes.insert(name);
  for (const auto& [name, pool] : routing.pools)
    if (auto it = change.pools.find(name); it == change.pools.end() ? op.isWhole : !it->second) gonePools.insert(name);
  for (const auto& name : goneRoutes) {
    routing.routes.erase(name);
    sources_.routes.erase(name);
    log.add({revision, name});
  }
  for (const auto& name : gonePools) {
    routing.pools.erase(name);
    sources_.pools.erase(name);
    log.pools = revision;
  }
  for (const auto& [name, route] : change.routes) {
    if (!route) continue;
    auto next = *route;
    auto it = routing.routes.find(name);
    next.revision = it == routing.routes.end() ? 0 : it->second.revision;
    if (it == routing.routes.end() || !isSame(next, it->second)) {
      next.revision = revision;
      routing.routes[name] = std::move(next);
    }
  }
  for (const auto& [name, pool] : change.pools) {
    if (!pool) continue;
    auto it = routing.pools.find(name);
    if (it != routing.pools.end() && isSame(*pool, it->second)) continue;
    routing.pools[name] = *pool;
    log.pools = revision;
  }
  if (change.limits || op.isWhole) {
    auto next = change.limits.value_or(Limits{});
    if (!isSame(next, routing.limits)) log.limits = revision;
    routing.limits = next;
    sources_.limits = change.sources.limits;
  }
  auto keepSources = [](auto& kept, const auto& items, const auto& sources) {
    for (const auto& [name, item] : items) {
      if (!item) continue;
      if (auto it = sources.find(name); it != sources.end())
        kept[name] = it->second;
      else
        kept.erase(name);
    }
  };
  keepSources(sources_.routes, change.routes, change.sources.routes);
  keepSources(sources_.pools, change.pools, change.sources.pools);
  routing.version = change.version;
  result.version = change.version;
  result.revision.configuration = revision;
  if (op.parts() & (1u << tempo::kUpstreams)) {
    retire(gonePools);
    result.revision.upstreams = frame_.revision.upstreams;
  }
  result.print = op.print;
  noteTaken(change.version, result);
  return result;
}

// Versions only climb, so that the oldest stand first.
auto State::noteTaken(uint64_t version, const OpResult& result) -> void {
  taken_[version] = {result.print, result.revision.configuration, result.revision.upstreams};
  if (taken_.size() <= kTakenKept) return;
  auto firstKept = std::next(taken_.begin(), kTakenKept / 2);
  takenFloor_ = std::prev(firstKept)->first;
  taken_.erase(taken_.begin(), firstKept);
}

auto State::taken(uint64_t version, uint64_t print) const -> std::optional<OpResult> {
  auto it = taken_.find(version);
  if (it == taken_.end() || it->second.print != print) return std::nullopt;
  OpResult result;
  result.revision.configuration = it->second.configuration;
  result.revision.upstreams = it->second.upstreams;
  result.print = print;
  result.version = version;
  return result;
}

auto fill(const Template& shape, const Tenant& tenant) -> Service {
  auto number = [&](const Value& value) {
    if (value.parameter.empty()) return value.number;
    auto parameter = shape.parameters.find(value.parameter);
    if (parameter == shape.parameters.end()) return value.number;
    auto filled = tenant.values.find(value.parameter);
    // A revision may narrow a parameter's bounds: what tenants filled in before is brought within them.
    return filled == tenant.values.end() ? parameter->second.standard
                                         : std::clamp(filled->second, parameter->second.low, parameter->second.high);
  };
  Service service;
  service.hosts = tenant.hosts;
  for (const auto& path : shape.paths)
    service.paths.push_back({path.prefix, path.kind, number(path.keepMs), path.policy});
  service.deadlineMs = number(shape.deadlineMs);
  service.originRate = number(shape.originRate);
  service.triesPercent = number(shape.triesPercent);
  service.triesAllowance = number(shape.triesAllowance);
  return service;
}

// Makes the tenants' services anew, each with the slice of a running rollout.
auto State::rebuild() -> void {
  for (const auto& [name, tenant] : tenants_) {
    auto shape = templates_.find(tenant.shape);
    if (shape == templates_.end()) continue;
    auto service = fill(shape->second, tenant);
    for (const auto& [id, rollout] : rollouts_) {
      if (rollout.shape != tenant.shape || rollout.state != policy::Verdict::kHold) continue;
      service.rollout = id;
      service.slicePermille = rollout.next.points.stepsPermille[rollout.step];
      service.next = {fill(rollout.next, tenant)};
    }
    frame_.services[name] = std::move(service);
  }
  frame_.log.services = ++frame_.revision.configuration;
}

auto State::submitTemplate(const Op& op) -> OpResult {
  if (auto first = earlier(op)) return *first;
  OpResult result{Outcome::kDone, {}, {}};
  for (const auto& [id, rollout] : rollouts_)
    if (rollout.shape == op.name && rollout.state == policy::Verdict::kHold) return {Outcome::kRolloutRuns, {}, id};
  auto shape = op.shape;
  shape.revision = ++lastRevisions_[op.name];
  auto isUsed = std::any_of(tenants_.begin(), tenants_.end(), [&](const auto& t) { return t.second.shape == op.name; });
  if (!isUsed || shape.points.stepsPermille.empty()) {
    templates_[op.name] = shape;  // nobody's traffic can tell anything: it takes effect at once
  } else {
    Rollout rollout;
    rollout.shape = op.name;
    rollout.from = templates_[op.name].revision;
    rollout.to = shape.revision;
    rollout.next = shape;
    result.rollout = op.name + "-" + std::to_string(shape.revision);
    rollouts_[result.rollout] = std::move(rollout);
    rolloutOrder_.push_back(result.rollout);
    if (rolloutOrder_.size() > kRolloutsKept) {
      auto oldest = rolloutOrder_.front();
      if (rollouts_[oldest].state != policy::Verdict::kHold) {
        rollouts_.erase(oldest);
        rolloutOrder_.erase(rolloutOrder_.begin());
      }
    }
  }
  rebuild();
  result.revision.configuration = frame_.revision.configuration;
  remember(op, result);
  return result;
}

auto State::setTenants(const Op& op) -> OpResult {
  if (auto first = earlier(op)) return *first;
  auto& revision = frame_.revision;
  if (op.base != revision.configuration) {
    OpResult conflict{Outcome::kConflict, {}, {}};
    conflict.revision.configuration = revision.configuration;
    return conflict;
  }
  std::set<std::string> retired;
  for (const auto& [name, tenant] : op.tenants) {
    if (tenant) {
      tenants_[name] = *tenant;
    } else if (tenants_.erase(name)) {
      frame_.services.erase(name);
      retired.insert(name);
    }
  }
  rebuild();
  OpResult result{Outcome::kDone, {}, {}};
  result.revision.configuration = revision.configuration;
  if (!retired.empty()) {
    retire(retired);
    result.revision.upstreams = revision.upstreams;
  }
  remember(op, result);
  return result;
}

// Carries out a decision, if the rollout still stands where the decider saw it.
auto State::decide(const Op& op) -> OpResult {
  auto it = rollouts_.find(op.name);
  if (it == rollouts_.end() || it->second.state != policy::Verdict::kHold || it->second.step != op.decision.step)
    return {Outcome::kNoChange, {}, {}};
  auto& rollout = it->second;
  rollout.decisions.push_back(op.decision);
  auto isLast = rollout.step + 1 >= rollout.next.points.stepsPermille.size();
  switch (op.decision.verdict) {
    case policy::Verdict::kHold:
      return {Outcome::kNoChange, {}, {}};
    case policy::Verdict::kWiden:
      if (isLast) return {Outcome::kNoChange, {}, {}};
      ++rollout.step;
      break;
    case policy::Verdict::kFinish:
      templates_[rollout.shape] = rollout.next;
      rollout.state = policy::Verdict::kFinish;
      break;
    case policy::Verdict::kFallBack:
      rollout.state = policy::Verdict::kFallBack;
      break;
  }
  rebuild();
  OpResult result{Outcome::kDone, {}, {}};
  result.revision.configuration = frame_.revision.configuration;
  return result;
}

// Announcements may overtake each other on their way, by seconds where a registry's disk stalls.
auto State::isLate(const Op& op) const -> bool {
  if (op.upstream.number == 0) return false;
  auto known = frame_.upstreams.find(op.name);
  auto gone = gone_.find(op.name);
  return (known != frame_.upstreams.end() && op.upstream.number < known->second.number) ||
         (gone != gone_.end() && op.upstream.number <= gone->second);
}

auto State::noteGone(const std::string& name, uint64_t number) -> void {
  if (number == 0) return;
  auto& last = gone_[name];
  last = std::max(last, number);
  goneOrder_.emplace_back(name, last);
  if (goneOrder_.size() <= kGoneKept) return;
  for (size_t i = 0; i < kGoneKept / 2; ++i)
    if (auto it = gone_.find(goneOrder_[i].first); it != gone_.end() && it->second == goneOrder_[i].second)
      gone_.erase(it);
  goneOrder_.erase(goneOrder_.begin(), goneOrder_.begin() + kGoneKept / 2);
}

auto State::deregister(const Op& op) -> OpResult {
  if (isLate(op)) return {Outcome::kNoChange, {}, {}};
  noteGone(op.name, op.upstream.number);
  if (!frame_.upstreams.erase(op.name)) return {Outcome::kNoChange, {}, {}};
  OpResult result{Outcome::kDone, {}, {}};
  result.revision.upstreams = ++frame_.revision.upstreams;
  return result;
}

auto State::announce(const Op& op) -> OpResult {
  if (isLate(op)) return {Outcome::kNoChange, {}, {}};
  auto next = op.upstream;
  auto it = frame_.upstreams.find(op.name);
  auto isListed = it != frame_.upstreams.end();
  // Without a number, what another registry took in the meantime is taken for the newer one, unless both say the same.
  if (next.number == 0 && isListed && it->second.revision != op.base) {
    auto known = it->second;
    known.isHeld = next.isHeld;
    known.coldMs = next.coldMs;
    known.revision = next.revision;
    return {Writer().put(known).take() == Writer().put(next).take() ? Outcome::kDone : Outcome::kConflict, {}, {}};
  }
  next.isHeld = isListed && it->second.isHeld;
  // How long it is slow counts from its start: what it said first, for this address.
  if (isListed && it->second.address == next.address) next.coldMs = it->second.coldMs;
  if (isListed) {
    auto known = it->second;
    known.number = next.number;
    known.revision = next.revision;
    if (Writer().put(known).take() == Writer().put(next).take()) return {Outcome::kNoChange, {}, {}};
  }
  // An address belongs to one instance at a time. One that passes to another service is held until no node
  // can know the old entry any more, even where that entry has long been signed off.
  std::erase_if(frame_.upstreams, [&](const auto& one) {
    auto isReplaced = one.first != op.name && one.second.address == next.address;
    if (isReplaced) noteGone(one.first, one.second.number);
    return isReplaced;
  });
  auto [owner, isNew] = owners_.try_emplace(next.address, next.service);
  if (!isNew && owner->second != next.service) next.isHeld = true;
  owner->second = next.service;
  next.revision = ++frame_.revision.upstreams;
  frame_.upstreams[op.name] = next;
  OpResult result{Outcome::kDone, {}, {}};
  result.revision.upstreams = frame_.revision.upstreams;
  return result;
}

// Of all claims of a key the first in the order holds it, until it gives it back or its time is over.
auto State::claimKeys(const Op& op) -> OpResult {
  OpResult result{Outcome::kDone, {}, {}};
  for (const auto& claim : op.keys) {
    auto it = keys_.find(claim.key);
    if (claim.isReturn) {
      // Only the very claim that it names: a later one of the same shield may have sent the write.
      if (it != keys_.end() && it->second.life == op.incarnation && it->second.number == claim.number) {
        keyEnds_.erase({it->second.untilMs, claim.key});
        keys_.erase(it);
      }
      result.keys.emplace_back();
      continue;
    }
    if (it == keys_.end() && keys_.size() < kKeysKept) {
      it =
          keys_.emplace(claim.key, KeyHeld{op.incarnation, claim.number, claim.print, op.name, clockMs_ + claim.keepMs})
              .first;
      keyEnds_.emplace(it->second.untilMs, claim.key);
    }
    result.keys.push_back(it == keys_.end() ? KeyHeld{} : it->second);
  }
  return result;
}

auto State::passTime(const Op& tick) -> void {
  if (tick.incarnation != duty(kWatchDuty).holder) return;
  if (clockLife_ == tick.incarnation && tick.atMs > clockSeenMs_) clockMs_ += tick.atMs - clockSeenMs_;
  clockLife_ = tick.incarnation;
  clockSeenMs_ = tick.atMs;
  while (!keyEnds_.empty() && keyEnds_.begin()->first <= clockMs_) {
    keys_.erase(keyEnds_.begin()->second);
    keyEnds_.erase(keyEnds_.begin());
  }
}

// What became of a submission that comes again. An id that stands for something else is refused: its sender would
// take the other's acknowledgement for its own.
auto State::earlier(const Op& op) const -> std::optional<OpResult> {
  auto first = changed(op.changeId);
  if (first && first->print != op.print) return OpResult{Outcome::kIdReused, {}, {}};
  return first;
}

auto State::remember(const Op& op, OpResult result) -> void {
  if (op.changeId.empty()) return;
  result.print = op.print;
  changes_[op.changeId] = result;
  changeOrder_.push_back(op.changeId);
  if (changeOrder_.size() <= kChangesKept) return;
  for (size_t i = 0; i < kChangesKept / 2; ++i)
    changes_.erase(changeOrder_[i]);
  changeOrder_.erase(changeOrder_.begin(), changeOrder_.begin() + kChangesKept / 2);
}

auto State::changed(const std::string& changeId) const -> std::optional<OpResult> {
  auto it = changes_.find(changeId);
  return changeId.empty() || it == changes_.end() ? std::nullopt : std::optional(it->second);
}

auto State::duty(const std::string& name) const -> Duty {
  auto it = duties_.find(name);
  return it == duties_.end() ? Duty{} : it->second;
}

auto State::lastTick(uint64_t incarnation) const -> uint64_t {
  auto it = lastTicks_.find(incarnation);
  return it == lastTicks_.end() ? 0 : it->second;
}

auto State::save(uint8_t part) const -> std::string {
  const auto& f = frame_;
  if (part == tempo::kConfiguration)
    return Writer()
        .put(f.revision.configuration)
        .put(f.revision.purges)
        .put(f.services)
        .put(f.routing)
        .put(f.log)
        .put(sources_)
        .put(taken_)
        .put(takenFloor_)
        .put(f.purges)
        .put(f.purgeFloor)
        .put(changes_)
        .put(changeOrder_)
        .put(templates_)
        .put(lastRevisions_)
        .put(tenants_)
        .put(rollouts_)
        .put(rolloutOrder_)
        .take();
  if (part == tempo::kUpstreams)
    return Writer().put(f.revision.upstreams).put(f.upstreams).put(owners_).put(gone_).put(goneOrder_).take();
  if (part == tempo::kKeys) return Writer().put(keys_).put(clockMs_).put(clockSeenMs_).put(clockLife_).take();
  return Writer().put(f.revision.members).put(f.members).put(duties_).put(ticks_).put(lastTicks_).take();
}

auto State::load(uint8_t part, const std::string& frame) -> void {
  Reader r(frame);
  auto readAll = [&](auto&... fields) { (r.read(fields), ...); };
  auto& f = frame_;
  if (part == tempo::kConfiguration) {
    readAll(f.revision.configuration, f.revision.purges, f.services, f.routing, f.log, sources_, taken_, takenFloor_,
            f.purges, f.purgeFloor, changes_, changeOrder_, templates_, lastRevisions_, tenants_, rollouts_,
            rolloutOrder_);
    canonicalizeHosts(f.services);
    canonicalizeHosts(f.routing.routes);
    canonicalizeHosts(tenants_);
  } else if (part == tempo::kUpstreams)
    readAll(f.revision.upstreams, f.upstreams, owners_, gone_, goneOrder_);
  else if (part == tempo::kKeys) {
    readAll(keys_, clockMs_, clockSeenMs_, clockLife_);
    canonicalizeKeys(keys_);
    keyEnds_.clear();
    for (const auto& [key, held] : keys_)
      keyEnds_.emplace(held.untilMs, key);
  } else
    readAll(f.revision.members, f.members, duties_, ticks_, lastTicks_);
}

}  // namespace dykestage::core
