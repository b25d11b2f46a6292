// Stand-in for the network between daemons: a TCP relay.
//
// Each route listens on one address and forwards every connection to a target
// address. A direction that is held forwards nothing. As on a network that
// drops packets, its bytes arrive late and in order if the hold ends, and never
// if the connection is reset before that.
//
//   POST /admin/mode?KEY=VALUE...     replaces the whole mode of a route:
//        route=N          number of the route, from 1; all routes if absent
//        hold=in|out|both holds bytes to the target, from the target, or both
//        share=P          percentage of the connections that a hold affects
//        delay_ms=N       delay before each received block is forwarded
//        reset=1          resets the connections that are open now
//        silence=P        percentage of the connections open now that pass
//                         nothing on again; their bytes are still acknowledged

#include <poll.h>
#include <sys/socket.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <iostream>
#include <mutex>
#include <set>
#include <system_error>
#include <thread>

#include "standins/standin_server.h"
#include "transport/address.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kBacklog = 128;
constexpr std::size_t kBufferBytes = 16'384;
constexpr milliseconds kHoldPollInterval{5};
constexpr std::int64_t kPercent = 100;

int OpenSocket() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    throw std::system_error(errno, std::generic_category(), "socket");
  }
  return fd;
}

// Throws std::system_error when the text is not HOST:PORT.
sockaddr_in RequireAddress(const std::string& text) {
  const auto address = ParseAddress(text);
  if (!address) {
    throw std::system_error(EINVAL, std::generic_category(), text);
  }
  return *address;
}

// Owns the two sockets of one relayed connection. Shared by the threads of both
// directions; the destructor closes the sockets.
class Connection {
 public:
  Connection(int caller, int target, std::int64_t number)
      : caller_(caller), target_(target), number_(number) {}
  ~Connection() {
    close(caller_);
    close(target_);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  int caller() const { return caller_; }
  int target() const { return target_; }
  std::int64_t number() const { return number_; }
  bool is_closed() const { return is_closed_; }
  bool is_silent() const { return is_silent_; }

  // From now on, the connection stays open and drops what it receives.
  void Silence() { is_silent_ = true; }

  // Shuts both sockets down. With with_reset, closing them sends TCP resets.
  void Close(bool with_reset) {
    if (is_closed_.exchange(true)) {
      return;
    }
    for (const int fd : {caller_, target_}) {
      if (with_reset) {
        const linger reset{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      }
      shutdown(fd, SHUT_RDWR);
    }
  }

 private:
  const int caller_;
  const int target_;
  const std::int64_t number_;
  std::atomic<bool> is_closed_{false};
  std::atomic<bool> is_silent_{false};
};

// Forwards the connections of one listening address to its target. Each
// connection has one thread per direction.
class Route {
 public:
  Route(const std::string& listen_address, const std::string& target)
      : target_(RequireAddress(target)), listener_(OpenSocket()) {
    const sockaddr_in address = RequireAddress(listen_address);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto* socket_address = reinterpret_cast<const sockaddr*>(&address);
    if (bind(listener_, socket_address, sizeof(address)) != 0 ||
        listen(listener_, kBacklog) != 0) {
      throw std::system_error(errno, std::generic_category(), listen_address);
    }
    std::thread([this] { Accept(); }).detach();
  }
  // Detached threads use the route until the process exits.
  ~Route() = delete;
  Route(const Route&) = delete;
  Route& operator=(const Route&) = delete;

  void SetMode(const StandinServer::Request& request) {
    const auto hold = request.arguments.find("hold");
    const std::string text =
        hold == request.arguments.end() ? "" : hold->second;
    hold_in_ = text == "in" || text == "both";
    hold_out_ = text == "out" || text == "both";
    held_percent_ = request.GetNumber("share", kPercent);
    delay_ms_ = request.GetNumber("delay_ms", 0);
    if (request.GetNumber("reset", 0) != 0) {
      ResetConnections();
    }
    SilenceConnections(request.GetNumber("silence", 0));
  }

 private:
  void Accept() {
    while (true) {
      const int caller = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (caller < 0) {
        continue;
      }
      RelayConnection(caller);
    }
  }

  void RelayConnection(int caller) {
    const int target = OpenSocket();
    const auto connection =
        std::make_shared<Connection>(caller, target, ++last_connection_number_);
    const auto* socket_address = reinterpret_cast<const sockaddr*>(&target_);
    if (connect(target, socket_address, sizeof(target_)) != 0) {
      connection->Close(true);
      return;
    }
    {
      const std::lock_guard lock(mutex_);
      connections_.insert(connection);
    }
    std::thread([this, connection] {
      Forward(*connection, connection->caller(), connection->target(),
              hold_in_);
    }).detach();
    std::thread([this, connection] {
      Forward(*connection, connection->target(), connection->caller(),
              hold_out_);
      const std::lock_guard lock(mutex_);
      connections_.erase(connection);
    }).detach();
  }

  // Selects about this percentage of the connections; the selection depends
  // only on the connection number.
  static bool IsInShare(const Connection& connection, std::int64_t percent) {
    return connection.number() * 37 % kPercent < percent;
  }

  bool IsHeld(const Connection& connection,
              const std::atomic<bool>& hold) const {
    return hold && IsInShare(connection, held_percent_);
  }

  // Copies bytes from one socket to the other until either fails, and then
  // closes the connection.
  void Forward(Connection& connection,
               int from,
               int to,
               const std::atomic<bool>& hold) {
    std::array<char, kBufferBytes> buffer{};
    while (!connection.is_closed()) {
      const ssize_t count = recv(from, buffer.data(), buffer.size(), 0);
      if (count <= 0) {
        break;
      }
      while (IsHeld(connection, hold) && !connection.is_closed()) {
        std::this_thread::sleep_for(kHoldPollInterval);
      }
      std::this_thread::sleep_for(milliseconds(delay_ms_));
      if (connection.is_silent()) {
        continue;
      }
      if (!SendAll(to, buffer.data(), static_cast<std::size_t>(count))) {
        break;
      }
    }
    connection.Close(false);
  }

  static bool SendAll(int to, const char* data, std::size_t size) {
    while (size > 0) {
      const ssize_t sent = send(to, data, size, MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      data += sent;
      size -= static_cast<std::size_t>(sent);
    }
    return true;
  }

  void ResetConnections() {
    const std::lock_guard lock(mutex_);
    for (const auto& connection : connections_) {
      connection->Close(true);
    }
  }

  void SilenceConnections(std::int64_t percent) {
    const std::lock_guard lock(mutex_);
    for (const auto& connection : connections_) {
      if (IsInShare(*connection, percent)) {
        connection->Silence();
      }
    }
  }

  const sockaddr_in target_;
  const int listener_;
  std::atomic<bool> hold_in_{false};
  std::atomic<bool> hold_out_{false};
  std::atomic<std::int64_t> held_percent_{kPercent};
  std::atomic<std::int64_t> delay_ms_{0};
  std::int64_t last_connection_number_ = 0;
  std::mutex mutex_;
  std::set<std::shared_ptr<Connection>> connections_;
};

// Opens the route "LISTEN=TARGET", which is never deleted. Throws
// std::system_error when the text is malformed or the port can't be opened.
Route* OpenRoute(const std::string& text) {
  const std::size_t at = text.find('=');
  if (at == std::string::npos) {
    throw std::system_error(EINVAL, std::generic_category(), text);
  }
  return new Route(text.substr(0, at), text.substr(at + 1));
}

StandinServer::Response SetMode(const std::vector<Route*>& routes,
                                const StandinServer::Request& request) {
  if (request.path != "/admin/mode") {
    return {{kNotFound, {}, ""}};
  }
  const std::int64_t number = request.GetNumber("route", 0);
  for (std::size_t i = 0; i < routes.size(); ++i) {
    if (number == 0 || number == static_cast<std::int64_t>(i) + 1) {
      routes[i]->SetMode(request);
    }
  }
  return {{kOk, {}, "ok\n"}};
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Stand-in for the network between daemons");
  TCLAP::ValueArg<std::string> admin("", "admin",
                                     "address of the admin interface", true, "",
                                     "HOST:PORT", line);
  TCLAP::UnlabeledMultiArg<std::string> route_texts(
      "routes", "routes to relay", true, "LISTEN=TARGET", line);
  line.parse(argc, argv);
  BlockStopSignals();
  std::vector<Route*> routes;
  for (const std::string& text : route_texts.getValue()) {
    routes.push_back(OpenRoute(text));
  }
  const StandinServer server(admin.getValue(),
                             [&routes](const StandinServer::Request& request) {
                               return SetMode(routes, request);
                             });
  WaitForStopSignal();
  // Skips destructors: the forwarding threads still use their routes.
  _exit(0);
}

}  // namespace
}  // namespace vanillafall

int main(int argc, char** argv) {
  return vanillafall::Main(argc, argv);
}
