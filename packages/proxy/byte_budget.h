#ifndef PROXY_BYTE_BUDGET_H_
#define PROXY_BYTE_BUDGET_H_

#include <cstddef>

namespace vanillafall {

// Limits the bytes that all users of one budget hold together, such as the
// bodies of all requests that are being received. Not thread-safe.
class ByteBudget {
 public:
  // What one user holds; returned to the budget when the share is destroyed.
  class Share {
   public:
    explicit Share(ByteBudget& budget) : budget_(budget) {}
    ~Share() { Release(); }
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    // Holds this many bytes from now on. Returns false and changes nothing when
    // the budget does not allow it.
    bool TrySetSize(std::size_t bytes) {
      if (bytes > bytes_ && bytes - bytes_ > budget_.limit_ - budget_.held_) {
        return false;
      }
      budget_.held_ = budget_.held_ - bytes_ + bytes;
      bytes_ = bytes;
      return true;
    }
    // A share that holds nothing does not touch its budget, which may be gone.
    void Release() {
      if (bytes_ > 0) {
        TrySetSize(0);
      }
    }

   private:
    ByteBudget& budget_;
    std::size_t bytes_ = 0;
  };

  explicit ByteBudget(std::size_t limit) : limit_(limit) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  std::size_t limit() const { return limit_; }
  std::size_t held() const { return held_; }

 private:
  const std::size_t limit_;
  std::size_t held_ = 0;
};

}  // namespace vanillafall

#endif  // PROXY_BYTE_BUDGET_H_
