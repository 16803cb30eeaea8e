// Upstream: a shield's part of an origin's rate.
// Each node has an equal part of an origin's rate, but objects and their clients are spread unevenly. A node whose
// requests wait for its part asks others, one after the other, to spare some of theirs: what one gains another gives
// up, so that the sum stays as it was.
#include "upstream/shield.hpp"

#include <algorithm>

namespace dykestage::upstream {

namespace {
constexpr int64_t kBorrowsPerBound = 200;  // nodes asked at most for a part of a rate, in a freshness bound
constexpr int64_t kMostBorrowPauses = 16;  // between two of them, where none has any
}  // namespace

auto Shield::rateOf(const std::string& pool, const PoolView& view, int64_t nowMs) -> policy::RateShare& {
  auto& rate = rates_[pool];
  rate.set(props_.rate.share(view.ratePerS, split_.count(nowMs)), nowMs);
  return rate;
}

auto Shield::borrowRate(const std::string& pool, int64_t nowMs) -> void {
  auto leastMs = std::max<int64_t>(1, props_.boundMs / kBorrowsPerBound);
  auto& borrowing = borrowing_[pool];
  if (peers_.empty() || (borrowing.askedMs >= 0 && nowMs - borrowing.askedMs < borrowing.pauseMs)) return;
  borrowing.askedMs = nowMs;
  borrowing.pauseMs = std::clamp(2 * borrowing.pauseMs, leastMs, kMostBorrowPauses * leastMs);
  dice_ = dice_ * 6364136223846793005ull + 1442695040888963407ull;
  const auto& peer = peers_[(dice_ >> 33) % peers_.size()];
  out_.letters.push_back(
      {peer, neighbour::kRateRequest, Writer().put(neighbour::RateRequest{props_.life, pool, 1}).take()});
}

auto Shield::takeRateRequest(const std::string& from, const neighbour::RateRequest& request, int64_t nowMs) -> void {
  auto view = views_.find({request.pool, core::UpstreamKind::kAny});
  auto isRated = view != views_.end() && view->second.ratePerS > 0;
  if (!isRated || isEmptying_ || !mayAct(nowMs) || !split_.isSettled(nowMs)) return;
  auto own = queues_.find(request.pool);
  if (own != queues_.end() && !own->second.empty()) return;  // it may need its part itself
  int64_t spared = 0;
  while (spared < request.permits && rateOf(request.pool, view->second, nowMs).take(nowMs))
    ++spared;
  if (spared == 0) return;
  figures_.rateLent += static_cast<uint64_t>(spared);
  neighbour::RateGrant grant{request.life, request.pool, spared};
  out_.letters.push_back({from, neighbour::kRateGrant, Writer().put(grant).take()});
}

auto Shield::takeRateGrant(const neighbour::RateGrant& grant, int64_t nowMs) -> void {
  if (grant.life != props_.life || grant.permits <= 0) return;
  figures_.rateBorrowed += static_cast<uint64_t>(grant.permits);
  rates_[grant.pool].lend(grant.permits, nowMs + props_.connectMs, nowMs);
  borrowing_.erase(grant.pool);
  drain(grant.pool, nowMs);
}

}  // namespace dykestage::upstream
