// Base: one account of the memory that a process holds for others: what clients sent, what upstreams answered, what
// waits to be read. Whoever is about to hold something draws from the account first.
#pragma once
#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

namespace dykestage {

/// What memory is held for.
enum class MemoryUse : uint8_t {
  kConnections,  // of clients, without what they have sent
  kRequests,     // heads and bodies of clients' requests
  kAnswers,      // upstreams' answers, until they are read or leave the cache
  kPeers,        // what other processes of the system sent
};

inline constexpr size_t kMemoryUses = 4;

/// Bounds the sum of what is held. The account is parted: a holder of at most `smallBytes` may use all of it, larger
/// ones leave the reserve free, so that ordinary requests find room whatever large ones hold. Any thread may call it.
/// Example: `if (!account.draw(MemoryUse::kRequests, body.size(), piece.size())) return refuse();`
class MemoryAccount {
 public:
  struct Options {
    size_t totalBytes = SIZE_MAX;
    size_t reserveBytes = 0;  // of the total, for holders that stay small
    size_t smallBytes = 32 << 10;
  };
  explicit MemoryAccount(Options options) : options_(options) {}

  /// Draws for a holder that has `heldBytes` already; false, and nothing is drawn, where there is no room.
  auto draw(MemoryUse use, size_t heldBytes, size_t moreBytes) -> bool;
  auto giveBack(MemoryUse use, size_t bytes) -> void;
  /// True while `draw` would be granted. Example: `if (!account.hasRoom(0, announcedBytes)) return refuse();`
  auto hasRoom(size_t heldBytes, size_t moreBytes) const -> bool;
  /// What large holders may still draw. Example: `if (account.largeRoomBytes() < mostBodyBytes) cache.evict(...)`
  auto largeRoomBytes() const -> size_t;
  /// The most that one holder may have while there is no other.
  auto largestBytes() const -> size_t { return options_.totalBytes - options_.reserveBytes; }
  auto totalBytes() const -> size_t { return options_.totalBytes; }
  auto usedBytes() const -> size_t { return used_.load(); }
  auto usedBytes(MemoryUse use) const -> size_t { return usedFor_.at(static_cast<size_t>(use)).load(); }
  /// How often there was no room. Example: `if (account.refusals() != seenBefore) relieve();`
  auto refusals() const -> uint64_t { return refusals_.load(); }

 private:
  auto boundFor(size_t holderBytes) const -> size_t;

  Options options_;
  std::atomic<size_t> used_{0};
  std::array<std::atomic<size_t>, kMemoryUses> usedFor_{};
  std::atomic<uint64_t> refusals_{0};
};

/// What one holder has drawn; it goes back when the grant ends. Without an account everything is granted.
/// Example: `MemoryGrant grant(account, MemoryUse::kRequests); if (grant.grow(piece.size())) body += piece;`
class MemoryGrant {
 public:
  MemoryGrant() = default;
  MemoryGrant(std::shared_ptr<MemoryAccount> account, MemoryUse use) : account_(std::move(account)), use_(use) {}
  ~MemoryGrant() { release(); }
  MemoryGrant(const MemoryGrant&) = delete;
  auto operator=(const MemoryGrant&) -> MemoryGrant& = delete;
  MemoryGrant(MemoryGrant&& other) noexcept
      : account_(std::move(other.account_)), use_(other.use_), bytes_(std::exchange(other.bytes_, 0)) {}
  auto operator=(MemoryGrant&& other) noexcept -> MemoryGrant&;

  /// Draws more for the same holder; false, and it has what it had, where there is no room.
  auto grow(size_t moreBytes) -> bool;
  /// Gives back what goes beyond `bytes`. Example: `grant.shrinkTo(body.size());`
  auto shrinkTo(size_t bytes) -> void;
  /// Gives all of it back.
  auto release() -> void;
  auto bytes() const -> size_t { return bytes_; }

 private:
  std::shared_ptr<MemoryAccount> account_;
  MemoryUse use_ = MemoryUse::kRequests;
  size_t bytes_ = 0;
};

/// Lets blocks of some size go back to the system as soon as they are free; called once, before threads start.
auto returnLargeBlocks() -> void;

/// Hands free memory back to the system once a crowd has left: when what is held has fallen to a quarter of its peak.
/// Example: once a round `memoryReturn.observe(account->usedBytes());`
class MemoryReturn {
 public:
  /// Peaks below `leastBytes` are not worth the work.
  explicit MemoryReturn(size_t leastBytes) : leastBytes_(leastBytes) {}
  /// True when memory was handed back.
  auto observe(size_t usedBytes) -> bool;

 private:
  size_t leastBytes_;
  size_t peakBytes_ = 0;
};

}  // namespace dykestage
