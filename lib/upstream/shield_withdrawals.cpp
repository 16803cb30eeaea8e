// Upstream: fetch requests that nobody waits for any more.
// A fetch request whose client has left is ended wherever it waits. What runs is broken off if it may run again and its
// answer is of use to nobody: not a write, of which nobody could tell how far it went, and not the fetch of an object
// that will be kept.
#include "upstream/shield.hpp"

#include <utility>

#include "caller/codes.hpp"

namespace dykestage::upstream {

using namespace caller;
using neighbour::Ask;
using neighbour::Reply;

auto Shield::takeWithdrawal(const std::string& from, const neighbour::Withdrawal& withdrawal, int64_t nowMs) -> void {
  policy::SeenRequests::Key key{from, withdrawal.life, withdrawal.id, withdrawal.attempt};
  auto found = taken_.find(key);
  if (found != taken_.end()) return withdraw(found->second, nowMs);
  // It has overtaken its request, which is then not worked on, or has crossed the answer.
  seen_.add(key, nowMs);
  Ask ask;
  ask.id = withdrawal.id;
  ask.attempt = withdrawal.attempt;
  ask.life = withdrawal.life;
  confirmWithdrawal(from, ask);
}

// The edge of this very process does not repeat its withdrawals.
auto Shield::confirmWithdrawal(const std::string& from, const Ask& ask) -> void {
  if (from == props_.address) return;
  Reply reply;
  reply.code = kClientLeft;
  give(from, ask, std::move(reply));
}

auto Shield::withdraw(uint64_t id, int64_t nowMs) -> void {
  auto& w = *waiting_.get(id);
  if (w.isWithdrawn || !w.memoryKey.empty()) return;
  ++figures_.withdrawn;
  confirmWithdrawal(w.from, w.ask);
  w.isWithdrawn = true;
  if (w.leader) return leaveLeader(id, nowMs);
  if (w.followers.empty()) return endUnwanted(id, nowMs);
  if (w.open > 0) return;
  // Its edge would grant it no further send: one of the others goes on in its place.
  auto followers = std::exchange(w.followers, {});
  endUnwanted(id, nowMs);
  promote(followers, nowMs);
}

// Ends a request that joined another one; the other one ends too if only this one waited for it.
auto Shield::leaveLeader(uint64_t id, int64_t nowMs) -> void {
  auto leaderId = *waiting_.get(id)->leader;
  release(id);
  auto* leader = waiting_.get(leaderId);
  if (!leader) return;
  std::erase(leader->followers, id);
  if (!leader->isWanted()) endUnwanted(leaderId, nowMs);
}

auto Shield::endUnwanted(uint64_t id, int64_t nowMs) -> void {
  auto& w = *waiting_.get(id);
  auto pool = w.ask.pool;
  auto mustGoOn = w.open > 0 && (w.isWrite || w.ask.isShared);
  if (w.open > 0) cancelFetches(id, mustGoOn, nowMs);
  if (mustGoOn) return;
  if (auto it = joins_.find(w.joinKey); it != joins_.end() && it->second == id) joins_.erase(it);
  release(id);
  drain(pool, nowMs);
}

auto Shield::cancelFetches(uint64_t id, bool isOnlyUnsent, int64_t nowMs) -> void {
  for (auto it = fetching_.begin(); it != fetching_.end();) {
    const auto& [fetchId, fetching] = *it;
    if (fetching.waiting != id) {
      ++it;
      continue;
    }
    out_.cancels.push_back({fetchId, isOnlyUnsent});
    if (isOnlyUnsent) {
      ++it;
      continue;
    }
    if (auto health = health_.find(fetching.instance); health != health_.end())
      health->second.ended(fetchId, fetching.leftMs, nowMs - fetching.leftMs, fetching.waitMs, false, nowMs);
    it = fetching_.erase(it);
  }
}

// A fetch has ended that nobody waited for any more: an object is kept, anything else is dropped.
auto Shield::settleUnwanted(uint64_t id, const Fetching& fetching, const Fetched& f, int64_t nowMs) -> void {
  if (waiting_.get(id)->open > 0) return;
  if (f.fault == Fault::kNone && !isNotRun(f))
    answered(id, replyOf(*waiting_.get(id), fetching, f, nowMs), fetching, f, nowMs);
  else
    giveUp(id, kClientLeft, nowMs);
}

// The others that wait for the same object go on with the first of them.
auto Shield::promote(const std::vector<uint64_t>& followers, int64_t nowMs) -> void {
  std::optional<uint64_t> first;
  for (auto follower : followers) {
    auto* f = waiting_.get(follower);
    if (!f) continue;
    f->leader = first;
    if (first)
      waiting_.get(*first)->followers.push_back(follower);
    else
      first = follower;
  }
  if (!first) return;
  joins_.try_emplace(waiting_.get(*first)->joinKey, *first);
  dispatch(*first, false, nowMs);
}

// An edge that has started anew has forgotten what its earlier incarnation asked for; its clients are gone with that.
auto Shield::withdrawOfEndedEdges(const core::Frame& before, int64_t nowMs) -> void {
  for (const auto& [name, old] : before.members) {
    auto now = held_.frame->members.find(name);
    auto hasEnded = now != held_.frame->members.end() && now->second.incarnation != old.incarnation;
    if (!hasEnded) continue;
    std::vector<uint64_t> ended;
    for (const auto& [key, id] : taken_)
      if (key.from == old.address && key.life == old.incarnation) ended.push_back(id);
    for (auto id : ended)
      if (waiting_.get(id)) withdraw(id, nowMs);
  }
}

}  // namespace dykestage::upstream
