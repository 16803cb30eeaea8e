// Sim: virtual time, in which events come one by one in their order, and a seed that decides what is left open.
#pragma once
#include <algorithm>
#include <cstdint>
#include <functional>
#include <random>
#include <tuple>
#include <vector>

namespace dykestage::sim {

/// What simulators are built on. Example: `class CoreSim : Timeline { ... at(nowMs_ + pick(1, 5), [] {}); };`
class Timeline {
 protected:
  explicit Timeline(uint64_t seed) : random_(seed) {}
  /// Something that happens later. Example: `at(nowMs_ + 20, [this] { beat(); });`
  auto at(int64_t ms, std::function<void()> what) -> void {
    events_.push_back({ms, order_++, std::move(what)});
    std::push_heap(events_.begin(), events_.end());
  }
  /// True when that moment is still to come; `what` happens then. Example: `if (isBefore(host.frozenUntilMs, again))
  /// return;`
  auto isBefore(int64_t ms, std::function<void()> what) -> bool {
    if (ms <= nowMs_) return false;
    at(ms, std::move(what));
    return true;
  }
  /// A number from `low` to `high`. Example: `pick(1, 6)`
  auto pick(int64_t low, int64_t high) -> int64_t {
    return low + static_cast<int64_t>(random_() % static_cast<uint64_t>(high - low + 1));
  }
  /// Lets everything happen up to a moment, as long as `goesOn`. Example: `pass(9000, [&] { return faults.empty(); });`
  auto pass(int64_t endMs, const std::function<bool()>& goesOn) -> void {
    while (!events_.empty() && events_.front().atMs <= endMs && goesOn()) {
      std::pop_heap(events_.begin(), events_.end());
      auto event = std::move(events_.back());
      events_.pop_back();
      nowMs_ = event.atMs;
      event.what();
    }
  }

  std::mt19937_64 random_;
  int64_t nowMs_ = 0;

 private:
  struct Event {
    int64_t atMs;
    uint64_t order;
    std::function<void()> what;
    auto operator<(const Event& o) const -> bool { return std::tie(atMs, order) > std::tie(o.atMs, o.order); }
  };
  uint64_t order_ = 0;
  std::vector<Event> events_;  // a heap: what is taken from it is moved, not copied
};

}  // namespace dykestage::sim
