#ifndef PROXY_PEER_LINKS_H_
#define PROXY_PEER_LINKS_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/error.h"
#include "dispatch/dispatch_delegate.h"
#include "proxy/memory_account.h"

namespace vanillafall {

// Links between daemons: one TCP connection from each entry to each owner that
// it sends to, opened by the first message. An entry is a daemon that received
// a caller's request, an owner the daemon on the same instance as a backend
// server. Messages on one link arrive in order. Runs on the thread of the event
// loop.
class PeerLinks {
 public:
  // Totals since the start.
  struct Traffic {
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    // Links to owners, failed attempts included.
    std::uint64_t links_opened = 0;
  };

  class Handler {
   public:
    virtual ~Handler() = default;
    // Returns the first message on a link; both sides send one.
    virtual Hello MakeHello() = 0;
    virtual void OnOwnerMessage(const PeerAddress& owner,
                                LinkMessage message) = 0;
    // The link to the owner failed or was closed; the detail says why.
    virtual void OnOwnerLinkLost(const PeerAddress& owner,
                                 const std::string& detail) = 0;
    virtual void OnEntryMessage(LinkId link, LinkMessage message) = 0;
    virtual void OnEntryLinkLost(LinkId link) = 0;
    // A request to run has arrived without its body, for which there was no
    // memory. It must be answered as not run.
    virtual void OnRunWithoutMemory(LinkId link, const OfferId& id) = 0;
    // Frees memory for a message of this size, if there are others to whom it
    // is worth less. The memory may become free later.
    virtual void MakeRoom(std::size_t bytes) = 0;
    // The peer sent bytes that are no valid message; its link is closed next.
    // The peer's address is empty when it is an entry.
    virtual void OnMalformedMessage(const std::string& peer) = 0;
  };

  // Messages being received and waiting to be written are held in the account,
  // which must outlive this object.
  PeerLinks(boost::asio::io_context& loop,
            PeerAddress address,
            const Clock& clock,
            const MemoryAccount& account,
            Handler& handler);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  // Listens for links from entries. Returns the error when that fails.
  std::optional<Error> Start();
  // Closes all links without calling the handler.
  void Stop();
  // SendToOwner, ReplyTo and Reset return before they cause any call of the
  // handler, except that SendToOwner calls MakeHello when it opens a link.
  void SendToOwner(const PeerAddress& owner, const LinkMessage& message);
  void ReplyTo(LinkId link, const LinkMessage& message);
  // Sends the message on a few random links, in both directions. It does not
  // keep a link from being closed as unused.
  void SendToSomeDaemons(const LinkMessage& message);
  // Closes the link to an owner that has stopped responding; the next message
  // opens a new one.
  void Reset(const PeerAddress& owner);
  Traffic GetTraffic() const;

 private:
  class Impl;
  const std::shared_ptr<Impl> impl_;
};

}  // namespace vanillafall

#endif  // PROXY_PEER_LINKS_H_
