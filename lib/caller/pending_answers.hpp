// Caller: answers that clients have not taken yet.
#pragma once
#include <poll.h>

#include <cstdint>
#include <memory>
#include <vector>

#include "base/memory_account.hpp"
#include "caller/stream.hpp"

namespace dykestage::caller {

/// Goes on writing answers, and gives up on clients that read too slowly while memory is short. For one thread.
/// Example: `pending.add(stream); pending.pollFor(fds); ::poll(...); pending.flush(nowMs);`
class PendingAnswers {
 public:
  /// `memory` is the account from which the answers are drawn; null: no client is given up on.
  explicit PendingAnswers(std::shared_ptr<MemoryAccount> memory = nullptr) : memory_(std::move(memory)) {}
  auto add(std::shared_ptr<Stream> stream) -> void { streams_.push_back(std::move(stream)); }
  /// Adds what poll(2) is to wait for.
  auto pollFor(std::vector<pollfd>& fds) const -> void;
  /// Writes what the clients take, the answer of which least is left first: none waits behind one that takes much
  /// longer.
  auto flush(int64_t nowMs) -> void;
  auto isEmpty() const -> bool { return streams_.empty(); }
  /// Clients given up on since the start.
  auto shed() const -> uint64_t { return shed_; }

 private:
  auto shedSlowest(int64_t nowMs) -> void;

  std::shared_ptr<MemoryAccount> memory_;
  std::vector<std::shared_ptr<Stream>> streams_;
  uint64_t refusalsSeen_ = 0, shed_ = 0;
  int64_t lookedMs_ = 0;
};

/// Draws for the body of a page or a long list of faults; where there is no room, the answer becomes a refusal. Short
/// answers, as those that acknowledge something, pass as they are. Example: `auto page = drawn(memory,
/// std::move(page));`
auto drawn(const std::shared_ptr<MemoryAccount>& memory, Answer answer) -> Answer;

}  // namespace dykestage::caller
