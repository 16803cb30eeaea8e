#include "policy/shedding.hpp"

#include <algorithm>

namespace dykestage::policy {

namespace {
constexpr int64_t kMsPerS = 1000;
constexpr int64_t kWindowMs = 1000;

auto isSlow(const Holding& holding, const ShedRules& rules, int64_t nowMs) -> bool {
  return nowMs - holding.sinceMs >= rules.graceMs && holding.bytesPerS < rules.leastBytesPerS;
}
}  // namespace

auto Progress::start(int64_t nowMs) -> void {
  *this = {};
  sinceMs_ = windowMs_ = nowMs;
}

auto Progress::add(size_t bytes, int64_t nowMs) -> void {
  auto elapsedMs = nowMs - windowMs_;
  if (elapsedMs >= kWindowMs) {
    before_ = elapsedMs < 2 * kWindowMs ? bytes_ : 0;
    bytes_ = 0;
    windowMs_ = nowMs;
  }
  bytes_ += bytes;
}

auto Progress::bytesPerS(int64_t nowMs) const -> double {
  auto elapsedMs = nowMs - windowMs_;
  if (elapsedMs >= 2 * kWindowMs) return 0;
  auto hasBefore = before_ > 0 && elapsedMs < kWindowMs;
  auto overMs = std::max<int64_t>(kWindowMs, hasBefore ? kWindowMs + elapsedMs : elapsedMs);
  return static_cast<double>(bytes_ + (hasBefore ? before_ : 0)) * kMsPerS / static_cast<double>(overMs);
}

auto chooseToShed(const std::vector<Holding>& holdings, const ShedRules& rules, size_t wantedBytes, int64_t nowMs)
    -> std::vector<size_t> {
  std::vector<size_t> slow;
  for (size_t i = 0; i < holdings.size(); ++i)
    if (holdings[i].heldBytes > 0 && isSlow(holdings[i], rules, nowMs)) slow.push_back(i);
  auto burden = [&](size_t at) { return static_cast<double>(holdings[at].heldBytes) / (1 + holdings[at].bytesPerS); };
  std::stable_sort(slow.begin(), slow.end(), [&](size_t a, size_t b) { return burden(a) > burden(b); });
  std::vector<size_t> chosen;
  size_t bytes = 0;
  for (auto at : slow) {
    if (bytes >= wantedBytes) break;
    bytes += holdings[at].heldBytes;
    chosen.push_back(at);
  }
  return chosen;
}

}  // namespace dykestage::policy
