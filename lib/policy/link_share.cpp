#include "policy/link_share.hpp"

#include <algorithm>
#include <cmath>

namespace dykestage::policy {

namespace {
constexpr double kMsPerS = 1000;
constexpr double kLeastGrant = 1024;  // fewer bytes than that are not worth a write
}  // namespace

auto LinkShare::refill(int64_t nowMs) -> void {
  if (filledMs_ >= 0) {
    auto passedMs = static_cast<double>(std::max<int64_t>(0, nowMs - filledMs_));
    tokens_ = std::min(props_.burstBytes, tokens_ + passedMs * props_.bytesPerS / kMsPerS);
  }
  filledMs_ = std::max(filledMs_, nowMs);
}

auto LinkShare::grant(size_t wanted, int64_t nowMs) -> size_t {
  if (!isLimited()) return wanted;
  std::lock_guard lock(guard_);
  refill(nowMs);
  auto least = std::min(static_cast<double>(wanted), kLeastGrant);
  if (tokens_ < least) return 0;
  auto granted = std::min(static_cast<double>(wanted), std::floor(tokens_));
  tokens_ -= granted;
  return static_cast<size_t>(granted);
}

auto LinkShare::admit(size_t bytes, int64_t nowMs) -> bool {
  if (!isLimited()) return true;
  std::lock_guard lock(guard_);
  refill(nowMs);
  if (!isSmall(bytes) && tokens_ < kLeastGrant) return false;
  tokens_ -= static_cast<double>(bytes);
  return true;
}

auto LinkShare::restore(size_t bytes) -> void {
  if (!isLimited()) return;
  std::lock_guard lock(guard_);
  tokens_ = std::min(props_.burstBytes, tokens_ + static_cast<double>(bytes));
}

auto LinkShare::waitMs(int64_t nowMs) -> int64_t {
  if (!isLimited()) return 0;
  std::lock_guard lock(guard_);
  refill(nowMs);
  if (tokens_ >= kLeastGrant) return 0;
  return static_cast<int64_t>(std::ceil((kLeastGrant - tokens_) * kMsPerS / props_.bytesPerS));
}

auto LinkShare::durationMs(size_t bytes) const -> int64_t {
  if (!isLimited()) return 0;
  return static_cast<int64_t>(std::ceil(static_cast<double>(bytes) * kMsPerS / props_.bytesPerS));
}

}  // namespace dykestage::policy
