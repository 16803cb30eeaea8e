// A host's name is the same however it is written: in configurations, purges, requests, and in what was stored before
// names were brought into one form.
#include <sys/socket.h>
#include <unistd.h>
#include <catch2/catch.hpp>

#include <memory>

#include "base/host_name.hpp"
#include "caller/edge.hpp"
#include "core/state.hpp"
#include "neighbour/post.hpp"
#include "operator/configuration.hpp"
#include "upstream/shield.hpp"

using namespace dykestage;
using namespace dykestage::caller;
using core::Op;
using core::OpKind;
using core::OpResult;
using core::Outcome;
using core::State;

namespace {
constexpr int64_t kStartMs = 10000;
const std::string kTarget = "/covers/7";
// Ways to write one name; the port and the final dot are where clients write them.
const std::vector<std::string> kSpellings = {"ficu95.example", "Ficu95.example",  "FICU95.EXAMPLE",
                                             "fIcU95.exAmple", "ficu95.example.", "Ficu95.Example:8144"};

auto order(State& state, const Op& op) -> OpResult {
  auto payload = Writer().put(std::vector<Op>{op}).take();
  return Reader(state.apply({{1, 1}, 0, op.parts(), 0, tempo::kPlain, payload}, 1)).get<std::vector<OpResult>>().at(0);
}

auto valid(const std::optional<Op>& op, const std::vector<op::Fault>& faults) -> Op {
  INFO(op::writeFaults(faults));
  REQUIRE(op);
  return *op;
}

auto routingBody(const std::string& host, int version = 7, int base = 0) -> std::string {
  return R"({"version": )" + std::to_string(version) + R"(, "base": )" + std::to_string(base) +
         R"(, "whole": true, "routes": {
      "covers": {"host": ")" +
         host + R"(", "prefix": "/covers/", "kind": "cacheable", "giveUpMs": 1000, "tries": 2,
                 "keepMs": 60000, "shares": [{"pool": "store", "weight": 1}]},
      "pay": {"host": ")" +
         host + R"(", "prefix": "/pay/", "kind": "writing", "giveUpMs": 1000,
              "shares": [{"pool": "store", "weight": 1}]}},
    "pools": {"store": {}}})";
}

auto routing(const std::string& host, int version = 7, int base = 0) -> Op {
  std::vector<op::Fault> faults;
  return valid(op::readRouting(routingBody(host, version, base), faults), faults);
}

auto purgeOf(const std::string& body) -> Op {
  std::vector<op::Fault> faults;
  return valid(op::readPurge(body, faults), faults);
}

auto purgeOfPath(const std::string& host) -> Op {
  return purgeOf(R"({"host": ")" + host + R"(", "path": ")" + kTarget + R"("})");
}

auto configuration(const std::string& body, const core::Services& now = {}) -> Op {
  std::vector<op::Fault> faults;
  return valid(op::readConfiguration(body, now, faults), faults);
}

auto serviceBody(const std::string& hosts) -> std::string {
  return R"({"hosts": [)" + hosts + R"(], "paths": [{"prefix": "/", "kind": "store", "keepMs": 60000}]})";
}

auto faultsOfConfiguration(const std::string& body, const core::Services& now) -> std::string {
  std::vector<op::Fault> faults;
  op::readConfiguration(body, now, faults);
  return faults.empty() ? "" : op::writeFaults(faults);
}

/// A registry's state with one upstream, and a process that serves and fetches and follows it.
class Node {
 public:
  Node() : edge_(edgeProps(), cache_), shield_(shieldProps(), cache_) {
    Op join;
    join.kind = OpKind::kJoin;
    join.name = "e1";
    join.member = {"proxy", "north", "at-e1", "", 1};
    order(state, join);
    for (const std::string pool : {"store", "shop"}) {
      std::vector<op::Fault> faults;
      order(state, valid(op::readAnnouncement(R"({"instance": "u-)" + pool + R"(", "service": ")" + pool +
                                                  R"(", "address": "127.0.0.1:)" + std::to_string(10 + pool.size()) +
                                                  R"(", "site": "north", "kind": "store"})",
                                              faults),
                         faults));
    }
  }
  /// Brings what was ordered in force at the node, as its agent's feed does.
  auto follow(int64_t nowMs = kStartMs) -> void {
    auto next = std::make_shared<core::Frame>(*frame_);
    auto bytes = Writer().put(core::newsSince(state.frame(), frame_->revision)).take();
    REQUIRE(core::join(*next, Reader(bytes).get<core::News>()));
    take(next, nowMs);
  }
  auto take(std::shared_ptr<core::Frame> next, int64_t nowMs = kStartMs) -> void {
    frame_ = std::move(next);
    edge_.takeFrame({frame_, nowMs}, nowMs);
    shield_.takeFrame({frame_, nowMs}, nowMs);
  }
  /// What a client gets; the upstream answers whatever is fetched with `version`.
  auto get(const std::string& host, const std::string& version, const std::string& target = kTarget,
           const Headers& more = {}) -> Answer {
    return ask("GET", host, target, version, more);
  }
  auto ask(const std::string& method, const std::string& host, const std::string& target, const std::string& version,
           const Headers& more = {}) -> Answer {
    int sockets[2];
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, sockets) == 0);
    Request request;
    request.method = method;
    request.target = target;
    request.headers = {{"Host", host}};
    request.headers.insert(request.headers.end(), more.begin(), more.end());
    request.stream = std::make_shared<Stream>(sockets[0]);
    ::close(sockets[0]);
    ::close(sockets[1]);
    edge_.take(std::move(request), kStartMs);
    return settle(version);
  }
  auto fetches() const -> size_t { return fetches_; }
  /// For which service the last request went to its upstream.
  auto serviceMeant() const -> const std::string& { return serviceMeant_; }
  auto claimed() const -> const std::vector<std::string>& { return claimed_; }
  auto cached() const -> size_t { return cache_->size(); }

  State state;

 private:
  static auto edgeProps() -> Edge::Props {
    Edge::Props props;
    props.name = "e1";
    props.site = "north";
    props.fetches = true;
    props.servesStale = true;
    return props;
  }
  static auto shieldProps() -> upstream::Shield::Props {
    upstream::Shield::Props props;
    props.name = "e1";
    props.site = "north";
    props.address = "at-e1";
    props.kind = "proxy";
    props.servesStale = true;
    props.probeMs = 0;
    return props;
  }
  auto settle(const std::string& version) -> Answer {
    Answer last;
    last.status = 0;
    for (auto isMore = true; isMore;) {
      isMore = false;
      auto fromEdge = edge_.output();
      for (auto& answered : fromEdge.answers)
        last = answered.answer;
      for (auto& asked : fromEdge.asks) {
        shield_.take(asked.to, std::move(asked.ask), kStartMs);
        isMore = true;
      }
      auto fromShield = shield_.output();
      for (const auto& claims : fromShield.claims)
        for (const auto& claim : claims.keys)
          claimed_.push_back(claim.key);
      for (const auto& fetch : fromShield.fetches) {
        ++fetches_;
        serviceMeant_ = header(fetch.headers, "Dykestage-Service");
        upstream::Fetched fetched;
        fetched.id = fetch.id;
        fetched.status = 200;
        fetched.headers = {{"Dykestage-Labels", "spring"}};
        fetched.body = version;
        fetched.tookMs = 1;
        shield_.takeFetched(fetched, kStartMs);
        isMore = true;
      }
      for (const auto& replied : fromShield.replies) {
        edge_.takeReply(replied.to, replied.reply, kStartMs);
        isMore = true;
      }
    }
    return last;
  }

  std::shared_ptr<core::Frame> frame_ = std::make_shared<core::Frame>();
  std::shared_ptr<policy::Cache> cache_ = std::make_shared<policy::Cache>(1 << 20);
  Edge edge_;
  upstream::Shield shield_;
  size_t fetches_ = 0;
  std::string serviceMeant_;
  std::vector<std::string> claimed_;
};

// What a release that kept names as they were written has on its disk: the same records with the name as written. Both
// names have the same length.
auto asWritten(std::string bytes, const std::string& canonical, const std::string& written) -> std::string {
  REQUIRE(canonical.size() == written.size());
  for (auto at = bytes.find(canonical); at != std::string::npos; at = bytes.find(canonical, at + 1))
    bytes.replace(at, canonical.size(), written);
  return bytes;
}

// An operation as such a release ordered it.
auto asWritten(const Op& op, const std::string& canonical, const std::string& written) -> Op {
  return Reader(asWritten(Writer().put(op).take(), canonical, written)).get<Op>();
}
}  // namespace

TEST_CASE("A host has one canonical form") {
  CHECK(canonicalHost("shop.example") == "shop.example");
  CHECK(canonicalHost("Shop.EXAMPLE") == "shop.example");
  CHECK(canonicalHost("shop.example:80") == "shop.example");
  CHECK(canonicalHost("shop.example.") == "shop.example");
  CHECK(canonicalHost("SHOP.example.:8080") == "shop.example");
  CHECK(canonicalHost(" \tshop.example ") == "shop.example");
  CHECK(canonicalHost("[2001:DB8::1]:80") == "[2001:db8::1]");
  CHECK(canonicalHost("[::1]") == "[::1]");
  CHECK(canonicalHost("[::1") == "[::1");
  CHECK(canonicalHost("127.0.0.1:80") == "127.0.0.1");
  CHECK(canonicalHost("").empty());
  CHECK(canonicalHost(":80").empty());
  CHECK(canonicalHost(".") == ".");
  CHECK(canonicalHost("a..") == "a.");
  for (const auto& spelling : kSpellings)
    CHECK(canonicalHost(canonicalHost(spelling)) == canonicalHost(spelling));
}

// Guards against purges by host and path that are acknowledged and name nothing, where names differ in their letters.
TEST_CASE("A purge of a host's object is in force however configuration, purge and client write the host") {
  for (const auto& configured : kSpellings)
    for (const auto& purged : kSpellings) {
      Node node;
      order(node.state, routing(configured));
      node.follow();
      for (const auto& asked : kSpellings) {
        INFO("configured " << configured << ", purged " << purged << ", asked " << asked);
        CHECK(node.get(asked, "old").body == "old");
        CHECK(node.get(asked, "unseen").body == "old");
        order(node.state, purgeOfPath(purged));
        node.follow();
        CHECK(node.get(asked, "new").body == "new");
        order(node.state, purgeOf(R"({"host": ")" + purged + R"(", "label": "spring"})"));
        node.follow();
        CHECK(node.get(asked, "newer").body == "newer");
        order(node.state, purgeOfPath(purged));
        node.follow();
      }
    }
}

// Guards against one object that is fetched and kept once for each spelling of its host.
TEST_CASE("An object is kept once, whatever its host is written like") {
  Node node;
  order(node.state, routing("Ficu95.Example"));
  node.follow();
  for (const auto& spelling : kSpellings)
    CHECK(node.get(spelling, "body").body == "body");
  CHECK(node.fetches() == 1);
  CHECK(node.cached() == 1);
}

// Guards against upstreams that turn a route's requests away (421), since these name the host in place of the service.
TEST_CASE("A request names the service that its upstream has announced, whatever its host") {
  Node node;
  order(node.state, configuration(R"({"services": {"shop": )" + serviceBody(R"("b.example")") + "}}"));
  order(node.state, routing("Ficu95.Example"));
  node.follow();
  CHECK(node.get("ficu95.example", "body").body == "body");
  CHECK(node.serviceMeant() == "store");
  CHECK(node.get("b.example", "body").body == "body");
  CHECK(node.serviceMeant() == "shop");
}

// Guards against a write with a key that runs twice because its host was written in another way.
TEST_CASE("An Idempotency-Key is claimed under one name of its host") {
  for (const auto& spelling : kSpellings) {
    Node node;
    order(node.state, routing("Ficu95.Example"));
    node.follow();
    node.ask("POST", spelling, "/pay/1", "paid", {{"Idempotency-Key", "k1"}});
    INFO(spelling);
    REQUIRE(node.claimed().size() == 1);
    CHECK(node.claimed()[0] == "ficu95.example\nk1");
  }
}

// Guards against a purge by host that names nothing where the host is a service's.
TEST_CASE("A purge of a host counts for the service that has the host") {
  for (const auto& purged : kSpellings) {
    Node node;
    order(node.state,
          configuration(R"({"services": {"shop": )" + serviceBody(R"("Ficu95.Example", "b.example")") + "}}"));
    node.follow();
    INFO(purged);
    CHECK(node.get("ficu95.EXAMPLE", "old").body == "old");
    CHECK(node.get("b.example", "unseen").body == "old");
    order(node.state, purgeOfPath("c.example"));
    node.follow();
    CHECK(node.get("ficu95.example", "unseen").body == "old");
    order(node.state, purgeOfPath(purged));
    node.follow();
    CHECK(node.get("ficu95.example", "new").body == "new");
    order(node.state, purgeOf(R"({"host": ")" + purged + R"(", "label": "Spring"})"));
    node.follow();
    CHECK(node.get("ficu95.example", "newer").body == "newer");
    order(node.state, purgeOf(R"({"service": "shop", "path": ")" + kTarget + R"("})"));
    node.follow();
    CHECK(node.get("ficu95.example", "newest").body == "newest");
  }
}

// Guards against two owners of one host.
TEST_CASE("A host belongs to one service, route or tenant however it is written") {
  Node node;
  order(node.state, configuration(R"({"services": {"shop": )" + serviceBody(R"("Ficu95.Example")") + "}}"));
  const auto& services = node.state.frame().services;
  CHECK(services.at("shop").hosts == std::vector<std::string>{"ficu95.example"});
  for (const auto& spelling : kSpellings) {
    INFO(spelling);
    auto other = R"({"services": {"till": )" + serviceBody('"' + spelling + '"') + "}}";
    CHECK(faultsOfConfiguration(other, services).find("ficu95.example belongs to shop") != std::string::npos);
    auto twice = R"({"services": {"shop": )" + serviceBody(R"("ficu95.example", ")" + spelling + '"') + "}}";
    CHECK(faultsOfConfiguration(twice, services).find("belongs to") != std::string::npos);
    std::vector<op::Fault> faults;
    CHECK_FALSE(op::readTenants(R"({"tenants": {"t": {"template": "x", "hosts": [")" + spelling + R"("]}}})",
                                node.state, faults));
    CHECK(op::writeFaults(faults).find("ficu95.example belongs to shop") != std::string::npos);
  }
  auto first = routing("ficu95.example");
  for (const auto& spelling : kSpellings) {
    auto second = routing(spelling);
    second.routing.routes["double"] = second.routing.routes.at("covers");
    std::vector<op::Fault> faults;
    CHECK_FALSE(op::checkRouting(second, {}, faults));
    CHECK(second.routing.routes.at("covers")->host == first.routing.routes.at("covers")->host);
  }
}

TEST_CASE("A host without a name is refused, and nothing of it is kept") {
  std::vector<op::Fault> faults;
  CHECK_FALSE(op::readRouting(routingBody(":80"), faults));
  CHECK(op::writeFaults(faults).find("must name a host") != std::string::npos);
  CHECK_FALSE(op::readPurge(R"({"host": ":80", "path": "/a"})", faults));
  CHECK(faultsOfConfiguration(R"({"services": {"a": )" + serviceBody(R"("a.example", " ")") + "}}", {})
            .find("hosts[1]") != std::string::npos);
  // As before, an empty one is none.
  CHECK(purgeOf(R"({"host": "", "label": "spring"})").purge.service.empty());
}

// Guards against a service's name that is taken for a host's: services' names differ in their letters.
TEST_CASE("A service's name stays as it is written") {
  CHECK(purgeOf(R"({"service": "Shop", "path": "/a"})").purge.service == "Shop");
  policy::Cache cache(1 << 20);
  policy::Copy copy{200, {}, "b", 0, 10000, 0, {}};
  CHECK(cache.put("Shop", "/a", {}, copy, {}));
  cache.purge({{1, "SHOP", "/a", ""}}, 1, 0);
  CHECK(cache.get("Shop", "/a", {}, 1));
  cache.purge({{2, "Shop", "/a", ""}}, 2, 0);
  CHECK_FALSE(cache.get("Shop", "/a", {}, 1));
}

// Guards against a policy that clients get round by other letters in their Host.
TEST_CASE("A path's policy sees the canonical name of the host") {
  Node node;
  order(node.state, configuration(R"({"services": {"shop": {"hosts": ["Ficu95.example"], "paths": [{"prefix": "/",
    "kind": "store", "policy": "function decide(r) if r.host == 'ficu95.example' then return {refuse = true} end end"}]}}})"));
  node.follow();
  for (const auto& spelling : kSpellings)
    CHECK(header(node.get(spelling, "body").headers, "Dykestage-Code") == std::to_string(kRefused));
}

// Guards against an upgrade after which what was stored under written names is found no more.
TEST_CASE("What was ordered with names as they were written reads right") {
  const std::string canonical = "ficu95.example";
  const std::string written = "Ficu95.EXAMPLE";
  Node node;
  order(node.state, asWritten(routing(canonical), canonical, written));
  CHECK(node.state.frame().routing.routes.at("covers").host == canonical);
  node.follow();
  CHECK(node.get(canonical, "old").body == "old");
  order(node.state, asWritten(purgeOfPath(canonical), canonical, written));
  node.follow();
  CHECK(node.get(written, "new").body == "new");
  order(node.state, asWritten(purgeOf(R"({"host": "ficu95.example", "label": "spring"})"), canonical, written));
  node.follow();
  CHECK(node.get(written, "newer").body == "newer");
}

TEST_CASE("A snapshot with names as they were written reads right") {
  const std::string canonical = "ficu95.example";
  const std::string written = "Ficu95.EXAMPLE";
  State before;
  order(before, configuration(R"({"services": {"shop": )" + serviceBody(R"("ficu95.example")") + "}}"));
  order(before, routing(canonical));
  order(before, purgeOfPath(canonical));
  auto snapshot = asWritten(before.save(tempo::kConfiguration), canonical, written);
  State after;
  after.load(tempo::kConfiguration, snapshot);
  CHECK(after.frame().services.at("shop").hosts == std::vector{canonical});
  CHECK(after.frame().routing.routes.at("covers").host == canonical);
  // A purge that an earlier release ordered still keeps out what was fetched before it.
  policy::Cache cache(1 << 20);
  const auto& frame = after.frame();
  cache.purge(frame.purges, frame.revision.purges, frame.purgeFloor, frame.services);
  CHECK(cache.isPurgedSince(0, canonical, kTarget, {}));
  CHECK(cache.isPurgedSince(0, "shop", kTarget, {}));
  CHECK(cache.mayBePurgedSince(0, canonical, kTarget));
  CHECK_FALSE(cache.isPurgedSince(0, "other.example", kTarget, {}));
}

TEST_CASE("A frame of a process that keeps names as they were written reads right") {
  const std::string canonical = "ficu95.example";
  const std::string written = "Ficu95.EXAMPLE";
  State state;
  order(state, configuration(R"({"services": {"shop": )" + serviceBody(R"("ficu95.example")") + "}}"));
  order(state, routing(canonical));
  auto bytes = asWritten(Writer().put(core::newsSince(state.frame(), {})).take(), canonical, written);
  core::Frame frame;
  REQUIRE(core::join(frame, Reader(bytes).get<core::News>()));
  CHECK(frame.services.at("shop").hosts == std::vector{canonical});
  CHECK(frame.routing.routes.at("pay").host == canonical);
}

// Guards against an acknowledged configuration that is refused when it is sent again after an upgrade.
TEST_CASE("A routing that was taken with its names as written is known again") {
  const std::string canonical = "ficu95.example";
  const std::string written = "Ficu95.EXAMPLE";
  State state;
  auto earlier = asWritten(routing(canonical), canonical, written);
  earlier.print = 0;
  earlier.print = neighbour::hash(Writer().put(earlier).take());  // as every release computes it
  CHECK(order(state, earlier).outcome == Outcome::kDone);
  auto again = routing(written);
  CHECK(state.taken(7, again.print));
  CHECK(order(state, again).outcome == Outcome::kDone);
  CHECK_FALSE(state.taken(7, routing("other.example").print));
}

// Guards against an upgrade after which no configuration is taken any more.
TEST_CASE("Two that were taken as owners of one host don't stand in the way of other changes") {
  auto body = R"({"services": {"a": )" + serviceBody(R"("ficu95.example")") + R"(, "b": )" +
              serviceBody(R"("ficu96.example")") + "}}";
  State state;
  order(state, asWritten(configuration(body), "ficu96.example", "FICU95.example"));
  const auto& services = state.frame().services;
  CHECK(services.at("b").hosts == services.at("a").hosts);
  CHECK(faultsOfConfiguration(R"({"services": {"c": )" + serviceBody(R"("c.example")") + "}}", services).empty());
  CHECK_FALSE(
      faultsOfConfiguration(R"({"services": {"b": )" + serviceBody(R"("FICU95.example")") + "}}", services).empty());
  CHECK_FALSE(
      faultsOfConfiguration(R"({"services": {"c": )" + serviceBody(R"("FICU95.example")") + "}}", services).empty());
}

TEST_CASE("Keys that were claimed under a host with its final dot are held under its canonical name") {
  State state;
  Op claim;
  claim.kind = OpKind::kKeys;
  claim.name = "shield-1";
  claim.incarnation = 1;
  claim.keys = {{"ficu95.example.\nk1", 1, 7, 60000, false}};
  CHECK(order(state, claim).keys.at(0).life == 1);
  claim.name = "shield-2";
  claim.incarnation = 2;
  claim.keys = {{"ficu95.example\nk1", 1, 7, 60000, false}, {"Shop\nk.\nk", 2, 7, 60000, false}};
  auto held = order(state, claim).keys;
  CHECK(held.at(0).life == 1);
  CHECK(held.at(1).life == 2);
  State after;
  after.load(tempo::kKeys, asWritten(state.save(tempo::kKeys), "ficu95.example\n", "ficu95.exampl.\n"));
  claim.keys = {{"ficu95.exampl\nk1", 3, 7, 60000, false}};
  CHECK(order(after, claim).keys.at(0).life == 1);
}
