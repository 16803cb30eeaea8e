// Rates: an origin's agreed rate, divided among the nodes that send to it. Pure: the time is an
// argument.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace dykestage::policy {

/// How many shields an origin's rate is split among.
///
/// A split that gives this shield less takes effect at once; one that gives it more only after the old split
/// has run out everywhere. The freshness bound tells when: a shield that has not learned of the new split by
/// then turns requests away. A shield that has just come takes no part before the others have made room.
/// Example: `split.set(shields.size(), false, nowMs); if (!split.isSettled(nowMs)) turnAway();`
class Split {
 public:
  explicit Split(int64_t leaseMs) : leaseMs_(leaseMs) {}
  /// `isListed`: an earlier life of this shield was among them when this one came, so that the others left its part
  /// to it all the time. Example: `split.set(8, member.replaced != 0, nowMs);`
  auto set(size_t shields, bool isListed, int64_t nowMs) -> void;
  /// The number to divide by now. Example: `rate / split.count(nowMs)`
  auto count(int64_t nowMs) -> size_t;
  auto isSettled(int64_t nowMs) const -> bool { return sinceMs_ >= 0 && (wasListed_ || nowMs - sinceMs_ >= leaseMs_); }

 private:
  int64_t leaseMs_;
  int64_t sinceMs_ = -1;
  bool wasListed_ = false;
  std::vector<std::pair<int64_t, size_t>> seen_;  // until when a count was in force
  size_t now_ = 0;
};

/// How an origin's agreed rate is judged: over any window, with so much above it.
struct RateBounds {
  double windowS = 5;
  double over = 1.0;  // times the rate
  double slack = 0;   // and so many requests
  /// What one of `nodes` may use of a rate, a second, so that all together stay within the bounds: each may gather a
  /// fifth of a second of its share, one request at least. Example: `bounds.share(540, 8)`
  auto share(double ratePerS, size_t nodes) const -> double;
};

/// This shield's share of an origin's agreed rate. It starts empty and gathers little, so that any window of
/// 5 s stays near the rate. Example: `rate.set(300.0 / split.count(now), now); if (!rate.take(now)) turnAway();`
class RateShare {
 public:
  /// Requests a second allowed from now on; 0 or less: no limit.
  auto set(double share, int64_t nowMs) -> void;
  auto take(int64_t nowMs) -> bool;
  /// Adds requests that another node has given up of its own share; they count until a moment.
  /// Example: `rate.lend(grant.permits, nowMs + 100, nowMs);`
  auto lend(int64_t permits, int64_t untilMs, int64_t nowMs) -> void;
  /// True while one may be taken. Example: `if (rate.has(nowMs)) hedge();`
  auto has(int64_t nowMs) -> bool;

 private:
  auto settle(int64_t nowMs) -> void;
  struct Lent {
    int64_t untilMs, permits;
  };
  double share_ = 0, tokens_ = 0;
  int64_t filledMs_ = -1;
  std::deque<Lent> lent_;
};

}  // namespace dykestage::policy
