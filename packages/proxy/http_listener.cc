#include "proxy/http_listener.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <set>
#include <unordered_map>
#include <utility>

#include "proxy/byte_budget.h"
#include "transport/address.h"

namespace vanillafall {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;
using tcp = asio::ip::tcp;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
constexpr int kUnavailable = 503;
constexpr int kHttp11 = 11;

// Bytes that are read ahead of what the parser has taken. A chunk header, which
// a caller could extend without end, must fit.
constexpr std::size_t kReadAheadBytes = std::size_t{64} * 1024;
// How often connections are checked for timeouts.
constexpr milliseconds kSweepPeriod{250};
// After the last answer on a connection, such as a rejection, the caller may
// keep sending for this long before the connection is closed.
constexpr milliseconds kLingerTimeout{1000};
// A caller that has not read its answer after this time is disconnected.
constexpr milliseconds kWriteTimeout{10'000};
constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";

// Names what is wrong with a request's header section; empty when it is valid.
std::string FindHeadProblem(const http::request_header<>& head) {
  if (head.version() != kHttp11 && head.version() != kHttp11 - 1) {
    return "version";
  }
  if (head.method_string() == "CONNECT") {
    return "method";
  }
  const auto target = head.target();
  const bool has_bad_target =
      target.empty() || std::any_of(target.begin(), target.end(), [](char c) {
        return static_cast<unsigned char>(c) <= ' ' || c == '\x7f';
      });
  if (has_bad_target) {
    return "target";
  }
  const auto hosts = head.count(http::field::host);
  if (hosts > 1 || (hosts == 0 && head.version() == kHttp11)) {
    return "host";
  }
  const auto lengths = head.count(http::field::content_length);
  const auto codings = head.count(http::field::transfer_encoding);
  if (lengths + codings > 1) {
    return "more than one framing";
  }
  if (codings == 1 &&
      (head.version() != kHttp11 ||
       !EqualsIgnoringCase(std::string(head[http::field::transfer_encoding]),
                           "chunked"))) {
    return "transfer encoding";
  }
  return "";
}

// Names, in lower case, of the headers that the Connection header lists as
// hop-by-hop.
std::set<std::string> ConnectionTokens(const http::request_header<>& head) {
  std::set<std::string> tokens;
  for (const auto& token : http::token_list(head[http::field::connection])) {
    std::string name(token);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    tokens.insert(name);
  }
  return tokens;
}

HttpRequest ToRequest(http::request<http::string_body> message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  const std::set<std::string> tokens = ConnectionTokens(message);
  for (const auto& field : message) {
    const std::string name(field.name_string());
    std::string lower = name;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const bool is_host = field.name() == http::field::host;
    if (is_host || (!IsHopByHopHeader(name) && !tokens.contains(lower))) {
      request.headers.push_back({name, std::string(field.value())});
    }
  }
  request.body = std::move(message.body());
  return request;
}

}  // namespace

class HttpListener::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& loop,
       std::string address,
       const Clock& clock,
       std::size_t body_memory,
       Handler& handler)
      : address_(std::move(address)),
        clock_(clock),
        body_memory_(body_memory),
        handler_(handler),
        acceptor_(loop),
        sweep_timer_(loop) {}

  std::optional<Error> Start();
  void Answer(RequestId id, HttpResponse response);
  void BeginStop() { is_stopping_ = true; }
  void Stop();
  std::size_t connection_count() const { return connections_.size(); }
  std::size_t busy_count() const;

 private:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept();
  void ScheduleSweep();

  const std::string address_;
  const Clock& clock_;
  // Bodies of the requests that are being received or handled.
  ByteBudget body_memory_;
  Handler& handler_;
  tcp::acceptor acceptor_;
  asio::steady_timer sweep_timer_;
  bool is_stopping_ = false;
  bool is_sweeping_ = false;
  RequestId last_request_id_ = 0;
  std::set<ConnectionPtr> connections_;
  std::unordered_map<RequestId, ConnectionPtr> connections_by_request_;
};

// One connection of a caller: reads a request, waits for its answer, writes the
// answer and starts over.
class HttpListener::Impl::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Impl& listener, tcp::socket socket)
      : listener_(listener),
        socket_(std::move(socket)),
        body_share_(listener.body_memory_) {}

  void WaitForRequest();
  void Answer(HttpResponse response);
  void Close();
  // Rejects or closes the connection if its phase has lasted too long.
  void CheckTimeout(TimePoint now);
  bool is_busy() const {
    return phase_ != Phase::kIdle && phase_ != Phase::kClosed;
  }

 private:
  enum class Phase : std::uint8_t {
    kIdle,
    kHead,
    kBody,
    kHandling,
    kWriting,
    kLingering,
    kClosed,
  };

  using Parser = http::request_parser<http::string_body>;
  using Response = http::response<http::string_body>;

  void EnterPhase(Phase phase, Duration time_limit);
  void ReadHead();
  void OnHead(error_code error);
  void ReadBody();
  void OnBodyRead(error_code error);
  void OnBody();
  void WatchForClose();
  void OnReadable(error_code error, RequestId watched);
  void Reject(Reason reason, int status, const std::string& detail);
  void Write(const std::shared_ptr<Response>& response, bool keeps_open);
  // Discards what the caller still sends, so that it can read the last answer
  // before the connection is closed.
  void Linger();
  // Closes the connection and reports that the caller is gone if its request is
  // being handled.
  void Drop();

  Impl& listener_;
  tcp::socket socket_;
  beast::flat_buffer buffer_;
  std::unique_ptr<Parser> parser_;
  std::array<char, 1024> discarded_{};
  Phase phase_ = Phase::kIdle;
  TimePoint phase_deadline_;
  // When the first byte of the current request arrived.
  TimePoint first_byte_at_;
  ByteBudget::Share body_share_;
  RequestId request_id_ = 0;
  bool is_head_request_ = false;
  bool keeps_open_ = false;
};

void HttpListener::Impl::Connection::EnterPhase(Phase phase,
                                                Duration time_limit) {
  phase_ = phase;
  phase_deadline_ = listener_.clock_.now() + time_limit;
}

void HttpListener::Impl::Connection::WaitForRequest() {
  if (buffer_.size() > 0) {
    ReadHead();
    return;
  }
  buffer_.clear();
  buffer_.shrink_to_fit();
  EnterPhase(Phase::kIdle, listener_.handler_.GetLimits().idle_timeout);
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](error_code error) {
                       if (error || self->phase_ != Phase::kIdle) {
                         self->Drop();
                         return;
                       }
                       self->ReadHead();
                     });
}

void HttpListener::Impl::Connection::ReadHead() {
  const CallerLimits limits = listener_.handler_.GetLimits();
  EnterPhase(Phase::kHead, limits.header_timeout);
  first_byte_at_ = listener_.clock_.now();
  buffer_.max_size(limits.max_header_bytes + kReadAheadBytes);
  parser_ = std::make_unique<Parser>();
  parser_->header_limit(limits.max_header_bytes);
  // A body that can never fit is too large, not refused for the time being.
  parser_->body_limit(std::min<std::uint64_t>(limits.max_body_bytes,
                                              listener_.body_memory_.limit()));
  parser_->eager(true);
  http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
        self->OnHead(error);
      });
}

void HttpListener::Impl::Connection::OnHead(error_code error) {
  if (phase_ != Phase::kHead) {
    return;
  }
  if (error == http::error::header_limit) {
    Reject(Reason::kTooLarge, kHeadersTooLarge, "header too large");
    return;
  }
  if (error == http::error::body_limit) {
    Reject(Reason::kTooLarge, kBodyTooLarge, "body too large");
    return;
  }
  const bool is_malformed =
      error && error.category() ==
                   http::make_error_code(http::error::bad_method).category();
  if (is_malformed && error != http::error::end_of_stream &&
      error != http::error::partial_message) {
    Reject(Reason::kMalformedRequest, kBadRequest, error.message());
    return;
  }
  if (error) {
    Drop();
    return;
  }
  const std::string problem = FindHeadProblem(parser_->get());
  if (!problem.empty()) {
    Reject(Reason::kMalformedRequest, kBadRequest, problem);
    return;
  }
  const auto length = parser_->content_length();
  if (length && !body_share_.TrySetSize(*length)) {
    Reject(Reason::kOverloaded, kUnavailable, "no memory for the body");
    return;
  }
  const bool waits_for_continue =
      EqualsIgnoringCase(std::string(parser_->get()[http::field::expect]),
                         "100-continue") &&
      !parser_->is_done();
  if (!waits_for_continue) {
    ReadBody();
    return;
  }
  asio::async_write(
      socket_, asio::buffer(kContinue, sizeof(kContinue) - 1),
      [self = shared_from_this()](error_code failure, std::size_t /*bytes*/) {
        if (failure) {
          self->Drop();
          return;
        }
        self->ReadBody();
      });
}

void HttpListener::Impl::Connection::ReadBody() {
  if (phase_ == Phase::kClosed) {
    return;
  }
  if (phase_ != Phase::kBody) {
    EnterPhase(Phase::kBody, listener_.handler_.GetLimits().idle_timeout);
  }
  if (parser_->is_done()) {
    OnBody();
    return;
  }
  http::async_read_some(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
        self->OnBodyRead(error);
      });
}

void HttpListener::Impl::Connection::OnBodyRead(error_code error) {
  if (phase_ != Phase::kBody) {
    return;
  }
  if (error == http::error::body_limit) {
    Reject(Reason::kTooLarge, kBodyTooLarge, "body too large");
    return;
  }
  const bool is_malformed =
      error && error != http::error::partial_message &&
      error != http::error::end_of_stream &&
      error.category() ==
          http::make_error_code(http::error::bad_method).category();
  if (is_malformed) {
    Reject(Reason::kMalformedRequest, kBadRequest, error.message());
    return;
  }
  if (error) {
    Drop();
    return;
  }
  // The length of a body in chunks is known only when it has arrived.
  const bool is_chunked = !parser_->content_length().has_value();
  if (is_chunked && !body_share_.TrySetSize(parser_->get().body().size())) {
    Reject(Reason::kOverloaded, kUnavailable, "no memory for the body");
    return;
  }
  ReadBody();
}

void HttpListener::Impl::Connection::OnBody() {
  keeps_open_ = parser_->get().keep_alive();
  is_head_request_ = parser_->get().method() == http::verb::head;
  request_id_ = ++listener_.last_request_id_;
  EnterPhase(Phase::kHandling, std::chrono::hours(1));
  HttpRequest request = ToRequest(parser_->release());
  parser_.reset();
  listener_.connections_by_request_[request_id_] = shared_from_this();
  WatchForClose();
  listener_.handler_.OnRequest(request_id_, std::move(request), first_byte_at_);
}

void HttpListener::Impl::Connection::WatchForClose() {
  // While unread bytes of the caller are buffered, its close can't be detected.
  if (buffer_.size() > 0) {
    return;
  }
  socket_.async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this(), watched = request_id_](error_code error) {
        self->OnReadable(error, watched);
      });
}

void HttpListener::Impl::Connection::OnReadable(error_code error,
                                                RequestId watched) {
  if (phase_ != Phase::kHandling || request_id_ != watched) {
    return;
  }
  if (!error) {
    char byte = 0;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (!error) {
      // The caller has already sent its next request.
      return;
    }
    if (error == asio::error::would_block || error == asio::error::try_again) {
      WatchForClose();
      return;
    }
  }
  const RequestId gone = request_id_;
  listener_.connections_by_request_.erase(gone);
  Close();
  listener_.handler_.OnCallerGone(gone);
}

void HttpListener::Impl::Connection::Answer(HttpResponse answer) {
  auto response = std::make_shared<Response>(
      http::int_to_status(static_cast<unsigned>(answer.status)), kHttp11);
  response->result(static_cast<unsigned>(answer.status));
  for (const HttpHeader& header : answer.headers) {
    if (!IsHopByHopHeader(header.name)) {
      response->insert(header.name, header.value);
    }
  }
  if (!is_head_request_) {
    response->body() = std::move(answer.body);
  }
  response->prepare_payload();
  Write(response, keeps_open_ && !listener_.is_stopping_);
}

void HttpListener::Impl::Connection::Reject(Reason reason,
                                            int status,
                                            const std::string& detail) {
  auto response = std::make_shared<Response>(
      http::int_to_status(static_cast<unsigned>(status)), kHttp11);
  response->prepare_payload();
  listener_.handler_.OnRejected(reason, status, detail);
  Write(response, false);
}

void HttpListener::Impl::Connection::Write(
    const std::shared_ptr<Response>& response,
    bool keeps_open) {
  EnterPhase(Phase::kWriting, kWriteTimeout);
  body_share_.Release();
  parser_.reset();
  response->keep_alive(keeps_open);
  http::async_write(socket_, *response,
                    [self = shared_from_this(), response, keeps_open](
                        error_code error, std::size_t /*bytes*/) {
                      if (error || self->phase_ != Phase::kWriting) {
                        self->Drop();
                        return;
                      }
                      if (keeps_open) {
                        self->WaitForRequest();
                      } else {
                        self->Linger();
                      }
                    });
}

void HttpListener::Impl::Connection::Linger() {
  if (phase_ != Phase::kLingering) {
    EnterPhase(Phase::kLingering, kLingerTimeout);
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }
  socket_.async_read_some(
      asio::buffer(discarded_),
      [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
        if (error || self->phase_ != Phase::kLingering) {
          self->Drop();
          return;
        }
        self->Linger();
      });
}

void HttpListener::Impl::Connection::CheckTimeout(TimePoint now) {
  if (now < phase_deadline_) {
    return;
  }
  switch (phase_) {
    case Phase::kHead:
    case Phase::kBody: {
      error_code ignored;
      socket_.cancel(ignored);
      Reject(Reason::kSlowSender, kRequestTimeout, "too slow");
      return;
    }
    case Phase::kHandling:
    case Phase::kClosed:
      return;
    case Phase::kIdle:
    case Phase::kWriting:
    case Phase::kLingering:
      Drop();
      return;
  }
}

void HttpListener::Impl::Connection::Close() {
  phase_ = Phase::kClosed;
  body_share_.Release();
  error_code ignored;
  socket_.close(ignored);
  listener_.connections_.erase(shared_from_this());
}

void HttpListener::Impl::Connection::Drop() {
  if (phase_ == Phase::kClosed) {
    return;
  }
  const bool was_handling = phase_ == Phase::kHandling;
  Close();
  if (was_handling &&
      listener_.connections_by_request_.erase(request_id_) > 0) {
    listener_.handler_.OnCallerGone(request_id_);
  }
}

std::optional<Error> HttpListener::Impl::Start() {
  const std::optional<sockaddr_in> address = ParseAddress(address_);
  error_code error = asio::error::invalid_argument;
  if (address) {
    const tcp::endpoint endpoint(
        asio::ip::address_v4(ntohl(address->sin_addr.s_addr)),
        ntohs(address->sin_port));
    acceptor_.open(endpoint.protocol(), error);
    if (!error) {
      acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
      acceptor_.bind(endpoint, error);
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
  return std::nullopt;
}

void HttpListener::Impl::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          error_code ignored;
          socket.set_option(tcp::no_delay(true), ignored);
          const auto connection =
              std::make_shared<Connection>(*self, std::move(socket));
          self->connections_.insert(connection);
          connection->WaitForRequest();
          if (!self->is_sweeping_) {
            self->ScheduleSweep();
          }
        }
        self->Accept();
      });
}

void HttpListener::Impl::ScheduleSweep() {
  is_sweeping_ = true;
  sweep_timer_.expires_after(kSweepPeriod);
  sweep_timer_.async_wait([self = shared_from_this()](error_code error) {
    if (error) {
      return;
    }
    const TimePoint now = self->clock_.now();
    const std::set<ConnectionPtr> connections = self->connections_;
    for (const ConnectionPtr& connection : connections) {
      connection->CheckTimeout(now);
    }
    if (self->connections_.empty()) {
      self->is_sweeping_ = false;
      return;
    }
    self->ScheduleSweep();
  });
}

void HttpListener::Impl::Answer(RequestId id, HttpResponse response) {
  const auto node = connections_by_request_.extract(id);
  if (!node.empty()) {
    node.mapped()->Answer(std::move(response));
  }
}

std::size_t HttpListener::Impl::busy_count() const {
  return static_cast<std::size_t>(std::count_if(
      connections_.begin(), connections_.end(),
      [](const ConnectionPtr& connection) { return connection->is_busy(); }));
}

void HttpListener::Impl::Stop() {
  error_code ignored;
  acceptor_.close(ignored);
  sweep_timer_.cancel();
  connections_by_request_.clear();
  const std::set<ConnectionPtr> connections = connections_;
  for (const ConnectionPtr& connection : connections) {
    connection->Close();
  }
}

HttpListener::HttpListener(asio::io_context& loop,
                           std::string address,
                           const Clock& clock,
                           std::size_t body_memory,
                           Handler& handler)
    : impl_(std::make_shared<Impl>(loop,
                                   std::move(address),
                                   clock,
                                   body_memory,
                                   handler)) {}

HttpListener::~HttpListener() {
  impl_->Stop();
}

std::optional<Error> HttpListener::Start() {
  return impl_->Start();
}

void HttpListener::Answer(RequestId id, HttpResponse response) {
  impl_->Answer(id, std::move(response));
}

void HttpListener::BeginStop() {
  impl_->BeginStop();
}

void HttpListener::Stop() {
  impl_->Stop();
}

std::size_t HttpListener::connection_count() const {
  return impl_->connection_count();
}

std::size_t HttpListener::busy_count() const {
  return impl_->busy_count();
}

}  // namespace vanillafall
