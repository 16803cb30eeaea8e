#include "policy/sends.hpp"

#include <algorithm>

namespace dykestage::policy {

auto SendAccount::open(int64_t count) -> std::optional<uint32_t> {
  auto granted = std::min(count, left_);
  if (granted <= 0) return std::nullopt;
  left_ -= granted;
  attempts_.push_back({granted, true});
  return static_cast<uint32_t>(attempts_.size() - 1);
}

auto SendAccount::raise(uint32_t attempt, int64_t total) -> int64_t {
  if (!isOpen(attempt)) return 0;
  auto& granted = attempts_[attempt].granted;
  auto more = std::clamp<int64_t>(total - granted, 0, left_);
  left_ -= more;
  granted += more;
  return granted;
}

auto SendAccount::close(uint32_t attempt, int64_t used) -> bool {
  if (!isOpen(attempt)) return false;
  auto& [granted, isAttemptOpen] = attempts_[attempt];
  left_ += std::clamp<int64_t>(granted - used, 0, granted);
  isAttemptOpen = false;
  return true;
}

auto SendAccount::closeUnknown(uint32_t attempt) -> bool {
  return isOpen(attempt) && close(attempt, attempts_[attempt].granted);
}

auto SendAccount::openCount() const -> size_t {
  return static_cast<size_t>(
      std::count_if(attempts_.begin(), attempts_.end(), [](const Attempt& one) { return one.isOpen; }));
}

auto SeenRequests::add(Key key, int64_t nowMs) -> bool {
  while (!order_.empty() && nowMs - order_.front().first >= keptMs_) {
    keys_.erase(order_.front().second);
    order_.pop_front();
  }
  auto [it, isNew] = keys_.insert(std::move(key));
  if (isNew) order_.emplace_back(nowMs, it);
  return isNew;
}

}  // namespace dykestage::policy
