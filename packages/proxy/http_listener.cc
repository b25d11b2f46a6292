#include "proxy/http_listener.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "transport/address.h"

namespace vanillafall {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;
using tcp = asio::ip::tcp;

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
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
// An answer is written for as long as its caller reads it.
constexpr std::chrono::hours kNoTimeLimit{24};
// Buffers of the kernel for each connection. They are memory of the instance
// too, and would grow to megabytes for callers that do not read.
constexpr int kSocketBufferBytes = 128 * 1024;
// Written in one turn of the event loop, so that other callers are served.
constexpr std::size_t kMaxTurnBytes = std::size_t{1024} * 1024;
// A request whose body has no room is not read for this long, and then refused.
constexpr milliseconds kMaxRoomWait{1000};
// A caller that is slower than these rates and has been for this long may be
// cut when there is no memory.
constexpr milliseconds kMinCutAge{1000};
constexpr std::size_t kFastReader = std::size_t{1024} * 1024;
constexpr std::size_t kFastSender = std::size_t{64} * 1024;
// Holdings below this size are not worth a caller.
constexpr std::size_t kMinCutBytes = MemoryAccount::kMaxSmallBytes;
// A head is held as received and as fields.
constexpr std::size_t kHeadCopies = 2;
// Pause after a connection could not be accepted, for lack of descriptors.
constexpr milliseconds kAcceptPause{100};
constexpr char kRetryAfterSeconds[] = "1";
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

HttpRequest ToRequest(http::request<http::string_body> message,
                      MemoryAccount::Share share) {
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
  request.body =
      MemoryAccount::MakeBody(std::move(message.body()), std::move(share));
  return request;
}

}  // namespace

class HttpListener::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& loop,
       std::string address,
       const Clock& clock,
       const MemoryAccount& account,
       Options options,
       Handler& handler)
      : address_(std::move(address)),
        clock_(clock),
        account_(account),
        options_(options),
        handler_(handler),
        acceptor_(loop),
        accept_timer_(loop),
        sweep_timer_(loop) {}

  std::optional<Error> Start();
  void Answer(RequestId id, HttpResponse response);
  void BeginStop() { is_stopping_ = true; }
  void Stop();
  void MakeRoom(std::size_t bytes);
  std::size_t connection_count() const { return connections_.size(); }
  std::size_t busy_count() const;

 private:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept();
  void OnAccepted(tcp::socket socket);
  // Cuts the connection that has been idle for longest, or else the one whose
  // head has been arriving for longest. False if there is none.
  bool CutLongestIdle();
  void ScheduleSweep();

  const std::string address_;
  const Clock& clock_;
  const MemoryAccount& account_;
  const Options options_;
  Handler& handler_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
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
        head_share_(listener.account_, MemoryAccount::Stage::kCallerHeads),
        kernel_share_(listener.account_, MemoryAccount::Stage::kKernel) {}

  void WaitForRequest();
  void Answer(HttpResponse response);
  void Close();
  // Rejects or closes the connection if its phase has lasted too long.
  void CheckTimeout(TimePoint now);
  bool is_busy() const {
    return phase_ != Phase::kIdle && phase_ != Phase::kClosed;
  }
  bool is_idle() const { return phase_ == Phase::kIdle; }
  bool is_receiving_head() const { return phase_ == Phase::kHead; }
  TimePoint phase_started() const { return phase_started_; }
  // What closing the connection is worth: the bytes that it holds, times how
  // long it has held them. 0 for callers that are not slow.
  double CutValue(TimePoint now) const;
  void Cut(CallerCut cut);

 private:
  enum class Phase : std::uint8_t {
    kIdle,
    kHead,
    // Waits for memory for the body.
    kHolding,
    kBody,
    kHandling,
    kWriting,
    kLingering,
    kClosed,
  };

  using Parser = http::request_parser<http::string_body>;
  using Response = http::response<http::empty_body>;

  void EnterPhase(Phase phase, Duration time_limit);
  void ReadHead();
  void ReadHeadOn();
  void OnHead(error_code error);
  // Reads the body if there is room for it.
  void HoldOrReadBody();
  bool TryTakeBodyRoom(std::size_t bytes);
  void StartBody();
  void ReadBody();
  void OnBodyRead(error_code error);
  void OnBody();
  void WatchForClose();
  void OnReadable(error_code error, RequestId watched);
  void Reject(Reason reason, int status, const std::string& detail);
  void Write(Response response, Body body, bool keeps_open);
  void WriteOn();
  // Cuts the caller if it has read too little in the last span.
  void CheckReadRate(TimePoint now);
  std::size_t unread_bytes() const {
    return out_head_.size() + out_body_.size() - written_;
  }
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
  // The head of a request in chunks. The parser adds trailer fields to its own
  // copy, where they would pass for header fields.
  std::optional<http::request_header<>> head_;
  std::array<char, 1024> discarded_{};
  Phase phase_ = Phase::kIdle;
  TimePoint phase_started_;
  TimePoint phase_deadline_;
  // When the first byte of the current request arrived.
  TimePoint first_byte_at_;
  MemoryAccount::Share head_share_;
  // Made anew for each request, since it goes with the body.
  std::optional<MemoryAccount::Share> body_share_;
  // The answer that is being written, and how much of it the kernel has taken.
  std::string out_head_;
  Body out_body_;
  std::size_t written_ = 0;
  MemoryAccount::Share kernel_share_;
  // When the current span began, and what the caller had read by then.
  TimePoint span_started_;
  std::size_t read_before_span_ = 0;
  RequestId request_id_ = 0;
  bool is_head_request_ = false;
  bool keeps_open_ = false;
};

void HttpListener::Impl::Connection::EnterPhase(Phase phase,
                                                Duration time_limit) {
  phase_ = phase;
  phase_started_ = listener_.clock_.now();
  phase_deadline_ = phase_started_ + time_limit;
}

void HttpListener::Impl::Connection::WaitForRequest() {
  if (buffer_.size() > 0) {
    ReadHead();
    return;
  }
  buffer_.clear();
  buffer_.shrink_to_fit();
  head_share_.Release();
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
  parser_->body_limit(limits.max_body_bytes);
  ReadHeadOn();
}

void HttpListener::Impl::Connection::ReadHeadOn() {
  http::async_read_some(
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
  if (!head_share_.TrySetSize(kHeadCopies * buffer_.capacity())) {
    listener_.MakeRoom(kMinCutBytes);
    if (!head_share_.TrySetSize(kHeadCopies * buffer_.capacity())) {
      Reject(Reason::kOverloaded, kUnavailable, "no memory for the head");
      return;
    }
  }
  if (!parser_->is_header_done()) {
    ReadHeadOn();
    return;
  }
  parser_->eager(true);
  const std::string problem = FindHeadProblem(parser_->get());
  if (!problem.empty()) {
    Reject(Reason::kMalformedRequest, kBadRequest, problem);
    return;
  }
  head_.reset();
  if (parser_->chunked()) {
    head_ = parser_->get().base();
  }
  body_share_.emplace(listener_.account_, MemoryAccount::Stage::kCallerBodies);
  EnterPhase(Phase::kHolding, kMaxRoomWait);
  HoldOrReadBody();
}

bool HttpListener::Impl::Connection::TryTakeBodyRoom(std::size_t bytes) {
  if (body_share_->TrySetSize(bytes)) {
    return true;
  }
  listener_.MakeRoom(bytes);
  // This connection may have been the one to be cut.
  return body_share_ && body_share_->TrySetSize(bytes);
}

void HttpListener::Impl::Connection::HoldOrReadBody() {
  const std::uint64_t length = parser_->content_length().value_or(0);
  if (length > listener_.account_.max_body_bytes()) {
    Reject(Reason::kOverloaded, kUnavailable, "no memory for the body");
  } else if (TryTakeBodyRoom(length)) {
    StartBody();
  }
  // Otherwise it is tried again until the time limit of the phase.
}

void HttpListener::Impl::Connection::StartBody() {
  EnterPhase(Phase::kBody, listener_.handler_.GetLimits().idle_timeout);
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
  if (phase_ != Phase::kBody) {
    return;
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
  if (is_chunked && !TryTakeBodyRoom(parser_->get().body().capacity())) {
    if (phase_ != Phase::kBody) {
      return;
    }
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
  http::request<http::string_body> message = parser_->release();
  if (head_) {
    message.base() = std::move(*head_);
    head_.reset();
  }
  HttpRequest request = ToRequest(std::move(message), std::move(*body_share_));
  body_share_.reset();
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
  Response response(http::int_to_status(static_cast<unsigned>(answer.status)),
                    kHttp11);
  response.result(static_cast<unsigned>(answer.status));
  for (const HttpHeader& header : answer.headers) {
    if (!IsHopByHopHeader(header.name)) {
      response.insert(header.name, header.value);
    }
  }
  // These statuses have no body.
  const bool has_no_body = is_head_request_ || answer.status == kNoContent ||
                           answer.status == kNotModified;
  Write(std::move(response), has_no_body ? Body() : std::move(answer.body),
        keeps_open_ && !listener_.is_stopping_);
}

void HttpListener::Impl::Connection::Reject(Reason reason,
                                            int status,
                                            const std::string& detail) {
  Response response(http::int_to_status(static_cast<unsigned>(status)),
                    kHttp11);
  if (status == kUnavailable) {
    response.insert(http::field::retry_after, kRetryAfterSeconds);
  }
  listener_.handler_.OnRejected(reason, status, detail);
  Write(std::move(response), Body(), false);
}

void HttpListener::Impl::Connection::Write(Response response,
                                           Body body,
                                           bool keeps_open) {
  EnterPhase(Phase::kWriting, kNoTimeLimit);
  body_share_.reset();
  parser_.reset();
  keeps_open_ = keeps_open;
  response.content_length(body.size());
  response.keep_alive(keeps_open);
  out_head_.clear();
  http::response_serializer<http::empty_body> serializer(response);
  error_code ignored;
  serializer.next(ignored, [this](error_code& /*error*/, const auto& buffers) {
    out_head_ = beast::buffers_to_string(buffers);
  });
  out_body_ = std::move(body);
  written_ = 0;
  span_started_ = phase_started_;
  read_before_span_ = 0;
  if (out_body_.size() > kSocketBufferBytes) {
    // The kernel doubles the size that it is given.
    kernel_share_.SetSize(std::size_t{2} * kSocketBufferBytes);
  }
  WriteOn();
}

void HttpListener::Impl::Connection::WriteOn() {
  std::size_t turn_bytes = 0;
  error_code error;
  while (unread_bytes() > 0 && turn_bytes < kMaxTurnBytes) {
    const std::size_t head_done = std::min(written_, out_head_.size());
    const std::size_t body_done = written_ - head_done;
    const std::array<asio::const_buffer, 2> buffers = {
        asio::buffer(out_head_) + head_done,
        asio::buffer(out_body_.text()) + body_done};
    const std::size_t bytes = socket_.write_some(buffers, error);
    if (error) {
      break;
    }
    written_ += bytes;
    turn_bytes += bytes;
  }
  if (error && error != asio::error::would_block &&
      error != asio::error::try_again) {
    Drop();
    return;
  }
  if (unread_bytes() > 0) {
    socket_.async_wait(tcp::socket::wait_write,
                       [self = shared_from_this()](error_code failure) {
                         if (self->phase_ != Phase::kWriting) {
                           return;
                         }
                         if (failure) {
                           self->Drop();
                           return;
                         }
                         self->WriteOn();
                       });
    return;
  }
  out_head_.clear();
  out_body_ = {};
  written_ = 0;
  kernel_share_.Release();
  if (keeps_open_) {
    WaitForRequest();
  } else {
    Linger();
  }
}

void HttpListener::Impl::Connection::CheckReadRate(TimePoint now) {
  const Duration span = now - span_started_;
  if (span < listener_.options_.read_span) {
    return;
  }
  // What the caller's side has not acknowledged is not read.
  int in_kernel = 0;
  ioctl(socket_.native_handle(), SIOCOUTQ, &in_kernel);
  const std::size_t read =
      written_ - std::min(written_, static_cast<std::size_t>(in_kernel));
  const double seconds = std::chrono::duration<double>(span).count();
  const double expected =
      static_cast<double>(listener_.options_.min_read_rate) * seconds;
  if (static_cast<double>(read - std::min(read, read_before_span_)) <
      expected) {
    Cut(CallerCut::kSlowReader);
    return;
  }
  span_started_ = now;
  read_before_span_ = read;
}

double HttpListener::Impl::Connection::CutValue(TimePoint now) const {
  const Duration age = now - phase_started_;
  if (age < kMinCutAge) {
    return 0;
  }
  const double seconds = std::chrono::duration<double>(age).count();
  std::size_t held = 0;
  std::size_t moved = 0;
  std::size_t fast = 0;
  if (phase_ == Phase::kWriting) {
    // The whole answer stays in memory until its last byte is written.
    held = out_body_.size();
    moved = written_;
    fast = kFastReader;
  } else if (phase_ == Phase::kBody && body_share_) {
    held = body_share_->size();
    moved = parser_->get().body().size();
    fast = kFastSender;
  }
  const bool is_fast =
      static_cast<double>(moved) >= static_cast<double>(fast) * seconds;
  return held < kMinCutBytes || is_fast ? 0
                                        : static_cast<double>(held) * seconds;
}

void HttpListener::Impl::Connection::Cut(CallerCut cut) {
  listener_.handler_.OnCallerCut(cut, unread_bytes());
  if (phase_ == Phase::kBody) {
    error_code ignored;
    socket_.cancel(ignored);
    Reject(Reason::kOverloaded, kUnavailable, "no memory for a slow body");
    return;
  }
  Drop();
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
  if (phase_ == Phase::kWriting) {
    CheckReadRate(now);
    return;
  }
  if (phase_ == Phase::kHolding && now < phase_deadline_) {
    HoldOrReadBody();
    return;
  }
  if (now < phase_deadline_) {
    return;
  }
  switch (phase_) {
    case Phase::kHolding:
      Reject(Reason::kOverloaded, kUnavailable, "no memory for the body");
      return;
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
  body_share_.reset();
  head_share_.Release();
  kernel_share_.Release();
  // No operation refers to the answer: it is written without waiting.
  out_head_.clear();
  out_body_ = {};
  written_ = 0;
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
      // Accepted sockets inherit these.
      acceptor_.set_option(
          asio::socket_base::send_buffer_size(kSocketBufferBytes), error);
      acceptor_.set_option(
          asio::socket_base::receive_buffer_size(kSocketBufferBytes), error);
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
          self->OnAccepted(std::move(socket));
          self->Accept();
          return;
        }
        self->accept_timer_.expires_after(kAcceptPause);
        self->accept_timer_.async_wait([self](error_code aborted) {
          if (!aborted) {
            self->Accept();
          }
        });
      });
}

void HttpListener::Impl::OnAccepted(tcp::socket socket) {
  if (connections_.size() >= options_.max_connections && !CutLongestIdle()) {
    // All others are being served.
    handler_.OnCallerCut(CallerCut::kConnections, 0);
    return;
  }
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  const auto connection =
      std::make_shared<Connection>(*this, std::move(socket));
  connections_.insert(connection);
  connection->WaitForRequest();
  if (!is_sweeping_) {
    ScheduleSweep();
  }
}

bool HttpListener::Impl::CutLongestIdle() {
  ConnectionPtr longest;
  for (const ConnectionPtr& each : connections_) {
    if (!each->is_idle() && !each->is_receiving_head()) {
      continue;
    }
    if (!longest || each->is_idle() > longest->is_idle() ||
        (each->is_idle() == longest->is_idle() &&
         each->phase_started() < longest->phase_started())) {
      longest = each;
    }
  }
  if (longest) {
    longest->Cut(CallerCut::kConnections);
  }
  return longest != nullptr;
}

void HttpListener::Impl::MakeRoom(std::size_t bytes) {
  const TimePoint now = clock_.now();
  while (!account_.HasRoomFor(bytes)) {
    ConnectionPtr costliest;
    double most = 0;
    for (const ConnectionPtr& each : connections_) {
      const double value = each->CutValue(now);
      if (value > most) {
        most = value;
        costliest = each;
      }
    }
    if (!costliest) {
      return;
    }
    costliest->Cut(CallerCut::kMemory);
  }
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
  accept_timer_.cancel();
  sweep_timer_.cancel();
  connections_by_request_.clear();
  const std::set<ConnectionPtr> connections = connections_;
  for (const ConnectionPtr& connection : connections) {
    connection->Close();
  }
}

const char* ToString(CallerCut cut) {
  switch (cut) {
    case CallerCut::kSlowReader:
      return "slow_reader";
    case CallerCut::kMemory:
      return "memory";
    case CallerCut::kConnections:
      return "connections";
  }
  return "";
}

HttpListener::HttpListener(asio::io_context& loop,
                           std::string address,
                           const Clock& clock,
                           const MemoryAccount& account,
                           Options options,
                           Handler& handler)
    : impl_(std::make_shared<Impl>(loop,
                                   std::move(address),
                                   clock,
                                   account,
                                   options,
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

void HttpListener::MakeRoom(std::size_t bytes) {
  impl_->MakeRoom(bytes);
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
