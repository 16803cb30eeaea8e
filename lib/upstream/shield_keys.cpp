// Upstream: claims of Idempotency-Keys by a shield, and what became of the writes under them.
// Before a write with a key leaves, the key is claimed by an ordered command of the core. Of all claims the first
// in the order runs; whoever comes later asks the holder for the outcome, and runs nothing.
#include "upstream/shield.hpp"

#include "caller/codes.hpp"
#include "neighbour/post.hpp"

namespace dykestage::upstream {

using namespace caller;

auto Shield::claim(uint64_t id, int64_t nowMs) -> void {
  auto& w = *waiting_.get(id);
  w.claim = ++nextClaim_;
  w.claimMs = nowMs;
  claiming_[w.claim] = id;
  gatheredMs_ = nowMs;
  gathered_.push_back({w.memoryKey, w.claim, memory_.at(w.memoryKey).print, props_.keyMs, false});
}

// Nothing ran, or will run, under this claim: the key is free for whoever claims it next. Should the claim be
// ordered only after its return, the key stays held by it, and whoever meets it there is told so.
auto Shield::giveBack(const std::string& key, uint64_t number, int64_t nowMs) -> void {
  unrun_.insert(number);
  if (unrun_.size() > props_.keys) unrun_.erase(unrun_.begin());
  gatheredMs_ = nowMs;
  gathered_.push_back({key, number, 0, 0, true});
}

auto Shield::takeClaimed(const neighbour::Claimed& claimed, int64_t nowMs) -> void {
  auto found = unanswered_.find(claimed.nonce);
  if (claimed.life != props_.life || found == unanswered_.end() ||
      found->second.letter.keys.size() != claimed.keys.size())
    return;
  auto asked = std::move(found->second.letter.keys);
  unanswered_.erase(found);
  for (size_t i = 0; i < asked.size(); ++i) {
    const auto& held = claimed.keys[i];
    if (asked[i].isReturn) {
      unrun_.erase(asked[i].number);
      continue;
    }
    auto it = claiming_.find(asked[i].number);
    if (it == claiming_.end()) continue;  // no longer waited for, and given back
    auto id = it->second;
    claiming_.erase(it);
    auto& w = *waiting_.get(id);
    w.claimMs = -1;
    if (held.life == props_.life && held.number == w.claim) {
      dispatch(id, false, nowMs);
      continue;
    }
    w.claim = 0;
    if (held.life == 0) {
      giveUp(id, kNoClaim, nowMs);
    } else if (held.print != asked[i].print) {
      giveUp(id, kKeyReused, nowMs);
    } else if (held.life == props_.life && unrun_.count(held.number)) {
      giveBack(w.memoryKey, held.number, nowMs);
      giveUp(id, kNoClaim, nowMs);
    } else {
      auto holder = held_.frame->members.find(held.shield);
      auto isThere =
          held.life != props_.life && holder != held_.frame->members.end() && holder->second.incarnation == held.life;
      if (!isThere) {
        giveUp(id, kUnknown, nowMs);
        continue;
      }
      w.asksKeyOf = holder->second.address;
      out_.letters.push_back({w.asksKeyOf, neighbour::kKeyAsk,
                              Writer().put(neighbour::KeyAsk{id, props_.life, w.memoryKey, held.number}).take()});
    }
  }
}

auto Shield::unclaimed(const neighbour::Claims& claims, int64_t nowMs) -> void {
  for (const auto& key : claims.keys)
    if (auto it = claiming_.find(key.number); it != claiming_.end()) giveUp(it->second, kNoClaim, nowMs);
}

auto Shield::takeKeyAsk(const std::string& from, const neighbour::KeyAsk& ask, int64_t nowMs) -> void {
  neighbour::KeyTold told{ask.nonce, ask.life, std::nullopt};
  auto it = memory_.find(ask.key);
  if (it != memory_.end() && it->second.running != 0) {
    it->second.asking.push_back({from, ask.nonce, ask.life});
    return;
  }
  if (it != memory_.end()) {
    told.outcome = it->second.reply;
  } else if (unrun_.count(ask.number)) {
    giveBack(ask.key, ask.number, nowMs);
    told.outcome.emplace().code = kNoClaim;
  }
  out_.letters.push_back({from, neighbour::kKeyTold, Writer().put(told).take()});
}

auto Shield::takeKeyTold(const neighbour::KeyTold& told, int64_t nowMs) -> void {
  auto* w = told.life == props_.life ? waiting_.get(told.nonce) : nullptr;
  if (!w || w->asksKeyOf.empty()) return;
  w->asksKeyOf.clear();
  if (!told.outcome) return giveUp(told.nonce, kUnknown, nowMs);
  if (told.outcome->code == kOk || !told.outcome->isUntouched) return finish(told.nonce, *told.outcome, nullptr, nowMs);
  // The holder did not run it, and has given the key back.
  if (nowMs - w->startMs < props_.boundMs / 4) return claim(told.nonce, nowMs);
  giveUp(told.nonce, kNoClaim, nowMs);
}

auto Shield::unreached(const std::string& to, int64_t nowMs) -> void {
  for (auto id : waiting_.ids()) {
    auto* w = waiting_.get(id);
    if (!w || w->asksKeyOf != to) continue;
    w->asksKeyOf.clear();
    giveUp(id, kUnknown, nowMs);
  }
}

auto Shield::forget(int64_t nowMs) -> void {
  // What is forgotten here is still held in the core: a repeated write gets "unknown", and does not run.
  while (!memoryOrder_.empty()) {
    auto isOver = nowMs - memoryOrder_.front().first >= props_.keyMs;
    if (!isOver && memory_.size() <= props_.keys && memoryBytes_ <= props_.keyBytes) break;
    auto it = memory_.find(memoryOrder_.front().second);
    memoryOrder_.pop_front();
    if (it == memory_.end() || it->second.running != 0) continue;
    memoryBytes_ -= it->second.reply.body.size();
    memory_.erase(it);
  }
}

}  // namespace dykestage::upstream
