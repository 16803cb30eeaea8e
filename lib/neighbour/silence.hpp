// Neighbour: notices connections that look up and are not. After a silent cut a connection sends again only after a
// pause that has doubled for as long as the cut lasted; a new connection is up at once.
#pragma once
#include <cstdint>
#include <map>
#include <string>

namespace dykestage::neighbour {

/// Remembers since when what was sent to each peer has had no answer of any kind. Used where peers answer each other.
/// Example:
///   watch.sent(to, nowMs);
///   if (watch.isSilent(to, nowMs)) { redial(to); watch.forget(to); }
class SilenceWatch {
 public:
  /// With a bound of 0 no peer is ever called silent.
  explicit SilenceWatch(int64_t silenceMs) : silenceMs_(silenceMs) {}
  auto sent(const std::string& to, int64_t nowMs) -> void { unansweredSinceMs_.try_emplace(to, nowMs); }
  auto heard(const std::string& from) -> void { unansweredSinceMs_.erase(from); }
  auto forget(const std::string& to) -> void { unansweredSinceMs_.erase(to); }
  /// True when nothing has come from a peer for longer than the bound since something was sent to it.
  auto isSilent(const std::string& to, int64_t nowMs) const -> bool {
    auto since = unansweredSinceMs_.find(to);
    return silenceMs_ > 0 && since != unansweredSinceMs_.end() && nowMs - since->second > silenceMs_;
  }

 private:
  int64_t silenceMs_;
  std::map<std::string, int64_t> unansweredSinceMs_;
};

}  // namespace dykestage::neighbour
