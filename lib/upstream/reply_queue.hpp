// Upstream: replies to other processes, until there is room for them on the link and their line is up.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "neighbour/messages.hpp"
#include "policy/link_share.hpp"

namespace dykestage::upstream {

/// Sends replies within the part of the link that bulk may take, the smallest first, so that none waits behind one that
/// takes much longer; those of one size leave in the order in which they came.
/// Example: `replies.add(to, reply, nowMs); replies.flush(lines, nowMs);`
class ReplyQueue {
 public:
  struct Props {
    int64_t waitMs = 500;                               // for a line to come up, or for room on the link
    std::shared_ptr<policy::LinkShare> link = nullptr;  // null: no limit
  };
  /// How letters leave this process.
  struct Lines {
    std::function<bool(const std::string& to)> isUp;
    std::function<bool(const std::string& to, const std::string& body)> send;  // false: it surely did not leave
  };

  explicit ReplyQueue(Props props) : props_(std::move(props)) {}
  auto add(const std::string& to, const neighbour::Reply& reply, int64_t nowMs) -> void;
  /// Sends what may leave. A kept object for which the link has had no room for too long is refused, so that its asker
  /// turns elsewhere; any other reply then leaves all the same, since nobody else has it.
  auto flush(const Lines& lines, int64_t nowMs) -> void;
  /// Drops a reply that nobody waits for any more. Example: `replies.withdraw(letter.from, withdrawal);`
  auto withdraw(const std::string& to, const neighbour::Withdrawal& withdrawal) -> void;
  auto isEmpty() const -> bool { return waiting_.empty(); }

 private:
  struct Waiting {
    std::string to;
    neighbour::Reply reply;
    int64_t untilMs;
    auto withdrawal() const -> neighbour::Withdrawal { return {reply.id, reply.attempt, reply.life}; }
  };
  auto sortBySize() -> void;
  auto flushOne(const Waiting& waiting, const Lines& lines, int64_t nowMs) -> bool;

  Props props_;
  std::vector<Waiting> waiting_;
  bool isSorted_ = true;
};

}  // namespace dykestage::upstream
