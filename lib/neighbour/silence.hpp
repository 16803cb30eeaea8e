// Neighbour: tells a connection whose other side has gone from one that is merely quiet.
#pragma once
#include <cstdint>
#include <map>
#include <string>

namespace dykestage::neighbour {

/// Remembers since when what was sent to each peer has had no answer of any kind. A connection to a machine that lost
/// power, or was cut off, stays open on this side, and what was sent on it is sent again at intervals that double:
/// after an absence of 15 s the next time is up to 10 s after the return. A new connection is up at once. Used where
/// peers answer each other, or speak regularly. Example:
///   watch.sent(to, nowMs);
///   if (watch.isSilent(to, nowMs)) { redial(to); watch.forget(to); }
class SilenceWatch {
 public:
  /// With a limit of 0 no peer is called silent, but those that are expected to speak.
  explicit SilenceWatch(int64_t limitMs) : limitMs_(limitMs) {}
  /// Gives a peer a limit of its own. Example: `watch.expect(registry, 500);`
  auto expect(const std::string& peer, int64_t limitMs) -> void { limitsMs_[peer] = limitMs; }
  auto sent(const std::string& to, int64_t nowMs) -> void {
    if (limitOf(to) > 0) unansweredSinceMs_.try_emplace(to, nowMs);
  }
  auto heard(const std::string& from) -> void { unansweredSinceMs_.erase(from); }
  auto forget(const std::string& to) -> void { unansweredSinceMs_.erase(to); }
  /// True when nothing has come from a peer for as long as its limit since something was sent to it.
  auto isSilent(const std::string& to, int64_t nowMs) const -> bool {
    auto since = unansweredSinceMs_.find(to);
    return since != unansweredSinceMs_.end() && nowMs - since->second >= limitOf(to);
  }

 private:
  auto limitOf(const std::string& peer) const -> int64_t {
    auto own = limitsMs_.find(peer);
    return own == limitsMs_.end() ? limitMs_ : own->second;
  }

  int64_t limitMs_;
  std::map<std::string, int64_t> limitsMs_;
  std::map<std::string, int64_t> unansweredSinceMs_;
};

}  // namespace dykestage::neighbour
