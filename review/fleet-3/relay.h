#ifndef REVIEW_FLEET_3_RELAY_H_
#define REVIEW_FLEET_3_RELAY_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "fleet.h"

namespace review {

// Passes the connections of the daemons on to the store, and can let open ones
// go silent: they stay open and take all bytes, but pass none on.
class Relay {
 public:
  Relay(const std::string& ip, std::string store_address);
  const std::string& address() const { return listener_->address(); }
  // From now on, the open connections on which the configuration is watched are
  // silent for good. Returns how many there are.
  int SilenceConfigWatches();

 private:
  // One connection, in both directions.
  struct Passage {
    std::atomic<bool> is_watch = false;
    std::atomic<bool> is_silent = false;
    std::atomic<bool> is_over = false;
  };

  void Serve(const Socket& from_daemon);
  static void Pass(const Socket& from, const Socket& to, Passage& passage);

  const std::string store_address_;
  std::mutex mutex_;
  std::vector<std::shared_ptr<Passage>> passages_;
  std::unique_ptr<Listener> listener_;
};

}  // namespace review

#endif  // REVIEW_FLEET_3_RELAY_H_
