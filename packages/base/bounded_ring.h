#ifndef BASE_BOUNDED_RING_H_
#define BASE_BOUNDED_RING_H_

#include <boost/lockfree/queue.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

namespace vanillafall {

// A FIFO queue of fixed capacity. Any thread may push and any thread may pop.
// A push to a full queue fails, and the producer decides what happens to its
// value.
template <typename T>
class BoundedRing {
 public:
  explicit BoundedRing(std::size_t capacity) : queue_(capacity) {}
  ~BoundedRing() {
    while (TryPop()) {
    }
  }
  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;

  // Moves the value into the queue and returns true. Returns false and leaves
  // the value unchanged when the queue is full.
  bool TryPush(T&& value) { return TryPushFrom(value); }

  // As TryPush, but takes an lvalue, so that a caller can retry with the same
  // variable: a failed push leaves the value in it.
  bool TryPushFrom(T& value) {
    auto holder = std::make_unique<T>(std::move(value));
    if (!queue_.bounded_push(holder.get())) {
      value = std::move(*holder);
      return false;
    }
    static_cast<void>(holder.release());
    return true;
  }

  // Removes and returns the oldest value; empty when the queue is empty.
  std::optional<T> TryPop() {
    T* raw = nullptr;
    if (!queue_.pop(raw)) {
      return std::nullopt;
    }
    const std::unique_ptr<T> holder(raw);
    return std::optional<T>(std::move(*holder));
  }

 private:
  boost::lockfree::queue<T*> queue_;
};

}  // namespace vanillafall

#endif  // BASE_BOUNDED_RING_H_
