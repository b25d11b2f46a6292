#include "transport/caller_server.h"

#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

#include "transport/address.h"

namespace vanillafall {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Max time that Stop waits for the last answers to be sent, and how often it
// checks. Callers that read their answers take some milliseconds.
constexpr milliseconds kMaxFlushTime{200};
constexpr milliseconds kFlushPollPeriod{2};

// One request of a connection, from its request line to the last byte of its
// answer.
struct Exchange {
  CallerServer::RequestId id = 0;
  HttpRequest request;
  TimePoint started;
  bool has_headers = false;
  bool is_handed_over = false;
  Reason refusal = Reason::kOk;
  std::optional<CallerServer::Answer> answer;
};

MHD_Result CollectHeader(void* context,
                         MHD_ValueKind /*kind*/,
                         const char* name,
                         const char* value) {
  auto* headers = static_cast<std::vector<HttpHeader>*>(context);
  if (!IsHopByHopHeader(name)) {
    headers->push_back({name, value == nullptr ? "" : value});
  }
  return MHD_YES;
}

std::uint64_t DeclaredLength(MHD_Connection* connection) {
  const char* text = MHD_lookup_connection_value(
      connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
  std::uint64_t length = 0;
  if (text != nullptr) {
    const std::string_view view(text);
    std::from_chars(view.data(), view.data() + view.size(), length);
  }
  return length;
}

// Builds the HTTP library's response. A refusal gets a short text as its body.
// If the connection closes after this answer, a header announces that.
MHD_Response* MakeResponse(const CallerServer::Answer& answer,
                           bool closes_connection) {
  const HttpResponse& response = answer.response;
  std::string text = response.body;
  if (response.status == 0) {
    text = std::string(ToString(answer.outcome)) + ": " +
           ToString(answer.reason) + "\n";
  }
  MHD_Response* library_response = MHD_create_response_from_buffer(
      text.size(), text.data(), MHD_RESPMEM_MUST_COPY);
  for (const HttpHeader& header : response.headers) {
    if (!IsHopByHopHeader(header.name)) {
      MHD_add_response_header(library_response, header.name.c_str(),
                              header.value.c_str());
    }
  }
  MHD_add_response_header(library_response, kOutcomeHeader,
                          ToString(answer.outcome));
  MHD_add_response_header(library_response, kReasonHeader,
                          ToString(answer.reason));
  if (closes_connection) {
    MHD_add_response_header(library_response, MHD_HTTP_HEADER_CONNECTION,
                            "close");
  }
  return library_response;
}

// Queues the answer for sending on its connection.
MHD_Result QueueAnswer(MHD_Connection* connection,
                       const CallerServer::Answer& answer,
                       bool closes_connection) {
  const int response_status = answer.response.status;
  const int status = response_status == 0
                         ? GetReasonInfo(answer.reason).http_status
                         : response_status;
  MHD_Response* response = MakeResponse(answer, closes_connection);
  const MHD_Result result =
      MHD_queue_response(connection, static_cast<unsigned>(status), response);
  MHD_destroy_response(response);
  return result;
}

CallerServer::Answer MakeRefusal(Reason reason) {
  return {Outcome::kNotRun, reason, {}};
}

}  // namespace

class CallerServer::Impl {
 public:
  Impl(Options options, const Clock& clock, Listener& listener)
      : options_(std::move(options)), clock_(clock), listener_(listener) {}

  std::optional<Error> Start();
  void StopAccepting();
  void Stop();
  void SendAnswer(RequestId id, Answer answer);
  std::size_t open_requests() const { return open_request_count_; }

 private:
  static void* OnRequestLine(void* self, const char* target, MHD_Connection* c);
  static MHD_Result OnAccess(void* self,
                             MHD_Connection* connection,
                             const char* url,
                             const char* method,
                             const char* version,
                             const char* data,
                             std::size_t* size,
                             void** context);
  static void OnCompleted(void* self,
                          MHD_Connection* connection,
                          void** context,
                          MHD_RequestTerminationCode code);

  MHD_Result Access(MHD_Connection* connection,
                    const char* method,
                    const char* data,
                    std::size_t* size,
                    Exchange* exchange);
  MHD_Result ReadHeaders(MHD_Connection* connection,
                         const char* method,
                         Exchange* exchange);
  void AppendBody(const char* data, std::size_t size, Exchange* exchange);
  MHD_Result HandOver(MHD_Connection* connection, Exchange* exchange);

  // A request that was passed to the listener and waits for its answer.
  struct SuspendedRequest {
    Exchange* exchange = nullptr;
    MHD_Connection* connection = nullptr;
  };

  const Options options_;
  const Clock& clock_;
  Listener& listener_;
  MHD_Daemon* daemon_ = nullptr;
  std::atomic<bool> is_draining_{false};
  MHD_socket quiesced_fd_ = MHD_INVALID_SOCKET;
  std::atomic<RequestId> last_id_{0};
  std::atomic<std::size_t> open_request_count_{0};
  std::mutex mutex_;
  // Guarded by mutex_, as is suspended_.
  bool is_stopping_ = false;
  std::unordered_map<RequestId, SuspendedRequest> suspended_;
};

std::optional<Error> CallerServer::Impl::Start() {
  const auto address = ParseAddress(options_.address);
  if (!address) {
    return Error{std::make_error_code(std::errc::invalid_argument),
                 Step::kListen, options_.address,
                 "not an IPv4 address of the form host:port"};
  }
  const auto idle_timeout = std::max<seconds>(
      seconds(1), duration_cast<seconds>(options_.send_timeout));
  daemon_ = MHD_start_daemon(
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_ITC | MHD_ALLOW_SUSPEND_RESUME, 0,
      nullptr, nullptr, &Impl::OnAccess, this, MHD_OPTION_SOCK_ADDR,
      reinterpret_cast<const sockaddr*>(&*address), MHD_OPTION_URI_LOG_CALLBACK,
      &Impl::OnRequestLine, this, MHD_OPTION_NOTIFY_COMPLETED,
      &Impl::OnCompleted, this, MHD_OPTION_CONNECTION_LIMIT,
      options_.max_connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      static_cast<std::size_t>(options_.max_header_bytes) * 2,
      MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<unsigned>(idle_timeout.count()), MHD_OPTION_END);
  if (daemon_ == nullptr) {
    return Error{std::error_code(errno, std::generic_category()), Step::kListen,
                 options_.address, "cannot open the callers' port"};
  }
  return std::nullopt;
}

void CallerServer::Impl::StopAccepting() {
  if (daemon_ == nullptr || is_draining_.exchange(true)) {
    return;
  }
  // The library leaves the port open, so callers would connect and then wait
  // until they time out. A refused connection proves to them at once that
  // nothing was sent.
  quiesced_fd_ = MHD_quiesce_daemon(daemon_);
  shutdown(quiesced_fd_, SHUT_RDWR);
}

void CallerServer::Impl::Stop() {
  if (daemon_ == nullptr) {
    return;
  }
  {
    // The library aborts the process when it stops with suspended connections,
    // so from here on no further connection is suspended.
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
    for (auto& [id, suspended] : suspended_) {
      suspended.exchange->answer =
          Answer{Outcome::kUnknown, Reason::kDeadlinePassed};
      MHD_resume_connection(suspended.connection);
    }
    suspended_.clear();
  }
  const TimePoint deadline = clock_.now() + kMaxFlushTime;
  while (open_request_count_ > 0 && clock_.now() < deadline) {
    std::this_thread::sleep_for(kFlushPollPeriod);
  }
  MHD_stop_daemon(daemon_);
  daemon_ = nullptr;
  if (is_draining_) {
    close(quiesced_fd_);
  }
}

void CallerServer::Impl::SendAnswer(RequestId id, Answer answer) {
  const std::lock_guard lock(mutex_);
  const auto found = suspended_.find(id);
  if (found == suspended_.end()) {
    return;
  }
  found->second.exchange->answer = std::move(answer);
  MHD_resume_connection(found->second.connection);
  suspended_.erase(found);
}

void* CallerServer::Impl::OnRequestLine(void* self,
                                        const char* target,
                                        MHD_Connection* /*connection*/) {
  auto* impl = static_cast<Impl*>(self);
  auto exchange = std::make_unique<Exchange>();
  exchange->id = ++impl->last_id_;
  exchange->request.target = target;
  exchange->started = impl->clock_.now();
  ++impl->open_request_count_;
  return exchange.release();
}

MHD_Result CallerServer::Impl::OnAccess(void* self,
                                        MHD_Connection* connection,
                                        const char* /*url*/,
                                        const char* method,
                                        const char* /*version*/,
                                        const char* data,
                                        std::size_t* size,
                                        void** context) {
  return static_cast<Impl*>(self)->Access(connection, method, data, size,
                                          static_cast<Exchange*>(*context));
}

void CallerServer::Impl::OnCompleted(void* self,
                                     MHD_Connection* /*connection*/,
                                     void** context,
                                     MHD_RequestTerminationCode code) {
  auto* impl = static_cast<Impl*>(self);
  const std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(*context));
  *context = nullptr;
  if (exchange == nullptr) {
    return;
  }
  if (code == MHD_REQUEST_TERMINATED_TIMEOUT_REACHED &&
      !exchange->is_handed_over) {
    impl->listener_.OnCallerRefused(Reason::kSlowSender);
  }
  const std::lock_guard lock(impl->mutex_);
  impl->suspended_.erase(exchange->id);
  --impl->open_request_count_;
}

MHD_Result CallerServer::Impl::Access(MHD_Connection* connection,
                                      const char* method,
                                      const char* data,
                                      std::size_t* size,
                                      Exchange* exchange) {
  if (exchange->answer) {
    return QueueAnswer(connection, *exchange->answer, is_draining_);
  }
  if (!exchange->has_headers) {
    return ReadHeaders(connection, method, exchange);
  }
  if (*size != 0) {
    AppendBody(data, *size, exchange);
    *size = 0;
    return MHD_YES;
  }
  if (exchange->refusal != Reason::kOk) {
    listener_.OnCallerRefused(exchange->refusal);
    return QueueAnswer(connection, MakeRefusal(exchange->refusal),
                       is_draining_);
  }
  return HandOver(connection, exchange);
}

MHD_Result CallerServer::Impl::ReadHeaders(MHD_Connection* connection,
                                           const char* method,
                                           Exchange* exchange) {
  exchange->has_headers = true;
  exchange->request.method = method;
  MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader,
                            &exchange->request.headers);
  std::size_t header_bytes = exchange->request.target.size();
  for (const HttpHeader& header : exchange->request.headers) {
    header_bytes += header.name.size() + header.value.size();
  }
  const bool is_too_large =
      header_bytes > options_.max_header_bytes ||
      DeclaredLength(connection) > options_.max_body_bytes;
  if (!is_too_large) {
    return MHD_YES;
  }
  listener_.OnCallerRefused(Reason::kTooLarge);
  return QueueAnswer(connection, MakeRefusal(Reason::kTooLarge), is_draining_);
}

void CallerServer::Impl::AppendBody(const char* data,
                                    std::size_t size,
                                    Exchange* exchange) {
  Body& body = exchange->request.body;
  if (body.size() + size > options_.max_body_bytes) {
    exchange->refusal = Reason::kTooLarge;
  }
  if (clock_.now() - exchange->started > options_.send_timeout) {
    exchange->refusal = Reason::kSlowSender;
  }
  if (exchange->refusal == Reason::kOk) {
    body.append(data, size);
  }
}

MHD_Result CallerServer::Impl::HandOver(MHD_Connection* connection,
                                        Exchange* exchange) {
  exchange->is_handed_over = true;
  const RequestId id = exchange->id;
  {
    // Suspended before the request is passed on, because the answer may arrive
    // at once.
    const std::lock_guard lock(mutex_);
    if (is_stopping_) {
      listener_.OnCallerRefused(Reason::kDraining);
      return QueueAnswer(connection, MakeRefusal(Reason::kDraining), true);
    }
    suspended_[id] = {exchange, connection};
    MHD_suspend_connection(connection);
  }
  if (!listener_.OnCallerRequest(id, std::move(exchange->request))) {
    SendAnswer(id, MakeRefusal(Reason::kOverloaded));
  }
  return MHD_YES;
}

CallerServer::CallerServer(Options options,
                           const Clock& clock,
                           Listener& listener)
    : impl_(std::make_unique<Impl>(std::move(options), clock, listener)) {}

CallerServer::~CallerServer() {
  Stop();
}

std::optional<Error> CallerServer::Start() {
  return impl_->Start();
}

void CallerServer::StopAccepting() {
  impl_->StopAccepting();
}

void CallerServer::Stop() {
  impl_->Stop();
}

void CallerServer::SendAnswer(RequestId id, Answer answer) {
  impl_->SendAnswer(id, std::move(answer));
}

std::size_t CallerServer::open_request_count() const {
  return impl_->open_requests();
}

}  // namespace vanillafall
