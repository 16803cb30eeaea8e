// Core: the control plane's state, which ordered commands change, and the frames of it that nodes receive.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "policy/rollout.hpp"
#include "tempo/tempo.hpp"

namespace dykestage::core {

enum class UpstreamKind : uint8_t { kStore = 0, kApplication = 1, kAny = 2 };  // kAny: of a pool, whatever the route

/// A path of a service: requests whose target starts with `prefix` go to upstreams of `kind`.
struct Path {
  std::string prefix;
  UpstreamKind kind = UpstreamKind::kApplication;
  int64_t keepMs = 0;  // how long a read may be kept; 0: not at all
  std::string policy;  // a script in Lua that may refuse a request or shorten its keep time; empty: none
  DYKESTAGE_FIELDS(prefix, kind, keepMs, policy)
};

/// A configured service.
struct Service {
  std::vector<std::string> hosts;
  std::vector<Path> paths;
  int64_t deadlineMs = 1000;
  int64_t originRate = 0;  // requests a second over all shields; 0: no limit
  int64_t triesPercent = 20;
  int64_t triesAllowance = 10;
  // While a rollout runs: the service as the new template revision has it, and its slice of the traffic.
  std::string rollout;
  int64_t slicePermille = 0;
  std::vector<Service> next;  // none or one
  DYKESTAGE_FIELDS(hosts, paths, deadlineMs, originRate, triesPercent, triesAllowance, rollout, slicePermille, next)
};

using Services = std::map<std::string, Service>;

/// What may be repeated of a route's requests, and what may be kept.
enum class RouteKind : uint8_t { kWriting = 0, kReadOnly = 1, kCacheable = 2 };

/// A pool's part of a route's traffic.
struct Share {
  std::string pool;
  int64_t weight = 1;
  DYKESTAGE_FIELDS(pool, weight)
};

/// A route: requests of a host whose path starts with `prefix` go to upstreams of its pools, by weight.
struct Route {
  std::string host, prefix;
  RouteKind kind = RouteKind::kWriting;
  int64_t giveUpMs = 1000;  // the longest that a request is held
  int64_t targetMs = 0;     // within it an answer earns its full worth
  int64_t rank = 0;         // 0 is highest
  std::vector<Share> shares;
  int64_t tries = 1;      // upstreams that one request may be sent to at most
  int64_t keepMs = 0;     // how long a read may be kept
  uint64_t revision = 0;  // of the configuration that set it
  DYKESTAGE_FIELDS(host, prefix, kind, giveUpMs, targetMs, rank, shares, tries, keepMs, revision)
};

/// A pool of upstreams, named by the service that they announce.
struct Pool {
  std::string probe = "/health";
  int64_t connections = 0;  // that one upstream takes from all nodes together; 0: no limit
  double ratePerS = 0;      // requests a second that the pool gets from all nodes together; 0: no limit
  DYKESTAGE_FIELDS(probe, connections, ratePerS)
};

/// What callers may send.
struct Limits {
  int64_t headerBytes = 64 << 10, bodyBytes = 8 << 20, headerMs = 10000, idleMs = 60000;
  DYKESTAGE_FIELDS(headerBytes, bodyBytes, headerMs, idleMs)
};

/// Routes and pools as the operator has set them, under a version that the operator names.
struct Routing {
  uint64_t version = 0;
  std::map<std::string, Route> routes;
  std::map<std::string, Pool> pools;
  Limits limits;
  DYKESTAGE_FIELDS(version, routes, pools, limits)
};

/// A number of a template's shape: fixed, or a parameter that tenants fill in.
struct Value {
  int64_t number = 0;
  std::string parameter;
  DYKESTAGE_FIELDS(number, parameter)
};

/// A parameter with its bounds.
struct Parameter {
  int64_t low = 0, high = 0, standard = 0;
  DYKESTAGE_FIELDS(low, high, standard)
};

struct ShapePath {
  std::string prefix;
  UpstreamKind kind = UpstreamKind::kApplication;
  Value keepMs;
  std::string policy;
  DYKESTAGE_FIELDS(prefix, kind, keepMs, policy)
};

/// A tenant template at one revision: the shape of a service, its parameters, and how its rollout is judged.
struct Template {
  uint64_t revision = 0;
  std::map<std::string, Parameter> parameters;
  std::vector<ShapePath> paths;
  Value deadlineMs{1000, ""}, originRate{0, ""}, triesPercent{20, ""}, triesAllowance{10, ""};
  policy::SetPoints points;
  DYKESTAGE_FIELDS(revision, parameters, paths, deadlineMs, originRate, triesPercent, triesAllowance, points)
};

/// A tenant: a service made from a template.
struct Tenant {
  std::string shape;  // the template's name
  std::vector<std::string> hosts;
  std::map<std::string, int64_t> values;
  DYKESTAGE_FIELDS(shape, hosts, values)
};
/// The service of a tenant. Example: `auto service = fill(templates.at(tenant.shape), tenant);`
auto fill(const Template& shape, const Tenant& tenant) -> Service;

/// One decision of a rollout, with the figures that it rests on.
struct Decision {
  uint32_t step = 0;
  int64_t slicePermille = 0;
  policy::Verdict verdict = policy::Verdict::kHold;
  std::string why;
  uint64_t term = 0;
  policy::Sample old, next;
  DYKESTAGE_FIELDS(step, slicePermille, verdict, why, term, old, next)
};

struct Rollout {
  std::string shape;
  uint64_t from = 0, to = 0;
  uint32_t step = 0;
  policy::Verdict state = policy::Verdict::kHold;  // kHold: running; else how it ended
  Template next;
  std::vector<Decision> decisions;
  DYKESTAGE_FIELDS(shape, from, to, step, state, next, decisions)
};

/// One upstream instance. `isHeld` while its address may still be known to some node as another service's.
struct Upstream {
  std::string service, address, site;
  UpstreamKind kind = UpstreamKind::kApplication;
  int64_t capacity = 1;
  bool isEmptying = false;
  bool isHeld = false;
  int64_t coldMs = 0;     // how much longer it is slow from its start, as it said when it was announced
  uint64_t number = 0;    // of its announcement: one with a lower number is late and changes nothing
  uint64_t revision = 0;  // of the upstreams when this was announced
  DYKESTAGE_FIELDS(service, address, site, kind, capacity, isEmptying, isHeld, coldMs, number, revision)
};

/// A node of the data plane (or its agent), as it joined.
struct Member {
  std::string kind, site,
      address;        // "edge", "shield", or "proxy": an edge that fetches itself; address between own processes
  std::string agent;  // where its agent listens
  uint64_t incarnation = 0;
  uint64_t replaced = 0;  // the earlier life that was listed under its name when it joined; 0: none
  /// Who it says that it is; not what was listed before it. Example: `if (listed == asker) ...`
  auto operator==(const Member& o) const -> bool {
    return std::tie(kind, site, address, agent, incarnation) ==
           std::tie(o.kind, o.site, o.address, o.agent, o.incarnation);
  }
  DYKESTAGE_FIELDS(kind, site, address, agent, incarnation, replaced)
};

/// A purge: one path of a service or of a route's host, or one label; without a service the label counts everywhere.
struct Purge {
  uint64_t number = 0;
  std::string service, path, label;
  DYKESTAGE_FIELDS(number, service, path, label)
};

/// How far a holder is in each part of a frame. Every number only grows.
struct Revision {
  uint64_t configuration = 0, purges = 0, upstreams = 0, members = 0;
  auto operator==(const Revision&) const -> bool = default;
  /// True when nothing here is older than there. Example: `if (mine.covers(theirs)) ...`
  auto covers(const Revision& o) const -> bool {
    return configuration >= o.configuration && purges >= o.purges && upstreams >= o.upstreams && members >= o.members;
  }
  DYKESTAGE_FIELDS(configuration, purges, upstreams, members)
};

/// A route that was removed, and the configuration revision that removed it.
struct Removal {
  uint64_t revision = 0;
  std::string route;
  DYKESTAGE_FIELDS(revision, route)
};

/// What differences between configurations are made from: the revision at which each part changed last, and the
/// routes removed after `floor`.
struct ConfigurationLog {
  uint64_t services = 0, pools = 0, limits = 0, floor = 0;
  std::vector<Removal> removals;
  /// Notes a removal, within a bound. Example: `log.add({revision, "r-1"});`
  auto add(Removal removal) -> void;
  DYKESTAGE_FIELDS(services, pools, limits, floor, removals)
};

/// What a data node knows of the control plane. Parts that the asker had already are left out on the wire.
struct Frame {
  Revision revision;
  Services services;
  Routing routing;
  ConfigurationLog log;       // of services and routing
  std::vector<Purge> purges;  // newest ones, in order
  uint64_t purgeFloor = 0;    // purges up to here are no longer listed
  std::map<std::string, Upstream> upstreams;
  std::map<std::string, Member> members;
  DYKESTAGE_FIELDS(revision, services, routing, log, purges, purgeFloor, upstreams, members)
};

/// True for members that fetch from upstreams. Example: `if (fetches(member)) askable.push_back(member.address);`
inline auto fetches(const Member& member) -> bool {
  return member.kind != "edge";
}

/// Where the members of a kind are, and how many there are. Example: `for (auto& at : addressesOf(frame, "shield"))
/// ...`
auto addressesOf(const Frame& frame, const std::string& kind, const std::string& except = "")
    -> std::vector<std::string>;
auto countOf(const Frame& frame, const std::string& kind) -> int64_t;

/// What of the configuration changed since a revision; since 0: all that there is.
struct ConfigurationNews {
  uint64_t since = 0, version = 0;
  std::optional<Services> services;
  std::map<std::string, Route> routes;
  std::optional<std::map<std::string, Pool>> pools;
  std::optional<Limits> limits;
  ConfigurationLog log;  // its removals: those after `since`
  DYKESTAGE_FIELDS(since, version, services, routes, pools, limits, log)
};

/// The parts of a frame that changed since a revision. Example: `auto news = newsSince(frame, asker);`
struct News {
  Revision revision;
  std::optional<ConfigurationNews> configuration;
  std::vector<Purge> purges;
  uint64_t purgeFloor = 0;
  std::optional<std::map<std::string, Upstream>> upstreams;
  std::optional<std::map<std::string, Member>> members;
  DYKESTAGE_FIELDS(revision, configuration, purges, purgeFloor, upstreams, members)
};
auto newsSince(const Frame& frame, const Revision& since) -> News;
/// Joins news to a frame; false when it would slide back. Example: `if (!join(frame, news)) return;`
auto join(Frame& frame, const News& news) -> bool;

// ---- operations ---------------------------------------------------------------------------------------

/// A shield's claim of an Idempotency-Key, or its giving back of one under which surely nothing ran. Claims of one
/// life of a shield are numbered.
struct KeyClaim {
  std::string key;  // service and key
  uint64_t number = 0;
  uint64_t print = 0;  // of the request that the key stands for
  int64_t keepMs = 0;
  bool isReturn = false;
  DYKESTAGE_FIELDS(key, number, print, keepMs, isReturn)
};

/// Who holds a key; life 0: nobody.
struct KeyHeld {
  uint64_t life = 0, number = 0, print = 0;
  std::string shield;
  int64_t untilMs = 0;  // on the clock of ordered ticks
  DYKESTAGE_FIELDS(life, number, print, shield, untilMs)
};

/// Items of a routing as their author wrote them, as JSON; kept for whoever asks, and not sent to data nodes.
struct Sources {
  std::map<std::string, std::string> routes, pools;
  std::string limits;
  DYKESTAGE_FIELDS(routes, pools, limits)
};

/// A change of the routing: items to set, or to retire.
struct RoutingChange {
  uint64_t version = 0;
  std::map<std::string, std::optional<Route>> routes;
  std::map<std::string, std::optional<Pool>> pools;
  std::optional<Limits> limits;
  Sources sources;
  DYKESTAGE_FIELDS(version, routes, pools, limits, sources)
};

enum class OpKind : uint8_t {
  kTick,
  kConfigure,
  kPurge,
  kAnnounce,
  kSignOff,
  kRelease,
  kJoin,
  kLeave,
  kClaim,
  kTemplate,
  kTenants,
  kDecide,
  kKeys,
  kDeregister,  // an upstream says that it is gone
  kRouting,
  kRead  // changes nothing: whoever has run it has run everything acknowledged before it
};

/// One operation inside a command. Fields that a kind does not use stay empty.
struct Op {
  OpKind kind = OpKind::kTick;
  std::string changeId;  // kConfigure, kPurge, kTemplate, kTenants: names the submission
  uint64_t print = 0;    // of its content: an id stands for one content
  uint64_t base =
      0;  // kConfigure: revision it builds on; kRouting: version; kAnnounce: revision of the entry it replaces
  std::map<std::string, std::optional<Service>> services;  // kConfigure: set, or retire
  bool isWhole = false;                                    // kConfigure, kRouting: what is not named is retired
  RoutingChange routing;                                   // kRouting
  Purge purge;                                             // kPurge
  std::string name;                                        // instance, member or duty
  Upstream upstream;                                       // kAnnounce; kDeregister: its number
  Member member;                                           // kJoin
  uint64_t incarnation = 0;                                // kLeave; kClaim: the holder
  uint64_t term = 0;                                       // kSignOff, kLeave, kRelease, kClaim, kDecide
  Template shape;                                          // kTemplate
  std::map<std::string, std::optional<Tenant>> tenants;    // kTenants: set, or retire
  Decision decision;                                       // kDecide
  int64_t atMs = 0;                                        // kTick: the steady clock of its registry
  std::vector<KeyClaim> keys;                              // kKeys; name and incarnation tell the shield
  DYKESTAGE_FIELDS(kind, changeId, print, base, services, isWhole, routing, purge, name, upstream, member, incarnation,
                   term, shape, tenants, decision, atMs, keys)
  /// The partitions it touches, as bits. Example: `node.submit(op.parts(), ...)`
  auto parts() const -> uint8_t;
};

enum class Outcome : uint8_t {
  kDone = 0,
  kConflict = 1,
  kOldTerm = 2,
  kNoChange = 3,
  kRolloutRuns = 4,
  kIdReused = 5,
  kUndecided = 6  // neither taken nor refused: it builds on what is not in force yet, or is too old to be remembered
};

struct OpResult {
  Outcome outcome = Outcome::kDone;
  Revision revision;               // that everyone must have before it is acknowledged
  std::string rollout;             // kTemplate: the rollout that it started, if any
  std::vector<KeyHeld> keys = {};  // kKeys: who holds each of them now
  uint64_t print = 0;              // of the submission's content
  uint64_t version = 0;            // kRouting: the version in force
  DYKESTAGE_FIELDS(outcome, revision, rollout, keys, print, version)
};

/// A routing that was taken: under its number it is acknowledged again, and nothing else is.
struct TakenRouting {
  uint64_t print = 0;                         // of its content
  uint64_t configuration = 0, upstreams = 0;  // revisions that everyone must have before it is acknowledged
  DYKESTAGE_FIELDS(print, configuration, upstreams)
};

/// The one duty that exists today: watching beats and deriving sign-offs.
inline const std::string kWatchDuty = "watch";

struct Duty {
  uint64_t term = 0;
  uint64_t holder = 0;  // a registry's incarnation
  DYKESTAGE_FIELDS(term, holder)
};

/// The replicated state. Each operation reads and writes only the partitions that it names.
class State : public tempo::Machine {
 public:
  auto apply(const tempo::Command& command, tempo::Stamp stamp) -> std::string override;
  auto save(uint8_t part) const -> std::string override;
  auto load(uint8_t part, const std::string& frame) -> void override;

  /// What data nodes are sent. Example: `newsSince(state.frame(), revision)`
  auto frame() const -> const Frame& { return frame_; }
  /// The result of a change by its id, while remembered. Example: `state.changed("c-17")`
  auto changed(const std::string& changeId) const -> std::optional<OpResult>;
  /// The items of the routing in force as they were written. Example: `state.sources().routes.at("r-1")`
  auto sources() const -> const Sources& { return sources_; }
  /// What became of a routing that was taken, by version and content, while remembered. Example: `state.taken(7,
  /// print)`
  auto taken(uint64_t version, uint64_t print) const -> std::optional<OpResult>;
  /// Who holds a duty. Example: `state.duty(kWatchDuty).holder == me`
  auto duty(const std::string& name) const -> Duty;
  auto templates() const -> const std::map<std::string, Template>& { return templates_; }
  auto tenants() const -> const std::map<std::string, Tenant>& { return tenants_; }
  auto rollouts() const -> const std::map<std::string, Rollout>& { return rollouts_; }
  /// The number of ticks executed, and each registry's last one. Example: `state.ticks()`
  auto ticks() const -> uint64_t { return ticks_; }
  auto lastTick(uint64_t incarnation) const -> uint64_t;
  /// How many keys are held, and the clock by which they are forgotten. Example: `state.keys()`
  auto keys() const -> size_t { return keys_.size(); }
  auto clockMs() const -> int64_t { return clockMs_; }

 private:
  auto applyOp(const Op& op) -> OpResult;
  auto configure(const Op& op) -> OpResult;
  auto setRouting(const Op& op) -> OpResult;
  auto retire(const std::set<std::string>& services) -> void;
  auto announce(const Op& op) -> OpResult;
  auto deregister(const Op& op) -> OpResult;
  auto isLate(const Op& op) const -> bool;
  /// Remembers the last number of an upstream that is no longer listed. Example: `noteGone(name, upstream.number);`
  auto noteGone(const std::string& name, uint64_t number) -> void;
  auto noteTaken(uint64_t version, const OpResult& result) -> void;
  auto submitTemplate(const Op& op) -> OpResult;
  auto setTenants(const Op& op) -> OpResult;
  auto decide(const Op& op) -> OpResult;
  auto rebuild() -> void;
  auto claimKeys(const Op& op) -> OpResult;
  auto passTime(const Op& tick) -> void;
  auto remember(const Op& op, OpResult result) -> void;
  auto earlier(const Op& op) const -> std::optional<OpResult>;

  Frame frame_;
  std::map<std::string, Template> templates_;
  std::map<std::string, uint64_t> lastRevisions_;  // of templates, also of those that fell back
  std::map<std::string, Tenant> tenants_;
  std::map<std::string, Rollout> rollouts_;
  std::vector<std::string> rolloutOrder_;
  std::map<std::string, std::string> owners_;  // address → the service that had it last
  std::map<std::string, uint64_t> gone_;       // upstreams no longer listed → number of their last announcement
  std::vector<std::pair<std::string, uint64_t>> goneOrder_;
  Sources sources_;
  std::map<uint64_t, TakenRouting> taken_;  // by version, the newest ones
  uint64_t takenFloor_ = 0;                 // what was taken up to this version is no longer remembered
  std::map<std::string, OpResult> changes_;
  std::vector<std::string> changeOrder_;
  std::map<std::string, Duty> duties_;
  uint64_t ticks_ = 0;
  std::map<uint64_t, uint64_t> lastTicks_;
  std::map<std::string, KeyHeld> keys_;
  std::set<std::pair<int64_t, std::string>> keyEnds_;  // the same, by when they are forgotten
  // Moves by what the watch's holder saw pass on its own steady clock between two ticks: never faster than time.
  int64_t clockMs_ = 0, clockSeenMs_ = 0;
  uint64_t clockLife_ = 0;
};

/// Brings the names of hosts in an operation into their canonical form. What a purge names stays: it may be a
/// service, whose name is kept as it is. Example: `canonicalizeHosts(op);`
auto canonicalizeHosts(Op& op) -> void;

/// The ops of a command's payload, hosts in their canonical form. Example: `auto ops = readOps(command.payload);`
auto readOps(const std::string& payload) -> std::vector<Op>;

}  // namespace dykestage::core
