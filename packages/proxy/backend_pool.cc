#include "proxy/backend_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <charconv>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "proxy/answer_buffer.h"
#include "proxy/one_shot_timer.h"
#include "transport/address.h"

namespace vanillafall {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;
using tcp = asio::ip::tcp;

constexpr int kHttp11 = 11;
constexpr int kFirstFinalStatus = 200;

// Short, because the backend server is on the same instance; a lost SYN packet
// would be sent again only after seconds.
constexpr milliseconds kConnectTimeout{300};
// Added to the time limit of a call, so that an answer sent right at the limit
// still arrives.
constexpr milliseconds kAnswerGrace{15};
constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;
// A chunk header, which a server could extend without end, must fit into the
// read buffer.
constexpr std::size_t kMaxBufferBytes = std::size_t{2} * kMaxHeaderBytes;
// Interim answers and answers to other requests that are read before the answer
// to a request; after more of them its connection is closed.
constexpr int kMaxSkippedAnswers = 8;
// An answer for which there is no memory is not read for this long, which holds
// the backend server back. Backend servers give up an answer that stays unread
// for some seconds.
constexpr milliseconds kMaxRoomWait{2000};
constexpr milliseconds kRoomPeriod{20};
// Paths whose last answers were large. Forgotten together when there are more.
constexpr std::size_t kMaxLargePaths = 256;

// How long an idle connection is kept when the backend server's Keep-Alive
// header names no timeout.
constexpr milliseconds kDefaultIdleTimeout{4000};
// Share of a named timeout for which an idle connection is kept, so that the
// backend server does not close it at the same time.
constexpr double kIdleTimeoutShare = 0.6;
// A non-idempotent request reuses a connection only if it has been idle for at
// most this time: on a connection that the backend server has dropped without
// notice, the request's outcome would be unknown.
constexpr milliseconds kMaxIdleForNonIdempotent{500};

// How long to keep an idle connection, according to the Keep-Alive header of
// its last answer.
milliseconds IdleTimeoutOf(const http::fields& fields) {
  const std::string text(fields[http::field::keep_alive]);
  const std::string key = "timeout=";
  const std::size_t at = text.find(key);
  if (at == std::string::npos) {
    return kDefaultIdleTimeout;
  }
  unsigned seconds = 0;
  const char* begin = text.data() + at + key.size();
  std::from_chars(begin, text.data() + text.size(), seconds);
  const auto timeout = milliseconds(
      static_cast<std::int64_t>(seconds * 1000 * kIdleTimeoutShare));
  return std::min(timeout, milliseconds(60'000));
}

// True when bytes or a close wait to be read, which an idle connection must not
// have.
bool HasInput(tcp::socket& socket) {
  char byte = 0;
  const auto length = recv(socket.native_handle(), &byte, sizeof(byte),
                           MSG_PEEK | MSG_DONTWAIT);
  return length >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

// What requests with similar answers have in common: the path without its last
// segment.
std::string PathGroup(const std::string& target) {
  const std::string path = target.substr(0, target.find('?'));
  return path.substr(0, path.rfind('/') + 1);
}

HttpResponse ToResponse(http::response<http::string_body> message,
                        MemoryAccount::Share share) {
  HttpResponse response;
  response.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    const std::string name(field.name_string());
    if (!IsHopByHopHeader(name)) {
      response.headers.push_back({name, std::string(field.value())});
    }
  }
  response.body =
      MemoryAccount::MakeBody(std::move(message.body()), std::move(share));
  return response;
}

}  // namespace

class BackendPool::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& loop,
       const std::string& address,
       const Clock& clock,
       const HttpDialect& dialect,
       const MemoryAccount& account,
       Handler& handler)
      : loop_(loop),
        clock_(clock),
        dialect_(dialect),
        account_(account),
        handler_(handler) {
    if (const auto parsed = ParseAddress(address)) {
      endpoint_ =
          tcp::endpoint(asio::ip::address_v4(ntohl(parsed->sin_addr.s_addr)),
                        ntohs(parsed->sin_port));
    }
  }

  void Call(BackendCall call);
  void Cancel(BackendCallId id);
  void Stop();
  std::uint64_t opened_count() const { return opened_count_; }
  std::size_t max_answer_bytes() const { return account_.max_body_bytes(); }

 private:
  class Exchange;
  using ExchangePtr = std::shared_ptr<Exchange>;

  // An open connection that no call is using.
  struct IdleConnection {
    explicit IdleConnection(tcp::socket connected)
        : socket(std::move(connected)) {}
    tcp::socket socket;
    TimePoint idle_since;
    TimePoint expires_at;
  };
  using IdleConnectionPtr = std::shared_ptr<IdleConnection>;

  // Takes the most recently used connection that is open, if the call may use
  // it; else null.
  IdleConnectionPtr TakeIdle(bool is_idempotent);
  void AddIdle(tcp::socket socket, milliseconds max_idle);
  void ReportEnd(BackendCallEnd end);
  // The size to expect of the answer to a request; 0 when it is not large.
  std::size_t ExpectedBytes(const std::string& target) const;
  void RecordAnswer(const std::string& target, std::size_t bytes);
  // Reports the end of a call whose connection was lost without an answer,
  // after a new connection has shown whether the process is down.
  void ProbeBackend(const BackendCallEnd& end);

  asio::io_context& loop_;
  const Clock& clock_;
  const HttpDialect& dialect_;
  const MemoryAccount& account_;
  // Largest of the last answers by group of paths, only where it is large.
  std::map<std::string, std::size_t> large_answers_;
  Handler& handler_;
  tcp::endpoint endpoint_;
  bool is_stopped_ = false;
  std::uint64_t opened_count_ = 0;
  std::vector<IdleConnectionPtr> idle_connections_;
  std::map<BackendCallId, ExchangePtr> exchanges_;
};

// One call: connects if necessary, sends the request, and reads until its
// answer has arrived.
class BackendPool::Impl::Exchange
    : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Impl& pool, BackendCall call)
      : pool_(pool),
        call_(std::move(call)),
        timer_(pool.loop_),
        room_timer_(pool.loop_),
        body_share_(pool.account_, MemoryAccount::Stage::kBackendAnswers) {}

  void Start();
  void Cancel() { Finish(RunEnd::kUnknown, Reason::kCancelled); }

 private:
  using Parser = http::response_parser<http::string_body>;

  // One connection of the call, with all data that its asynchronous operations
  // use. When the call continues on another connection, the old attempt stays
  // alive, separate from the new one, until its last operation has ended.
  struct Attempt {
    explicit Attempt(tcp::socket connected) : socket(std::move(connected)) {}
    tcp::socket socket;
    http::request<http::span_body<const char>> request;
    // The bytes that the request refers to.
    Body body;
    AnswerBuffer buffer{kMaxBufferBytes};
    std::unique_ptr<Parser> parser;
    // The head of an answer in chunks, without the trailer fields that the
    // parser adds to its own copy.
    std::optional<http::response_header<>> head;
    bool is_written = false;
    // Whether writing the request has shown that the connection was reset. The
    // system reports a reset only once, and reads find a closed connection
    // then.
    bool is_reset = false;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  void Connect();
  void OnConnected(error_code error);
  void SendRequest();
  void ReadAnswer();
  void ReadMore();
  // Some bytes of the answer were read, or reading them failed.
  void OnRead(const AttemptPtr& attempt, error_code error);
  void OnReadError(error_code error);
  // Whether the answer's head, as far as it was read, is one that HTTP allows.
  bool IsHeadValid() const;
  // Handles the answer if it is complete, otherwise reads on; waits first while
  // there is no memory for it.
  void Proceed();
  void WaitForRoom(std::size_t bytes);
  void HandleAnswer();
  // Reads the next answer on the connection in place of the one just read.
  void SkipAnswer();
  void CloseSocket();
  void OnConnectionLost(Reason reason);
  void SetTimer(Duration time, void (Exchange::*on_timeout)());
  void OnConnectTimeout() {
    Finish(RunEnd::kNotRun, Reason::kBackendServerUnreachable);
  }
  void OnAnswerTimeout() {
    has_arrived_ = true;
    Finish(RunEnd::kUnknown, Reason::kBackendServerTimeout);
  }
  void Finish(RunEnd end, Reason reason);
  void FinishWith(BackendCallEnd end);

  Impl& pool_;
  BackendCall call_;
  // The current attempt; null before the start.
  AttemptPtr attempt_;
  OneShotTimer timer_;
  OneShotTimer room_timer_;
  std::optional<TimePoint> room_deadline_;
  TimePoint started_;
  bool has_arrived_ = false;
  bool is_finished_ = false;
  int skipped_answers_ = 0;
  std::uint32_t sends_ = 0;
  MemoryAccount::Share body_share_;
};

void BackendPool::Impl::Exchange::Start() {
  started_ = pool_.clock_.now();
  const std::size_t expected = pool_.ExpectedBytes(call_.request.target);
  if (expected > 0 && !body_share_.TrySetSize(expected)) {
    pool_.handler_.MakeRoom(expected);
    if (!body_share_.TrySetSize(expected)) {
      Finish(RunEnd::kNotRun, Reason::kOverloaded);
      return;
    }
  }
  if (const IdleConnectionPtr idle = pool_.TakeIdle(call_.is_idempotent)) {
    attempt_ = std::make_shared<Attempt>(std::move(idle->socket));
    SendRequest();
    return;
  }
  Connect();
}

void BackendPool::Impl::Exchange::SetTimer(Duration time,
                                           void (Exchange::*on_timeout)()) {
  timer_.Start(time, [self = shared_from_this(), on_timeout] {
    if (!self->is_finished_) {
      (self.get()->*on_timeout)();
    }
  });
}

void BackendPool::Impl::Exchange::Connect() {
  SetTimer(std::min(kConnectTimeout, call_.time_left),
           &Exchange::OnConnectTimeout);
  ++pool_.opened_count_;
  attempt_ = std::make_shared<Attempt>(tcp::socket(pool_.loop_));
  attempt_->socket.async_connect(
      pool_.endpoint_, [self = shared_from_this(), held = attempt_](
                           error_code error) { self->OnConnected(error); });
}

void BackendPool::Impl::Exchange::OnConnected(error_code error) {
  if (is_finished_) {
    return;
  }
  if (error) {
    BackendCallEnd end;
    end.end = RunEnd::kNotRun;
    end.reason = Reason::kBackendServerUnreachable;
    end.is_down = error == asio::error::connection_refused;
    FinishWith(std::move(end));
    return;
  }
  error_code ignored;
  attempt_->socket.set_option(tcp::no_delay(true), ignored);
  SendRequest();
}

void BackendPool::Impl::Exchange::SendRequest() {
  const auto spent =
      std::chrono::duration_cast<milliseconds>(pool_.clock_.now() - started_);
  const milliseconds left = call_.time_left - spent;
  if (left <= milliseconds(0)) {
    Finish(RunEnd::kNotRun, Reason::kDeadlinePassed);
    return;
  }
  HttpRequest prepared = call_.request;
  pool_.dialect_.PrepareForBackend(call_.server, left, call_.customer,
                                   &prepared);
  auto& request = attempt_->request;
  request.version(kHttp11);
  request.method_string(prepared.method);
  request.target(prepared.target);
  for (const HttpHeader& header : prepared.headers) {
    request.insert(header.name, header.value);
  }
  attempt_->body = std::move(prepared.body);
  request.body() = {attempt_->body.data(), attempt_->body.size()};
  request.prepare_payload();
  SetTimer(left + kAnswerGrace, &Exchange::OnAnswerTimeout);
  ++sends_;
  http::async_write(
      attempt_->socket, request,
      [attempt = attempt_](error_code error, std::size_t /*bytes*/) {
        // A failed write does not end the call: the backend server may have
        // answered before it had read the whole request. Once it has closed the
        // connection, writes fail as a broken pipe.
        attempt->is_written = !error;
        attempt->is_reset = error && error != asio::error::broken_pipe;
      });
  ReadAnswer();
}

void BackendPool::Impl::Exchange::ReadAnswer() {
  Attempt& attempt = *attempt_;
  attempt.parser = std::make_unique<Parser>();
  attempt.buffer.BeginHead();
  attempt.head.reset();
  attempt.parser->header_limit(kMaxHeaderBytes);
  attempt.parser->body_limit(pool_.max_answer_bytes());
  if (call_.request.method == "HEAD") {
    attempt.parser->skip(true);
  }
  ReadMore();
}

void BackendPool::Impl::Exchange::ReadMore() {
  http::async_read_some(attempt_->socket, attempt_->buffer, *attempt_->parser,
                        [self = shared_from_this(), held = attempt_](
                            error_code error, std::size_t /*bytes*/) {
                          self->OnRead(held, error);
                        });
}

void BackendPool::Impl::Exchange::OnRead(const AttemptPtr& attempt,
                                         error_code error) {
  if (is_finished_ || attempt != attempt_) {
    return;
  }
  if (error) {
    OnReadError(error);
    return;
  }
  Parser& parser = *attempt_->parser;
  if (!IsHeadValid()) {
    Finish(RunEnd::kUnknown, Reason::kAnswerTruncated);
    return;
  }
  // The library checks the declared length of a request against the limit, but
  // reserves memory for any declared length of an answer.
  const auto length = parser.content_length();
  if (length && *length > pool_.max_answer_bytes()) {
    Finish(RunEnd::kUnknown, Reason::kAnswerTooLarge);
    return;
  }
  if (parser.is_header_done() && parser.chunked() && !attempt_->head) {
    attempt_->head = parser.get().base();
  }
  Proceed();
}

bool BackendPool::Impl::Exchange::IsHeadValid() const {
  // The library checks the names of fields itself.
  const Parser& parser = *attempt_->parser;
  return !parser.is_header_done() ||
         (IsStatus(static_cast<int>(parser.get().result_int())) &&
          !attempt_->buffer.has_folded_line());
}

void BackendPool::Impl::Exchange::Proceed() {
  Parser& parser = *attempt_->parser;
  const bool has_body = call_.request.method != "HEAD";
  const auto declared =
      has_body ? parser.content_length().value_or(0) : std::uint64_t{0};
  const std::size_t bytes =
      std::max<std::size_t>(declared, parser.get().body().capacity());
  if (!body_share_.TrySetSize(bytes)) {
    WaitForRoom(bytes);
    return;
  }
  room_deadline_.reset();
  // Set only now, so that the first read ends after the header fields.
  parser.eager(true);
  if (parser.is_done()) {
    HandleAnswer();
  } else {
    ReadMore();
  }
}

void BackendPool::Impl::Exchange::WaitForRoom(std::size_t bytes) {
  const TimePoint now = pool_.clock_.now();
  if (!room_deadline_) {
    room_deadline_ = now + kMaxRoomWait;
  }
  if (now >= *room_deadline_) {
    Finish(RunEnd::kUnknown, Reason::kAnswerTooLarge);
    return;
  }
  pool_.handler_.MakeRoom(bytes);
  room_timer_.Start(kRoomPeriod, [self = shared_from_this(), held = attempt_] {
    if (!self->is_finished_ && held == self->attempt_) {
      self->Proceed();
    }
  });
}

void BackendPool::Impl::Exchange::OnReadError(error_code error) {
  const bool is_too_large = error == http::error::body_limit ||
                            error == http::error::header_limit ||
                            error == http::error::buffer_overflow;
  const bool received_nothing = !attempt_->parser->got_some() &&
                                attempt_->buffer.size() == 0 &&
                                skipped_answers_ == 0;
  if (is_too_large || !received_nothing) {
    Finish(RunEnd::kUnknown,
           is_too_large ? Reason::kAnswerTooLarge : Reason::kAnswerTruncated);
    return;
  }
  // The server may have read the request even if the connection was a kept one.
  // Only the entry, which counts repeats, may send it again.
  OnConnectionLost(Reason::kBackendServerLost);
}

void BackendPool::Impl::Exchange::SkipAnswer() {
  if (++skipped_answers_ > kMaxSkippedAnswers) {
    Finish(RunEnd::kUnknown, Reason::kAnswerTooLarge);
    return;
  }
  ReadAnswer();
}

void BackendPool::Impl::Exchange::OnConnectionLost(Reason reason) {
  is_finished_ = true;
  timer_.Cancel();
  CloseSocket();
  BackendCallEnd end;
  end.id = call_.id;
  end.end = RunEnd::kUnknown;
  end.reason = reason;
  end.has_arrived = true;
  end.sends = sends_;
  pool_.exchanges_.erase(call_.id);
  pool_.ProbeBackend(end);
}

void BackendPool::Impl::Exchange::HandleAnswer() {
  if (attempt_->parser->need_eof() && attempt_->is_reset) {
    // Nothing but the end of the connection shows that the body is complete.
    Finish(RunEnd::kUnknown, Reason::kAnswerTruncated);
    return;
  }
  const bool may_reuse = attempt_->parser->keep_alive() && attempt_->is_written;
  http::response<http::string_body> message = attempt_->parser->release();
  if (attempt_->head) {
    message.base() = std::move(*attempt_->head);
    attempt_->head.reset();
  }
  if (static_cast<int>(message.result_int()) < kFirstFinalStatus) {
    SkipAnswer();
    return;
  }
  const milliseconds idle_timeout = IdleTimeoutOf(message);
  BackendCallEnd end;
  if (call_.request.method != "HEAD") {
    pool_.RecordAnswer(call_.request.target, message.body().size());
  }
  end.response = ToResponse(std::move(message), std::move(body_share_));
  end.has_arrived = true;
  switch (pool_.dialect_.ClassifyAnswer(end.response, call_.request_id)) {
    case HttpDialect::AnswerKind::kOtherRequest:
      if (may_reuse) {
        SkipAnswer();
      } else {
        Finish(RunEnd::kUnknown, Reason::kAnswerTruncated);
      }
      return;
    case HttpDialect::AnswerKind::kThisRequest:
      end.end = RunEnd::kAnswered;
      break;
    case HttpDialect::AnswerKind::kNotRun:
      end.end = RunEnd::kNotRun;
      end.reason = Reason::kBackendServerShed;
      break;
    case HttpDialect::AnswerKind::kOtherServer:
      end.end = RunEnd::kNotRun;
      end.reason = Reason::kNotOwner;
      end.is_other_server = true;
      break;
    case HttpDialect::AnswerKind::kUnmarked:
      end.end = RunEnd::kUnknown;
      end.reason = Reason::kAnswerTruncated;
      break;
  }
  const bool is_from_called_server =
      end.end != RunEnd::kUnknown && !end.is_other_server;
  if (is_from_called_server) {
    end.notice = pool_.dialect_.ReadServerNotice(end.response);
  }
  const bool is_clean =
      end.end != RunEnd::kUnknown && attempt_->buffer.size() == 0;
  if (may_reuse && is_clean) {
    pool_.AddIdle(std::move(attempt_->socket), idle_timeout);
  }
  FinishWith(std::move(end));
}

void BackendPool::Impl::Exchange::CloseSocket() {
  body_share_.Release();
  if (attempt_ != nullptr) {
    error_code ignored;
    attempt_->socket.close(ignored);
  }
}

void BackendPool::Impl::Exchange::Finish(RunEnd end, Reason reason) {
  BackendCallEnd ended;
  ended.end = end;
  ended.reason = reason;
  ended.has_arrived = has_arrived_ || end == RunEnd::kUnknown;
  FinishWith(std::move(ended));
}

void BackendPool::Impl::Exchange::FinishWith(BackendCallEnd end) {
  if (is_finished_) {
    return;
  }
  is_finished_ = true;
  timer_.Cancel();
  CloseSocket();
  end.id = call_.id;
  end.sends = sends_;
  const auto self = shared_from_this();
  pool_.exchanges_.erase(call_.id);
  pool_.ReportEnd(std::move(end));
}

void BackendPool::Impl::Call(BackendCall call) {
  const BackendCallId id = call.id;
  const auto exchange = std::make_shared<Exchange>(*this, std::move(call));
  exchanges_[id] = exchange;
  asio::post(loop_, [self = shared_from_this(), exchange] {
    if (!self->is_stopped_) {
      exchange->Start();
    }
  });
}

void BackendPool::Impl::Cancel(BackendCallId id) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) {
    return;
  }
  asio::post(loop_, [exchange = found->second] { exchange->Cancel(); });
}

void BackendPool::Impl::Stop() {
  is_stopped_ = true;
  for (const IdleConnectionPtr& idle : std::exchange(idle_connections_, {})) {
    error_code ignored;
    idle->socket.close(ignored);
  }
  const auto exchanges = std::exchange(exchanges_, {});
  for (const auto& [id, exchange] : exchanges) {
    exchange->Cancel();
  }
}

BackendPool::Impl::IdleConnectionPtr BackendPool::Impl::TakeIdle(
    bool is_idempotent) {
  const TimePoint now = clock_.now();
  std::erase_if(idle_connections_, [now](const IdleConnectionPtr& connection) {
    return connection->expires_at <= now;
  });
  // The loop may not have handled a close yet.
  while (!idle_connections_.empty() &&
         HasInput(idle_connections_.back()->socket)) {
    idle_connections_.pop_back();
  }
  if (idle_connections_.empty()) {
    return nullptr;
  }
  IdleConnectionPtr last = idle_connections_.back();
  if (!is_idempotent && now - last->idle_since > kMaxIdleForNonIdempotent) {
    return nullptr;
  }
  idle_connections_.pop_back();
  error_code ignored;
  last->socket.cancel(ignored);
  return last;
}

void BackendPool::Impl::AddIdle(tcp::socket socket, milliseconds max_idle) {
  if (is_stopped_) {
    return;
  }
  const auto idle = std::make_shared<IdleConnection>(std::move(socket));
  idle->idle_since = clock_.now();
  idle->expires_at = idle->idle_since + max_idle;
  idle_connections_.push_back(idle);
  // Any bytes or a close on an idle connection remove it from the pool.
  idle->socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(),
                                                   idle](error_code /*error*/) {
    const auto found = std::find(self->idle_connections_.begin(),
                                 self->idle_connections_.end(), idle);
    if (found != self->idle_connections_.end()) {
      self->idle_connections_.erase(found);
    }
  });
}

std::size_t BackendPool::Impl::ExpectedBytes(const std::string& target) const {
  if (large_answers_.empty()) {
    return 0;
  }
  const auto found = large_answers_.find(PathGroup(target));
  return found == large_answers_.end() ? 0 : found->second;
}

void BackendPool::Impl::RecordAnswer(const std::string& target,
                                     std::size_t bytes) {
  const bool is_large = bytes > MemoryAccount::kMaxSmallBytes;
  if (!is_large && large_answers_.empty()) {
    return;
  }
  if (large_answers_.size() >= kMaxLargePaths) {
    large_answers_.clear();
  }
  const std::string group = PathGroup(target);
  if (is_large) {
    large_answers_[group] = bytes;
  } else {
    large_answers_.erase(group);
  }
}

void BackendPool::Impl::ReportEnd(BackendCallEnd end) {
  if (!is_stopped_) {
    handler_.OnBackendEnd(std::move(end));
  }
}

void BackendPool::Impl::ProbeBackend(const BackendCallEnd& end) {
  const auto probe = std::make_shared<tcp::socket>(loop_);
  const auto timer = std::make_shared<OneShotTimer>(loop_);
  const auto is_reported = std::make_shared<bool>(false);
  const auto finish = [self = shared_from_this(), probe, timer, is_reported,
                       end](bool is_down) {
    if (*is_reported) {
      return;
    }
    *is_reported = true;
    timer->Cancel();
    BackendCallEnd known = end;
    known.is_down = is_down;
    self->ReportEnd(std::move(known));
  };
  timer->Start(kConnectTimeout, [finish, probe] {
    error_code ignored;
    probe->close(ignored);
    finish(false);
  });
  ++opened_count_;
  probe->async_connect(
      endpoint_, [self = shared_from_this(), finish, probe](error_code error) {
        if (!error && probe->is_open()) {
          self->AddIdle(std::move(*probe), kDefaultIdleTimeout);
        }
        finish(error == asio::error::connection_refused);
      });
}

BackendPool::BackendPool(asio::io_context& loop,
                         const std::string& address,
                         const Clock& clock,
                         const HttpDialect& dialect,
                         const MemoryAccount& account,
                         Handler& handler)
    : impl_(std::make_shared<Impl>(loop,
                                   address,
                                   clock,
                                   dialect,
                                   account,
                                   handler)) {}

BackendPool::~BackendPool() {
  impl_->Stop();
}

void BackendPool::Call(BackendCall call) {
  impl_->Call(std::move(call));
}

void BackendPool::Cancel(BackendCallId id) {
  impl_->Cancel(id);
}

void BackendPool::Stop() {
  impl_->Stop();
}

std::uint64_t BackendPool::opened_count() const {
  return impl_->opened_count();
}

}  // namespace vanillafall
