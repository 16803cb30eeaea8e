// Policy: which clients are given up when memory is short: those that hold much and hardly move.
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

namespace dykestage::policy {

/// How fast bytes have moved of late. Example: `progress.add(sentBytes, nowMs); progress.bytesPerS(nowMs)`
class Progress {
 public:
  /// Begins anew. Example: when the first answer has to wait `progress.start(nowMs);`
  auto start(int64_t nowMs) -> void;
  auto add(size_t bytes, int64_t nowMs) -> void;
  auto bytesPerS(int64_t nowMs) const -> double;
  auto sinceMs() const -> int64_t { return sinceMs_; }

 private:
  int64_t sinceMs_ = 0;
  int64_t windowMs_ = 0;           // when the present window began
  size_t bytes_ = 0, before_ = 0;  // in it, and in the one before
};

/// What one client has the process hold for it, and how that moves.
struct Holding {
  size_t heldBytes = 0;
  double bytesPerS = 0;  // of late, sent by the client or read by it
  int64_t sinceMs = 0;
};

/// A client that moves at least so fast, or began a short while ago, is not shed.
struct ShedRules {
  int64_t graceMs = 1000;
  double leastBytesPerS = 16 << 10;
};

/// The places of those that are to be shed, the one first that holds most for the least progress, until what they hold
/// adds up to `wantedBytes`. Example: `for (auto at : chooseToShed(holdings, {}, wantedBytes, nowMs))
/// streams[at]->cut();`
auto chooseToShed(const std::vector<Holding>& holdings, const ShedRules& rules, size_t wantedBytes, int64_t nowMs)
    -> std::vector<size_t>;

}  // namespace dykestage::policy
