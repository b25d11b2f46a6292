#include "proxy/peer_links.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <utility>
#include <vector>

#include "proxy/link_codec.h"
#include "transport/address.h"

namespace vanillafall {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::milliseconds;
using tcp = asio::ip::tcp;

// A link must open within this time; connecting takes one round trip.
constexpr milliseconds kConnectTimeout{250};
// A link is closed when sent bytes stay unacknowledged for this long, so that
// no message waits for an unreachable peer.
constexpr milliseconds kUnacknowledgedTimeout{2000};
// A link to an owner is closed after being unused for this long, to free its
// descriptor; a link from an entry after twice this time.
constexpr std::chrono::seconds kIdleTimeout{60};
constexpr std::chrono::seconds kSweepPeriod{20};
// Enough for the largest body, its headers and the overhead of packing.
constexpr std::size_t kMaxFrameBytes = std::size_t{80} * 1024 * 1024;
// The part (1 / divisor) of the memory that the messages on a link may take
// while they wait to be written, without their large bodies. The link is closed
// when there are more, because the peer does not read. The text of a
// configuration with many customers must fit.
constexpr std::size_t kMaxQueuedDivisor = 4;
constexpr std::size_t kReadBytes = 4096;
// While a message is incomplete, more is read at a time.
constexpr std::size_t kBulkReadBytes = std::size_t{64} * 1024;
// A large body is packed and written in parts of this size.
constexpr std::size_t kPartBytes = std::size_t{128} * 1024;
// While there is no memory for a message, its link is not read, which holds the
// peer back. It must resume before the peer takes this daemon for silent, so
// the message's body is dropped after kMaxRoomWait.
constexpr milliseconds kRoomPeriod{10};
constexpr milliseconds kMaxRoomWait{100};
// Pause after a connection could not be accepted, for lack of descriptors.
constexpr milliseconds kAcceptPause{100};
// Number of links for a message that the receivers pass on: with 4, one in 50
// daemons is not reached.
constexpr std::size_t kGossipFanout = 4;

std::optional<tcp::endpoint> ToEndpoint(const PeerAddress& address) {
  const auto parsed = ParseAddress(address);
  if (!parsed) {
    return std::nullopt;
  }
  return tcp::endpoint(asio::ip::address_v4(ntohl(parsed->sin_addr.s_addr)),
                       ntohs(parsed->sin_port));
}

// Turns the result of a request that has run into one without its answer.
void DropAnswer(RunResult* result, Reason reason) {
  result->end = RunEnd::kUnknown;
  result->reason = reason;
  result->has_arrived = true;
  result->response = {};
}

void SetSocketOptions(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const int time = static_cast<int>(kUnacknowledgedTimeout.count());
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &time,
             sizeof(time));
}

}  // namespace

class PeerLinks::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& loop,
       PeerAddress address,
       const Clock& clock,
       const MemoryAccount& account,
       Handler& handler)
      : loop_(loop),
        address_(std::move(address)),
        clock_(clock),
        account_(account),
        handler_(handler),
        acceptor_(loop),
        accept_timer_(loop),
        sweep_timer_(loop) {}

  std::optional<Error> Start();
  void Stop();
  void SendToOwner(const PeerAddress& owner, const LinkMessage& message);
  void ReplyTo(LinkId link, const LinkMessage& message);
  void SendToSomeDaemons(const LinkMessage& message);
  void Reset(const PeerAddress& owner);
  Traffic GetTraffic() const { return traffic_; }

 private:
  class Link;
  using LinkPtr = std::shared_ptr<Link>;

  void Accept();
  void ScheduleSweep();
  void OnMessage(const LinkPtr& link, LinkUnpacker::Message received);
  void OnClosed(const LinkPtr& link, const std::string& detail);

  asio::io_context& loop_;
  const PeerAddress address_;
  const Clock& clock_;
  const MemoryAccount& account_;
  Handler& handler_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  asio::steady_timer sweep_timer_;
  bool is_stopped_ = false;
  Traffic traffic_;
  std::mt19937 random_{std::random_device{}()};
  LinkId last_link_id_ = 0;
  std::map<PeerAddress, LinkPtr> to_owners_;
  std::map<LinkId, LinkPtr> from_entries_;
};

// One connection to or from another daemon.
class PeerLinks::Impl::Link : public std::enable_shared_from_this<Link> {
 public:
  // A link to an owner, opened by Connect.
  Link(Impl& links, PeerAddress owner)
      : links_(links),
        owner_(std::move(owner)),
        socket_(links.loop_),
        timer_(links.loop_),
        queued_share_(links.account_, MemoryAccount::Stage::kLinkOutput) {}
  // An accepted link from an entry.
  Link(Impl& links, LinkId id, tcp::socket socket)
      : links_(links),
        id_(id),
        socket_(std::move(socket)),
        timer_(links.loop_),
        is_open_(true),
        queued_share_(links.account_, MemoryAccount::Stage::kLinkOutput) {}

  void Connect();
  void StartReading();
  void Send(const LinkMessage& message);
  // Sends without counting as use of the link.
  void SendInPassing(const LinkMessage& message);
  void Close(const std::string& detail);

  // Empty for a link from an entry.
  const PeerAddress& owner() const { return owner_; }
  LinkId id() const { return id_; }
  TimePoint last_used() const { return last_used_; }

 private:
  void OnConnected(error_code error);
  void Write();
  // Writes the next part of the body of the last frame that is being written.
  void WritePart();
  void OnWritten(error_code error, bool has_part);
  void Read();
  void OnRead(error_code error, std::size_t bytes);
  // Handles what was read and reads on.
  void HandleInput();
  // Handles every complete frame that was read. False when a frame is
  // malformed and the link has to be closed.
  bool HandleFrames();
  // Handles the input again a little later.
  void WaitForRoom();

  Impl& links_;
  const PeerAddress owner_;
  const LinkId id_ = 0;
  tcp::socket socket_;
  asio::steady_timer timer_;
  bool is_open_ = false;
  bool is_closed_ = false;
  bool is_writing_ = false;
  TimePoint last_used_;
  std::deque<LinkFrame> queue_;
  // What is being written. Only the last frame may have a body.
  std::vector<LinkFrame> batch_;
  // A part of that body.
  std::string part_;
  // The queue and the batch, without bodies.
  MemoryAccount::Share queued_share_;
  // The message that is being received.
  std::optional<LinkUnpacker> unpacker_;
  bool is_waiting_for_room_ = false;
  // When the body for which there is no memory is dropped.
  std::optional<TimePoint> room_deadline_;
  // Bytes read but not handled yet; the first buffered_bytes_ are valid.
  std::vector<unsigned char> input_;
  std::size_t buffered_bytes_ = 0;
};

void PeerLinks::Impl::Link::Connect() {
  last_used_ = links_.clock_.now();
  const auto endpoint = ToEndpoint(owner_);
  if (!endpoint) {
    asio::post(links_.loop_,
               [self = shared_from_this()] { self->Close("no address"); });
    return;
  }
  timer_.expires_after(kConnectTimeout);
  timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error && !self->is_open_) {
      self->Close("connecting took too long");
    }
  });
  ++links_.traffic_.links_opened;
  socket_.async_connect(*endpoint,
                        [self = shared_from_this()](error_code error) {
                          self->OnConnected(error);
                        });
}

void PeerLinks::Impl::Link::OnConnected(error_code error) {
  if (is_closed_) {
    return;
  }
  timer_.cancel();
  if (error) {
    Close(error.message());
    return;
  }
  is_open_ = true;
  StartReading();
  Write();
}

void PeerLinks::Impl::Link::StartReading() {
  last_used_ = links_.clock_.now();
  SetSocketOptions(socket_);
  Read();
}

void PeerLinks::Impl::Link::Send(const LinkMessage& message) {
  last_used_ = links_.clock_.now();
  SendInPassing(message);
}

void PeerLinks::Impl::Link::SendInPassing(const LinkMessage& message) {
  if (is_closed_) {
    return;
  }
  LinkFrame frame = EncodeLinkFrame(message);
  queued_share_.SetSize(queued_share_.size() + frame.head().size());
  ++links_.traffic_.messages_sent;
  links_.traffic_.bytes_sent += frame.size();
  if (queued_share_.size() > links_.account_.limit() / kMaxQueuedDivisor) {
    asio::post(links_.loop_, [self = shared_from_this()] {
      self->Close("the peer does not read");
    });
    return;
  }
  queue_.push_back(std::move(frame));
  if (is_open_ && !is_writing_) {
    is_writing_ = true;
    // Deferred, so that all messages caused by one input are written together.
    asio::post(links_.loop_, [self = shared_from_this()] {
      self->is_writing_ = false;
      self->Write();
    });
  }
}

void PeerLinks::Impl::Link::Write() {
  if (is_closed_ || is_writing_ || queue_.empty()) {
    return;
  }
  is_writing_ = true;
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(queue_.size());
  batch_.clear();
  batch_.reserve(queue_.size());
  bool has_body = false;
  while (!queue_.empty() && !has_body) {
    batch_.push_back(std::move(queue_.front()));
    queue_.pop_front();
    has_body = batch_.back().has_body();
    // The vector does not grow, so the frame stays where it is.
    buffers.push_back(asio::buffer(batch_.back().head()));
  }
  asio::async_write(socket_, buffers,
                    [self = shared_from_this(), has_body](
                        error_code error, std::size_t /*bytes*/) {
                      self->OnWritten(error, has_body);
                    });
}

void PeerLinks::Impl::Link::WritePart() {
  part_.clear();
  const bool has_more = batch_.back().AppendNextPart(&part_, kPartBytes);
  asio::async_write(socket_, asio::buffer(part_),
                    [self = shared_from_this(), has_more](
                        error_code error, std::size_t /*bytes*/) {
                      self->OnWritten(error, has_more);
                    });
}

void PeerLinks::Impl::Link::OnWritten(error_code error, bool has_part) {
  if (is_closed_) {
    batch_.clear();
    return;
  }
  if (error) {
    Close(error.message());
    return;
  }
  if (has_part) {
    WritePart();
    return;
  }
  std::size_t written = 0;
  for (const LinkFrame& frame : batch_) {
    written += frame.head().size();
  }
  queued_share_.SetSize(queued_share_.size() - written);
  batch_.clear();
  if (part_.capacity() > 0) {
    part_ = {};
  }
  is_writing_ = false;
  Write();
}

void PeerLinks::Impl::Link::Read() {
  const std::size_t size =
      buffered_bytes_ + (unpacker_ ? kBulkReadBytes : kReadBytes);
  if (input_.size() < size) {
    input_.resize(size);
  }
  socket_.async_read_some(
      asio::buffer(input_.data() + buffered_bytes_,
                   input_.size() - buffered_bytes_),
      [self = shared_from_this()](error_code error, std::size_t bytes) {
        self->OnRead(error, bytes);
      });
}

void PeerLinks::Impl::Link::OnRead(error_code error, std::size_t bytes) {
  if (is_closed_) {
    return;
  }
  if (error) {
    Close(error.message());
    return;
  }
  buffered_bytes_ += bytes;
  last_used_ = links_.clock_.now();
  HandleInput();
}

void PeerLinks::Impl::Link::HandleInput() {
  if (!HandleFrames()) {
    links_.handler_.OnMalformedMessage(owner_);
    Close("malformed message");
    return;
  }
  if (!is_closed_ && !is_waiting_for_room_) {
    Read();
  }
}

bool PeerLinks::Impl::Link::HandleFrames() {
  std::span<const unsigned char> rest(input_.data(), buffered_bytes_);
  while (!is_closed_) {
    if (!unpacker_) {
      if (rest.size() < kLinkLengthBytes) {
        break;
      }
      const std::size_t length = ReadLinkLength(rest.data());
      if (length > kMaxFrameBytes) {
        return false;
      }
      rest = rest.subspan(kLinkLengthBytes);
      unpacker_.emplace(length, links_.account_);
    }
    const LinkUnpacker::Result result = unpacker_->Unpack(&rest);
    if (result == LinkUnpacker::Result::kMalformed) {
      return false;
    }
    if (result == LinkUnpacker::Result::kNeedsRoom) {
      WaitForRoom();
      break;
    }
    if (result == LinkUnpacker::Result::kNeedsBytes) {
      break;
    }
    room_deadline_.reset();
    auto received = unpacker_->Take();
    unpacker_.reset();
    if (!received) {
      return false;
    }
    links_.OnMessage(shared_from_this(), std::move(*received));
  }
  if (is_closed_) {
    return true;
  }
  const std::size_t used = buffered_bytes_ - rest.size();
  input_.erase(input_.begin(), input_.begin() + static_cast<long>(used));
  buffered_bytes_ -= used;
  if (buffered_bytes_ == 0 && !unpacker_) {
    input_ = {};
  }
  return true;
}

void PeerLinks::Impl::Link::WaitForRoom() {
  const TimePoint now = links_.clock_.now();
  if (!room_deadline_) {
    room_deadline_ = now + kMaxRoomWait;
  }
  links_.handler_.MakeRoom(unpacker_->wanted_bytes());
  if (now >= *room_deadline_) {
    unpacker_->DropBody();
  }
  is_waiting_for_room_ = true;
  timer_.expires_after(kRoomPeriod);
  timer_.async_wait([self = shared_from_this()](error_code /*error*/) {
    self->is_waiting_for_room_ = false;
    if (!self->is_closed_) {
      self->HandleInput();
    }
  });
}

void PeerLinks::Impl::Link::Close(const std::string& detail) {
  if (is_closed_) {
    return;
  }
  is_closed_ = true;
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
  queue_.clear();
  unpacker_.reset();
  links_.OnClosed(shared_from_this(), detail);
}

std::optional<Error> PeerLinks::Impl::Start() {
  const auto endpoint = ToEndpoint(address_);
  error_code error = asio::error::invalid_argument;
  if (endpoint) {
    acceptor_.open(endpoint->protocol(), error);
    if (!error) {
      acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
      acceptor_.bind(*endpoint, error);
    }
    if (!error) {
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
  }
  if (error) {
    return Error{std::error_code(error.value(), std::system_category()),
                 Step::kListen, address_, error.message()};
  }
  Accept();
  ScheduleSweep();
  return std::nullopt;
}

void PeerLinks::Impl::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (error) {
          self->accept_timer_.expires_after(kAcceptPause);
          self->accept_timer_.async_wait([self](error_code aborted) {
            if (!aborted) {
              self->Accept();
            }
          });
          return;
        }
        const LinkId id = ++self->last_link_id_;
        const auto link = std::make_shared<Link>(*self, id, std::move(socket));
        self->from_entries_[id] = link;
        link->StartReading();
        link->Send(self->handler_.MakeHello());
        self->Accept();
      });
}

void PeerLinks::Impl::ScheduleSweep() {
  sweep_timer_.expires_after(kSweepPeriod);
  sweep_timer_.async_wait([self = shared_from_this()](error_code error) {
    if (error) {
      return;
    }
    const TimePoint now = self->clock_.now();
    std::vector<LinkPtr> idle;
    for (const auto& [owner, link] : self->to_owners_) {
      if (now >= link->last_used() + kIdleTimeout) {
        idle.push_back(link);
      }
    }
    for (const auto& [id, link] : self->from_entries_) {
      if (now >= link->last_used() + 2 * kIdleTimeout) {
        idle.push_back(link);
      }
    }
    for (const LinkPtr& link : idle) {
      link->Close("idle");
    }
    self->ScheduleSweep();
  });
}

void PeerLinks::Impl::OnMessage(const LinkPtr& link,
                                LinkUnpacker::Message received) {
  LinkMessage& message = received.message;
  if (received.is_body_dropped) {
    if (const Run* run = std::get_if<Run>(&message)) {
      handler_.OnRunWithoutMemory(link->id(), run->id);
      return;
    }
    if (auto* result = std::get_if<RunResult>(&message)) {
      // The request has run, and its answer is lost.
      DropAnswer(result, Reason::kAnswerTooLarge);
    }
  }
  if (auto* result = std::get_if<RunResult>(&message);
      result != nullptr && result->end == RunEnd::kAnswered &&
      !IsFinalAnswer(result->response)) {
    // A daemon of another version may accept answers that this one does not.
    DropAnswer(result, Reason::kAnswerTruncated);
  }
  if (link->owner().empty()) {
    handler_.OnEntryMessage(link->id(), std::move(message));
  } else {
    handler_.OnOwnerMessage(link->owner(), std::move(message));
  }
}

void PeerLinks::Impl::OnClosed(const LinkPtr& link, const std::string& detail) {
  if (link->owner().empty()) {
    from_entries_.erase(link->id());
    if (!is_stopped_) {
      handler_.OnEntryLinkLost(link->id());
    }
    return;
  }
  const auto found = to_owners_.find(link->owner());
  if (found != to_owners_.end() && found->second == link) {
    to_owners_.erase(found);
  }
  if (!is_stopped_) {
    handler_.OnOwnerLinkLost(link->owner(), detail);
  }
}

void PeerLinks::Impl::SendToOwner(const PeerAddress& owner,
                                  const LinkMessage& message) {
  if (is_stopped_) {
    return;
  }
  LinkPtr& link = to_owners_[owner];
  if (link == nullptr) {
    link = std::make_shared<Link>(*this, owner);
    link->Send(handler_.MakeHello());
    link->Connect();
  }
  link->Send(message);
}

void PeerLinks::Impl::ReplyTo(LinkId link, const LinkMessage& message) {
  const auto found = from_entries_.find(link);
  if (found != from_entries_.end()) {
    found->second->Send(message);
  }
}

void PeerLinks::Impl::SendToSomeDaemons(const LinkMessage& message) {
  std::vector<LinkPtr> all;
  all.reserve(to_owners_.size() + from_entries_.size());
  for (const auto& [owner, link] : to_owners_) {
    all.push_back(link);
  }
  for (const auto& [id, link] : from_entries_) {
    all.push_back(link);
  }
  std::vector<LinkPtr> some;
  std::sample(all.begin(), all.end(), std::back_inserter(some), kGossipFanout,
              random_);
  for (const LinkPtr& link : some) {
    link->SendInPassing(message);
  }
}

void PeerLinks::Impl::Reset(const PeerAddress& owner) {
  const auto found = to_owners_.find(owner);
  if (found != to_owners_.end()) {
    asio::post(loop_, [link = found->second] { link->Close("silent"); });
  }
}

void PeerLinks::Impl::Stop() {
  is_stopped_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  accept_timer_.cancel();
  sweep_timer_.cancel();
  const auto to_owners = std::exchange(to_owners_, {});
  for (const auto& [owner, link] : to_owners) {
    link->Close("stopped");
  }
  const auto from_entries = std::exchange(from_entries_, {});
  for (const auto& [id, link] : from_entries) {
    link->Close("stopped");
  }
}

PeerLinks::PeerLinks(asio::io_context& loop,
                     PeerAddress address,
                     const Clock& clock,
                     const MemoryAccount& account,
                     Handler& handler)
    : impl_(std::make_shared<Impl>(loop,
                                   std::move(address),
                                   clock,
                                   account,
                                   handler)) {}

PeerLinks::~PeerLinks() {
  impl_->Stop();
}

std::optional<Error> PeerLinks::Start() {
  return impl_->Start();
}

void PeerLinks::Stop() {
  impl_->Stop();
}

void PeerLinks::SendToOwner(const PeerAddress& owner,
                            const LinkMessage& message) {
  impl_->SendToOwner(owner, message);
}

void PeerLinks::ReplyTo(LinkId link, const LinkMessage& message) {
  impl_->ReplyTo(link, message);
}

void PeerLinks::SendToSomeDaemons(const LinkMessage& message) {
  impl_->SendToSomeDaemons(message);
}

void PeerLinks::Reset(const PeerAddress& owner) {
  impl_->Reset(owner);
}

PeerLinks::Traffic PeerLinks::GetTraffic() const {
  return impl_->GetTraffic();
}

}  // namespace vanillafall
