// Neighbour: bounded inboxes between threads, the wire between own processes, and who watches whom.
#pragma once
#include <sys/eventfd.h>
#include <unistd.h>

#include <boost/lockfree/queue.hpp>
#include <memory>
#include <vector>

#include "disk/ring.hpp"

namespace dykestage::neighbour {

/// A bounded inbox that any thread may push to and one thread drains; its fd becomes readable on a push.
/// Example: `Inbox<Item> inbox(1024); if (!inbox.push(item)) turnAway();`
template <typename T>
class Inbox {
 public:
  explicit Inbox(size_t bound) : items_(bound), fd_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}
  ~Inbox() {
    items_.consume_all([](T* item) { delete item; });
  }
  Inbox(const Inbox&) = delete;
  auto operator=(const Inbox&) -> Inbox& = delete;

  /// False when it is full: the caller turns the item away. Example: `inbox.push(std::move(request))`
  auto push(T item) -> bool {
    auto held = std::make_unique<T>(std::move(item));
    if (!items_.bounded_push(held.get())) return false;
    (void)held.release();
    // It is queued, whatever becomes of the wake-up: a descriptor that takes no more is readable already.
    uint64_t one = 1;
    (void)!::write(fd_.get(), &one, sizeof one);
    return true;
  }
  /// Takes everything that waits. Example: `for (auto& item : inbox.take()) ...`
  auto take() -> std::vector<T> {
    uint64_t count = 0;
    (void)!::read(fd_.get(), &count, sizeof count);
    std::vector<T> list;
    T* item = nullptr;
    while (items_.pop(item)) {
      std::unique_ptr<T> held(item);
      list.push_back(std::move(*held));
    }
    return list;
  }
  /// For poll(2). Example: `pollfd{inbox.fd(), POLLIN, 0}`
  auto fd() const -> int { return fd_.get(); }

 private:
  boost::lockfree::queue<T*> items_;
  disk::Fd fd_;
};

}  // namespace dykestage::neighbour
