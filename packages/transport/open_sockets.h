#ifndef TRANSPORT_OPEN_SOCKETS_H_
#define TRANSPORT_OPEN_SOCKETS_H_

#include <compare>
#include <map>
#include <set>
#include <string>

namespace vanillafall {

// The sockets that an HTTP client library holds open, looked up by the
// endpoints of their connection. Needed because the library reports when it
// opens or closes a socket, but not which socket a request is about to use.
// Used on the library's thread only.
class OpenSockets {
 public:
  // The two endpoints of a connection.
  struct Endpoints {
    std::string remote_ip;
    int remote_port = 0;
    int local_port = 0;

    bool operator<(const Endpoints& other) const;
  };

  OpenSockets() = default;
  OpenSockets(const OpenSockets&) = delete;
  OpenSockets& operator=(const OpenSockets&) = delete;

  // The library has created a socket, which is not connected yet.
  void OnOpened(int fd);
  // The library is closing a socket.
  void OnClosed(int fd);

  // True when received bytes or the end of the connection can be read. False
  // also when there is no such connection.
  bool HasInput(const Endpoints& endpoints);

 private:
  // Returns the connection's socket, or -1.
  int FindSocket(const Endpoints& endpoints);

  std::set<int> unconnected_;
  std::map<Endpoints, int> connected_;
};

}  // namespace vanillafall

#endif  // TRANSPORT_OPEN_SOCKETS_H_
