#ifndef TRANSPORT_PLATFORM_CLIENT_H_
#define TRANSPORT_PLATFORM_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace vanillafall {

// Reads and watches of the platform's configuration service. Reads go one at a
// time on a thread of their own, watches on another, so that a waiting watch
// holds up no read. The service can only be read.
class PlatformClient {
 public:
  struct Value {
    // Revision that the service gave this value; 0 when it has none.
    std::uint64_t revision = 0;
    std::string body;
  };

  // Called on either platform thread.
  class Listener {
   public:
    virtual ~Listener() = default;
    // A read has ended; no value when the service could not be reached, has
    // none, or a watch ended without a change.
    virtual void OnPlatformValue(const std::string& name,
                                 std::optional<Value> value,
                                 bool is_reached) = 0;
  };

  PlatformClient(const std::string& address, Listener& listener);
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  void Start();
  void Stop();

  // Queues a read; false when the ring is full.
  bool Read(std::string name);
  // Queues a watch that ends when the revision exceeds the one given, or after
  // the wait.
  bool Watch(std::string name,
             std::uint64_t after,
             std::chrono::milliseconds wait);

  // Calls made so far, for metrics.
  std::uint64_t call_count() const;

 private:
  class RequestThread;
  class Impl;
  const std::unique_ptr<Impl> impl_;
};

}  // namespace vanillafall

#endif  // TRANSPORT_PLATFORM_CLIENT_H_
