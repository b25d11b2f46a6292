#ifndef TRANSPORT_PLATFORM_CLIENT_H_
#define TRANSPORT_PLATFORM_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace vanillafall {

// Read-only client of the platform's configuration service. It does reads one
// at a time on one thread and watches on another, so that a waiting watch never
// delays a read.
class PlatformClient {
 public:
  // A value stored by the service.
  struct Value {
    // Revision that the service assigned to this value; 0 when it has none.
    std::uint64_t revision = 0;
    std::string body;
  };

  // Called on either platform thread.
  class Listener {
   public:
    virtual ~Listener() = default;
    // A read or watch of this name has ended. There is no value when the
    // service could not be reached (is_reached is false then), has no such
    // value, or a watch ended without a change.
    virtual void OnPlatformValue(const std::string& name,
                                 std::optional<Value> value,
                                 bool is_reached) = 0;
  };

  PlatformClient(const std::string& address, Listener& listener);
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  // Starts both threads.
  void Start();
  // Aborts the calls in progress and ends the threads.
  void Stop();

  // Queues a read. Returns false when the queue is full.
  bool Read(std::string name);
  // Queues a watch that ends when the value's revision is greater than `after`,
  // or when the wait is over. Returns false when the queue is full.
  bool Watch(std::string name,
             std::uint64_t after,
             std::chrono::milliseconds wait);

  // Number of HTTP calls made so far, for metrics.
  std::uint64_t call_count() const;

 private:
  class RequestThread;
  class Impl;
  const std::unique_ptr<Impl> impl_;
};

}  // namespace vanillafall

#endif  // TRANSPORT_PLATFORM_CLIENT_H_
