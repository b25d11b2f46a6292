#ifndef TRANSPORT_OPEN_SOCKETS_H_
#define TRANSPORT_OPEN_SOCKETS_H_

#include <compare>
#include <map>
#include <set>
#include <string>

namespace vanillafall {

// The sockets that an HTTP client library holds open, found by their two ends.
// The library says when it opens and closes one, but not which one a request is
// about to use. Used on the library's thread only.
class OpenSockets {
 public:
  // The two ends of a connection.
  struct Endpoints {
    std::string remote_ip;
    int remote_port = 0;
    int local_port = 0;

    bool operator<(const Endpoints& other) const;
  };

  OpenSockets() = default;
  OpenSockets(const OpenSockets&) = delete;
  OpenSockets& operator=(const OpenSockets&) = delete;

  // The library has made a socket, not yet connected, or is closing one.
  void OnOpened(int fd);
  void OnClosed(int fd);

  // True when bytes, or the end of the connection, wait to be read.
  bool HasInput(const Endpoints& endpoints);

 private:
  // The connection's socket, or -1.
  int FindSocket(const Endpoints& endpoints);

  std::set<int> unconnected_;
  std::map<Endpoints, int> connected_;
};

}  // namespace vanillafall

#endif  // TRANSPORT_OPEN_SOCKETS_H_
