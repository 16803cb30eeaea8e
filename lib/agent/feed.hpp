// Agent: how news of the control plane travels. A follower asks with what it has; a giver answers when there
// is news, or after a while to say how old its own knowledge is. Registries, agents and proxies all use these.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "caller/edge.hpp"
#include "neighbour/messages.hpp"

namespace dykestage::agent {

/// What a data node says of itself with each question.
struct Told {
  core::Revision revision;             // that it acts on
  std::map<std::string, bool> probes;  // shields: which upstreams answer
  neighbour::Samples samples;          // edges: what rollouts are judged by
  std::vector<std::string> silent;     // agents: watched neighbours that do not answer
};

/// Holds questions and answers them. Example:
///   giver.take(letter.from, poll, nowMs);
///   for (auto& [to, feed] : giver.give(frame, asOfMs, nowMs)) post->send(to, kFeed, pack(feed));
class Giver {
 public:
  explicit Giver(int64_t holdMs) : holdMs_(holdMs) {}
  auto take(std::string from, neighbour::Poll poll, int64_t nowMs) -> void;
  /// The answers that are due. `asOfMs` is when the frame was current, on this process's steady clock.
  auto give(const core::Frame& frame, int64_t asOfMs, int64_t nowMs)
      -> std::vector<std::pair<std::string, neighbour::Feed>>;
  /// When the next question has to be answered, news or not. Example: `wait(giver.dueMs() - nowMs);`
  auto dueMs() const -> int64_t;

 private:
  struct Held {
    std::string from;
    neighbour::Poll poll;
    int64_t sinceMs;
  };
  int64_t holdMs_;
  std::vector<Held> held_;
};

/// Asks one giver after another and keeps the newest frame. A frame never slides back; its age counts from
/// the moment at which the core is known to have agreed, whatever the way took.
/// Example:
///   if (auto poll = follower.tick(targets, nowMs)) post->send(poll->first, kPoll, pack(poll->second));
///   if (follower.take(feed, nowMs)) machine.takeFrame(follower.held(), nowMs);
class Follower {
 public:
  /// `firstNonce` is of this life alone, so that an answer to an earlier life is not taken for one of its own.
  Follower(std::string name, int64_t answerMs, uint64_t firstNonce)
      : name_(std::move(name)), answerMs_(answerMs), nonce_(firstNonce) {}
  /// Who asks: a new incarnation is a new node. Example: `follower.be(member);`
  auto be(const core::Member& member) -> void { member_ = member; }
  /// The next question, when one is due. Givers are asked until one fails or knows nothing fresh; the first
  /// `preferred` of them (registries) come before the others (neighbours), and whoever follows a neighbour tries
  /// one registry now and then. Example: `follower.tick(targets, seeds.size(), told, nowMs)`
  auto tick(const std::vector<std::string>& targets, size_t preferred, const Told& told, int64_t nowMs)
      -> std::optional<std::pair<std::string, neighbour::Poll>>;
  /// The question can't have reached its target, or the target is gone: the next one is asked soon.
  /// Example: `if (!post->send(...)) follower.lost(nowMs);`
  auto lost(int64_t nowMs) -> void;
  auto isAsking() const -> bool { return isAsking_; }
  /// Takes an answer; true when the frame or its age is newer now. A late answer to an earlier question counts too:
  /// over a congested link every answer may come after its question has been repeated.
  auto take(const neighbour::Feed& feed, int64_t nowMs) -> bool;
  auto held() const -> const caller::HeldFrame& { return held_; }
  auto target() const -> const std::string& { return target_; }
  /// Where the registries are, as the last answer had it; empty: not told yet. Example: `follower.registries()`
  auto registries() const -> const std::vector<std::string>& { return registries_; }
  /// The registry for a letter's first, second ... attempt: the one that is asked for news, then the others.
  /// Example: `post->send(follower.registryFor(seeds, claims.attempt), letter.kind, letter.body);`
  auto registryFor(const std::vector<std::string>& registries, uint32_t attempt) const -> const std::string&;

 private:
  auto forgetOldQuestions(int64_t nowMs) -> void;
  auto takeNews(const core::News& news) -> bool;

  std::string name_;
  int64_t answerMs_;
  uint64_t nonce_;
  core::Member member_;
  caller::HeldFrame held_;
  bool isAsking_ = false;
  bool mustMove_ = false;
  core::Revision inForce_;
  std::map<uint64_t, int64_t> openQuestions_;  // nonce → when it was asked; the newest is nonce_
  int64_t askedMs_ = 0, preferredMs_ = 0, waitUntilMs_ = 0;
  size_t nextPreferred_ = 0;
  std::vector<std::string> registries_;
  std::string target_;
  std::string neighbour_;  // to go back to when the registry that was tried fails
};

}  // namespace dykestage::agent
