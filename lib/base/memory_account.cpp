#include "base/memory_account.hpp"

#include <malloc.h>

#include <algorithm>

namespace dykestage {

namespace {
constexpr int kMappedBlockBytes = 256 << 10;  // blocks from this size on are mapped each for itself
constexpr size_t kFallenPart = 4;
}  // namespace

auto MemoryAccount::boundFor(size_t holderBytes) const -> size_t {
  return holderBytes <= options_.smallBytes ? options_.totalBytes : largestBytes();
}

auto MemoryAccount::draw(MemoryUse use, size_t heldBytes, size_t moreBytes) -> bool {
  auto bound = boundFor(heldBytes + moreBytes);
  auto used = used_.load();
  do {
    if (used > bound || moreBytes > bound - used) {
      ++refusals_;
      return false;
    }
  } while (!used_.compare_exchange_weak(used, used + moreBytes));
  usedFor_.at(static_cast<size_t>(use)) += moreBytes;
  return true;
}

auto MemoryAccount::giveBack(MemoryUse use, size_t bytes) -> void {
  usedFor_.at(static_cast<size_t>(use)) -= bytes;
  used_ -= bytes;
}

auto MemoryAccount::hasRoom(size_t heldBytes, size_t moreBytes) const -> bool {
  auto bound = boundFor(heldBytes + moreBytes);
  auto used = used_.load();
  return used <= bound && moreBytes <= bound - used;
}

auto MemoryAccount::largeRoomBytes() const -> size_t {
  auto used = used_.load();
  return largestBytes() - std::min(used, largestBytes());
}

auto MemoryGrant::operator=(MemoryGrant&& other) noexcept -> MemoryGrant& {
  if (this == &other) return *this;
  release();
  account_ = std::move(other.account_);
  use_ = other.use_;
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

auto MemoryGrant::grow(size_t moreBytes) -> bool {
  if (account_ && !account_->draw(use_, bytes_, moreBytes)) return false;
  bytes_ += moreBytes;
  return true;
}

auto MemoryGrant::shrinkTo(size_t bytes) -> void {
  if (bytes >= bytes_) return;
  auto surplus = bytes_ - bytes;
  bytes_ = bytes;
  if (account_) account_->giveBack(use_, surplus);
}

auto MemoryGrant::release() -> void {
  shrinkTo(0);
}

auto returnLargeBlocks() -> void {
  ::mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
}

auto MemoryReturn::observe(size_t usedBytes) -> bool {
  peakBytes_ = std::max(peakBytes_, usedBytes);
  if (peakBytes_ < leastBytes_ || usedBytes > peakBytes_ / kFallenPart) return false;
  peakBytes_ = usedBytes;
  ::malloc_trim(0);
  return true;
}

}  // namespace dykestage
