#include "relay.h"

#include <sys/socket.h>

#include <array>
#include <string_view>
#include <thread>
#include <utility>

namespace review {

Relay::Relay(const std::string& ip, std::string store_address)
    : store_address_(std::move(store_address)) {
  listener_ = std::make_unique<Listener>(
      ip, [this](const Socket& socket) { Serve(socket); });
}

int Relay::SilenceConfigWatches() {
  const std::lock_guard lock(mutex_);
  int silenced = 0;
  for (const auto& passage : passages_) {
    if (passage->is_watch && !passage->is_over) {
      passage->is_silent = true;
      ++silenced;
    }
  }
  return silenced;
}

void Relay::Pass(const Socket& from, const Socket& to, Passage& passage) {
  std::array<char, std::size_t{16} * 1024> bytes{};
  while (true) {
    const ssize_t count =
        from.Read(bytes.data(), bytes.size(), std::chrono::hours(1));
    if (count <= 0) {
      break;
    }
    const std::string_view text(bytes.data(), static_cast<std::size_t>(count));
    if (text.find("/api/kv-watch?prefix=op/config") != std::string_view::npos) {
      passage.is_watch = true;
    }
    if (!passage.is_silent && !to.Send(std::string(text))) {
      break;
    }
  }
  passage.is_over = true;
  shutdown(to.fd(), SHUT_RDWR);
}

void Relay::Serve(const Socket& from_daemon) {
  const auto passage = std::make_shared<Passage>();
  {
    const std::lock_guard lock(mutex_);
    passages_.push_back(passage);
  }
  const auto to_store = Socket::Connect(store_address_);
  std::thread back([&] { Pass(*to_store, from_daemon, *passage); });
  Pass(from_daemon, *to_store, *passage);
  back.join();
}

}  // namespace review
