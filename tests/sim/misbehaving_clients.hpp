// Sim: clients that don't keep to any limit: bodies that stop short or never end, answers that are read slowly or not
// at all, connections that say nothing. All of them share the caller's thread.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "disk/ring.hpp"

namespace dykestage::sim {

/// What one client sends, and how it reads what comes back.
struct Misbehaviour {
  static constexpr uint64_t kEndless = UINT64_MAX;
  std::string head = {};       // sent first
  std::string block = {};      // sent after it, `blocks` times
  uint64_t blocks = 0;         // kEndless: until the connection ends
  std::string tail = {};       // sent last
  size_t readBytes = 1 << 16;  // of the answer at a time; 0: it reads nothing
  int64_t readEveryMs = 0;
};

/// A body in chunks of one size, as a Misbehaviour's block. Example: `client.block = chunksOf(64 << 10, 1);`
auto chunksOf(size_t chunkBytes, size_t chunks) -> std::string;

/// Example:
///   MisbehavingClients crowd(address);
///   for (auto i = 0; i < 60; ++i) crowd.add(stopsShort);
///   crowd.run(5000, [&] { watch.sample(); });
class MisbehavingClients {
 public:
  explicit MisbehavingClients(std::string address) : address_(std::move(address)) {}
  auto add(const Misbehaviour& behaviour) -> void;
  /// Lets the clients act until none of them can send any more, or for `mostMs`; `sample` is called all along.
  template <typename Sample>
  auto run(int64_t mostMs, const Sample& sample) -> void {
    auto untilMs = beginRun(mostMs);
    while (step(untilMs))
      sample();
    sample();
  }
  /// Goes on for the whole of `forMs`, also while none of them sends.
  template <typename Sample>
  auto stay(int64_t forMs, const Sample& sample) -> void {
    auto untilMs = beginRun(forMs);
    while (stepUntil(untilMs))
      sample();
  }
  /// Lets the clients do what they can at once.
  auto actNow() -> void { act(0); }
  /// The status of each client's first answer, in the order in which they were added; 0: none has come.
  auto statuses() const -> std::vector<int>;
  /// Lets every client send its blocks and its tail once more.
  auto again() -> void;
  /// Closes all connections.
  auto leave() -> void { clients_.clear(); }

 private:
  struct Client {
    Misbehaviour behaviour;
    disk::Fd socket;
    std::string unsent;
    uint64_t blocksLeft = 0;
    bool isTailSent = false, isOver = false;
    std::string start;  // of the answer
    int64_t readMs = 0;
  };
  static auto beginRun(int64_t mostMs) -> int64_t;
  auto step(int64_t untilMs) -> bool;
  auto stepUntil(int64_t untilMs) -> bool;
  auto act(int64_t waitMs) -> bool;
  static auto write(Client& client) -> bool;
  static auto read(Client& client, int64_t nowMs) -> void;
  static auto hasMore(Client& client) -> bool;

  std::string address_;
  std::vector<Client> clients_;
  int64_t stillSinceMs_ = 0;
};

}  // namespace dykestage::sim
