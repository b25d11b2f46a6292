#ifndef TRANSPORT_RAW_SOCKET_TEST_H_
#define TRANSPORT_RAW_SOCKET_TEST_H_

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include "transport/address.h"

namespace vanillafall {

// One end of a TCP connection on which a test sends and receives raw bytes.
class RawSocket {
 public:
  explicit RawSocket(int fd) : fd_(fd) {}
  // Connects to the address; is_open is false when the connection was refused.
  explicit RawSocket(const std::string& address)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in target = *ParseAddress(address);
    is_open_ = connect(fd_, reinterpret_cast<const sockaddr*>(&target),
                       sizeof(target)) == 0;
  }
  ~RawSocket() { Close(); }
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  bool is_open() const { return is_open_; }
  int fd() const { return fd_; }

  bool Send(const std::string& bytes) {
    return send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }

  // Sends the text in three segments, cut at these offsets. A pause after each
  // lets the other side read it before the next one comes.
  bool SendInSegments(const std::string& text,
                      std::size_t first_cut,
                      std::size_t second_cut) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    bool is_sent = true;
    for (const std::string& segment :
         {text.substr(0, first_cut),
          text.substr(first_cut, second_cut - first_cut),
          text.substr(second_cut)}) {
      is_sent = is_sent && Send(segment);
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return is_sent;
  }

  // Reads until the text has arrived, the other side closes the connection or
  // the timeout passes. Returns all bytes up to the end of the text, or all
  // that arrived without it, and keeps the rest for the next call.
  std::string ReadUntil(
      const std::string& text,
      std::chrono::milliseconds timeout = std::chrono::milliseconds(1500)) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (read_.find(text) == std::string::npos) {
      const auto time_left =
          std::chrono::duration_cast<std::chrono::milliseconds>(
              deadline - std::chrono::steady_clock::now());
      pollfd polled{fd_, POLLIN, 0};
      if (time_left.count() <= 0 ||
          poll(&polled, 1, static_cast<int>(time_left.count())) <= 0) {
        break;
      }
      std::array<char, 4096> chunk{};
      const ssize_t count = recv(fd_, chunk.data(), chunk.size(), 0);
      if (count <= 0) {
        is_open_ = false;
        break;
      }
      read_.append(chunk.data(), static_cast<std::size_t>(count));
    }
    const std::size_t position = read_.find(text);
    const std::size_t end =
        position == std::string::npos ? read_.size() : position + text.size();
    std::string result = read_.substr(0, end);
    read_.erase(0, end);
    return result;
  }

  // Closes the connection with a TCP reset.
  void Reset() {
    const linger none{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
    Close();
  }
  void Close() {
    if (fd_ >= 0) {
      close(fd_);
    }
    fd_ = -1;
    is_open_ = false;
  }

 private:
  int fd_;
  bool is_open_ = true;
  std::string read_;
};

// Sends the text once, and then the repeated text until the other side closes.
// Returns the number of repeated bytes that were sent. Gives up far above any
// bound that a test sets.
inline std::size_t SendWithoutEnd(RawSocket& socket,
                                  const std::string& text,
                                  std::string repeated) {
  constexpr std::size_t kGiveUp = std::size_t{64} * 1024 * 1024;
  while (repeated.size() < 8192) {
    repeated += repeated;
  }
  std::size_t sent = 0;
  bool is_read = socket.Send(text);
  while (is_read && sent < kGiveUp) {
    is_read = socket.Send(repeated);
    sent += is_read ? repeated.size() : 0;
  }
  return sent;
}

// Listens on a free loopback port and runs a script for each connection, each
// on its own thread. Connections are numbered from 1.
class RawServer {
 public:
  using Script = std::function<void(RawSocket&, int connection)>;

  explicit RawServer(Script script)
      : script_(std::move(script)), fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in any = *ParseAddress("127.0.0.1:1");
    any.sin_port = 0;
    const bool is_bound =
        bind(fd_, reinterpret_cast<const sockaddr*>(&any), sizeof(any)) == 0;
    if (!is_bound || listen(fd_, 64) != 0) {
      throw std::system_error(errno, std::generic_category(), "listen");
    }
    socklen_t size = sizeof(any);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&any), &size);
    address_ = "127.0.0.1:" + std::to_string(ntohs(any.sin_port));
    accept_thread_ = std::thread([this] { Accept(); });
  }
  ~RawServer() {
    shutdown(fd_, SHUT_RDWR);
    accept_thread_.join();
    for (std::thread& script_thread : script_threads_) {
      script_thread.join();
    }
    close(fd_);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  const std::string& address() const { return address_; }
  int connections() const { return connections_; }

 private:
  void Accept() {
    while (true) {
      const int fd = accept(fd_, nullptr, nullptr);
      if (fd < 0) {
        return;
      }
      const int number = ++connections_;
      script_threads_.emplace_back([this, fd, number] {
        RawSocket socket(fd);
        script_(socket, number);
      });
    }
  }

  const Script script_;
  const int fd_;
  std::string address_;
  std::atomic<int> connections_{0};
  std::thread accept_thread_;
  std::vector<std::thread> script_threads_;
};

// A loopback address whose queue of new connections is full, so that connecting
// to it takes as long as to a host that can't be reached.
class FullListener {
 public:
  FullListener() : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in any = *ParseAddress("127.0.0.1:1");
    any.sin_port = 0;
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&any), sizeof(any)) != 0 ||
        listen(fd_, 0) != 0) {
      throw std::system_error(errno, std::generic_category(), "listen");
    }
    socklen_t size = sizeof(any);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&any), &size);
    address_ = "127.0.0.1:" + std::to_string(ntohs(any.sin_port));
    for (int& filler : fillers_) {
      filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      // Stays in progress once the queue is full.
      static_cast<void>(connect(filler, reinterpret_cast<const sockaddr*>(&any),
                                sizeof(any)));
    }
  }
  ~FullListener() {
    for (const int filler : fillers_) {
      close(filler);
    }
    close(fd_);
  }
  FullListener(const FullListener&) = delete;
  FullListener& operator=(const FullListener&) = delete;

  const std::string& address() const { return address_; }

 private:
  const int fd_;
  std::string address_;
  std::array<int, 8> fillers_{};
};

// A loopback address on which nothing listens.
inline std::string ClosedAddress() {
  const RawServer server([](RawSocket&, int) {});
  return server.address();
}

// Waits until the condition, which another thread makes true, holds or the
// timeout passes. Returns whether it holds.
inline bool Eventually(
    const std::function<bool()>& condition,
    std::chrono::milliseconds timeout = std::chrono::milliseconds(5000)) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < deadline) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return condition();
}

}  // namespace vanillafall

#endif  // TRANSPORT_RAW_SOCKET_TEST_H_
