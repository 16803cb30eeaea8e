// Control before traffic: news of the control plane keeps its bound while links and processors are full of answers.
#include <catch2/catch.hpp>

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "agent/feed.hpp"
#include "caller/codes.hpp"
#include "caller/face.hpp"
#include "policy/link_share.hpp"
#include "upstream/reply_queue.hpp"

using namespace dykestage;

namespace {
constexpr int64_t kBoundMs = 2000;
constexpr int64_t kAnswerMs = kBoundMs / 5;
constexpr int64_t kHoldMs = kBoundMs / 10;

auto frameAt(uint64_t configuration) -> core::Frame {
  core::Frame frame;
  frame.members["edge-1"] = {"proxy", "north", "10.0.0.1:1", "", 3};
  frame.revision = {configuration, 0, 1, 1};
  return frame;
}

/// One follower and its givers, joined by a link on which each letter waits for `delayMs`, in virtual time.
class CongestedLink {
 public:
  explicit CongestedLink(int64_t delayMs) : delayMs_(delayMs) { follower_.be(frame_.members.at("edge-1")); }

  /// Runs until `untilMs`; the givers have `configuration` from now on.
  auto run(uint64_t configuration, int64_t untilMs) -> void {
    frame_ = frameAt(configuration);
    for (; nowMs_ < untilMs; ++nowMs_)
      step();
  }
  auto configuration() const -> uint64_t { return follower_.held().frame->revision.configuration; }
  auto ageMs() const -> int64_t { return nowMs_ - follower_.held().asOfMs; }

 private:
  auto step() -> void {
    deliver();
    if (auto poll = follower_.tick({"r1", "r2", "r3"}, 3, {}, nowMs_))
      later([this, to = poll->first, question = poll->second] {
        givers_.try_emplace(to, kHoldMs).first->second.take("edge-1", question, nowMs_);
      });
    for (auto& [name, giver] : givers_)
      for (auto& [to, feed] : giver.give(frame_, nowMs_, nowMs_))
        later([this, answer = feed] { follower_.take(answer, nowMs_); });
  }
  auto later(std::function<void()> arrive) -> void { onTheWay_.emplace(nowMs_ + delayMs_, std::move(arrive)); }
  auto deliver() -> void {
    while (!onTheWay_.empty() && onTheWay_.begin()->first <= nowMs_) {
      auto letter = onTheWay_.extract(onTheWay_.begin());
      letter.mapped()();
    }
  }

  int64_t delayMs_, nowMs_ = 1000;
  core::Frame frame_ = frameAt(1);
  agent::Follower follower_{"edge-1", kAnswerMs, 1};
  std::map<std::string, agent::Giver> givers_;
  std::multimap<int64_t, std::function<void()>> onTheWay_;
};
}  // namespace

TEST_CASE("News is in force within the bound over a link on which every letter waits") {
  auto delayMs = GENERATE(int64_t{5}, 90, 150, 210, 350);
  CAPTURE(delayMs);
  CongestedLink link(delayMs);
  link.run(1, 1000 + kBoundMs);
  CHECK(link.configuration() == 1);
  link.run(2, 1000 + 2 * kBoundMs);
  CHECK(link.configuration() == 2);
  // Known to be current: a round trip, the wait at the giver and the next question's way.
  CHECK(link.ageMs() <= 4 * delayMs + kHoldMs + kAnswerMs);
}

namespace {
constexpr double kLinkBytesPerMs = 1000;
constexpr size_t kAnswerBytes = 20000;

auto shareOf(double bytesPerS, double burstBytes) -> std::shared_ptr<policy::LinkShare> {
  return std::make_shared<policy::LinkShare>(policy::LinkShare::Props{bytesPerS, burstBytes});
}

/// A reply that brings a kept object.
auto objectReply(uint64_t id) -> neighbour::Reply {
  neighbour::Reply reply;
  reply.id = id;
  reply.status = 200;
  reply.keepMs = 5000;
  reply.body = std::string(kAnswerBytes, 'x');
  return reply;
}

auto replyIn(const std::string& body) -> neighbour::Reply {
  Reader reader(body);
  return reader.get<neighbour::Reply>();
}

/// A link that sends what it is given in the order in which it comes, in virtual time.
class FifoLink {
 public:
  auto put(size_t bytes, int64_t nowMs) -> void {
    auto startMs = std::max(freeAtMs_, static_cast<double>(nowMs));
    freeAtMs_ = startMs + static_cast<double>(bytes) / kLinkBytesPerMs;
  }
  /// How long a letter that is written now waits for what was written before it.
  auto waitMs(int64_t nowMs) const -> double { return std::max(0.0, freeAtMs_ - static_cast<double>(nowMs)); }

 private:
  double freeAtMs_ = 0;
};

/// The longest that a heartbeat waits while 200 objects are asked for at once.
auto longestWaitMs(std::shared_ptr<policy::LinkShare> share) -> double {
  FifoLink link;
  upstream::ReplyQueue replies({60000, std::move(share)});
  for (uint64_t id = 1; id <= 200; ++id)
    replies.add("edge-2", objectReply(id), 0);
  auto longestMs = 0.0;
  for (int64_t nowMs = 0; nowMs < 10000; ++nowMs) {
    replies.flush({[](const std::string&) { return true; },
                   [&](const std::string&, const std::string& body) {
                     link.put(body.size(), nowMs);
                     return true;
                   }},
                  nowMs);
    longestMs = std::max(longestMs, link.waitMs(nowMs));
  }
  CHECK(replies.isEmpty());
  return longestMs;
}

auto bytesIn(int fd) -> size_t {
  auto count = 0;
  REQUIRE(::ioctl(fd, FIONREAD, &count) == 0);
  return static_cast<size_t>(count);
}
}  // namespace

TEST_CASE("A heartbeat does not wait behind objects that other processes asked for") {
  CHECK(longestWaitMs(nullptr) > kBoundMs);
  auto burstBytes = kLinkBytesPerMs * 0.8 * static_cast<double>(kBoundMs) / 100;
  constexpr int64_t kLimitMs = kBoundMs / 20;
  CHECK(longestWaitMs(shareOf(kLinkBytesPerMs * 1000 * 0.8, burstBytes)) <= kLimitMs);
}

TEST_CASE("Over any time bulk takes its part of the link and a burst, and small answers never wait") {
  policy::LinkShare share({1000 * 100, 20000});
  size_t granted = 0;
  for (int64_t nowMs = 0; nowMs <= 1000; ++nowMs)
    granted += share.grant(50000, nowMs);
  CHECK(granted >= 100000);
  CHECK(granted <= 100000 + 20000);
  CHECK(share.grant(50000, 1000) == 0);
  CHECK_FALSE(share.admit(50000, 1000));
  CHECK(share.waitMs(1000) > 0);
  CHECK(share.admit(200, 1000));
  CHECK(share.waitMs(1000 + share.waitMs(1000)) == 0);
  CHECK(share.durationMs(100000) == 1000);
}

TEST_CASE("A process that ends hands over what it holds, whatever its part of the link") {
  auto share = shareOf(1, 1);
  upstream::ReplyQueue replies({500, share});
  auto sent = 0;
  auto flush = [&](int64_t nowMs) {
    replies.flush(
        {[](const std::string&) { return true; }, [&](const std::string&, const std::string&) { return ++sent > 0; }},
        nowMs);
  };
  replies.add("edge-2", objectReply(1), 1000);
  flush(1001);
  CHECK(sent == 0);
  share->lift();
  flush(1002);
  CHECK(sent == 1);
  CHECK(share->grant(kAnswerBytes, 1002) == kAnswerBytes);
  CHECK(share->waitMs(1002) == 0);
}

TEST_CASE("A small object does not wait behind large ones that came before it") {
  constexpr size_t kSmallBytes = 6000;
  upstream::ReplyQueue replies({60000, shareOf(kLinkBytesPerMs * 1000 * 0.8, 20000)});
  for (uint64_t id = 1; id <= 20; ++id)
    replies.add("edge-2", objectReply(id), 0);
  auto small = objectReply(21);
  small.body = std::string(kSmallBytes, 'x');
  std::vector<uint64_t> order;
  for (int64_t nowMs = 0; nowMs < 10000; ++nowMs) {
    if (nowMs == 50) replies.add("edge-2", small, nowMs);
    replies.flush({[](const std::string&) { return true; },
                   [&](const std::string&, const std::string& body) {
                     order.push_back(replyIn(body).id);
                     return true;
                   }},
                  nowMs);
  }
  REQUIRE(order.size() == 21);
  auto place = std::find(order.begin(), order.end(), 21) - order.begin();
  INFO("it left as number " << place + 1);
  CHECK(place <= 4);  // those that had left before it came
}

TEST_CASE("An object for which the link has no room is refused in time, any other reply leaves in the end") {
  upstream::ReplyQueue replies({500, shareOf(1, 1)});
  std::vector<std::string> sent;
  auto flush = [&](int64_t nowMs) {
    replies.flush({[](const std::string&) { return true; },
                   [&](const std::string&, const std::string& body) {
                     sent.push_back(body);
                     return true;
                   }},
                  nowMs);
  };
  auto result = objectReply(2);
  result.keepMs = 0;
  replies.add("edge-2", objectReply(1), 1000);
  replies.add("edge-2", result, 1000);
  flush(1499);
  CHECK(sent.empty());
  flush(1500);
  REQUIRE(sent.size() == 2);
  CHECK(replyIn(sent[0]).code == caller::kShieldFull);
  CHECK(replyIn(sent[0]).isUntouched);
  CHECK(replyIn(sent[1]).body.size() == kAnswerBytes);
  CHECK(replies.isEmpty());
}

TEST_CASE("A caller's answer is written within the answers' part of the link, a refusal at once") {
  int fds[2];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, fds) == 0);
  disk::Fd own(fds[0]), other(fds[1]);
  auto limits = std::make_shared<caller::Limits>();
  limits->link = shareOf(1, 4096);
  caller::Stream stream(own.get(), limits);
  stream.isOpen = true;
  stream.answer(caller::Answer{200, {}, std::string(kAnswerBytes, 'x')}, "GET", true);
  CHECK(bytesIn(other.get()) <= 4096 + 1);
  CHECK(stream.pending() > 0);
  CHECK_FALSE(stream.flush());

  int more[2];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, more) == 0);
  disk::Fd ownMore(more[0]), otherMore(more[1]);
  caller::Stream refused(ownMore.get(), limits);
  refused.isOpen = true;
  refused.answer(caller::codeAnswerMs(caller::kEdgeFull, 100), "GET", true);
  CHECK(bytesIn(otherMore.get()) > 0);
  CHECK(refused.pending() == 0);
}

namespace {
/// An edge of three that fetch for each other, with a route of which it has just heard.
class AheadEdge {
 public:
  AheadEdge() {
    core::Route route;
    route.host = "shop.test";
    route.prefix = "/new/";
    route.kind = core::RouteKind::kWriting;
    route.shares = {{"till", 1}};
    route.giveUpMs = 1000;
    frame_->routing.routes["new"] = route;
    frame_->routing.pools["till"] = {"/health", 110, 0};
    frame_->upstreams["t1"] = {"till", "127.0.0.1:31", "north", core::UpstreamKind::kAny, 8, false, false};
    for (const auto* name : {"e1", "e2", "e3"})
      frame_->members[name] = {"proxy", "north", std::string("at-") + name, "", 1};
    frame_->revision = {1, 0, 1, 1};
    edge_.takeFrame({frame_, 0}, 0);
  }
  /// Answers every ask with the code, as a fetcher that did nothing; returns the status that the caller gets.
  auto statusWhenAllSay(uint32_t code) -> int {
    int fds[2];
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, fds) == 0);
    disk::Fd own(fds[0]), other(fds[1]);
    caller::Request request;
    request.method = "POST", request.target = "/new/1";
    request.headers = {{"Host", "shop.test"}};
    request.stream = std::make_shared<caller::Stream>(own.get());
    edge_.take(std::move(request), 10);
    for (auto out = edge_.output();; out = edge_.output()) {
      if (!out.answers.empty()) return out.answers.front().answer.status;
      REQUIRE_FALSE(out.asks.empty());
      for (const auto& asked : out.asks) {
        asked_.push_back(asked.to);
        neighbour::Reply reply;
        reply.id = asked.ask.id;
        reply.life = asked.ask.life;
        reply.attempt = asked.ask.attempt;
        reply.code = code;
        edge_.takeReply(asked.to, reply, 20);
      }
    }
  }
  auto asked() const -> const std::vector<std::string>& { return asked_; }

 private:
  static auto propsOf() -> caller::Edge::Props {
    caller::Edge::Props props;
    props.name = "e1", props.site = "north", props.fetches = true, props.servesStale = true;
    return props;
  }
  std::shared_ptr<core::Frame> frame_ = std::make_shared<core::Frame>();
  caller::Edge edge_{propsOf()};
  std::vector<std::string> asked_;
};
}  // namespace

TEST_CASE("A node that is behind in its configuration does not make a route that is there unknown") {
  AheadEdge edge;
  CHECK(edge.statusWhenAllSay(caller::kNoService) == 503);
  CHECK(edge.asked().size() == 3);
}
