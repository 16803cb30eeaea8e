#include "agent/feed.hpp"

#include <algorithm>
#include <limits>

namespace dykestage::agent {

using neighbour::Feed;
using neighbour::Poll;

namespace {
constexpr int64_t kOpenQuestionPeriods = 10;  // how long a late answer is still taken, in answer times
// How long only neighbours are asked. Registries hear from a node only when it asks them, and acknowledge without one
// that they do not hear for two and a half of these.
constexpr int64_t kNeighbourPeriods = 1;
}  // namespace

auto Giver::take(std::string from, Poll poll, int64_t nowMs) -> void {
  // A newer question of the same asker takes the place of the older one.
  std::erase_if(held_, [&](const Held& h) { return h.from == from && h.poll.name == poll.name; });
  held_.push_back({std::move(from), std::move(poll), nowMs});
}

auto Giver::give(const core::Frame& frame, int64_t asOfMs, int64_t nowMs) -> std::vector<std::pair<std::string, Feed>> {
  std::vector<std::pair<std::string, Feed>> given;
  std::erase_if(held_, [&](const Held& h) {
    auto it = frame.members.find(h.poll.name);
    auto isMember = asOfMs >= 0 && it != frame.members.end() && it->second == h.poll.member;
    auto hasNews = isMember && frame.revision != h.poll.has && frame.revision.covers(h.poll.has);
    if (!hasNews && nowMs - h.sinceMs < holdMs_) return false;
    Feed feed;
    feed.nonce = h.poll.nonce;
    feed.ageMs = nowMs - asOfMs;
    feed.heldMs = nowMs - h.sinceMs;
    feed.isMember = isMember;
    if (isMember) feed.news = newsSince(frame, h.poll.has);
    given.emplace_back(h.from, std::move(feed));
    return true;
  });
  return given;
}

auto Giver::dueMs() const -> int64_t {
  auto due = std::numeric_limits<int64_t>::max();
  for (const auto& held : held_)
    due = std::min(due, held.sinceMs + holdMs_);
  return due;
}

auto Follower::tick(const std::vector<std::string>& targets, size_t preferred, const Told& told, int64_t nowMs)
    -> std::optional<std::pair<std::string, Poll>> {
  if (targets.empty() || nowMs < waitUntilMs_) return std::nullopt;
  // What is in force has changed: that is told at once, by a question that takes the place of the open one.
  auto hasToTell = isAsking_ && !(told.revision == inForce_);
  if (isAsking_ && !hasToTell) {
    if (nowMs - askedMs_ < answerMs_) return std::nullopt;
    mustMove_ = true;  // no answer
  }
  auto at = std::find(targets.begin(), targets.end(), target_);
  auto isKnown = [&](const std::string& target) {
    return std::find(targets.begin(), targets.end(), target) != targets.end();
  };
  if (at == targets.end()) {
    target_ = targets.front();
  } else if (mustMove_ && !neighbour_.empty() && isKnown(neighbour_)) {
    target_ = neighbour_;
  } else if (mustMove_) {
    target_ = ++at == targets.end() ? targets.front() : *at;
  }
  if (mustMove_) neighbour_.clear();
  auto place = static_cast<size_t>(std::find(targets.begin(), targets.end(), target_) - targets.begin());
  if (place < preferred) {
    preferredMs_ = nowMs;
  } else if (nowMs - preferredMs_ >= kNeighbourPeriods * answerMs_ && preferred > 0) {
    preferredMs_ = nowMs;
    neighbour_ = target_;
    target_ = targets[nextPreferred_++ % preferred];
  }
  mustMove_ = false;
  isAsking_ = true;
  inForce_ = told.revision;
  askedMs_ = nowMs;
  forgetOldQuestions(nowMs);
  openQuestions_[++nonce_] = nowMs;
  Poll poll;
  poll.nonce = nonce_;
  poll.name = name_;
  poll.member = member_;
  poll.revision = told.revision;
  poll.has = held_.frame->revision;
  poll.probes = told.probes;
  poll.samples = told.samples;
  poll.silent = told.silent;
  return std::pair{target_, std::move(poll)};
}

auto Follower::registryFor(const std::vector<std::string>& registries, uint32_t attempt) const -> const std::string& {
  auto at = std::find(registries.begin(), registries.end(), target_);
  auto first = at == registries.end() ? 0 : static_cast<size_t>(at - registries.begin());
  return registries[(first + attempt) % registries.size()];
}

auto Follower::lost(int64_t nowMs) -> void {
  isAsking_ = false;
  mustMove_ = true;
  waitUntilMs_ = nowMs + answerMs_ / 20;
}

auto Follower::forgetOldQuestions(int64_t nowMs) -> void {
  auto oldestMs = nowMs - kOpenQuestionPeriods * answerMs_;
  std::erase_if(openQuestions_, [&](const auto& question) { return question.second < oldestMs; });
}

auto Follower::takeNews(const core::News& news) -> bool {
  if (news.revision == held_.frame->revision) return true;
  auto next = std::make_shared<core::Frame>(*held_.frame);
  if (!join(*next, news)) return false;
  held_.frame = next;
  return true;
}

auto Follower::take(const Feed& feed, int64_t nowMs) -> bool {
  auto question = openQuestions_.find(feed.nonce);
  if (question == openQuestions_.end()) return false;
  auto askedMs = question->second;
  openQuestions_.erase(question);
  auto isNewest = isAsking_ && feed.nonce == nonce_;
  if (isNewest) isAsking_ = false;
  if (!feed.isMember || !feed.news.revision.covers(held_.frame->revision)) {
    mustMove_ = mustMove_ || isNewest;  // perhaps another one knows of this node already, or knows more
    return false;
  }
  if (!takeNews(feed.news)) return false;
  if (!feed.registries.empty()) registries_ = feed.registries;
  // The giver's age, and all of the way there and back that was not spent waiting at the giver.
  held_.asOfMs = std::max(held_.asOfMs, askedMs + feed.heldMs - feed.ageMs);
  if (!isNewest) return true;
  // A giver that is not fresh itself (a neighbour cut off as well) is no one to stay with.
  if (nowMs - held_.asOfMs > 2 * answerMs_)
    mustMove_ = true;
  else
    neighbour_.clear();
  return true;
}

}  // namespace dykestage::agent
