// Neighbour: tells a line whose other side has gone from one that is merely quiet.
#pragma once
#include <cstdint>
#include <optional>

namespace dykestage::neighbour {

/// Watches one line to a peer that is known to speak regularly. A connection to a machine that lost power, or was cut
/// off, stays open on this side, and what was sent on it is sent again at intervals that double: after an absence of
/// 15 s the next time is 10 s after the return. A peer that owes a sign of life for `limitMs` needs a new connection.
/// Example: `if (detector.isSilent(nowMs)) redial();`
class SilenceDetector {
 public:
  explicit SilenceDetector(int64_t limitMs) : limitMs_(limitMs) {}
  /// Something was sent. Example: `detector.sent(nowMs);`
  auto sent(int64_t nowMs) -> void {
    if (!owedSinceMs_) owedSinceMs_ = nowMs;
  }
  /// Something came from the peer. Example: `detector.heard();`
  auto heard() -> void { owedSinceMs_.reset(); }
  /// True when the peer has been silent for too long since something was first sent to it.
  auto isSilent(int64_t nowMs) const -> bool { return owedSinceMs_ && nowMs - *owedSinceMs_ >= limitMs_; }

 private:
  int64_t limitMs_;
  std::optional<int64_t> owedSinceMs_;  // the first sending after the peer was last heard
};

}  // namespace dykestage::neighbour
