// Policy: how much of a machine's link bulk traffic may take.
//
// A link sends what it is given in the order in which it comes, so that a heartbeat waits for every answer that was
// written before it. Bulk answers are therefore written at a part of the link's rate: the link's own queue stays short,
// and what waits does so here, where it holds up nothing else.
#pragma once
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>

namespace dykestage::policy {

/// A token bucket over bytes; all threads of a process share one.
/// Example: `auto granted = link.grant(body.size(), nowMs); link.restore(granted - sent);`
class LinkShare {
 public:
  struct Props {
    double bytesPerS = 0;      // that bulk answers may take; 0: no limit
    double burstBytes = 0;     // that may leave at once
    size_t smallBytes = 2048;  // an answer of at most so many bytes never waits
  };
  explicit LinkShare(Props props) : props_(props), tokens_(props.burstBytes) {}

  /// Bytes that may leave now, at most `wanted`; they count as sent. Example: `link.grant(4096, nowMs)`
  auto grant(size_t wanted, int64_t nowMs) -> size_t;
  /// Counts a message that leaves whole or not at all: false while bulk has to wait. Small ones never do; what goes
  /// beyond what was left is made up for before the next. Example: `if (link.admit(body.size(), nowMs))
  /// post->send(...)`
  auto admit(size_t bytes, int64_t nowMs) -> bool;
  /// Granted bytes that did not leave after all. Example: `link.restore(granted - sent);`
  auto restore(size_t bytes) -> void;
  /// How long until bulk answers may go on; 0: now. Example: `poll(fds, count, link.waitMs(nowMs));`
  auto waitMs(int64_t nowMs) -> int64_t;
  /// How long bytes take over this part of the link. Example: `if (link.durationMs(pending) > leftMs) refuse();`
  auto durationMs(size_t bytes) const -> int64_t;
  auto isSmall(size_t bytes) const -> bool { return bytes <= props_.smallBytes; }
  auto isLimited() const -> bool { return props_.bytesPerS > 0 && !isLifted_.load(); }
  /// Lets everything leave at once: a process that ends soon hands over what it holds. Example: `link.lift();`
  auto lift() -> void { isLifted_.store(true); }

 private:
  auto refill(int64_t nowMs) -> void;

  Props props_;
  std::atomic<bool> isLifted_{false};
  std::mutex guard_;
  double tokens_;
  int64_t filledMs_ = -1;
};

}  // namespace dykestage::policy
