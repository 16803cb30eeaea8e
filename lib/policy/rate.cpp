#include "policy/rate.hpp"

#include <algorithm>

namespace dykestage::policy {

auto Split::set(size_t shields, bool isListed, int64_t nowMs) -> void {
  if (sinceMs_ < 0) {
    sinceMs_ = nowMs;
    wasListed_ = isListed;
  }
  if (shields == now_) return;
  if (now_ > 0) seen_.emplace_back(nowMs, now_);
  now_ = shields;
}

auto Split::count(int64_t nowMs) -> size_t {
  std::erase_if(seen_, [&](const auto& one) { return nowMs - one.first >= leaseMs_; });
  auto most = std::max<size_t>(1, now_);
  // Whoever took over an earlier life's part can't know who has left of late and may still act: it leaves room for a
  // quarter of all, one at least.
  if (wasListed_ && nowMs - sinceMs_ < leaseMs_) most += std::max<size_t>(1, most / 4);
  for (const auto& [untilMs, count] : seen_)
    most = std::max(most, count);
  return most;
}

auto RateBounds::share(double ratePerS, size_t nodes) const -> double {
  if (ratePerS <= 0) return 0;
  auto count = static_cast<double>(std::max<size_t>(1, nodes));
  // What is above the rate pays for what nodes gather, and for requests that arrive closer together than they left.
  auto spare = (over - 1) * ratePerS * windowS + slack - std::max(count, ratePerS / 5);
  auto factor = over > 1 || slack > 0 ? std::clamp(1 + spare / 2 / (ratePerS * windowS), 0.5, over) : 1.0;
  return ratePerS * factor / count;
}

auto RateShare::set(double share, int64_t nowMs) -> void {
  settle(nowMs);
  if (share_ <= 0) tokens_ = std::max(1.0, share / 5);
  share_ = share;
}

auto RateShare::settle(int64_t nowMs) -> void {
  auto passedMs = filledMs_ < 0 ? 0 : std::max<int64_t>(0, nowMs - filledMs_);
  filledMs_ = nowMs;
  // A fifth of a second of the share may gather: a window of 5 s then holds at most 4% above it.
  tokens_ = std::min(std::max(1.0, share_ / 5), tokens_ + share_ * static_cast<double>(passedMs) / 1000.0);
  std::erase_if(lent_, [&](const Lent& one) { return one.permits <= 0 || nowMs >= one.untilMs; });
}

auto RateShare::has(int64_t nowMs) -> bool {
  if (share_ <= 0) return true;
  settle(nowMs);
  return tokens_ >= 1 || !lent_.empty();
}

auto RateShare::take(int64_t nowMs) -> bool {
  if (!has(nowMs)) return false;
  if (share_ <= 0) return true;
  if (lent_.empty())
    tokens_ -= 1;
  else
    --lent_.front().permits;
  return true;
}

auto RateShare::lend(int64_t permits, int64_t untilMs, int64_t nowMs) -> void {
  settle(nowMs);
  lent_.push_back({untilMs, permits});
}

}  // namespace dykestage::policy
