// Policy: a slab that holds the continuations of requests under way.
#pragma once
#include <cstdint>
#include <optional>
#include <vector>

namespace dykestage::policy {

/// A bounded set of items under ids that are never valid twice.
/// Example: `auto id = slab.add(std::move(waiting)); if (!id) turnAway(); ... if (auto* w = slab.get(*id)) ...`
template <typename T>
class Slab {
 public:
  explicit Slab(size_t bound) : bound_(bound) {}
  auto add(T item) -> std::optional<uint64_t> {
    if (size_ >= bound_) return std::nullopt;
    uint32_t index = 0;
    if (free_.empty()) {
      index = static_cast<uint32_t>(places_.size());
      places_.emplace_back();
    } else {
      index = free_.back();
      free_.pop_back();
    }
    auto& place = places_[index];
    place.item.emplace(std::move(item));
    ++size_;
    return static_cast<uint64_t>(place.life) << 32 | index;
  }
  /// Null when the id is over. Example: `slab.get(reply.id)`
  auto get(uint64_t id) -> T* {
    auto index = static_cast<uint32_t>(id);
    if (index >= places_.size() || places_[index].life != id >> 32 || !places_[index].item) return nullptr;
    return &*places_[index].item;
  }
  /// Takes an item out; its id is over. Example: `auto waiting = slab.take(id);`
  auto take(uint64_t id) -> std::optional<T> {
    if (!get(id)) return std::nullopt;
    auto& place = places_[static_cast<uint32_t>(id)];
    auto item = std::move(place.item);
    place.item.reset();
    ++place.life;
    free_.push_back(static_cast<uint32_t>(id));
    --size_;
    return item;
  }
  /// The ids in use. Example: `for (auto id : slab.ids()) ...`
  auto ids() const -> std::vector<uint64_t> {
    std::vector<uint64_t> list;
    for (uint32_t i = 0; i < places_.size(); ++i)
      if (places_[i].item) list.push_back(static_cast<uint64_t>(places_[i].life) << 32 | i);
    return list;
  }
  auto size() const -> size_t { return size_; }

 private:
  struct Place {
    uint32_t life = 1;
    std::optional<T> item;
  };
  size_t bound_, size_ = 0;
  std::vector<Place> places_;
  std::vector<uint32_t> free_;
};

}  // namespace dykestage::policy
