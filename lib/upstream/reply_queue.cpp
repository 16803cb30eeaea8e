#include "upstream/reply_queue.hpp"

#include <algorithm>
#include <utility>

#include "caller/codes.hpp"

namespace dykestage::upstream {

namespace {
auto refusalOf(const neighbour::Reply& reply, int64_t retryMs) -> neighbour::Reply {
  neighbour::Reply refusal;
  refusal.id = reply.id;
  refusal.life = reply.life;
  refusal.code = caller::kShieldFull;
  refusal.retryMs = retryMs;
  return refusal;
}

// About what it measures as a letter.
auto sizeOf(const neighbour::Reply& reply) -> size_t {
  constexpr size_t kFixedBytes = 128;
  constexpr size_t kLengthBytes = 4;
  auto bytes = kFixedBytes + reply.body.size();
  for (const auto& [name, value] : reply.headers)
    bytes += name.size() + value.size() + 2 * kLengthBytes;
  return bytes;
}
}  // namespace

auto ReplyQueue::add(const std::string& to, const neighbour::Reply& reply, int64_t nowMs) -> void {
  waiting_.push_back({to, reply, nowMs + props_.waitMs});
  isSorted_ = waiting_.size() == 1;
}

auto ReplyQueue::sortBySize() -> void {
  if (std::exchange(isSorted_, true)) return;
  std::stable_sort(waiting_.begin(), waiting_.end(),
                   [](const Waiting& a, const Waiting& b) { return sizeOf(a.reply) < sizeOf(b.reply); });
}

auto ReplyQueue::withdraw(const std::string& to, const neighbour::Withdrawal& withdrawal) -> void {
  std::erase_if(waiting_,
                [&](const Waiting& waiting) { return waiting.to == to && waiting.withdrawal() == withdrawal; });
}

auto ReplyQueue::flush(const Lines& lines, int64_t nowMs) -> void {
  sortBySize();
  std::erase_if(waiting_, [&](const Waiting& waiting) { return flushOne(waiting, lines, nowMs); });
}

// True when nothing is left to be done for it.
auto ReplyQueue::flushOne(const Waiting& waiting, const Lines& lines, int64_t nowMs) -> bool {
  auto isOver = nowMs >= waiting.untilMs;
  // A line that is just coming up is waited for; a process that has gone is not.
  if (!lines.isUp(waiting.to)) return isOver;
  const auto& reply = waiting.reply;
  auto hasRoom = !props_.link || props_.link->admit(sizeOf(reply), nowMs);
  if (hasRoom) return lines.send(waiting.to, Writer().put(reply).take()) || isOver;
  if (!isOver) return false;
  auto mayRefuse = reply.keepMs > 0;
  lines.send(waiting.to, Writer().put(mayRefuse ? refusalOf(reply, props_.waitMs) : reply).take());
  return true;
}

}  // namespace dykestage::upstream
