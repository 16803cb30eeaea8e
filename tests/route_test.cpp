// Routes and pools: which pool a request goes to, what may be tried again, what is shared, and where.
#include <sys/socket.h>
#include <unistd.h>
#include <catch2/catch.hpp>

#include <memory>

#include "caller/edge.hpp"
#include "neighbour/post.hpp"
#include "policy/placement.hpp"
#include "upstream/shield.hpp"

using namespace dykestage;
using namespace dykestage::caller;

namespace {
auto routeOf(const std::string& prefix, core::RouteKind kind, std::vector<core::Share> shares) -> core::Route {
  core::Route route;
  route.host = "Shop.test";
  route.prefix = prefix;
  route.kind = kind;
  route.shares = std::move(shares);
  route.tries = 2;
  route.giveUpMs = 1000;
  route.keepMs = kind == core::RouteKind::kCacheable ? 10000 : 0;
  return route;
}

auto frameOf() -> std::shared_ptr<core::Frame> {
  auto frame = std::make_shared<core::Frame>();
  frame->routing.routes["covers"] = routeOf("/covers/", core::RouteKind::kCacheable, {{"store", 1}});
  frame->routing.routes["big"] = routeOf("/covers/big/", core::RouteKind::kCacheable, {{"store", 1}, {"spare", 1}});
  frame->routing.routes["pay"] = routeOf("/pay/", core::RouteKind::kWriting, {{"till", 1}});
  frame->routing.routes["list"] = routeOf("/list/", core::RouteKind::kReadOnly, {{"till", 1}});
  for (const auto* pool : {"store", "spare", "till"})
    frame->routing.pools[pool] = {"/health", 110, 0};
  for (const auto* name : {"s1", "s2"})
    frame->upstreams[name] = {
        "store", std::string("127.0.0.1:1") + name[1], "north", core::UpstreamKind::kAny, 32, false, false};
  frame->upstreams["p1"] = {"spare", "127.0.0.1:21", "north", core::UpstreamKind::kAny, 4, false, false};
  for (const auto* name : {"t1", "t2", "t3"})
    frame->upstreams[name] = {"till", std::string("127.0.0.1:3") + name[1], "north", core::UpstreamKind::kAny, 8, false,
                              false};
  for (const auto* name : {"e1", "e2", "e3"})
    frame->members[name] = {"proxy", "north", std::string("at-") + name, "", 1};
  frame->revision = {1, 0, 1, 1};
  return frame;
}

auto names() -> HeaderNames {
  HeaderNames n;
  n.tryId = "Try", n.timeLeft = "Left", n.instance = "Meant", n.service = "", n.extra = "", n.load = "Load",
  n.notRun = "Not-Ran", n.seal = "Seal";
  return n;
}

/// A process that fetches itself: both machines over one cache, as programs join them.
struct Node {
  std::shared_ptr<policy::Cache> cache = std::make_shared<policy::Cache>(1 << 20);
  Edge edge;
  upstream::Shield shield;
  std::vector<Edge::Output::Answered> answers;
  std::vector<upstream::Fetch> fetches;
  std::vector<Edge::Output::Asked> asked;  // of other processes

  explicit Node(const std::string& name = "e1", std::shared_ptr<core::Frame> frame = frameOf())
      : edge(edgeProps(name), cache), shield(shieldProps(name), cache) {
    take(frame, 0);
    take(frame, 10000);
  }
  static auto edgeProps(const std::string& name) -> Edge::Props {
    Edge::Props p;
    p.name = name, p.site = "north", p.fetches = true, p.servesStale = true, p.names = names();
    p.tries = {0.2, 100};
    return p;
  }
  static auto shieldProps(const std::string& name) -> upstream::Shield::Props {
    upstream::Shield::Props p;
    p.name = name, p.site = "north", p.address = "at-" + name, p.kind = "proxy", p.servesStale = true,
    p.names = names(), p.probeMs = 0;
    p.tries = {0.2, 100};
    return p;
  }
  auto take(std::shared_ptr<core::Frame> frame, int64_t nowMs) -> void {
    edge.takeFrame({frame, nowMs}, nowMs);
    shield.takeFrame({frame, nowMs}, nowMs);
  }
  auto ask(const std::string& method, const std::string& target, Headers more = {}, int64_t nowMs = 10000) -> void {
    int fds[2];
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, fds) == 0);
    Request r;
    r.method = method, r.target = target;
    r.headers = {{"Host", "shop.test"}, {"Try", "id-1"}, {"Left", "800"}};
    for (auto& h : more)
      r.headers.push_back(h);
    r.stream = std::make_shared<Stream>(fds[0]);
    ::close(fds[0]), ::close(fds[1]);
    edge.take(std::move(r), nowMs);
    step(nowMs);
  }
  auto step(int64_t nowMs) -> void {
    // Answers come out of the edge; asks go on to the shield.
    for (auto isMore = true; isMore;) {
      isMore = false;
      auto out = edge.output();
      for (auto& a : out.answers)
        answers.push_back(std::move(a)), isMore = true;
      for (auto& a : out.asks) {
        isMore = true;
        if (a.isSelf)
          shield.take(a.to, std::move(a.ask), nowMs);
        else
          asked.push_back(std::move(a));
      }
      for (auto& g : out.grants)
        if (g.isSelf) shield.takeSendGrant(g.grant, nowMs), isMore = true;
      auto made = shield.output();
      for (auto& f : made.fetches)
        fetches.push_back(std::move(f)), isMore = true;
      for (auto& r : made.sendRequests)
        if (r.to == "at-e1") edge.takeSendRequest(r.to, r.request), isMore = true;
      for (auto& r : made.replies)
        if (r.to == "at-e1") edge.takeReply(r.to, r.reply, nowMs), isMore = true;
    }
  }
  auto end(const upstream::Fetch& fetch, int status, Headers headers = {}, const std::string& body = "0123456789",
           int64_t nowMs = 10050) -> void {
    upstream::Fetched f;
    f.id = fetch.id, f.status = status, f.headers = std::move(headers), f.body = body, f.tookMs = 50;
    f.headers.emplace_back("Seal", "s");
    shield.takeFetched(f, nowMs);
    step(nowMs);
  }
  auto fail(const upstream::Fetch& fetch, upstream::Fault fault, int64_t nowMs = 10050) -> void {
    upstream::Fetched f;
    f.id = fetch.id, f.fault = fault, f.isUntouched = fault == upstream::Fault::kNotSent, f.tookMs = 50;
    shield.takeFetched(f, nowMs);
    step(nowMs);
  }
};

auto valueOf(const upstream::Fetch& fetch, const std::string& name) -> std::string {
  return header(fetch.headers, name);
}
}  // namespace

TEST_CASE("The longest prefix of a host's routes wins, and splits are stable") {
  Paths paths(frameOf());
  CHECK(paths.find("shop.test:80", "/covers/7")->pool == "store");
  CHECK(paths.find("SHOP.test", "/covers/big/7?x=/pay/")->path.prefix == "/covers/big/");
  CHECK_FALSE(paths.find("shop.test", "/covers"));
  CHECK_FALSE(paths.find("other.test", "/covers/7"));
  int spare = 0;
  for (int i = 0; i < 1000; ++i) {
    auto target = "/covers/big/" + std::to_string(i);
    auto pool = paths.find("shop.test", target)->pool;
    CHECK(paths.find("shop.test", target + "?q=1")->pool == pool);
    spare += pool == "spare";
  }
  CHECK(spare > 400);
  CHECK(spare < 600);
}

TEST_CASE("A request goes to an upstream of its pool, named, with what is left of its time") {
  Node n;
  n.ask("POST", "/pay/1");
  REQUIRE(n.fetches.size() == 1);
  const auto& f = n.fetches[0];
  CHECK(f.isWrite);
  CHECK(valueOf(f, "Meant").substr(0, 1) == "t");
  CHECK(valueOf(f, "Left") == "800");
  CHECK(valueOf(f, "Try") == "id-1");
  CHECK(f.tryId == "id-1");
  CHECK(std::count_if(f.headers.begin(), f.headers.end(), [](const auto& h) { return lower(h.first) == "left"; }) == 1);
}

TEST_CASE("A write that surely ran nowhere goes to another upstream; one that may have run does not") {
  SECTION("connection refused") {
    Node n;
    n.ask("POST", "/pay/1");
    n.fail(n.fetches[0], upstream::Fault::kNotSent);
    REQUIRE(n.fetches.size() == 2);
    CHECK(valueOf(n.fetches[0], "Meant") != valueOf(n.fetches[1], "Meant"));
  }
  SECTION("the upstream says that it did not run it, and the route allows two") {
    Node n;
    n.ask("POST", "/pay/1");
    n.end(n.fetches[0], 503, {{"Not-Ran", "1"}});
    REQUIRE(n.fetches.size() == 2);
    n.end(n.fetches[1], 503, {{"Not-Ran", "1"}});
    REQUIRE(n.answers.size() == 1);
    CHECK(n.answers[0].answer.status == 503);  // a promise that holds: nothing ran
    CHECK(n.fetches.size() == 2);
  }
  SECTION("a 503 that does not say so promises nothing, and none is given for it") {
    Node n;
    n.ask("POST", "/pay/1");
    n.end(n.fetches[0], 503);
    REQUIRE(n.answers.size() == 1);
    CHECK(n.answers[0].answer.status == 504);
    CHECK(header(n.answers[0].answer.headers, "Dykestage-Code") == "3009");
  }
  for (auto fault :
       {upstream::Fault::kLost, upstream::Fault::kTimeout, upstream::Fault::kNotWhole, upstream::Fault::kMixed}) {
    Node n;
    n.ask("POST", "/pay/1");
    n.fail(n.fetches[0], fault);
    REQUIRE(n.answers.size() == 1);
    CHECK(n.fetches.size() == 1);
    CHECK(n.answers[0].answer.status >= 502);
    CHECK(n.answers[0].answer.status != 503);
  }
}

TEST_CASE("A read is tried at another upstream, up to what its route allows") {
  Node n;
  n.ask("GET", "/list/1");
  n.fail(n.fetches[0], upstream::Fault::kLost);
  REQUIRE(n.fetches.size() == 2);
  n.fail(n.fetches[1], upstream::Fault::kLost);
  CHECK(n.fetches.size() == 2);
  REQUIRE(n.answers.size() == 1);
  CHECK(n.answers[0].answer.status == 502);
}

TEST_CASE("A slow read goes to another upstream beside the first, and the first answer counts") {
  Node n;
  for (int i = 0; i < 6; ++i) {  // so that the pool's usual time is known
    n.ask("GET", "/list/1", {}, 10000);
    n.end(n.fetches.back(), 200);
  }
  auto before = n.fetches.size();
  n.answers.clear();
  n.ask("GET", "/list/1", {}, 11000);
  n.shield.tick(11100);
  n.step(11100);
  CHECK(n.fetches.size() == before + 1);
  n.shield.tick(11300);
  n.step(11300);
  REQUIRE(n.fetches.size() == before + 2);
  n.end(n.fetches[before + 1], 200, {}, "second", 11350);
  REQUIRE(n.answers.size() == 1);
  CHECK(n.answers[0].answer.body == "second");
  n.end(n.fetches[before], 200, {}, "first", 11400);  // too late for anybody
  CHECK(n.answers.size() == 1);
}

TEST_CASE("An object belongs to one node, and copies stay with the pool that they came from") {
  // Every node names the same owner.
  std::map<std::string, std::set<std::string>> owners;
  for (const auto* name : {"e1", "e2", "e3"}) {
    Node n(name);
    for (int i = 0; i < 12; ++i) {
      auto target = "/covers/" + std::to_string(i);
      n.asked.clear();
      auto fetched = n.fetches.size();
      n.ask("GET", target);
      owners[target].insert(n.fetches.size() > fetched ? std::string("at-") + name : n.asked.at(0).to);
    }
  }
  std::set<std::string> all;
  for (auto& [target, at] : owners) {
    CHECK(at.size() == 1);
    all.insert(*at.begin());
  }
  CHECK(all.size() == 3);
}

TEST_CASE("A range past the end is refused by an upstream: no failure of the system's own bears a seal") {
  auto past = Headers{{"Range", "bytes=10-12"}};
  auto target = std::string("/covers/0");
  for (int i = 1; i < 100; ++i) {
    Node probe;
    probe.ask("GET", target);
    if (!probe.fetches.empty()) break;
    target = "/covers/" + std::to_string(i);
  }
  SECTION("of an object in the cache") {
    Node n;
    n.ask("GET", target);
    n.end(n.fetches.at(0), 200);
    n.ask("GET", target, past, 10100);
    REQUIRE(n.fetches.size() == 2);
    CHECK(valueOf(n.fetches[1], "Range") == "bytes=10-12");
    n.end(n.fetches[1], 416, {}, "", 10150);
    REQUIRE(n.answers.size() == 2);
    CHECK(n.answers[1].answer.status == 416);
    CHECK(header(n.answers[1].answer.headers, "Seal") == "s");
  }
  SECTION("of one that was fetched whole for it, and for another who joined") {
    Node n;
    n.ask("GET", target, past);
    n.ask("GET", target, past);
    n.ask("GET", target);
    REQUIRE(n.fetches.size() == 1);
    CHECK(valueOf(n.fetches[0], "Range").empty());
    n.end(n.fetches[0], 200);
    REQUIRE(n.answers.size() == 1);
    CHECK(n.answers[0].answer.status == 200);
    // Unshared, each is asked of whichever node: here, or of others.
    CHECK(n.fetches.size() - 1 + n.asked.size() == 2);
  }
  SECTION("no send is left: the failure is this node's own, without a seal") {
    auto frame = frameOf();
    frame->routing.routes["covers"].tries = 1;
    Node n("e1", frame);
    n.ask("GET", target, past);
    n.end(n.fetches.at(0), 200);
    REQUIRE(n.answers.size() == 1);
    CHECK(n.answers[0].answer.status == 416);
    CHECK(header(n.answers[0].answer.headers, "Seal").empty());
  }
}

TEST_CASE("Ranges are cut from whole copies") {
  auto range = rangeOf("bytes=2-5");
  REQUIRE(range);
  Answer whole{200, {{"ETag", "x"}, {"Content-Length", "10"}}, "0123456789"};
  auto part = slice(whole, *range);
  CHECK(part.status == 206);
  CHECK(part.body == "2345");
  CHECK(header(part.headers, "Content-Range") == "bytes 2-5/10");
  CHECK(header(part.headers, "ETag") == "x");
  CHECK(slice(whole, *rangeOf("bytes=7-")).body == "789");
  CHECK(slice(whole, *rangeOf("bytes=7-99")).body == "789");
  CHECK(slice(whole, *rangeOf("bytes=10-")).status == 416);
  for (const auto* other : {"bytes=-5", "bytes=1-2,4-5", "items=1-2", "bytes=5-2", "bytes=a-b", ""})
    CHECK_FALSE(rangeOf(other));

  Node n;
  auto target = std::string("/covers/0");
  for (int i = 0; i < 20 && n.fetches.empty(); ++i)
    n.ask("GET", target = "/covers/" + std::to_string(i), {{"Range", "bytes=2-5"}});
  REQUIRE(n.fetches.size() == 1);
  CHECK(valueOf(n.fetches[0], "Range").empty());  // the whole is fetched, and kept
  n.end(n.fetches[0], 200);
  REQUIRE(n.answers.size() == 1);
  CHECK(n.answers[0].answer.status == 206);
  CHECK(n.answers[0].answer.body == "2345");
  n.ask("GET", target, {}, 10100);
  CHECK(n.fetches.size() == 1);
  REQUIRE(n.answers.size() == 2);
  CHECK(n.answers[1].answer.body == "0123456789");
}

namespace {
// The same with few slots: one node keeps the pool's upstreams. Returns its name too.
auto fewSlots() -> std::pair<std::shared_ptr<core::Frame>, std::string> {
  auto frame = frameOf();
  for (const auto* name : {"t1", "t2", "t3"})
    frame->upstreams[name].capacity = 1;
  std::vector<std::string> members;
  std::vector<uint64_t> hashes;
  for (const auto& [name, member] : frame->members)
    members.push_back(name), hashes.push_back(neighbour::hash(name));
  auto dispatch = policy::dispatchOf(*frame, "till", hashes);
  REQUIRE(dispatch.nodes.size() == 1);
  return {frame, members[dispatch.nodes[0]]};
}
}  // namespace

TEST_CASE("Where slots are few, one node keeps a pool's upstreams, and the others ask it") {
  auto [frame, keeper] = fewSlots();
  for (const auto* name : {"e1", "e2", "e3"}) {
    Node n(name, frame);
    n.ask("POST", "/pay/1");
    CHECK(n.fetches.size() == (name == keeper ? 1 : 0));
    CHECK(n.asked.size() == (name == keeper ? 0 : 1));
    if (name == keeper) continue;
    CHECK(n.asked[0].to == "at-" + keeper);
    // It is about to stop: the write ran nowhere, and goes elsewhere at once; so do later ones.
    neighbour::Reply reply;
    reply.id = n.asked[0].ask.id, reply.life = n.asked[0].ask.life, reply.code = kEmptying;
    n.edge.takeReply("at-" + keeper, reply, 10000);
    n.step(10000);
    CHECK(n.fetches.size() + n.asked.size() == 2);
    n.ask("POST", "/pay/2");
    CHECK(n.fetches.size() + n.asked.size() == 3);
    for (size_t i = 1; i < n.asked.size(); ++i)
      CHECK(n.asked[i].to != "at-" + keeper);
  }
}

TEST_CASE(
    "A kept upstream gets no more than it has slots for; the rest waits by rank, and what can't be served in time is "
    "refused") {
  auto [frame, keeper] = fewSlots();
  frame->routing.routes["pay"].rank = 1;
  frame->routing.routes["list"].rank = 2;
  upstream::Shield shield(Node::shieldProps(keeper));
  shield.takeFrame({frame, 0}, 0);
  shield.takeFrame({frame, 10000}, 10000);
  auto ask = [&](uint64_t id, int64_t rank, int64_t remainingMs, int64_t nowMs) {
    neighbour::Ask one;
    one.id = id, one.service = "shop.test", one.pool = "till", one.kind = core::UpstreamKind::kAny, one.method = "GET",
    one.target = "/list/1";
    one.remainingMs = remainingMs, one.tries = 2, one.rank = rank;
    shield.take("at-e9", one, nowMs);
  };
  for (uint64_t id = 1; id <= 5; ++id)
    ask(id, 2, 1000, 10000);
  ask(6, 1, 1000, 10001);
  auto out = shield.output();
  REQUIRE(out.fetches.size() == 3);
  upstream::Fetched f;
  f.id = out.fetches[0].id, f.status = 200, f.headers = {{"Seal", "s"}}, f.tookMs = 50;
  shield.takeFetched(f, 10050);
  out = shield.output();
  CHECK(out.replies.size() == 1);
  REQUIRE(out.fetches.size() == 1);  // of the higher rank, though it came last
  // One that is out of time before a slot is free gets its answer, with when to come back.
  ask(7, 2, 60, 10060);
  shield.tick(10110);
  out = shield.output();
  REQUIRE(out.replies.size() == 1);
  CHECK(out.replies[0].reply.id == 7);
  CHECK(out.replies[0].reply.isUntouched);
  CHECK(out.replies[0].reply.code != kOk);
}

TEST_CASE("A process that ends soon answers what is under way, and what still comes, before it does") {
  auto [frame, keeper] = fewSlots();
  Node n(keeper == "e1" ? "e2" : "e1", frame);  // it asks the keeper, and hears nothing
  n.ask("GET", "/list/1", {}, 10000);
  n.edge.endBy(10300);
  n.ask("GET", "/list/2", {}, 10100);
  CHECK(n.asked.back().ask.remainingMs == 200);
  n.edge.tick(10299);
  n.step(10299);
  CHECK(n.answers.empty());
  n.edge.tick(10300);
  n.step(10300);
  CHECK(n.answers.size() == 2);
}

TEST_CASE("A process that ends soon begins nothing new, and still answers from its cache") {
  Node n;
  n.edge.turnAwayFrom(10200);
  n.ask("GET", "/pay/1", {}, 10199);
  CHECK(n.answers.empty());
  auto under = n.fetches.size() + n.asked.size();
  CHECK(under == 1);
  n.ask("GET", "/list/1", {}, 10200);
  REQUIRE(n.answers.size() == 1);
  CHECK(n.answers[0].answer.status == 503);
  CHECK(header(n.answers[0].answer.headers, "Dykestage-Code") == std::to_string(kEmptying));
  CHECK_FALSE(header(n.answers[0].answer.headers, "Retry-After").empty());
  CHECK(n.fetches.size() + n.asked.size() == under);
  auto copy = std::make_shared<const policy::Copy>(policy::Copy{200, {}, "kept", 10000, 10000, 0, {}});
  n.cache->put("shop.test", "/covers/1", {}, copy, {}, "store");
  n.ask("GET", "/covers/1", {}, 10300);
  REQUIRE(n.answers.size() == 2);
  CHECK(n.answers[1].answer.body == "kept");
}

TEST_CASE("What was given to a pool by a configuration that is over is not run there any more") {
  auto moved = [] {
    auto frame = frameOf();
    frame->routing.routes["list"].shares = {{"spare", 1}};
    frame->revision.configuration = 2;
    return frame;
  };
  auto askedOf = [](uint64_t configuration) {
    neighbour::Ask ask;
    ask.id = 7, ask.life = 1, ask.service = "shop.test", ask.method = "GET", ask.target = "/list/1", ask.pool = "till";
    ask.kind = core::UpstreamKind::kAny, ask.remainingMs = 500, ask.tries = 1, ask.configuration = configuration;
    return ask;
  };
  struct Case {
    std::shared_ptr<core::Frame> held;
    uint64_t configuration;
    bool isRun;
  };
  // Held up on the way, it meets a node that knows better; a node that is behind itself runs what it is given.
  for (const auto& [held, configuration, isRun] :
       {Case{moved(), 1, false}, Case{moved(), 2, true}, Case{frameOf(), 1, true}, Case{frameOf(), 2, true}}) {
    INFO("held " << held->revision.configuration << ", chosen by " << configuration);
    Node n("e1", held);
    n.shield.take("at-e2", askedOf(configuration), 10000);
    auto out = n.shield.output();
    CHECK(out.fetches.size() == (isRun ? 1 : 0));
    REQUIRE(out.replies.size() == (isRun ? 0 : 1));
    if (isRun) continue;
    CHECK(out.replies[0].reply.code == kNotCurrent);
    CHECK(out.replies[0].reply.isUntouched);
  }
  // A route that is gone is no reason to run what came by it either.
  auto without = moved();
  without->routing.routes.erase("list");
  Node n("e1", without);
  n.shield.take("at-e2", askedOf(1), 10000);
  CHECK(n.shield.output().fetches.empty());
}

TEST_CASE("Out of touch with the core a node goes on with what it knows, if it is set so") {
  Node n;
  n.ask("GET", "/list/1", {}, 900000);
  CHECK(n.fetches.size() == 1);
  auto props = Node::edgeProps("e1");
  props.servesStale = false;
  Edge careful(props);
  auto frame = frameOf();
  careful.takeFrame({frame, 0}, 0);
  CHECK(careful.isCurrent(1000));
  CHECK_FALSE(careful.isCurrent(900000));
}

TEST_CASE("Requests go where the answer is expected soonest") {
  core::Upstream up;
  up.site = "north", up.capacity = 2;
  std::vector<std::string> upstreams = {"a", "b", "c"};
  std::vector<policy::Health> health(3);
  std::vector<policy::Candidate> list;
  for (size_t i = 0; i < 3; ++i)
    list.push_back({&upstreams[i], &up, &health[i]});
  policy::PlacementProps props;
  props.site = "north";
  auto shareOf = [&](size_t which, int64_t nowMs) {
    int hits = 0;
    for (uint64_t dice = 0; dice < 1000; ++dice)
      hits += policy::choose(list, {}, props, dice * 1000, nowMs)->index == which;
    return hits;
  };
  health[0].tookMs = 50, health[1].tookMs = 100, health[2].tookMs = 50;
  CHECK(shareOf(0, 0) > 4 * shareOf(1, 0));
  SECTION("one that tells that it is full") {
    health[0].told = 6, health[0].toldMs = 0;
    CHECK(shareOf(0, 10) < 60);
    CHECK(shareOf(0, 5000) > 300);  // what it told is forgotten
  }
  SECTION("one that has not answered for long") {
    health[0].left(1, 0);
    CHECK(shareOf(0, 500) < 20);
  }
  SECTION("one whose answers are lost holds its slots no longer than it takes for sure") {
    for (auto& h : health)
      h.left(1, 0), h.left(2, 0);
    props.isFreeOnly = true;
    CHECK_FALSE(policy::choose(list, {}, props, 1, 100));
    CHECK(policy::choose(list, {}, props, 1, 400));
  }
  SECTION("one that is shunned, or tried before") {
    health[0].shunUntilMs = 100;
    CHECK(shareOf(0, 10) == 0);
    CHECK(policy::choose(list, {"a", "b", "c"}, props, 1, 10) == std::nullopt);
    // Where all that is left is shunned, it is asked all the same.
    CHECK(policy::choose(list, {"b", "c"}, props, 1, 10)->index == 0);
  }
  SECTION("one that has just started") {
    health[0].coldUntilMs = 1000;
    CHECK(shareOf(0, 10) < 150);
  }
  SECTION("own connections to it are used up") {
    props.connections = 1;
    health[0].left(1, 0);
    CHECK(shareOf(0, 10) == 0);
  }
}

TEST_CASE("All nodes' parts of a rate stay within its bounds") {
  policy::RateBounds bounds{5, 1.1, 5};
  for (double rate : {3.0, 10.0, 100.0, 540.0, 5000.0})
    for (size_t nodes : {1, 3, 8, 88}) {
      std::vector<policy::RateShare> shares(nodes);
      double most = 0;
      std::vector<int64_t> sent;
      for (int64_t nowMs = 0; nowMs < 20000; nowMs += 5)
        for (auto& share : shares) {
          share.set(bounds.share(rate, nodes), nowMs);
          while (share.take(nowMs))
            sent.push_back(nowMs);
        }
      for (size_t i = 0, j = 0; j < sent.size(); ++j) {
        while (sent[j] - sent[i] >= 5000)
          ++i;
        most = std::max(most, static_cast<double>(j - i + 1));
      }
      INFO(rate << " a second, " << nodes << " nodes");
      if (nodes <= 8 || rate >= 100) CHECK(most <= rate * 5 * 1.1 + 5);
      if (rate >= 100) CHECK(most >= rate * 5 * 0.9);
    }
}

TEST_CASE("The heaviest names are those of rendezvous hashing: a name that goes moves its own keys only") {
  std::vector<uint64_t> names;
  for (int i = 0; i < 20; ++i)
    names.push_back(neighbour::hash("node-" + std::to_string(i)));
  auto fewer = names;
  fewer.pop_back();
  int moved = 0;
  for (int key = 0; key < 2000; ++key) {
    auto h = neighbour::hash(std::to_string(key));
    auto all = neighbour::heaviest(h, names, 3);
    REQUIRE(all.size() == 3);
    auto rest = neighbour::heaviest(h, fewer, 3);
    moved += all[0] == 19;
    CHECK(rest[0] == (all[0] == 19 ? all[1] : all[0]));
  }
  CHECK(moved > 50);
  CHECK(moved < 150);
}

TEST_CASE("A broken answer that another process hands on is told as such, and not kept") {
  const Headers kSound = {{"Seal", "s"}};
  struct Row {
    uint32_t status;
    Headers headers;
  };
  for (const auto& row : std::vector<Row>{{0, kSound},
                                          {99, kSound},
                                          {600, kSound},
                                          {200, {{"Seal", "s"}, {"X Field", "v"}}},
                                          {200, {{"Seal", "s"}, {"X-Field ", "v"}}},
                                          {200, {{"Seal", "s"}, {"", "v"}}},
                                          {200, {{"Seal", "s\r"}}},
                                          {200, {{"Seal", "s\r\nX-More: v"}}}}) {
    INFO(row.status << " " << row.headers.back().first << ": " << row.headers.back().second);
    Node node;
    std::string target;
    for (auto i = 0; node.asked.empty(); ++i)
      node.ask("GET", target = "/covers/" + std::to_string(i));
    node.answers.clear();
    neighbour::Reply reply;
    reply.id = node.asked[0].ask.id;
    reply.attempt = node.asked[0].ask.attempt;
    reply.life = node.asked[0].ask.life;
    reply.isUntouched = false;
    reply.status = row.status;
    reply.headers = row.headers;
    reply.body = "spoilt";
    reply.keepMs = 10000;
    reply.sends = 1;
    node.edge.takeReply(node.asked[0].to, reply, 10010);
    node.step(10010);
    REQUIRE(node.answers.size() == 1);
    CHECK(node.answers[0].answer.status == 502);
    CHECK(node.answers[0].answer.body.find("spoilt") == std::string::npos);
    node.ask("GET", target, {}, 10020);
    CHECK(node.answers.size() == 1);  // fetched again, not answered from the cache
    CHECK(node.asked.size() == 2);
  }
}

TEST_CASE("A probe whose answer is broken has not found its upstream well") {
  auto props = Node::shieldProps("e1");
  props.probeMs = 100;
  upstream::Shield shield(props);
  shield.takeFrame({frameOf(), 10000}, 10000);
  shield.tick(10000);
  auto probes = shield.output().fetches;
  REQUIRE(probes.size() == frameOf()->upstreams.size());
  for (const auto& probe : probes) {
    upstream::Fetched broken;
    broken.id = probe.id;
    broken.status = 200;
    broken.fault = upstream::Fault::kNotWhole;
    shield.takeFetched(broken, 10010);
  }
  REQUIRE(shield.probes().size() == probes.size());
  for (const auto& [name, isWell] : shield.probes())
    CHECK_FALSE(isWell);
}
