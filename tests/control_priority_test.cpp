// Control before traffic: news of the control plane keeps its bound while links and processors are full of answers.
#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "agent/feed.hpp"

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
