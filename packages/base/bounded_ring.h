#ifndef BASE_BOUNDED_RING_H_
#define BASE_BOUNDED_RING_H_

#include <boost/lockfree/queue.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

namespace vanillafall {

// A bounded first-in first-out queue between threads. Any thread may push and
// any thread may pop. A full ring refuses the push, and the producer decides
// what that means for its message.
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

  // Takes the value and returns true, or returns false and leaves the value
  // with the caller when the ring is full.
  bool TryPush(T&& value) { return TryPushFrom(value); }

  // As TryPush, for a caller that tries again: the value is moved from only
  // when there is room.
  bool TryPushFrom(T& value) {
    auto holder = std::make_unique<T>(std::move(value));
    if (!queue_.bounded_push(holder.get())) {
      value = std::move(*holder);
      return false;
    }
    static_cast<void>(holder.release());
    return true;
  }

  // The oldest value, or nothing when the ring is empty.
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
