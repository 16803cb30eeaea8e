// Routes, pools and limits as ordered state, their way to data nodes as differences, and announcements of upstreams.
#include <catch2/catch.hpp>

#include <iostream>
#include <random>

#include "core/registry.hpp"
#include "core/state.hpp"
#include "neighbour/post.hpp"
#include "operator/configuration.hpp"

using namespace dykestage;
using namespace dykestage::core;

namespace {
auto run(State& state, const Op& op) -> OpResult {
  auto payload = Writer().put(std::vector<Op>{op}).take();
  return Reader(state.apply({{1, 1}, 0, op.parts(), 0, tempo::kPlain, payload}, 1)).get<std::vector<OpResult>>().at(0);
}

// Two routes of two pools, whole, on top of nothing.
const std::string kFirst = R"({"version": 7, "base": 0, "whole": true,
  "routes": {"a": {"host": "h.test", "prefix": "/a/", "kind": "cacheable", "giveUpMs": 800, "targetMs": 80, "rank": 2,
                   "shares": [{"pool": "p", "weight": 9}, {"pool": "q", "weight": 1}], "tries": 2, "keepMs": 10000, "source": {"x": 1.5}},
             "b": {"host": "h.test", "prefix": "/b/", "kind": "writing", "giveUpMs": 500, "shares": [{"pool": "q", "weight": 1}]}},
  "pools": {"p": {"probe": "/up", "connections": 11, "ratePerS": 92.5}, "q": {}},
  "limits": {"headerBytes": 16384, "bodyBytes": 1000, "headerMs": 3000, "idleMs": 15000}})";

auto read(const std::string& body) -> Op {
  std::vector<op::Fault> faults;
  auto op = op::readRouting(body, faults);
  INFO(op::writeFaults(faults));
  REQUIRE(op);
  op->print = std::hash<std::string>()(body);
  return *op;
}

auto faultsOf(const std::string& body, const Routing& now) -> std::string {
  std::vector<op::Fault> faults;
  auto op = op::readRouting(body, faults);
  if (op) op::checkRouting(*op, now, faults);
  return faults.empty() ? "" : faults.front().place + " " + faults.front().what;
}

auto changed(std::string text, const std::string& from, const std::string& to) -> std::string {
  auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

auto announce(const std::string& name, const std::string& pool, const std::string& more = "") -> Op {
  std::vector<op::Fault> faults;
  auto op =
      op::readAnnouncement(R"({"instance": ")" + name + R"(", "service": ")" + pool + R"(", "address": "127.0.0.1:)" +
                               std::to_string(1000 + name.back()) + R"(", "site": "north")" + more + "}",
                           faults);
  INFO(op::writeFaults(faults));
  REQUIRE(op);
  return *op;
}

auto bytes(const auto& value) -> std::string {
  return Writer().put(value).take();
}
}  // namespace

TEST_CASE("Of two changes on one version one wins, and the same change again is done") {
  State state;
  auto first = run(state, read(kFirst));
  CHECK(first.outcome == Outcome::kDone);
  CHECK(first.version == 7);
  CHECK(state.frame().routing.version == 7);
  CHECK(state.frame().routing.routes.at("a").shares.at(0).weight == 9);
  CHECK(state.frame().routing.pools.at("p").ratePerS == 92.5);
  CHECK(state.frame().routing.limits.bodyBytes == 1000);

  auto again = run(state, read(kFirst));
  CHECK(again.outcome == Outcome::kDone);
  CHECK(again.revision == first.revision);
  CHECK(state.frame().revision.configuration == 1);

  auto other = run(state, read(changed(kFirst, "\"/a/\"", "\"/c/\"")));
  CHECK(other.outcome == Outcome::kConflict);
  CHECK(other.version == 7);
  CHECK(state.frame().routing.routes.at("a").prefix == "/a/");

  auto second = run(state, read(R"({"version": 9, "base": 7, "routes": {"b": null}})"));
  CHECK(second.outcome == Outcome::kDone);
  CHECK(run(state, read(R"({"version": 8, "base": 7, "routes": {"a": null}})")).outcome == Outcome::kConflict);
  CHECK(state.frame().routing.routes.count("a") == 1);
  CHECK(state.frame().routing.routes.count("b") == 0);
  // An earlier one that was taken is still known when others have followed.
  CHECK(run(state, read(kFirst)).outcome == Outcome::kDone);
  CHECK(state.frame().routing.version == 9);
}

TEST_CASE("A routing that can't hold together is refused, and the place is named") {
  Routing none;
  CHECK(faultsOf(kFirst, none).empty());
  auto refused = [&](const std::string& from, const std::string& to, const std::string& place) {
    INFO(to);
    CHECK(faultsOf(changed(kFirst, from, to), none).find(place) == 0);
  };
  refused("\"pool\": \"p\"", "\"pool\": \"r\"", "routes.a.shares no pool is named r");
  refused("\"pool\": \"q\", \"weight\": 1}]}}", "\"pool\": \"q\", \"weight\": 0}]}}", "routes.b.shares the weights");
  refused("\"giveUpMs\": 800", "\"giveUpMs\": 0", "routes.a.giveUpMs");
  refused("\"giveUpMs\": 800, ", "", "routes.a.giveUpMs is missing");
  // These go into the heads of probes and requests.
  refused("\"probe\": \"/up\"", "\"probe\": \"/u p\"", "pools.p.probe");
  refused("\"probe\": \"/up\"", "\"probe\": \"/up\\r\\nX-More: 1\"", "pools.p.probe");
  refused("\"q\": {}}", "\"q\": {}, \"r\\r\\nX-More: 1\": {}}", "pools.r");
  refused("\"targetMs\": 80", "\"targetMs\": 60800", "routes.a.targetMs");
  CHECK(faultsOf(changed(kFirst, "\"targetMs\": 80", "\"targetMs\": 60799"), none).empty());
  refused("\"version\": 7, \"base\": 0", "\"version\": 7, \"base\": 7", "version");
  refused("\"kind\": \"writing\"", "\"kind\": \"other\"", "routes.b.kind");
  refused("\"idleMs\": 15000}}", "\"idleMs\": 15000}", "the whole is not JSON");
  refused("\"rank\": 2", "\"grade\": 2", "routes.a.grade is not known");
  refused("\"prefix\": \"/b/\"", "\"prefix\": \"/a/\"", "routes.b has the host and prefix of a");

  // A partial change is judged together with what stays.
  State state;
  run(state, read(kFirst));
  const auto& now = state.frame().routing;
  CHECK(faultsOf(R"({"version": 9, "base": 7, "pools": {"p": null}})", now) == "routes.a.shares no pool is named p");
  CHECK(faultsOf(R"({"version": 9, "base": 7, "pools": {"p": null}, "routes": {"a": null}})", now).empty());
}

TEST_CASE("Upstreams go along with the pool that is retired") {
  State state;
  run(state, read(kFirst));
  run(state, announce("u1", "p"));
  run(state, announce("u2", "q"));
  auto partial = read(R"({"version": 9, "base": 7, "routes": {"a": null}, "pools": {"p": null}})");
  CHECK(partial.parts() == ((1u << tempo::kConfiguration) | (1u << tempo::kUpstreams)));
  auto result = run(state, partial);
  CHECK(state.frame().upstreams.count("u1") == 0);
  CHECK(state.frame().upstreams.count("u2") == 1);
  CHECK(result.revision.upstreams == state.frame().revision.upstreams);
  // A whole change retires what it does not name.
  CHECK(run(state, read(R"({"version": 10, "base": 9, "whole": true, "pools": {"r": {}}})")).outcome == Outcome::kDone);
  CHECK(state.frame().upstreams.empty());
  CHECK(state.frame().routing.routes.empty());
  CHECK(state.frame().routing.pools.size() == 1);
  CHECK(state.frame().routing.limits.bodyBytes == Limits{}.bodyBytes);
}

TEST_CASE("A late announcement changes nothing, also after its upstream is gone") {
  State state;
  run(state, announce("u1", "p", R"(, "number": 1, "coldMs": 4000)"));
  CHECK(state.frame().upstreams.at("u1").kind == UpstreamKind::kAny);
  CHECK(state.frame().upstreams.at("u1").coldMs == 4000);
  run(state, announce("u1", "p", R"(, "number": 5, "coldMs": 100, "state": "emptying")"));
  CHECK(state.frame().upstreams.at("u1").coldMs == 4000);
  CHECK(run(state, announce("u1", "p", R"(, "number": 4)")).outcome == Outcome::kNoChange);
  CHECK(state.frame().upstreams.at("u1").isEmptying);
  CHECK(run(state, announce("u1", "p", R"(, "number": 3, "state": "gone")")).outcome == Outcome::kNoChange);
  CHECK(run(state, announce("u1", "p", R"(, "number": 6, "state": "gone")")).outcome == Outcome::kDone);
  CHECK(state.frame().upstreams.empty());
  CHECK(run(state, announce("u1", "p", R"(, "number": 5)")).outcome == Outcome::kNoChange);
  CHECK(state.frame().upstreams.empty());
  CHECK(run(state, announce("u1", "p", R"(, "number": 7)")).outcome == Outcome::kDone);
  CHECK(state.frame().upstreams.size() == 1);
  // Without a number it is the last word, and needs no more than the instance.
  std::vector<op::Fault> faults;
  auto last = op::readAnnouncement(R"({"instance": "u1", "state": "gone"})", faults);
  REQUIRE(last);
  CHECK(run(state, *last).outcome == Outcome::kDone);
  CHECK(run(state, announce("u1", "p", R"(, "number": 800)")).outcome == Outcome::kNoChange);
  CHECK(state.frame().upstreams.empty());
  CHECK(!op::readAnnouncement(R"({"instance": "u1", "state": "working"})", faults));
}

TEST_CASE("An announcement without a number that rests on an entry changed since is refused") {
  State state;
  run(state, announce("u1", "p"));
  auto late = announce("u1", "p");  // of a registry that saw no entry yet
  CHECK(run(state, late).outcome == Outcome::kDone);
  auto emptying = announce("u1", "p", R"(, "state": "emptying")");
  emptying.base = state.frame().upstreams.at("u1").revision;
  CHECK(run(state, emptying).outcome == Outcome::kDone);
  CHECK(run(state, late).outcome == Outcome::kConflict);
  CHECK(state.frame().upstreams.at("u1").isEmptying);
  late.base = state.frame().upstreams.at("u1").revision;
  CHECK(run(state, late).outcome == Outcome::kDone);
  CHECK_FALSE(state.frame().upstreams.at("u1").isEmptying);
}

TEST_CASE("A purge names a service or a host with a path, or a label that counts everywhere") {
  std::vector<op::Fault> faults;
  CHECK(op::readPurge(R"({"host": "h.test", "path": "/a"})", faults)->purge.service == "h.test");
  CHECK(op::readPurge(R"({"label": "t1"})", faults)->purge.service.empty());
  CHECK(op::readPurge(R"({"service": "shop", "label": "t1"})", faults)->purge.service == "shop");
  CHECK_FALSE(op::readPurge(R"({"path": "/a"})", faults));
  CHECK_FALSE(op::readPurge(R"({"host": "h.test"})", faults));
  CHECK_FALSE(op::readPurge(R"({"host": "h.test", "service": "shop", "path": "/a"})", faults));
}

TEST_CASE("Followers that are told differences come to have the whole, wherever they start") {
  std::mt19937 random(3);
  auto pick = [&](int low, int high) { return std::uniform_int_distribution<int>(low, high)(random); };
  auto wholes = 0, differences = 0;
  for (auto history = 0; history < 20; ++history) {
    State state;
    // Followers of the state, and one that follows the first of them, as a proxy follows its agent.
    std::vector<Frame> followers(6);
    uint64_t version = 0;
    for (auto step = 0; step < 1500; ++step) {
      auto next = version + pick(1, 3);
      auto text = "{\"version\": " + std::to_string(next) + ", \"base\": " + std::to_string(version);
      auto isWhole = pick(0, 39) == 0;
      if (isWhole) text += ", \"whole\": true";
      std::string routes;
      std::set<int> named;
      // Many routes come and go, so that the list of removals overflows within a history.
      for (auto i = 0; i < 8; ++i)
        named.insert(pick(0, 12));
      for (auto i : named) {
        auto isGone = !isWhole && pick(0, 1) == 0;
        routes += (routes.empty() ? "" : ",") + std::string("\"r") + std::to_string(i) + "\": " +
                  (isGone ? "null"
                          : R"({"host": "h", "prefix": "/", "kind": "writing", "giveUpMs": )" +
                                std::to_string(pick(1, 999)) + R"(, "shares": [{"pool": "p"}]})");
      }
      text +=
          ", \"routes\": {" + routes + "}, \"pools\": {\"p\": {\"connections\": " + std::to_string(pick(1, 2)) + "}}";
      if (pick(0, 9) == 0) text += ", \"limits\": {\"idleMs\": " + std::to_string(pick(1, 9999)) + "}";
      REQUIRE(run(state, read(text + "}")).outcome == Outcome::kDone);
      version = next;
      if (pick(0, 49) == 0) {
        Op op;
        op.kind = OpKind::kConfigure;
        op.base = state.frame().revision.configuration;
        op.services["s" + std::to_string(pick(0, 3))] = Service{};
        REQUIRE(run(state, op).outcome == Outcome::kDone);
      }
      for (size_t i = 0; i < followers.size(); ++i) {
        if (pick(0, static_cast<int>(1 + i * i * 60)) != 0) continue;
        auto& follower = followers[i];
        const auto& giver = i == followers.size() - 1 ? followers[0] : state.frame();
        if (giver.revision == follower.revision) continue;
        auto news = Reader(bytes(newsSince(giver, follower.revision))).get<News>();
        auto before = follower;
        REQUIRE(join(follower, news));
        ++(news.configuration->since == 0 ? wholes : differences);
        REQUIRE(bytes(follower.routing) == bytes(giver.routing));
        REQUIRE(bytes(follower.services) == bytes(giver.services));
        // What is older than the follower's is not taken.
        REQUIRE_FALSE(join(follower, newsSince(before, {})));
        REQUIRE(bytes(follower.routing) == bytes(giver.routing));
      }
    }
  }
  CHECK(wholes > 20 * 6);  // more than the first one of each
  CHECK(differences > 20 * 500);
}

TEST_CASE("A difference holds what changed and no more") {
  State state;
  run(state, read(kFirst));
  Frame follower;
  REQUIRE(join(follower, newsSince(state.frame(), {})));
  run(state,
      read(
          R"({"version": 9, "base": 7, "routes": {"b": null, "c": {"host": "h", "prefix": "/", "kind": "readOnly", "giveUpMs": 1, "shares": [{"pool": "p"}]}}})"));
  auto news = newsSince(state.frame(), follower.revision);
  CHECK(news.configuration->routes.size() == 1);
  CHECK(news.configuration->log.removals.size() == 1);
  CHECK_FALSE(news.configuration->services);
  CHECK_FALSE(news.configuration->pools);
  CHECK_FALSE(news.configuration->limits);
  CHECK_FALSE(news.upstreams);
  // A difference from a later point than the follower's leaves out what it lacks.
  Frame blank;
  CHECK_FALSE(join(blank, news));
  REQUIRE(join(follower, news));
  CHECK(bytes(follower.routing) == bytes(state.frame().routing));
}

TEST_CASE("A saved state goes on as the one that it was saved from") {
  State state;
  run(state, read(kFirst));
  run(state, announce("u1", "p", R"(, "number": 2)"));
  run(state, announce("u1", "p", R"(, "number": 3, "state": "gone")"));
  run(state, read(R"({"version": 9, "base": 7, "routes": {"b": null}})"));
  State loaded;
  for (uint8_t part = 0; part < tempo::kParts; ++part)
    loaded.load(part, state.save(part));
  for (uint8_t part = 0; part < tempo::kParts; ++part)
    CHECK(loaded.save(part) == state.save(part));
  CHECK(bytes(loaded.frame()) == bytes(state.frame()));
  CHECK(op::writeRouting(loaded.frame().routing, loaded.sources()) ==
        op::writeRouting(state.frame().routing, state.sources()));
  CHECK(op::writeRouting(loaded.frame().routing, loaded.sources()).find(R"("source":{"x":1.5})") != std::string::npos);
  // What it must not forget: routings that were taken, and upstreams that are gone.
  CHECK(run(loaded, read(kFirst)).outcome == Outcome::kDone);
  CHECK(run(loaded, announce("u1", "p", R"(, "number": 2)")).outcome == Outcome::kNoChange);
}

namespace {
// Three registries in virtual time, each with a disk that syncs at once and lines that take 1 ms.
class Core {
 public:
  explicit Core(bool mayForm = true, bool servesStale = false) : servesStale_(servesStale) {
    for (tempo::Slot slot = 1; slot <= 3; ++slot)
      start(slot, mayForm);
  }
  auto start(tempo::Slot slot, bool mayForm) -> void {
    Registry::Props props;
    props.servesStale = servesStale_;
    props.core.replicas = 3;
    props.core.faults = 1;
    props.slot = slot;
    props.mayForm = mayForm;
    for (tempo::Slot other = 1; other <= 3; ++other)
      props.addresses[other] = std::to_string(other);
    registries[slot] = std::make_unique<Registry>(props, "", std::vector<std::string>{}, nextLife_++);
  }
  auto pass(int64_t ms) -> void {
    for (auto endMs = nowMs + ms; nowMs < endMs;) {
      ++nowMs;
      for (auto& [to, from, kind, body] : std::exchange(lines_, {}))
        if (auto& registry = registries.at(static_cast<tempo::Slot>(std::stoul(to)))) {
          registry->take(from, kind, body, nowMs);
          hasInput_.insert(static_cast<tempo::Slot>(std::stoul(to)));
        }
      // As in the program: time passes when it is due, or when something came.
      for (auto& [slot, registry] : registries) {
        if (!registry || (!hasInput_.count(slot) && nowMs < registry->dueMs())) continue;
        registry->tick(nowMs);
        ++ticks[slot];
        flush(slot);
      }
      hasInput_.clear();
    }
  }
  auto http(tempo::Slot slot, const std::string& method, const std::string& target, const std::string& body = "")
      -> size_t {
    caller::Request request;
    request.method = method;
    request.target = target;
    request.body = body;
    request.stream = std::make_shared<caller::Stream>(-1);
    streams_.push_back(request.stream);
    answers.emplace_back();
    registries.at(slot)->take(request, nowMs);
    hasInput_.insert(slot);
    flush(slot);
    return answers.size() - 1;
  }
  // Asks and waits for the answer.
  auto ask(tempo::Slot slot, const std::string& method, const std::string& target, const std::string& body = "")
      -> caller::Answer {
    auto which = http(slot, method, target, body);
    for (auto i = 0; i < 3000 && !answers[which]; ++i)
      pass(1);
    REQUIRE(answers[which]);
    return *answers[which];
  }
  // A data node asks a registry for news, and says what it has in force.
  auto poll(tempo::Slot slot, const Revision& inForce) -> void {
    neighbour::Poll poll;
    poll.name = "edge-1";
    poll.member = {"edge", "north", "e", "a", 1};
    poll.revision = inForce;
    registries.at(slot)->take("e", neighbour::kPoll, Writer().put(poll).take(), nowMs);
    hasInput_.insert(slot);
  }
  // A data node that is listed and has nothing in force: it asked once and is silent.
  auto addSilentNode() -> void {
    poll(1, {});
    pass(300);
  }
  auto executed(tempo::Slot slot) -> int64_t {
    auto page = op::parse(ask(slot, "GET", "/status").body);
    return static_cast<int64_t>(cJSON_GetObjectItem(page.get(), "executed")->valuedouble);
  }

  int64_t nowMs = 1000;
  std::map<tempo::Slot, std::unique_ptr<Registry>> registries;
  std::vector<std::optional<caller::Answer>> answers;
  std::map<tempo::Slot, int64_t> ticks;  // how often each woke up

 private:
  struct Letter {
    std::string to, from;
    uint8_t kind;
    std::string body;
  };
  auto flush(tempo::Slot slot) -> void {
    for (;;) {
      auto out = registries.at(slot)->output();
      for (auto& letter : out.letters)
        if (letter.to.size() == 1 && std::isdigit(letter.to[0]))
          lines_.push_back({letter.to, std::to_string(slot), letter.kind, letter.body});
      for (auto& a : out.answers) {
        auto at = static_cast<size_t>(std::find(streams_.begin(), streams_.end(), a.stream) - streams_.begin());
        CHECK_FALSE(answers.at(at));  // nobody is answered twice
        answers.at(at) = a.answer;
      }
      if (out.jobs.empty()) return;
      for (auto& job : out.jobs)
        registries.at(slot)->synced(job.number, 0.1, 1, nowMs);
    }
  }
  bool servesStale_;
  uint64_t nextLife_ = 11;
  std::vector<Letter> lines_;
  std::set<tempo::Slot> hasInput_;
  std::vector<std::shared_ptr<caller::Stream>> streams_;
};
}  // namespace

TEST_CASE("Every registry answers with the newest routing that was acknowledged, and knows what was taken") {
  Core core;
  core.pass(2000);
  CHECK(core.ask(1, "POST", "/routing", kFirst).status == 200);
  for (tempo::Slot slot = 1; slot <= 3; ++slot) {
    auto page = core.ask(slot, "GET", "/routing");
    CHECK(page.status == 200);
    CHECK(page.body.find("\"version\":7") != std::string::npos);
    CHECK(page.body.find("\"source\":{\"x\":1.5}") != std::string::npos);
  }
  CHECK(core.ask(2, "POST", "/routing", kFirst).status == 200);
  auto lost = core.ask(3, "POST", "/routing", R"({"version": 8, "base": 0, "routes": {"a": null}})");
  CHECK(lost.status == 409);
  CHECK(lost.body.find("\"code\":2002") != std::string::npos);
  CHECK(lost.body.find("\"version\":7") != std::string::npos);
  CHECK(core.ask(3, "POST", "/routing", R"({"version": 8, "base": 7, "pools": {"p": null}})").status == 400);
  // One is sent on top of another that is still under way: the registry reads first and then judges it.
  auto first = core.http(1, "POST", "/routing", R"({"version": 9, "base": 7, "pools": {"new": {}}})");
  core.pass(3);
  auto second = core.ask(
      2, "POST", "/routing",
      R"({"version": 11, "base": 9, "routes": {"b": {"host": "h", "prefix": "/", "kind": "writing", "giveUpMs": 5, "shares": [{"pool": "new"}]}}})");
  CHECK((second.status == 200 || second.status == 409));
  REQUIRE(core.answers[first]);
  CHECK(core.answers[first]->status == 200);
}

TEST_CASE("Whoever repeats a routing that waits for a silent node joins the first, and nobody waits a second") {
  Core core;
  core.pass(2000);
  core.addSilentNode();
  auto fromMs = core.nowMs;
  auto first = core.http(1, "POST", "/routing", kFirst);
  core.pass(500);
  auto second = core.http(1, "POST", "/routing", kFirst);
  core.pass(450);
  REQUIRE(core.answers[first]);
  CHECK(core.answers[first]->status == 504);
  CHECK(core.answers[first]->body.find("\"code\":2003") != std::string::npos);
  CHECK_FALSE(core.answers[second]);
  // Another registry counts from when the change ran there, not from its repetition.
  core.pass(50);
  CHECK(core.ask(2, "POST", "/routing", kFirst).status == 200);
  CHECK(core.nowMs - fromMs >= 1500);
  CHECK(core.nowMs - fromMs < 1700);
  core.pass(100);
  // Its repeat at the first one was too early to see the end, and is told so within the same time.
  REQUIRE(core.answers[second]);
  CHECK(core.answers[second]->status == 504);
  CHECK(core.ask(1, "POST", "/routing", kFirst).status == 200);
}

TEST_CASE("Whoever leaves is acknowledged once each node that is heard has stopped sending to it") {
  Core core(true, true);
  core.pass(2000);
  core.addSilentNode();
  auto announce = [&](const std::string& more) {
    return core.http(1, "POST", "/announce",
                     R"({"instance": "u1", "service": "p", "address": "127.0.0.1:9", "site": "n", )" + more + "}");
  };
  announce(R"("number": 1)");
  core.pass(50);
  const Revision kBefore{0, 0, 1, 1}, kAfter{0, 0, 2, 1};
  // Another registry hears the node; the one that is asked learns of it.
  auto passHeard = [&](int64_t ms, const Revision& inForce) {
    for (int64_t passedMs = 0; passedMs < ms; passedMs += 50) {
      core.poll(2, inForce);
      core.pass(50);
    }
  };
  passHeard(200, kBefore);
  const std::string kLeaves = GENERATE(R"("number": 2, "state": "emptying")", R"("number": 2, "state": "gone")");
  SECTION("it has, a little later") {
    auto left = announce(kLeaves);
    passHeard(300, kBefore);
    CHECK_FALSE(core.answers[left]);
    passHeard(100, kAfter);
    REQUIRE(core.answers[left]);
    CHECK(core.answers[left]->status == 200);
  }
  SECTION("it is heard and never has: its upstream is not kept waiting beyond its call") {
    auto left = announce(kLeaves);
    passHeard(700, kBefore);
    CHECK_FALSE(core.answers[left]);
    passHeard(100, kBefore);
    REQUIRE(core.answers[left]);
    CHECK(core.answers[left]->status == 200);
  }
  SECTION("it is out of contact: nobody waits for it") {
    core.pass(1100);
    auto left = announce(kLeaves);
    core.pass(50);
    REQUIRE(core.answers[left]);
    CHECK(core.answers[left]->status == 200);
  }
}

TEST_CASE("Beats are no commands, late ones neither, and what is gone stays gone") {
  Core core;
  core.pass(2000);
  auto beat = [&](tempo::Slot slot, const std::string& more) {
    return core
        .ask(slot, "POST", "/announce",
             R"({"instance": "u1", "service": "p", "address": "127.0.0.1:9", "site": "n", )" + more + "}")
        .body;
  };
  CHECK(beat(1, R"("number": 1, "coldMs": 3000)").find("taken") != std::string::npos);
  core.pass(50);
  auto before = core.executed(2);
  core.pass(1000);
  auto ticks = core.executed(2) - before;
  before = core.executed(2);
  for (auto i = 2; i < 100; ++i) {
    CHECK(beat(2, "\"number\": " + std::to_string(i) + ", \"coldMs\": " + std::to_string(3000 - i)).find("known") !=
          std::string::npos);
    core.pass(10);
  }
  CHECK(core.executed(2) - before < ticks + 10);
  CHECK(beat(1, R"("number": 100, "state": "emptying")").find("taken") != std::string::npos);
  core.pass(50);
  CHECK(beat(2, R"("number": 99)").find("late") != std::string::npos);
  CHECK(beat(3, R"("number": 101, "state": "gone")").find("gone") != std::string::npos);
  CHECK(beat(1, R"("number": 99)").find("late") != std::string::npos);
  core.pass(50);
  CHECK(core.ask(2, "GET", "/roster").body.find("u1") == std::string::npos);
}

TEST_CASE("An announcement that can't be ordered is answered in time, with its outcome unknown") {
  Core core;
  core.pass(2000);
  core.registries[2].reset();
  core.registries[3].reset();
  auto fromMs = core.nowMs;
  auto a =
      core.ask(1, "POST", "/announce", R"({"instance": "u1", "service": "p", "address": "127.0.0.1:9", "site": "n"})");
  CHECK(a.status == 504);
  CHECK(core.nowMs - fromMs <= 810);
}

TEST_CASE("A core that has nothing to do sleeps most of the time, and stays current") {
  Core core;
  core.pass(2000);
  core.ticks.clear();
  for (auto i = 0; i < 100; ++i) {
    core.pass(100);
    for (auto& [slot, registry] : core.registries)
      CHECK(registry->isReady(core.nowMs));
  }
  for (const auto& [slot, count] : core.ticks) {
    std::cout << "registry " << slot << " woke up " << count / 10 << " times a second\n";
    CHECK(count / 10 < 250);
  }
}

TEST_CASE("A blank registry that may not form a core waits for a seat in the one that there is") {
  Core none(false);
  none.pass(3000);
  CHECK(none.ask(1, "GET", "/ready").status == 503);

  Core core;
  core.pass(2000);
  CHECK(core.ask(1, "POST", "/routing", kFirst).status == 200);
  core.start(3, false);
  core.pass(4000);
  CHECK(core.ask(3, "GET", "/ready").status == 200);
  CHECK(core.ask(3, "GET", "/routing").body.find("\"version\":7") != std::string::npos);
}
