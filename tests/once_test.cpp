// Answers and their requests on every hop: each way a send can end, what may be sent again, and what the caller gets.
// The table that these rows stand for is docs/control-safety.md.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <thread>

#include "agent/feed.hpp"
#include "caller/codes.hpp"
#include "caller/edge.hpp"
#include "caller/face.hpp"
#include "neighbour/inbox.hpp"
#include "neighbour/post.hpp"
#include "upstream/fetcher.hpp"
#include "upstream/shield.hpp"

using namespace dykestage;
using caller::Edge;
using caller::has;
using caller::header;
using caller::Headers;
using upstream::Fault;

namespace {
constexpr int64_t kStartMs = 10000, kDeadlineMs = 800, kIdleMs = 3000;

auto isPromise(int status) -> bool {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// ---- state machines in virtual time ------------------------------------------------------------------------

auto routeOf(const std::string& prefix, core::RouteKind kind, const std::string& pool) -> core::Route {
  core::Route route;
  route.host = "shop.test";
  route.prefix = prefix;
  route.kind = kind;
  route.shares = {{pool, 1}};
  route.tries = 2;
  route.giveUpMs = 1000;
  route.keepMs = kind == core::RouteKind::kCacheable ? 10000 : 0;
  return route;
}

auto frameOf(const std::vector<std::string>& members) -> std::shared_ptr<core::Frame> {
  auto frame = std::make_shared<core::Frame>();
  frame->routing.routes["covers"] = routeOf("/covers/", core::RouteKind::kCacheable, "store");
  frame->routing.routes["pay"] = routeOf("/pay/", core::RouteKind::kWriting, "till");
  frame->routing.routes["list"] = routeOf("/list/", core::RouteKind::kReadOnly, "till");
  for (const auto* pool : {"store", "till"})
    frame->routing.pools[pool] = {"/health", 110, 0};
  for (const auto* name : {"s1", "s2"})
    frame->upstreams[name] = {
        "store", std::string("127.0.0.1:1") + name[1], "north", core::UpstreamKind::kAny, 32, false, false};
  for (const auto* name : {"t1", "t2", "t3", "t4", "t5", "t6"})
    frame->upstreams[name] = {"till", std::string("127.0.0.1:3") + name[1], "north", core::UpstreamKind::kAny, 8, false,
                              false};
  for (const auto& name : members)
    frame->members[name] = {"proxy", "north", "at-" + name, "", 1};
  frame->revision = {1, 0, 1, 1};
  return frame;
}

auto names() -> caller::HeaderNames {
  caller::HeaderNames n;
  n.tryId = "Try", n.timeLeft = "Left", n.instance = "Meant", n.service = "", n.extra = "", n.load = "Load";
  n.notRun = "Not-Ran", n.seal = "Seal";
  return n;
}

auto edgeProps(const std::string& name, double allowance = 1000) -> Edge::Props {
  Edge::Props p;
  p.name = name, p.site = "north", p.fetches = true, p.servesStale = true, p.names = names(), p.life = 77;
  p.tries = {0, allowance};
  return p;
}

auto requestOf(const std::string& method, const std::string& target, const std::string& tryId, Headers more = {})
    -> caller::Request {
  int fds[2];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, fds) == 0);
  caller::Request r;
  r.method = method, r.target = target;
  r.headers = {{"Host", "shop.test"}, {"Try", tryId}, {"Left", std::to_string(kDeadlineMs)}};
  for (auto& h : more)
    r.headers.push_back(h);
  r.stream = std::make_shared<caller::Stream>(fds[0]);
  ::close(fds[0]), ::close(fds[1]);
  return r;
}

/// One process: an edge and a shield over one cache, as the program joins them.
struct Node {
  std::shared_ptr<policy::Cache> cache = std::make_shared<policy::Cache>(1 << 20);
  Edge edge;
  upstream::Shield shield;
  std::vector<Edge::Output::Answered> answers;
  std::vector<upstream::Fetch> fetches;

  explicit Node(double allowance = 1000)
      : edge(edgeProps("e1", allowance), cache), shield(shieldProps(allowance), cache) {
    auto frame = frameOf({"e1"});
    for (auto nowMs : {int64_t{0}, kStartMs}) {
      edge.takeFrame({frame, nowMs}, nowMs);
      shield.takeFrame({frame, nowMs}, nowMs);
    }
  }
  static auto shieldProps(double allowance) -> upstream::Shield::Props {
    upstream::Shield::Props p;
    p.name = "e1", p.site = "north", p.address = "at-e1", p.kind = "proxy", p.servesStale = true;
    p.names = names(), p.probeMs = 0;
    p.tries = {0, allowance};
    return p;
  }
  auto ask(const std::string& method, const std::string& target, const std::string& tryId = "id-1", Headers more = {},
           int64_t nowMs = kStartMs) -> void {
    edge.take(requestOf(method, target, tryId, std::move(more)), nowMs);
    step(nowMs);
  }
  auto step(int64_t nowMs) -> void {
    for (auto isMore = true; isMore;) {
      isMore = false;
      auto out = edge.output();
      for (auto& a : out.answers)
        answers.push_back(std::move(a)), isMore = true;
      for (auto& a : out.asks) {
        REQUIRE(a.isSelf);
        shield.take(a.to, std::move(a.ask), nowMs), isMore = true;
      }
      for (auto& g : out.grants) {
        REQUIRE(g.isSelf);
        shield.takeSendGrant(g.grant, nowMs), isMore = true;
      }
      auto made = shield.output();
      for (auto& f : made.fetches)
        fetches.push_back(std::move(f)), isMore = true;
      for (auto& r : made.sendRequests)
        edge.takeSendRequest(r.to, r.request), isMore = true;
      for (auto& r : made.replies)
        edge.takeReply(r.to, r.reply, nowMs), isMore = true;
    }
  }
  auto end(upstream::Fetched fetched, int64_t nowMs) -> void {
    shield.takeFetched(fetched, nowMs);
    step(nowMs);
  }
};

/// A way for a send to an upstream to end.
struct End {
  const char* name;
  Fault fault = Fault::kNone;
  int status = 0;
  bool isNotRun = false;  // the answer says so
  auto mayHaveRun() const -> bool { return !(fault == Fault::kNotSent || isNotRun || status == 421); }
  auto fetched(const upstream::Fetch& fetch) const -> upstream::Fetched {
    upstream::Fetched f;
    f.id = fetch.id, f.fault = fault, f.status = status, f.tookMs = 20;
    f.isUntouched = fault == Fault::kNotSent;
    if (fault != Fault::kNone) return f;
    f.headers = {{"Try", fetch.tryId}, {"Seal", "s"}};
    if (isNotRun) f.headers.emplace_back("Not-Ran", "1");
    f.body = "body";
    return f;
  }
};

struct Row {
  End end;
  bool readGoesAgain;
  int readStatus;  // when every try ends so
  bool writeGoesAgain;
  int writeStatus;
};

const std::vector<Row> kRows = {
    {{"refused, connect timeout, or reset before a byte left", Fault::kNotSent}, true, 503, true, 503},
    {{"reset or closed after a byte left, with no answer", Fault::kLost}, true, 502, false, 504},
    {{"an answer that is cut, malformed, without its seal", Fault::kNotWhole}, true, 502, false, 502},
    {{"an answer to another request", Fault::kMixed}, true, 502, false, 502},
    {{"an answer that is too large", Fault::kTooLarge}, false, 502, false, 502},
    {{"silence to the timeout", Fault::kTimeout}, true, 504, false, 504},
    {{"503, not run", Fault::kNone, 503, true}, true, 503, true, 503},
    {{"429, not run", Fault::kNone, 429, true}, true, 503, true, 503},
    {{"400, not run", Fault::kNone, 400, true}, true, 503, true, 503},
    {{"421", Fault::kNone, 421}, true, 503, true, 503},
    {{"421, not run", Fault::kNone, 421, true}, true, 503, true, 503},
    {{"503 that does not say that it has not run", Fault::kNone, 503}, true, 503, false, 504},
    {{"429 that does not say so", Fault::kNone, 429}, false, 429, false, 504},
    {{"408 that does not say so", Fault::kNone, 408}, false, 408, false, 504},
    {{"500", Fault::kNone, 500}, true, 500, false, 500},
    {{"the upstream's own 504", Fault::kNone, 504}, false, 504, false, 504},
    {{"404", Fault::kNone, 404}, false, 404, false, 404},
    {{"200", Fault::kNone, 200}, false, 200, false, 200},
};
}  // namespace

TEST_CASE("Each way a send to an upstream can end: whether it goes again, and what the caller gets") {
  for (const auto& row : kRows)
    for (auto isWrite : {false, true}) {
      Node n;
      n.ask(isWrite ? "POST" : "GET", isWrite ? "/pay/1" : "/list/1");
      REQUIRE(n.fetches.size() == 1);
      INFO(row.end.name << (isWrite ? ", not repeatable" : ", repeatable"));
      CHECK(n.fetches[0].isWrite == isWrite);
      n.end(row.end.fetched(n.fetches[0]), kStartMs + 20);
      CHECK((n.fetches.size() > 1) == (isWrite ? row.writeGoesAgain : row.readGoesAgain));
      for (size_t i = 1; i < n.fetches.size() && i < 20; ++i) {
        CHECK(header(n.fetches[i].headers, "Meant") != header(n.fetches[i - 1].headers, "Meant"));
        n.end(row.end.fetched(n.fetches[i]), kStartMs + 20 + static_cast<int64_t>(i));
      }
      REQUIRE(n.answers.size() == 1);
      const auto& answer = n.answers[0].answer;
      CHECK(answer.status == (isWrite ? row.writeStatus : row.readStatus));
      // The seal goes with the status that the upstream gave, or not at all.
      if (has(answer.headers, "Seal")) CHECK(answer.status == row.end.status);
      if (isPromise(answer.status) && !has(answer.headers, "Seal")) CHECK(has(answer.headers, "Retry-After"));
      if (row.end.fault == Fault::kNone && answer.status == row.end.status && !row.end.isNotRun && answer.status != 421)
        CHECK((has(answer.headers, "Seal") && answer.body == "body"));
    }
}

TEST_CASE("In all sequences of ends a write runs once at most, and is called not run only if it was not") {
  constexpr int kLength = 4;
  std::vector<End> ends;
  for (const auto& row : kRows)
    ends.push_back(row.end);
  auto count = static_cast<int64_t>(std::pow(ends.size(), kLength)), played = int64_t{0};
  std::vector<std::string> failures;
  for (int64_t number = 0; number < count; ++number) {
    Node n;
    n.ask("POST", "/pay/1");
    auto rest = number;
    auto runs = 0;
    std::string told;
    size_t at = 0;
    for (; at < n.fetches.size() && at < kLength; ++at, rest /= static_cast<int64_t>(ends.size())) {
      const auto& end = ends[static_cast<size_t>(rest) % ends.size()];
      runs += end.mayHaveRun();
      told += std::string(end.name) + "; ";
      n.end(end.fetched(n.fetches[at]), kStartMs + 10 * static_cast<int64_t>(at));
    }
    // What is left of the number has not been used: other numbers with the same beginning are the same sequence.
    if (rest != 0) continue;
    ++played;
    if (runs > 1) failures.push_back(told + "ran twice");
    if (runs > 0 && at < n.fetches.size()) failures.push_back(told + "sent on after it may have run");
    if (n.answers.size() > 1) failures.push_back(told + "two answers");
    if (runs > 0 && n.answers.size() == 1 && isPromise(n.answers[0].answer.status))
      failures.push_back(told + "called not run");
    if (runs > 0 && n.answers.empty()) failures.push_back(told + "no answer");
  }
  CHECK(played > 500);
  CHECK(failures.empty());
}

TEST_CASE("A process frozen past the deadline sends nothing more, and a late answer is nobody's") {
  for (auto isWrite : {false, true})
    for (auto fault : {Fault::kNotSent, Fault::kLost, Fault::kTimeout, Fault::kNone}) {
      Node n;
      n.ask(isWrite ? "POST" : "GET", isWrite ? "/pay/1" : "/list/1");
      auto lateMs = kStartMs + kDeadlineMs + 5000;
      End end{"late", fault, fault == Fault::kNone ? 200 : 0};
      SECTION(std::string("the deadline is looked at first") + (isWrite ? ", write " : ", read ") +
              std::to_string(static_cast<int>(fault))) {
        n.edge.tick(lateMs);
        n.step(lateMs);
        REQUIRE(n.answers.size() == 1);
        CHECK(n.answers[0].answer.status == 504);
        n.end(end.fetched(n.fetches[0]), lateMs);
        CHECK(n.answers.size() == 1);
        CHECK(n.fetches.size() == 1);
      }
      SECTION(std::string("the send's end is looked at first") + (isWrite ? ", write " : ", read ") +
              std::to_string(static_cast<int>(fault))) {
        n.end(end.fetched(n.fetches[0]), lateMs);
        CHECK(n.fetches.size() == 1);
        n.edge.tick(lateMs);
        n.step(lateMs);
        REQUIRE(n.answers.size() == 1);
        if (isWrite && end.mayHaveRun()) CHECK_FALSE(isPromise(n.answers[0].answer.status));
        if (fault == Fault::kNotSent) CHECK(n.answers[0].answer.status == 503);
      }
    }
}

TEST_CASE("A service's request whose time is over goes to no second upstream, and is called untouched") {
  auto frame = frameOf({"e1"});
  frame->services["shop"] = {};
  for (const auto* name : {"a1", "a2"})
    frame->upstreams[name] = {
        "shop", std::string("127.0.0.1:4") + name[1], "north", core::UpstreamKind::kApplication, 8, false, false};
  upstream::Shield shield(Node::shieldProps(1000));
  shield.takeFrame({frame, 0}, 0);
  shield.takeFrame({frame, kStartMs}, kStartMs);
  neighbour::Ask ask;
  ask.id = 7, ask.service = "shop", ask.kind = core::UpstreamKind::kApplication;
  ask.method = "POST", ask.target = "/buy", ask.remainingMs = kDeadlineMs, ask.isWrite = true;
  shield.take("at-e2", ask, kStartMs);
  auto first = shield.output();
  REQUIRE(first.fetches.size() == 1);
  shield.takeFetched(End{"refused", Fault::kNotSent}.fetched(first.fetches[0]), kStartMs + kDeadlineMs + 5000);
  auto out = shield.output();
  CHECK(out.fetches.empty());
  REQUIRE(out.replies.size() == 1);
  CHECK(out.replies[0].reply.code == caller::kDeadline);
  CHECK(out.replies[0].reply.isUntouched);
}

TEST_CASE("A resend by the library counts as an extra try") {
  Node n(2);
  for (auto target : {"/list/1", "/list/2"}) {
    n.ask("GET", target);
    auto fetched = End{"whole", Fault::kNone, 200}.fetched(n.fetches.back());
    fetched.sends = 2;
    n.end(fetched, kStartMs + 20);
  }
  REQUIRE(n.answers.size() == 2);
  n.ask("GET", "/list/3");
  auto before = n.fetches.size();
  n.end(End{"lost", Fault::kLost}.fetched(n.fetches.back()), kStartMs + 20);
  CHECK(n.fetches.size() == before);  // the allowance of two is used up
}

TEST_CASE("What a client sends under this system's own names does not go along") {
  Node n;
  n.ask("POST", "/pay/1", "id-1", {{"mEANT", "t9"}, {"Left", "5"}, {"Other", "kept"}});
  REQUIRE(n.fetches.size() == 1);
  const auto& headers = n.fetches[0].headers;
  for (const auto* name : {"meant", "left", "other"}) {
    INFO(name);
    CHECK(std::count_if(headers.begin(), headers.end(),
                        [&](const auto& h) { return caller::lower(h.first) == name; }) == 1);
  }
  CHECK(header(headers, "Meant")[0] == 't');
  CHECK(header(headers, "Meant") != "t9");
}

// ---- node to node ------------------------------------------------------------------------------------------

namespace {
/// An edge whose requests other nodes fetch, and what each of them may have done with its ask.
struct Asker {
  enum class State { kOpen, kSurelyNotRun, kOver };
  struct Asked {
    std::string to;
    neighbour::Ask ask;
    State state = State::kOpen;
  };
  Edge edge{edgeProps("e0")};
  std::vector<Asked> asked;
  std::vector<Edge::Output::Answered> answers;
  std::vector<std::string> failures;
  bool isWrite;

  explicit Asker(bool isWrite) : isWrite(isWrite) {
    auto frame = frameOf({"e1", "e2", "e3", "e4"});
    edge.takeFrame({frame, 0}, 0);
    edge.takeFrame({frame, kStartMs}, kStartMs);
    edge.take(requestOf(isWrite ? "POST" : "GET", isWrite ? "/pay/1" : "/list/1", "id-1"), kStartMs);
    step();
  }
  auto isOpen() const -> bool {
    return std::any_of(asked.begin(), asked.end(), [](const auto& one) { return one.state == State::kOpen; });
  }
  auto step() -> void {
    auto out = edge.output();
    for (auto& a : out.asks) {
      if (isWrite && isOpen()) failures.push_back("handed to " + a.to + " while another node may run it");
      asked.push_back({a.to, std::move(a.ask)});
    }
    for (auto& a : out.answers) {
      if (isWrite && isPromise(a.answer.status) && isOpen()) failures.push_back("called not run while it may run");
      answers.push_back(std::move(a));
    }
    if (answers.size() > 1) failures.push_back("answered twice");
  }
  auto reply(size_t at, uint32_t code, bool isUntouched, int64_t nowMs = kStartMs + 10) -> void {
    auto& one = asked.at(at);
    neighbour::Reply r;
    r.id = one.ask.id, r.life = one.ask.life, r.attempt = one.ask.attempt;
    r.code = code, r.isUntouched = isUntouched, r.sends = isUntouched ? 0 : 1;
    if (code == caller::kOk) r.status = 200, r.headers = {{"Seal", "s"}}, r.body = "body";
    if (one.state == State::kOpen) one.state = isUntouched && code != caller::kOk ? State::kSurelyNotRun : State::kOver;
    edge.takeReply(one.to, r, nowMs);
    step();
  }
  auto unsent() -> void {
    asked.back().state = State::kSurelyNotRun;
    edge.unsent(asked.back().ask, kStartMs + 10);
    step();
  }
  auto lost(size_t at) -> void {
    edge.lost(asked.at(at).to, kStartMs + 10);
    step();
  }
  auto tick(int64_t nowMs) -> void {
    edge.tick(nowMs);
    step();
  }
  auto status() const -> int { return answers.size() == 1 ? answers[0].answer.status : 0; }
};
}  // namespace

TEST_CASE("A read that ran once and was then turned away is not promised that it has not run") {
  Node n;
  n.ask("GET", "/list/1");
  REQUIRE(n.fetches.size() == 1);
  n.end(End{"lost", Fault::kLost}.fetched(n.fetches[0]), kStartMs + 20);
  REQUIRE(n.fetches.size() == 2);
  for (size_t i = 1; i < n.fetches.size() && i < 20; ++i)
    n.end(End{"503, not run", Fault::kNone, 503, true}.fetched(n.fetches[i]), kStartMs + 30 + static_cast<int64_t>(i));
  REQUIRE(n.answers.size() == 1);
  CHECK(n.answers[0].answer.status == 502);
}

TEST_CASE("Each way a hand-over to another node can end: whether it goes again, and what the caller gets") {
  auto late = kStartMs + kDeadlineMs + 1;
  for (auto isWrite : {false, true}) {
    INFO((isWrite ? "not repeatable" : "repeatable"));
    {
      INFO("it did not leave: the next node, in the end 503");
      Asker a(isWrite);
      while (a.answers.empty() && a.asked.size() < 9)
        a.unsent();
      CHECK(a.asked.size() > 1);
      CHECK(a.status() == 503);
    }
    for (auto code : {caller::kNotCurrent, caller::kShieldFull, caller::kOriginRate, caller::kEmptying}) {
      INFO("refused untouched with " << code << ": the next node, in the end 503");
      Asker a(isWrite);
      for (size_t i = 0; i < a.asked.size() && i < 9; ++i)
        a.reply(i, code, true);
      CHECK(a.asked.size() > 1);
      CHECK(a.status() == 503);
    }
    {
      INFO("no upstream can take it: no other node, 503");
      Asker a(isWrite);
      a.reply(0, caller::kNoUpstream, true);
      CHECK(a.asked.size() == 1);
      CHECK(a.status() == 503);
    }
    for (auto code : {caller::kUpstreamLost, caller::kNoUpstream, caller::kNotCurrent}) {
      INFO("it failed there after a byte left, with " << code);
      Asker a(isWrite);
      a.reply(0, code, false);
      CHECK(a.asked.size() == 1);
      CHECK(a.status() == (isWrite ? 504 : 502));
    }
    {
      INFO("the connection to the node is lost");
      Asker a(isWrite);
      a.lost(0);
      CHECK(a.asked.size() == (isWrite ? 1u : 2u));
      CHECK(a.status() == (isWrite ? 504 : 0));
    }
    {
      INFO("silence to the deadline, then a late answer");
      Asker a(isWrite);
      a.tick(late);
      CHECK(a.status() == 504);
      a.reply(0, caller::kOk, false, late + 1);
      CHECK(a.answers.size() == 1);
    }
    {
      INFO("an answer that comes twice");
      Asker a(isWrite);
      a.reply(0, caller::kOk, false);
      a.reply(0, caller::kOk, false);
      CHECK(a.status() == 200);
    }
    {
      INFO("an answer to an earlier life of this process, or to an id that was never given");
      Asker a(isWrite);
      for (auto isId : {false, true}) {
        neighbour::Reply r;
        r.id = a.asked[0].ask.id + (isId ? 1ull << 32 : 0);
        r.life = a.asked[0].ask.life + (isId ? 0 : 1);
        r.status = 200;
        a.edge.takeReply(a.asked[0].to, r, kStartMs + 10);
        a.step();
      }
      CHECK(a.answers.empty());
      a.reply(0, caller::kOk, false);
      CHECK(a.status() == 200);
    }
  }
}

TEST_CASE("A refusal that comes twice ends nothing that is under way elsewhere") {
  for (auto isWrite : {false, true}) {
    Asker a(isWrite);
    a.reply(0, caller::kNotCurrent, true);
    REQUIRE(a.asked.size() == 2);
    a.reply(0, caller::kNotCurrent, true);
    CHECK(a.asked.size() == 2);
    CHECK(a.answers.empty());
    a.reply(0, caller::kNoUpstream, true);
    CHECK(a.answers.empty());
    CHECK(a.failures.empty());
    a.reply(1, caller::kOk, false);
    CHECK(a.status() == 200);
  }
}

TEST_CASE("In all orders of replies, repeated replies, lost connections and silence a write is handed on once") {
  constexpr int kLength = 5, kKinds = 9;
  auto count = static_cast<int>(std::pow(kKinds, kLength));
  std::vector<std::string> failures;
  for (int number = 0; number < count; ++number) {
    Asker a(true);
    auto rest = number;
    std::string told;
    for (int i = 0; i < kLength; ++i, rest /= kKinds) {
      auto last = a.asked.size() - 1;
      told += std::to_string(rest % kKinds) + " ";
      switch (rest % kKinds) {
        case 0:
          a.reply(last, caller::kNotCurrent, true);
          break;
        case 1:
          a.reply(0, caller::kNotCurrent, true);
          break;  // again, unless it is the first
        case 2:
          a.reply(last, caller::kNoUpstream, true);
          break;
        case 3:
          a.reply(last, caller::kUpstreamLost, false);
          break;
        case 4:
          a.reply(last, caller::kOk, false);
          break;
        case 5:
          a.lost(last);
          break;
        case 6:
          a.lost(0);
          break;
        case 7:
          if (a.answers.empty() && a.asked.back().state == Asker::State::kOpen) a.unsent();
          break;
        case 8:
          a.tick(kStartMs + kDeadlineMs + 1);
          break;
      }
    }
    for (const auto& failure : a.failures)
      failures.push_back(told + failure);
    if (failures.size() > 5) break;
  }
  CHECK(failures.empty());
}

// ---- agent to registry, edge to agent ----------------------------------------------------------------------

TEST_CASE("News answers a question that is open, by that question's own age: not twice, not one of an earlier life") {
  agent::Follower follower("e1", 400, 1000);
  core::Member member{"proxy", "north", "at-e1", "", 1};
  follower.be(member);
  const std::vector<std::string> targets = {"r1", "r2"};
  auto ask = [&](int64_t nowMs) {
    auto asked = follower.tick(targets, 2, {}, nowMs);
    REQUIRE(asked);
    return asked->second.nonce;
  };
  auto feedFor = [](uint64_t nonce, uint64_t configuration) {
    neighbour::Feed feed;
    feed.nonce = nonce, feed.isMember = true;
    core::Frame frame;
    frame.revision = {configuration, 0, 0, 0};
    feed.news = core::newsSince(frame, {});
    return feed;
  };
  auto first = ask(kStartMs);
  auto second = ask(kStartMs + 500);  // the first is taken for lost
  REQUIRE(second != first);
  // A late answer to the first still brings news, but it counts from when the first was asked.
  CHECK(follower.take(feedFor(first, 1), kStartMs + 510));
  CHECK(follower.held().asOfMs == kStartMs);
  CHECK_FALSE(follower.take(feedFor(first, 9), kStartMs + 515));  // not twice
  CHECK(follower.held().frame->revision.configuration == 1);
  CHECK(follower.take(feedFor(second, 2), kStartMs + 520));
  auto asOfMs = follower.held().asOfMs;
  CHECK(asOfMs == kStartMs + 500);
  CHECK_FALSE(follower.take(feedFor(second, 9), kStartMs + 900));
  CHECK_FALSE(follower.take(feedFor(second + 1, 9), kStartMs + 900));  // never asked
  CHECK(follower.held().asOfMs == asOfMs);
  CHECK(follower.held().frame->revision.configuration == 2);
  agent::Follower later("e1", 400, 2000);
  later.be(member);
  REQUIRE(later.tick(targets, 2, {}, kStartMs + 1000));
  CHECK_FALSE(later.take(feedFor(second, 9), kStartMs + 1010));
}

TEST_CASE("A request on a connection has one answer; a second one is not written") {
  int fds[2];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, fds) == 0);
  disk::Fd ours(fds[0]), callers(fds[1]);
  caller::Stream stream(ours.get());
  auto received = [&] {
    char buffer[4096];
    auto n = ::recv(callers.get(), buffer, sizeof buffer, MSG_DONTWAIT);
    return n > 0 ? std::string(buffer, static_cast<size_t>(n)) : std::string();
  };
  stream.answer({200, {}, "too early"}, "GET", true);
  CHECK(received().empty());  // no request waits
  stream.isOpen.store(true);
  stream.answer({200, {}, "first"}, "GET", true);
  stream.answer({503, {}, "second"}, "GET", true);
  auto bytes = received();
  CHECK(bytes.find("first") != std::string::npos);
  CHECK(bytes.find("second") == std::string::npos);
}

// ---- shared copies -----------------------------------------------------------------------------------------

TEST_CASE("A shared copy bears the id of the request that it answers, and its seal only with its status") {
  Node n;
  n.ask("GET", "/covers/1", "id-1");
  n.ask("GET", "/covers/1", "id-2");  // joins the first
  REQUIRE(n.fetches.size() == 1);
  n.end(End{"whole", Fault::kNone, 200}.fetched(n.fetches[0]), kStartMs + 20);
  n.ask("GET", "/covers/1", "id-3", {}, kStartMs + 30);  // from the cache
  n.ask("GET", "/covers/1", "id-4", {{"Range", "bytes=1-2"}}, kStartMs + 30);
  n.ask("GET", "/covers/1", "id-5", {{"Range", "bytes=99-"}}, kStartMs + 30);
  // Past the end of the copy: only an upstream can say so, and its seal goes with its own status.
  REQUIRE(n.fetches.size() == 2);
  n.end(End{"past the end", Fault::kNone, 416}.fetched(n.fetches[1]), kStartMs + 40);
  REQUIRE(n.answers.size() == 5);
  std::vector<std::string> ids;
  for (const auto& a : n.answers)
    ids.push_back(header(a.answer.headers, "Try"));
  std::sort(ids.begin(), ids.end());
  CHECK(ids == std::vector<std::string>{"id-1", "id-2", "id-3", "id-4", "id-5"});
  for (const auto& a : n.answers) {
    CHECK(std::count_if(a.answer.headers.begin(), a.answer.headers.end(),
                        [](const auto& h) { return caller::lower(h.first) == "try"; }) == 1);
    auto isRange = header(a.answer.headers, "Try") >= "id-4";
    CHECK(a.answer.status == (!isRange ? 200 : header(a.answer.headers, "Try") == "id-4" ? 206 : 416));
    CHECK(has(a.answer.headers, "Seal"));
  }
}

// ---- bytes -------------------------------------------------------------------------------------------------

namespace {
auto listenAt(int backlog) -> std::pair<disk::Fd, std::string> {
  disk::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in at{};
  at.sin_family = AF_INET;
  ::inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
  REQUIRE(::bind(fd.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
  REQUIRE(::listen(fd.get(), backlog) == 0);
  socklen_t size = sizeof at;
  ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&at), &size);
  return {std::move(fd), "127.0.0.1:" + std::to_string(ntohs(at.sin_port))};
}

auto connectTo(const std::string& address, bool waits = true) -> disk::Fd {
  disk::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | (waits ? 0 : SOCK_NONBLOCK), 0));
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
  ::inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
  (void)!::connect(fd.get(), reinterpret_cast<sockaddr*>(&to), sizeof to);
  timeval limit{20, 0};
  ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  return fd;
}

auto reset(disk::Fd fd) -> void {
  linger now{1, 0};
  ::setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

auto readHead(const disk::Fd& fd) -> std::string {
  std::string head;
  char byte = 0;
  while (head.find("\r\n\r\n") == std::string::npos && ::recv(fd.get(), &byte, 1, 0) == 1)
    head += byte;
  return head;
}

auto sendAll(const disk::Fd& fd, const std::string& bytes) -> void {
  (void)!::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

auto answerTo(const std::string& tryId) -> std::string {
  return "HTTP/1.1 200 OK\r\nTry: " + tryId + "\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";
}

auto sleepMs(int64_t ms) -> void {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

auto fetchOf(const std::string& address, bool isWrite, const std::string& tryId = "id-1") -> upstream::Fetch {
  upstream::Fetch f;
  f.address = address;
  f.method = isWrite ? "POST" : "GET";
  f.isWrite = isWrite;
  f.headers = {{"Try", tryId}};
  f.tryHeader = "Try", f.tryId = tryId, f.sealHeader = "Seal";
  f.timeoutMs = 10000, f.connectMs = 10000;
  return f;
}

auto finish(upstream::Fetcher& fetcher) -> upstream::Fetched {
  std::vector<pollfd> none;
  for (auto untilMs = neighbour::steadyMs() + 20000; neighbour::steadyMs() < untilMs;)
    for (auto& one : fetcher.run(none, 20))
      return std::move(one);
  FAIL("it does not end");
  return {};
}

/// Serves connections one after the other, each by a function of its own.
struct Server {
  using Serve = std::function<void(disk::Fd)>;
  Server(const Server&) = delete;
  auto operator=(const Server&) -> Server& = delete;
  explicit Server(std::vector<Serve> serves) {
    auto [fd, at] = listenAt(16);
    listening = std::move(fd), address = at;
    loop = std::thread([this, serves] {
      for (const auto& serve : serves) {
        disk::Fd one(::accept(listening.get(), nullptr, nullptr));
        if (!one) return;
        timeval limit{20, 0};
        ::setsockopt(one.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        serve(std::move(one));
        ++served;
      }
    });
  }
  ~Server() {
    ::shutdown(listening.get(), SHUT_RDWR);
    loop.join();
  }
  disk::Fd listening;
  std::string address;
  std::atomic<int> served{0};
  std::thread loop;
};
}  // namespace

TEST_CASE("Surely nothing has left only if no byte of the request has") {
  for (auto isWrite : {false, true}) {
    INFO((isWrite ? "write" : "read"));
    {
      INFO("refused");
      auto at = listenAt(1).second;  // closed again at once
      upstream::Fetcher fetcher;
      fetcher.start(fetchOf(at, isWrite));
      auto ended = finish(fetcher);
      CHECK(ended.fault == Fault::kNotSent);
      CHECK(ended.isUntouched);
      CHECK(ended.sends == 0);
    }
    {
      INFO("the connection does not come up");
      auto [listening, at] = listenAt(0);
      std::vector<disk::Fd> full;
      for (int i = 0; i < 3; ++i)
        full.push_back(connectTo(at, false));
      upstream::Fetcher fetcher;
      auto f = fetchOf(at, isWrite);
      f.connectMs = 100;
      fetcher.start(f);
      auto ended = finish(fetcher);
      CHECK(ended.fault == Fault::kNotSent);
      CHECK(ended.isUntouched);
    }
    {
      INFO("reset before a byte left");
      // The handshake ends while the process does not look: the first packet finds no room, and is sent again in 1 s.
      auto [listening, at] = listenAt(0);
      auto filler = connectTo(at);
      upstream::Fetcher fetcher;
      auto f = fetchOf(at, isWrite);
      fetcher.start(f);
      std::vector<pollfd> none;
      fetcher.run(none, 0);
      ::close(::accept(listening.get(), nullptr, nullptr));  // the filler's
      reset(disk::Fd(::accept(listening.get(), nullptr, nullptr)));
      auto ended = finish(fetcher);
      CHECK(ended.fault == Fault::kNotSent);
      CHECK(ended.isUntouched);
    }
    {
      INFO("frozen past its time before a byte left");
      auto [listening, at] = listenAt(4);
      upstream::Fetcher fetcher;
      auto f = fetchOf(at, isWrite);
      f.timeoutMs = 30;
      fetcher.start(f);
      sleepMs(60);
      auto ended = finish(fetcher);
      CHECK(ended.fault == Fault::kNotSent);
      CHECK(ended.isUntouched);
      CHECK(ended.sends == 0);
    }
  }
}

TEST_CASE("Once a byte has left nothing is called untouched, however the send ends") {
  struct Way {
    const char* name;
    Server::Serve serve;
    Fault fault;
    size_t bodyBytes = 0;
    int64_t timeoutMs = 10000;
  };
  std::vector<Way> ways = {
      {"reset", [](disk::Fd fd) { readHead(fd), reset(std::move(fd)); }, Fault::kLost},
      {"closed", [](disk::Fd fd) { readHead(fd); }, Fault::kLost},
      {"half a head", [](disk::Fd fd) { readHead(fd), sendAll(fd, "HTTP/1.1 200 OK\r\nTr"); }, Fault::kNotWhole},
      {"half a body", [](disk::Fd fd) { readHead(fd), sendAll(fd, answerTo("id-1").erase(58)); }, Fault::kNotWhole},
      {"no HTTP", [](disk::Fd fd) { readHead(fd), sendAll(fd, "\x01\x02garbage\r\n\r\n"); }, Fault::kNotWhole},
      {"another request's answer", [](disk::Fd fd) { readHead(fd), sendAll(fd, answerTo("id-0")); }, Fault::kMixed},
      {"silence",
       [](disk::Fd fd) {
         readHead(fd);
         char byte = 0;
         (void)!::recv(fd.get(), &byte, 1, 0);
       },
       Fault::kTimeout, 0, 100},
      {"a part of the body was read, then reset", [](disk::Fd fd) { readHead(fd), reset(std::move(fd)); }, Fault::kLost,
       8u << 20},
  };
  for (const auto& way : ways)
    for (auto isWrite : {false, true}) {
      if (!isWrite && way.bodyBytes > 0) continue;
      INFO(way.name << (isWrite ? ", write" : ", read"));
      auto seen = std::make_shared<std::atomic<int>>(0);
      Server server(std::vector<Server::Serve>(3, [&way, seen](disk::Fd fd) {
        ++*seen;
        way.serve(std::move(fd));
      }));
      upstream::Fetcher fetcher;
      auto f = fetchOf(server.address, isWrite);
      f.body = std::string(way.bodyBytes, 'x');
      f.timeoutMs = way.timeoutMs;
      fetcher.start(f);
      auto ended = finish(fetcher);
      CHECK(static_cast<int>(ended.fault) == static_cast<int>(way.fault));
      CHECK_FALSE(ended.isUntouched);
      CHECK(ended.sends == 1);
      CHECK(*seen == 1);
    }
}

TEST_CASE("A write never rides on a kept connection, and leaves none") {
  // Each connection is answered once and stays open; what comes on it after that is not read.
  std::vector<disk::Fd> open;
  auto answersOnce = [&open](disk::Fd fd) {
    readHead(fd);
    sendAll(fd, answerTo("id-1"));
    open.push_back(std::move(fd));
  };
  Server server({answersOnce, answersOnce});
  upstream::Fetcher fetcher;
  auto run = [&](bool isWrite) {
    auto f = fetchOf(server.address, isWrite);
    f.timeoutMs = 2000;
    fetcher.start(f);
    return finish(fetcher);
  };
  CHECK(run(false).fault == Fault::kNone);
  auto write = run(true);
  CHECK(write.fault == Fault::kNone);
  CHECK(write.sends == 1);
  for (auto untilMs = neighbour::steadyMs() + 2000; server.served < 2 && neighbour::steadyMs() < untilMs;)
    sleepMs(1);
  REQUIRE(server.served == 2);
  char byte = 0;
  CHECK(::recv(open[0].get(), &byte, 1, MSG_DONTWAIT) < 0);  // the read's is kept: neither bytes nor an end
  pollfd ended{open[1].get(), POLLIN, 0};
  CHECK(::poll(&ended, 1, 2000) == 1);
  CHECK(::recv(open[1].get(), &byte, 1, MSG_DONTWAIT) == 0);  // the write's has ended
}

TEST_CASE("An answer after the timeout is nobody's: its connection is not used again") {
  std::atomic<bool> isLate{false};
  Server server({[&](disk::Fd fd) {
                   readHead(fd);
                   while (!isLate)
                     sleepMs(1);
                   sendAll(fd, answerTo("id-1"));
                   CHECK(readHead(fd).empty());
                 },
                 [](disk::Fd fd) {
                   auto head = readHead(fd);
                   sendAll(fd, answerTo("id-2"));
                   readHead(fd);
                 }});
  upstream::Fetcher fetcher;
  auto f = fetchOf(server.address, false);
  f.timeoutMs = 50;
  fetcher.start(f);
  CHECK(finish(fetcher).fault == Fault::kTimeout);
  isLate = true;
  fetcher.start(fetchOf(server.address, false, "id-2"));
  auto next = finish(fetcher);
  CHECK(next.fault == Fault::kNone);
  CHECK(header(next.headers, "Try") == "id-2");
}

TEST_CASE("What has been queued for another thread is not called unqueued") {
  neighbour::Inbox<int> inbox(4);
  uint64_t most = 0xfffffffffffffffe;  // the descriptor takes no more wake-ups
  REQUIRE(::write(inbox.fd(), &most, sizeof most) == sizeof most);
  // Whoever is told false answers the request itself: it must not be taken by the other thread as well.
  CHECK(inbox.push(7));
  CHECK(inbox.take() == std::vector<int>{7});
}

TEST_CASE("A connection is not ended before the time that its caller was told") {
  neighbour::Inbox<caller::Request> inbox(16);
  caller::Face face({"127.0.0.1", 0, 1, 1 << 16}, [&](caller::Request r) { inbox.push(std::move(r)); });
  auto exchange = [&](const disk::Fd& fd) -> std::string {
    sendAll(fd, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    for (auto untilMs = neighbour::steadyMs() + 5000; neighbour::steadyMs() < untilMs;) {
      pollfd ready[] = {{inbox.fd(), POLLIN, 0}, {fd.get(), POLLIN, 0}};
      ::poll(ready, 2, 50);
      for (auto& r : inbox.take())
        r.stream->answer({204, {}, ""}, r.method, r.keep);
      if (ready[1].revents) return readHead(fd);
    }
    return "";
  };
  auto limit = [&](int64_t idleMs) { face.limit(1 << 14, 1 << 16, 1000, idleMs); };
  limit(kIdleMs);
  auto fd = connectTo("127.0.0.1:" + std::to_string(face.port()));
  CHECK(exchange(fd).find("Keep-Alive: timeout=2") != std::string::npos);
  limit(50);  // a new configuration
  sleepMs(80);
  limit(50);  // connections are looked at anew
  sleepMs(80);
  CHECK(exchange(fd).rfind("HTTP/1.1 204", 0) == 0);
  // It was told nothing this time: the new limit holds.
  sleepMs(80);
  limit(50);
  CHECK(readHead(fd).empty());
}
