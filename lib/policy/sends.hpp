// Policy: how many upstreams one try of a client may be sent to, shared by all nodes that work on it, and which fetch
// requests a node has seen before. Pure.
#pragma once
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace dykestage::policy {

/// The sends of one try. The node that took the request from its client keeps the account and grants sends to the nodes
/// that it hands the request to. What is granted counts as used until its receiver says otherwise, so that a lost
/// message, a silent node or a late one can only make the sum smaller than the limit.
/// Example: `SendAccount sends(route.tries); if (auto attempt = sends.open(1)) handOn(*attempt); sends.close(0, 0);`
class SendAccount {
 public:
  explicit SendAccount(int64_t limit = 1) : left_(limit) {}
  /// Opens an attempt that may send `count` times, or as often as is left; none when nothing is left.
  auto open(int64_t count) -> std::optional<uint32_t>;
  /// Raises an attempt's grant to `total` as far as the limit allows, and tells its grant; 0 when it is closed.
  /// Raising to the same total again grants nothing more.
  auto raise(uint32_t attempt, int64_t total) -> int64_t;
  /// Ends an attempt that has used `used` sends; the others may be granted again. False when it was closed before.
  auto close(uint32_t attempt, int64_t used) -> bool;
  /// Ends an attempt of which nothing is known: all that it was granted stays used.
  auto closeUnknown(uint32_t attempt) -> bool;
  auto isOpen(uint32_t attempt) const -> bool { return attempt < attempts_.size() && attempts_[attempt].isOpen; }
  auto openCount() const -> size_t;
  /// Sends that have been granted to nobody.
  auto left() const -> int64_t { return left_; }

 private:
  struct Attempt {
    int64_t granted = 0;
    bool isOpen = true;
  };
  int64_t left_;
  std::vector<Attempt> attempts_;
};

/// The fetch requests of other nodes that were taken lately: one that arrives again is not worked on again.
/// Example: `SeenRequests seen(4000); if (!seen.add({from, ask.life, ask.id, ask.attempt}, nowMs)) return;`
class SeenRequests {
 public:
  struct Key {
    std::string from;
    uint64_t life = 0, id = 0;
    uint32_t attempt = 0;
    auto operator<(const Key& other) const -> bool {
      return std::tie(life, id, attempt, from) < std::tie(other.life, other.id, other.attempt, other.from);
    }
  };
  explicit SeenRequests(int64_t keptMs) : keptMs_(keptMs) {}
  /// False when it has been added before, within the time that requests are remembered.
  auto add(Key key, int64_t nowMs) -> bool;
  auto size() const -> size_t { return keys_.size(); }

 private:
  int64_t keptMs_;
  std::set<Key> keys_;
  std::deque<std::pair<int64_t, std::set<Key>::iterator>> order_;
};

}  // namespace dykestage::policy
