// One try of a client is one budget of sends, on however many nodes it is worked on: an edge, two owners, their
// upstreams and the messages between them, in every order, with losses and repetitions.
#include <sys/socket.h>
#include <unistd.h>
#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <variant>

#include "caller/edge.hpp"
#include "policy/sends.hpp"
#include "upstream/shield.hpp"

using namespace dykestage;
using namespace dykestage::caller;

namespace {
constexpr int64_t kStartMs = 10000;
constexpr int64_t kDeadlineMs = 1000;
constexpr int64_t kHedgeMs = kDeadlineMs * 40 / 100;
constexpr int64_t kStepMs = 130;  // above the time after which owners send a slow read again
const char* const kEdgeName = "e1";

auto routeOf(const std::string& prefix, core::RouteKind kind, int64_t tries) -> core::Route {
  core::Route route;
  route.host = "shop.test";
  route.prefix = prefix;
  route.kind = kind;
  route.shares = {{"store", 1}};
  route.tries = tries;
  route.giveUpMs = kDeadlineMs;
  route.keepMs = kind == core::RouteKind::kCacheable ? 10000 : 0;
  return route;
}

auto frameOf(int64_t tries) -> std::shared_ptr<core::Frame> {
  auto frame = std::make_shared<core::Frame>();
  frame->routing.routes["covers"] = routeOf("/covers/", core::RouteKind::kCacheable, tries);
  frame->routing.routes["list"] = routeOf("/list/", core::RouteKind::kReadOnly, tries);
  frame->routing.routes["pay"] = routeOf("/pay/", core::RouteKind::kWriting, tries);
  frame->routing.pools["store"] = {"/health", 110, 0};
  for (const auto* name : {"s1", "s2", "s3", "s4", "s5", "s6"})
    frame->upstreams[name] = {
        "store", std::string("127.0.0.1:1") + name[1], "north", core::UpstreamKind::kAny, 32, false, false};
  for (const auto* name : {kEdgeName, "e2", "e3"})
    frame->members[name] = {"proxy", "north", std::string("at-") + name, "", 1};
  frame->revision = {1, 0, 1, 1};
  return frame;
}

auto names() -> HeaderNames {
  HeaderNames n;
  n.tryId = "Try", n.timeLeft = "Left", n.instance = "Meant", n.load = "Load", n.notRun = "Not-Ran", n.seal = "Seal";
  return n;
}

auto edgeProps(const std::string& name) -> Edge::Props {
  Edge::Props p;
  p.name = name, p.site = "north", p.fetches = true, p.servesStale = true, p.names = names();
  p.tries = {0.2, 1000};
  return p;
}

auto shieldProps(const std::string& name) -> upstream::Shield::Props {
  upstream::Shield::Props p;
  p.name = name, p.site = "north", p.address = "at-" + name, p.kind = "proxy", p.servesStale = true, p.names = names(),
  p.probeMs = 0;
  p.tries = {0.2, 1000};
  return p;
}

/// A message on its way, or a fetch that its upstream has not ended.
struct Sent {
  std::string to;
  std::variant<neighbour::Ask, neighbour::Reply, neighbour::SendRequest, neighbour::SendGrant, upstream::Fetch> what;
  std::string from;
};

/// Three nodes that each hold an edge and a shield. Nothing arrives by itself: the test says what, when and how often.
class Network {
 public:
  explicit Network(int64_t tries) {
    auto frame = frameOf(tries);
    for (const auto& [name, member] : frame->members) {
      auto cache = std::make_shared<policy::Cache>(1 << 20);
      auto& node = nodes_[member.address];
      node.edge = std::make_unique<Edge>(edgeProps(name), cache);
      node.shield = std::make_unique<upstream::Shield>(shieldProps(name), cache);
      for (auto atMs : {int64_t{0}, kStartMs}) {
        node.edge->takeFrame({frame, atMs}, atMs);
        node.shield->takeFrame({frame, atMs}, atMs);
      }
    }
  }

  auto request(const std::string& method, const std::string& target, const std::string& tryId,
               const std::string& at = "at-e1") -> void {
    int fds[2];
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, fds) == 0);
    Request r;
    r.method = method, r.target = target;
    r.headers = {{"Host", "shop.test"}, {"Try", tryId}};
    r.stream = std::make_shared<Stream>(fds[0]);
    ::close(fds[0]), ::close(fds[1]);
    nodes_.at(at).edge->take(std::move(r), nowMs);
    collect();
  }

  /// What waits to arrive, oldest first.
  std::deque<Sent> sent;
  int64_t nowMs = kStartMs;
  int answers = 0;
  std::map<int, int> answersByStatus;
  std::map<std::string, std::vector<std::string>> upstreamsByTry;  // each send, in order

  auto mostSends() const -> size_t {
    size_t most = 0;
    for (const auto& [tryId, upstreams] : upstreamsByTry)
      most = std::max(most, upstreams.size());
    return most;
  }

  /// Delivers a message; a fetch ends with the given status, 0 for a lost answer.
  auto deliver(const Sent& one, int status = 200) -> void {
    if (const auto* fetch = std::get_if<upstream::Fetch>(&one.what)) {
      endFetch(one.to, *fetch, status);
    } else if (const auto* ask = std::get_if<neighbour::Ask>(&one.what)) {
      nodes_.at(one.to).shield->take(one.from, *ask, nowMs);
    } else if (const auto* reply = std::get_if<neighbour::Reply>(&one.what)) {
      nodes_.at(one.to).edge->takeReply(one.from, *reply, nowMs);
    } else if (const auto* wanted = std::get_if<neighbour::SendRequest>(&one.what)) {
      nodes_.at(one.to).edge->takeSendRequest(one.from, *wanted);
    } else if (const auto* grant = std::get_if<neighbour::SendGrant>(&one.what)) {
      nodes_.at(one.to).shield->takeSendGrant(*grant, nowMs);
    }
    collect();
  }
  auto take(size_t index) -> Sent {
    auto one = std::move(sent.at(index));
    sent.erase(sent.begin() + static_cast<std::ptrdiff_t>(index));
    return one;
  }
  auto pass(int64_t ms) -> void {
    nowMs += ms;
    for (auto& [address, node] : nodes_) {
      node.edge->tick(nowMs);
      node.shield->tick(nowMs);
    }
    collect();
  }
  auto lose(const std::string& shield, const std::string& at = "at-e1") -> void {
    nodes_.at(at).edge->lost(shield, nowMs);
    collect();
  }
  auto isWaiting(size_t index) const -> bool { return std::holds_alternative<upstream::Fetch>(sent.at(index).what); }
  template <typename T>
  auto find() -> std::optional<size_t> {
    for (size_t i = 0; i < sent.size(); ++i)
      if (std::holds_alternative<T>(sent[i].what)) return i;
    return std::nullopt;
  }

 private:
  struct Node {
    std::unique_ptr<Edge> edge;
    std::unique_ptr<upstream::Shield> shield;
  };

  auto endFetch(const std::string& at, const upstream::Fetch& fetch, int status) -> void {
    upstream::Fetched f;
    f.id = fetch.id, f.status = status, f.tookMs = 20;
    f.body = "body", f.headers = {{"Seal", "s"}};
    if (status == 0) f.fault = upstream::Fault::kLost;
    if (status == 421) f.headers.emplace_back("Not-Ran", "1");
    nodes_.at(at).shield->takeFetched(f, nowMs);
  }

  auto collect() -> void {
    for (auto isMore = true; isMore;) {
      isMore = false;
      for (auto& [address, node] : nodes_) {
        auto out = node.edge->output();
        for (auto& a : out.answers)
          ++answers, ++answersByStatus[a.answer.status];
        for (auto& a : out.asks) {
          isMore = true;
          if (a.isSelf)
            node.shield->take(a.to, std::move(a.ask), nowMs);
          else
            sent.push_back({a.to, std::move(a.ask), address});
        }
        for (auto& g : out.grants) {
          isMore = true;
          if (g.isSelf)
            node.shield->takeSendGrant(g.grant, nowMs);
          else
            sent.push_back({g.to, std::move(g.grant), address});
        }
        auto made = node.shield->output();
        for (auto& fetch : made.fetches) {
          upstreamsByTry[fetch.tryId].push_back(header(fetch.headers, "Meant"));
          sent.push_back({address, std::move(fetch), address});
        }
        for (auto& r : made.sendRequests) {
          isMore = true;
          if (r.to == address)
            node.edge->takeSendRequest(r.to, r.request);
          else
            sent.push_back({r.to, std::move(r.request), address});
        }
        for (auto& r : made.replies) {
          isMore = true;
          if (r.to == address)
            node.edge->takeReply(r.to, r.reply, nowMs);
          else
            sent.push_back({r.to, std::move(r.reply), address});
        }
      }
    }
  }

  std::map<std::string, Node> nodes_;
};

/// What may happen next in a search: something arrives, is lost or arrives twice, or time passes.
enum class Event : uint8_t { kArrives, kIsLost, kArrivesTwice, kFails, kTimePasses, kLineBreaks };
struct Choice {
  Event event = Event::kTimePasses;
  size_t index = 0;  // of what is on its way
};

auto choicesOf(const Network& network, int64_t untilMs) -> std::vector<Choice> {
  std::vector<Choice> list;
  for (size_t i = 0; i < network.sent.size(); ++i) {
    list.push_back({Event::kArrives, i});
    if (network.isWaiting(i)) {
      list.push_back({Event::kFails, i});
    } else {
      list.push_back({Event::kIsLost, i});
      list.push_back({Event::kArrivesTwice, i});
    }
  }
  if (network.nowMs < untilMs) list.push_back({Event::kTimePasses, 0});
  return list;
}

auto play(Network& network, const Choice& choice) -> void {
  if (choice.event == Event::kTimePasses) return network.pass(kStepMs);
  auto one = network.take(choice.index);
  if (choice.event == Event::kIsLost) return;
  if (choice.event == Event::kFails) return network.deliver(one, 0);
  network.deliver(one);
  if (choice.event == Event::kArrivesTwice) network.deliver(one);
}

/// Plays every sequence of choices up to a depth, each from the start: machines can't be copied.
struct Search {
  std::string target = "/covers/1";
  int64_t tries = 2;
  size_t depth = 7;
  size_t most = 0, played = 0;

  auto run() -> void {
    std::vector<size_t> path;
    visit(path);
  }
  auto visit(std::vector<size_t>& path) -> void {
    Network network(tries);
    network.request("GET", target, "try-1", "at-e1");
    for (auto at : path) {
      auto choices = choicesOf(network, kStartMs + kDeadlineMs);
      play(network, choices.at(at));
    }
    ++played;
    most = std::max(most, network.mostSends());
    if (path.size() == depth) return;
    auto count = choicesOf(network, kStartMs + kDeadlineMs).size();
    for (size_t i = 0; i < count; ++i) {
      path.push_back(i);
      visit(path);
      path.pop_back();
    }
  }
};

/// An object that belongs to another node than the first edge.
auto remoteTarget(const std::string& prefix = "/covers/") -> std::string {
  for (int i = 0; i < 100; ++i) {
    Network network(2);
    auto target = prefix + std::to_string(i);
    network.request("GET", target, "probe");
    if (network.find<neighbour::Ask>()) return target;
  }
  return "";
}
}  // namespace

TEST_CASE("A hedge to a second owner shares the route's tries with the first") {
  Network network(2);
  network.request("GET", remoteTarget(), "try-1");
  REQUIRE(network.find<neighbour::Ask>() == 0);
  network.deliver(network.take(0));  // the first owner sends it, and its upstream is slow
  REQUIRE(network.mostSends() == 1);
  for (int i = 0; i < 9; ++i) {
    network.pass(kStepMs / 2);
    // Both owners hear everything at once; no upstream answers.
    for (auto isMore = true; isMore;) {
      isMore = false;
      for (size_t at = 0; at < network.sent.size() && !isMore; ++at)
        if (!network.isWaiting(at)) network.deliver(network.take(at)), isMore = true;
    }
  }
  CHECK(network.mostSends() == 2);
}

TEST_CASE("A read is sent a second time by an owner that asks for it, and never to the same upstream") {
  for (auto status : {500, 0, 421}) {
    Network network(2);
    network.request("GET", remoteTarget(), "try-1");
    network.deliver(network.take(0));
    network.deliver(network.take(*network.find<upstream::Fetch>()), status);
    while (auto at = network.find<neighbour::SendRequest>())
      network.deliver(network.take(*at));
    while (auto at = network.find<neighbour::SendGrant>())
      network.deliver(network.take(*at));
    REQUIRE(network.upstreamsByTry["try-1"].size() == 2);
    CHECK(network.upstreamsByTry["try-1"][0] != network.upstreamsByTry["try-1"][1]);
    network.deliver(network.take(*network.find<upstream::Fetch>()));
    network.deliver(network.take(*network.find<neighbour::Reply>()));
    CHECK(network.answersByStatus[200] == 1);
  }
}

TEST_CASE("An owner that is granted nothing more tells the upstream's own failure, at once") {
  Network network(1);
  network.request("GET", remoteTarget(), "try-1");
  network.deliver(network.take(0));
  network.deliver(network.take(*network.find<upstream::Fetch>()), 500);
  network.deliver(network.take(*network.find<neighbour::Reply>()));
  CHECK(network.mostSends() == 1);
  CHECK(network.answersByStatus[500] == 1);
}

TEST_CASE("A request for a send that is lost ends with what the last send brought, soon") {
  for (auto isGrantLost : {false, true}) {
    Network network(2);
    network.request("GET", remoteTarget(), "try-1");
    network.deliver(network.take(0));
    network.deliver(network.take(*network.find<upstream::Fetch>()), 500);
    auto wanted = network.take(*network.find<neighbour::SendRequest>());
    if (isGrantLost) {
      network.deliver(wanted);
      network.take(*network.find<neighbour::SendGrant>());
    }
    network.pass(shieldProps("e1").connectMs);
    REQUIRE(network.find<neighbour::Reply>());
    network.deliver(network.take(*network.find<neighbour::Reply>()));
    CHECK(network.answersByStatus[500] == 1);
    CHECK(network.mostSends() == 1);
  }
}

TEST_CASE("An owner that surely did not send gives its grant back; one that is silent keeps it") {
  SECTION("refused") {
    Network network(1);
    network.request("GET", remoteTarget(), "try-1");
    auto ask = network.take(0);
    neighbour::Reply refusal;
    refusal.id = std::get<neighbour::Ask>(ask.what).id, refusal.life = std::get<neighbour::Ask>(ask.what).life;
    refusal.code = kEmptying;
    network.deliver({"at-e1", refusal, ask.to});
    // The next in the order is asked, or this node sends it itself.
    if (auto next = network.find<neighbour::Ask>()) network.deliver(network.take(*next));
    CHECK(network.mostSends() == 1);
  }
  SECTION("silent, and its line breaks") {
    Network network(1);
    network.request("GET", remoteTarget(), "try-1");
    auto ask = network.take(0);
    network.lose(ask.to);
    CHECK(network.sent.empty());
    CHECK(network.answers == 1);
  }
  SECTION("silent, its line breaks, and one send is left") {
    Network network(2);
    network.request("GET", remoteTarget(), "try-1");
    auto ask = network.take(0);
    network.lose(ask.to);
    if (auto next = network.find<neighbour::Ask>()) network.deliver(network.take(*next));
    CHECK(network.mostSends() == 1);
    network.deliver(ask);  // late
    CHECK(network.mostSends() == 2);
    network.deliver(ask);  // repeated
    CHECK(network.mostSends() == 2);
  }
}

TEST_CASE("Failing first, an owner leaves the request to the other one that is at work on it") {
  Network network(2);
  network.request("GET", remoteTarget(), "try-1");
  network.deliver(network.take(0));
  auto first = network.take(*network.find<upstream::Fetch>());
  // The first owner's request for a second send is lost, and the edge asks a second owner.
  network.pass(kStepMs);
  while (auto at = network.find<neighbour::SendRequest>())
    network.take(*at);
  network.pass(kHedgeMs);
  if (auto next = network.find<neighbour::Ask>()) network.deliver(network.take(*next));
  REQUIRE(network.mostSends() == 2);
  network.deliver(first, 0);
  while (auto at = network.find<neighbour::SendRequest>())
    network.deliver(network.take(*at));
  while (auto at = network.find<neighbour::SendGrant>())
    network.deliver(network.take(*at));
  while (auto at = network.find<neighbour::Reply>())
    network.deliver(network.take(*at));
  CHECK(network.answers == 0);
  network.deliver(network.take(*network.find<upstream::Fetch>()));
  while (auto at = network.find<neighbour::Reply>())
    network.deliver(network.take(*at));
  CHECK(network.answersByStatus[200] == 1);
  CHECK(network.mostSends() == 2);
}

TEST_CASE("No order of messages, losses, repetitions and hedges sends a try more often than its route says") {
  constexpr size_t kDepth = 7;
  auto target = remoteTarget();
  for (int64_t tries : {1, 2}) {
    Search search;
    search.target = target;
    search.tries = tries;
    search.depth = kDepth;
    search.run();
    CAPTURE(tries, search.played);
    CHECK(search.most == static_cast<size_t>(tries));
    CHECK(search.played > 1000);
    WARN("tries " << tries << ": " << search.played << " sequences, most sends " << search.most);
  }
}

TEST_CASE("Several clients that join one fetch stay within their own tries, in random orders") {
  auto target = remoteTarget(), listed = std::string("/list/1");
  for (uint32_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937 random(seed);
    auto tries = static_cast<int64_t>(1 + random() % 3);
    Network network(tries);
    int asked = 0;
    auto more = [&] {
      const std::string at = "at-e" + std::to_string(1 + random() % 3);
      network.request(random() % 8 == 0 ? "POST" : "GET", random() % 4 == 0 ? listed : target,
                      "try-" + std::to_string(++asked), at);
    };
    more();
    for (int step = 0; step < 60; ++step) {
      auto choices = choicesOf(network, kStartMs + 3 * kDeadlineMs);
      if (choices.empty()) break;
      if (asked < 6 && random() % 4 == 0) more();
      if (random() % 12 == 0) network.lose("at-e" + std::to_string(1 + random() % 3));
      choices = choicesOf(network, kStartMs + 3 * kDeadlineMs);
      auto choice = choices[random() % choices.size()];
      if (choice.event == Event::kArrives && network.isWaiting(choice.index)) {
        const int statuses[] = {200, 500, 421, 0};
        network.deliver(network.take(choice.index), statuses[random() % 4]);
      } else {
        play(network, choice);
      }
    }
    CAPTURE(seed, tries);
    REQUIRE(network.mostSends() <= static_cast<size_t>(tries));
  }
}

TEST_CASE("A send account never grants more than its limit") {
  policy::SendAccount sends(3);
  auto first = sends.open(1), second = sends.open(1);
  REQUIRE(first);
  REQUIRE(second);
  CHECK(sends.raise(*first, 2) == 2);
  CHECK(sends.raise(*first, 2) == 2);  // the same request again
  CHECK(sends.raise(*second, 2) == 1);
  CHECK_FALSE(sends.open(1));
  CHECK(sends.close(*first, 1));
  CHECK_FALSE(sends.close(*first, 0));  // a repeated reply gives nothing back
  CHECK(sends.left() == 1);
  CHECK(sends.raise(*first, 3) == 0);
  CHECK(sends.closeUnknown(*second));
  CHECK(sends.left() == 1);
  CHECK(sends.openCount() == 0);
}

TEST_CASE("A fetch request is known again while it is remembered") {
  policy::SeenRequests seen(1000);
  CHECK(seen.add({"a", 1, 7, 0}, 0));
  CHECK_FALSE(seen.add({"a", 1, 7, 0}, 999));
  CHECK(seen.add({"a", 1, 7, 1}, 999));
  CHECK(seen.add({"a", 2, 7, 0}, 999));
  CHECK(seen.add({"b", 1, 7, 0}, 999));
  CHECK(seen.add({"a", 1, 7, 0}, 1000));
  CHECK(seen.size() == 4);
}
