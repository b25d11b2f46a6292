#include "transport/open_sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <tuple>

namespace vanillafall {
namespace {

int LocalPortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

}  // namespace

bool OpenSockets::Endpoints::operator<(const Endpoints& other) const {
  return std::tie(local_port, remote_port, remote_ip) <
         std::tie(other.local_port, other.remote_port, other.remote_ip);
}

void OpenSockets::OnOpened(int fd) {
  unconnected_.insert(fd);
}

void OpenSockets::OnClosed(int fd) {
  unconnected_.erase(fd);
  std::erase_if(connected_,
                [fd](const auto& entry) { return entry.second == fd; });
}

bool OpenSockets::HasInput(const Endpoints& endpoints) {
  pollfd polled{FindSocket(endpoints), POLLIN, 0};
  return polled.fd >= 0 && poll(&polled, 1, 0) > 0;
}

int OpenSockets::FindSocket(const Endpoints& endpoints) {
  const auto found = connected_.find(endpoints);
  if (found != connected_.end()) {
    return found->second;
  }
  for (const int fd : unconnected_) {
    if (LocalPortOf(fd) == endpoints.local_port) {
      connected_[endpoints] = fd;
      unconnected_.erase(fd);
      return fd;
    }
  }
  return -1;
}

}  // namespace vanillafall
