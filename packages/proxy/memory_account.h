#ifndef PROXY_MEMORY_ACCOUNT_H_
#define PROXY_MEMORY_ACCOUNT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "message/body.h"

namespace vanillafall {

// The bytes that one process holds for others: heads, bodies and frames, from
// the first read until the last reference is gone. Large holdings leave a share
// of the limit to small ones, so that requests of ordinary size are served
// while large bodies fill the memory. Not thread-safe.
class MemoryAccount {
 public:
  // What the bytes are. A body keeps the stage at which it was received.
  enum class Stage : std::uint8_t {
    // Heads, chunk headers and bytes read ahead on callers' connections.
    kCallerHeads,
    // Bodies of callers' requests.
    kCallerBodies,
    // Messages from other daemons, and the bodies in them.
    kLinkInput,
    // Answers of the backend server.
    kBackendAnswers,
    // Encoded messages that wait to be written to other daemons.
    kLinkOutput,
    // What the kernel holds of long answers to callers.
    kKernel,
  };
  static constexpr std::size_t kStages = 6;
  static constexpr std::array<const char*, kStages> kStageNames = {
      "caller_heads",    "caller_bodies", "link_input",
      "backend_answers", "link_output",   "kernel"};
  // Holdings up to this size may use the share for small ones.
  static constexpr std::size_t kMaxSmallBytes = std::size_t{64} * 1024;

 private:
  struct State {
    std::size_t limit = 0;
    std::size_t large_limit = 0;
    std::array<std::size_t, kStages> held{};
    std::size_t total = 0;
  };

 public:
  // What one user holds; returned when the share is destroyed. A share may
  // outlive its account.
  class Share {
   public:
    Share(const MemoryAccount& account, Stage stage)
        : state_(account.state_), stage_(stage) {}
    ~Share() { Release(); }
    Share(Share&& other) noexcept
        : state_(other.state_),
          stage_(other.stage_),
          bytes_(std::exchange(other.bytes_, 0)) {}
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;
    Share& operator=(Share&&) = delete;

    // Holds this many bytes from now on. Returns false and changes nothing when
    // the account has no room for it.
    bool TrySetSize(std::size_t bytes) {
      const std::size_t limit =
          bytes > kMaxSmallBytes ? state_->large_limit : state_->limit;
      if (bytes > bytes_ && state_->total + (bytes - bytes_) > limit) {
        return false;
      }
      SetSize(bytes);
      return true;
    }
    // As TrySetSize, for bytes that are held already.
    void SetSize(std::size_t bytes) {
      std::size_t& held = state_->held[static_cast<std::size_t>(stage_)];
      held = held - bytes_ + bytes;
      state_->total = state_->total - bytes_ + bytes;
      bytes_ = bytes;
    }
    void Release() {
      if (bytes_ > 0) {
        SetSize(0);
      }
    }
    std::size_t size() const { return bytes_; }

   private:
    const std::shared_ptr<State> state_;
    const Stage stage_;
    std::size_t bytes_ = 0;
  };

  explicit MemoryAccount(std::size_t limit)
      : state_(std::make_shared<State>()) {
    constexpr std::size_t kSmallShareDivisor = 16;
    state_->limit = limit;
    state_->large_limit = limit - limit / kSmallShareDivisor;
  }
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  // The largest body that fits while nothing else is held.
  std::size_t max_body_bytes() const { return state_->large_limit; }
  std::size_t limit() const { return state_->limit; }
  std::size_t held() const { return state_->total; }
  std::size_t held(Stage stage) const {
    return state_->held[static_cast<std::size_t>(stage)];
  }
  bool HasRoomFor(std::size_t bytes) const {
    return state_->total + bytes <=
           (bytes > kMaxSmallBytes ? state_->large_limit : state_->limit);
  }

  // Makes a body that holds the share until the last message with it is gone.
  static Body MakeBody(std::string text, Share share) {
    struct Held {
      Held(std::string held_text, Share held_share)
          : text(std::move(held_text)), share(std::move(held_share)) {}
      std::string text;
      Share share;
    };
    if (text.empty()) {
      return {};
    }
    share.SetSize(text.capacity());
    const auto held = std::make_shared<Held>(std::move(text), std::move(share));
    return Body(std::shared_ptr<std::string>(held, &held->text));
  }

 private:
  const std::shared_ptr<State> state_;
};

}  // namespace vanillafall

#endif  // PROXY_MEMORY_ACCOUNT_H_
