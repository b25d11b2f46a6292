#include "transport/backend_client.h"

#include <curl/curl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cassert>
#include <map>
#include <thread>
#include <utility>
#include <variant>

#include "base/bounded_ring.h"
#include "transport/open_sockets.h"

namespace vanillafall {
namespace {

constexpr std::size_t kRingCapacity = 16'384;
constexpr int kPollMilliseconds = 1000;
constexpr long kMaxIdleConnections = 512;
constexpr long kConnectTimeoutMilliseconds = 1000;
// Maximum size of all heads of an answer together, those of interim answers and
// the trailer fields included.
constexpr std::size_t kMaxHeadBytes = std::size_t{64} * 1024;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

struct CancelCall {
  BackendClient::CallId id = 0;
};
using Command = std::variant<BackendClient::Call, CancelCall>;

// One call in progress. Owns its handles of the HTTP library.
class Transfer {
 public:
  Transfer(BackendClient::Call call,
           std::size_t max_answer_bytes,
           OpenSockets& sockets);
  ~Transfer();
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;

  CURL* easy() const { return easy_; }
  // True when nothing was sent because the kept connection had unread input.
  bool has_leftover_input() const { return has_leftover_input_; }
  bool uses_fresh_connection() const { return uses_fresh_connection_; }
  // Makes the next run of this transfer open a new connection.
  void UseFreshConnection();
  BackendClient::CallId id() const { return call_.id; }
  // Builds the result from the code with which the library ended the transfer.
  BackendClient::Result Finish(CURLcode code);

 private:
  static int OnReadyToSend(void* self,
                           char* remote_ip,
                           char* local_ip,
                           int remote_port,
                           int local_port);
  static curl_socket_t OnOpenSocket(void* sockets,
                                    curlsocktype purpose,
                                    curl_sockaddr* address);
  static int OnCloseSocket(void* sockets, curl_socket_t fd);
  static std::size_t OnHeader(char* data,
                              std::size_t size,
                              std::size_t count,
                              void* self);
  static std::size_t OnBody(char* data,
                            std::size_t size,
                            std::size_t count,
                            void* self);

  void SetUpRequest();
  void SetUpHeaders();
  BackendClient::End ClassifyEnd(CURLcode code) const;
  bool HasKnownLength() const;

  BackendClient::Call call_;
  const std::size_t max_answer_bytes_;
  OpenSockets& sockets_;
  CURL* const easy_;
  curl_slist* headers_ = nullptr;
  int send_count_ = 0;
  bool has_leftover_input_ = false;
  bool uses_fresh_connection_ = false;
  bool is_too_large_ = false;
  bool is_malformed_ = false;
  std::size_t head_bytes_ = 0;
  bool has_length_ = false;
  bool is_head_complete_ = false;
  HttpResponse response_;
};

Transfer::Transfer(BackendClient::Call call,
                   std::size_t max_answer_bytes,
                   OpenSockets& sockets)
    : call_(std::move(call)),
      max_answer_bytes_(max_answer_bytes),
      sockets_(sockets),
      easy_(curl_easy_init()) {
  SetUpRequest();
  SetUpHeaders();
}

Transfer::~Transfer() {
  curl_easy_cleanup(easy_);
  curl_slist_free_all(headers_);
}

void Transfer::SetUpRequest() {
  const HttpRequest& request = call_.request;
  const std::string url = "http://" + call_.address + request.target;
  curl_easy_setopt(easy_, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy_, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy_, CURLOPT_PROXY, "");
  curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(call_.timeout.count()));
  curl_easy_setopt(easy_, CURLOPT_CONNECTTIMEOUT_MS,
                   kConnectTimeoutMilliseconds);
  if (request.method == "HEAD") {
    curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
  }
  const bool has_body = !request.body.empty() || request.method == "POST" ||
                        request.method == "PUT";
  if (has_body) {
    curl_easy_setopt(easy_, CURLOPT_POST, 1L);
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, request.body.data());
  }
  curl_easy_setopt(easy_, CURLOPT_PREREQFUNCTION, &Transfer::OnReadyToSend);
  curl_easy_setopt(easy_, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(easy_, CURLOPT_OPENSOCKETFUNCTION, &Transfer::OnOpenSocket);
  curl_easy_setopt(easy_, CURLOPT_OPENSOCKETDATA, &sockets_);
  curl_easy_setopt(easy_, CURLOPT_CLOSESOCKETFUNCTION,
                   &Transfer::OnCloseSocket);
  curl_easy_setopt(easy_, CURLOPT_CLOSESOCKETDATA, &sockets_);
  curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &Transfer::OnHeader);
  curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &Transfer::OnBody);
  curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy_, CURLOPT_PRIVATE, this);
}

void Transfer::SetUpHeaders() {
  // Empty values keep the library from adding these two headers itself. Its
  // "Expect: 100-continue" can make it send the request a second time.
  headers_ = curl_slist_append(headers_, "Expect:");
  if (FindHeader(call_.request.headers, "Content-Type").empty()) {
    headers_ = curl_slist_append(headers_, "Content-Type:");
  }
  for (const HttpHeader& header : call_.request.headers) {
    const std::string line = header.value.empty()
                                 ? header.name + ";"
                                 : header.name + ": " + header.value;
    headers_ = curl_slist_append(headers_, line.c_str());
  }
  curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headers_);
}

// The library calls this each time before it sends the request. A request must
// never be sent twice, so a second call aborts the transfer. Bytes received
// before the request is sent belong to an earlier answer, and the library would
// take them for the answer to this request.
int Transfer::OnReadyToSend(void* self,
                            char* remote_ip,
                            char* /*local_ip*/,
                            int remote_port,
                            int local_port) {
  auto* transfer = static_cast<Transfer*>(self);
  const bool has_input =
      transfer->sockets_.HasInput({remote_ip, remote_port, local_port});
  if (transfer->send_count_ == 0 && has_input) {
    transfer->has_leftover_input_ = true;
    return CURL_PREREQFUNC_ABORT;
  }
  ++transfer->send_count_;
  return transfer->send_count_ == 1 ? CURL_PREREQFUNC_OK
                                    : CURL_PREREQFUNC_ABORT;
}

curl_socket_t Transfer::OnOpenSocket(void* sockets,
                                     curlsocktype /*purpose*/,
                                     curl_sockaddr* address) {
  const int fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
                        address->protocol);
  static_cast<OpenSockets*>(sockets)->OnOpened(fd);
  return fd;
}

int Transfer::OnCloseSocket(void* sockets, curl_socket_t fd) {
  static_cast<OpenSockets*>(sockets)->OnClosed(fd);
  return close(fd);
}

void Transfer::UseFreshConnection() {
  has_leftover_input_ = false;
  uses_fresh_connection_ = true;
  curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, 1L);
}

std::size_t Transfer::OnHeader(char* data,
                               std::size_t size,
                               std::size_t count,
                               void* self) {
  auto* transfer = static_cast<Transfer*>(self);
  const std::string_view line(data, size * count);
  transfer->head_bytes_ += line.size();
  if (transfer->head_bytes_ > kMaxHeadBytes) {
    transfer->is_too_large_ = true;
    return 0;
  }
  if (!IsHeadLineValid(line)) {
    transfer->is_malformed_ = true;
    return 0;
  }
  transfer->is_head_complete_ =
      IsHeadComplete(line, transfer->is_head_complete_);
  if (line.starts_with("HTTP/")) {
    transfer->response_.headers.clear();
    transfer->has_length_ = false;
    return line.size();
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return line.size();
  }
  const std::string_view name = line.substr(0, colon);
  std::string_view value = line.substr(colon + 1);
  const std::size_t first = value.find_first_not_of(" \t");
  const std::size_t last = value.find_last_not_of(" \t\r\n");
  value = first == std::string_view::npos || last == std::string_view::npos
              ? std::string_view()
              : value.substr(first, last - first + 1);
  if (EqualsIgnoringCase(name, "Content-Length") ||
      EqualsIgnoringCase(name, "Transfer-Encoding")) {
    transfer->has_length_ = true;
  }
  if (!IsHopByHopHeader(name)) {
    transfer->response_.headers.push_back(
        {std::string(name), std::string(value)});
  }
  return line.size();
}

std::size_t Transfer::OnBody(char* data,
                             std::size_t size,
                             std::size_t count,
                             void* self) {
  auto* transfer = static_cast<Transfer*>(self);
  const std::size_t length = size * count;
  if (transfer->response_.body.size() + length > transfer->max_answer_bytes_) {
    transfer->is_too_large_ = true;
    return 0;
  }
  transfer->response_.body.append(data, length);
  return length;
}

BackendClient::Result Transfer::Finish(CURLcode code) {
  long status = 0;
  curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
  response_.status = static_cast<int>(status);
  BackendClient::Result result;
  result.id = call_.id;
  result.end = ClassifyEnd(code);
  if (result.end == BackendClient::End::kAnswered) {
    result.response = std::move(response_);
  }
  return result;
}

BackendClient::End Transfer::ClassifyEnd(CURLcode code) const {
  using End = BackendClient::End;
  if (code == CURLE_OK) {
    return is_head_complete_ && HasKnownLength() ? End::kAnswered
                                                 : End::kTruncated;
  }
  if (send_count_ == 0) {
    return End::kNotConnected;
  }
  if (is_too_large_) {
    return End::kTooLarge;
  }
  if (code == CURLE_OPERATION_TIMEDOUT) {
    return End::kTimeout;
  }
  const bool has_answer_begun =
      is_malformed_ || response_.status != 0 || !response_.headers.empty();
  return has_answer_begun ? End::kTruncated : End::kLost;
}

// Without a stated length, a complete body can't be distinguished from one that
// was truncated when the connection closed.
bool Transfer::HasKnownLength() const {
  const bool has_no_body = response_.status == kNoContent ||
                           response_.status == kNotModified ||
                           call_.request.method == "HEAD";
  return has_no_body || has_length_;
}

}  // namespace

class BackendClient::Impl {
 public:
  Impl(std::size_t max_answer_bytes, Listener& listener)
      : max_answer_bytes_(max_answer_bytes),
        listener_(listener),
        ring_(kRingCapacity),
        multi_(curl_multi_init()) {
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  }
  ~Impl() { curl_multi_cleanup(multi_); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Start() {
    thread_ = std::thread([this] { Run(); });
  }

  void Stop() {
    is_stopping_ = true;
    curl_multi_wakeup(multi_);
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  bool Push(Command command) {
    const bool is_queued = ring_.TryPush(std::move(command));
    curl_multi_wakeup(multi_);
    return is_queued;
  }

 private:
  void Run();
  void ProcessCommands();
  void StartTransfer(Call call);
  void Cancel(CallId id);
  void ProcessFinished();

  const std::size_t max_answer_bytes_;
  Listener& listener_;
  BoundedRing<Command> ring_;
  // Must outlive multi_: the library closes its sockets when multi_ is cleaned
  // up.
  OpenSockets sockets_;
  CURLM* const multi_;
  std::atomic<bool> is_stopping_{false};
  std::map<CallId, std::unique_ptr<Transfer>> transfers_;
  std::thread thread_;
};

void BackendClient::Impl::Run() {
  while (!is_stopping_) {
    ProcessCommands();
    int running = 0;
    curl_multi_perform(multi_, &running);
    ProcessFinished();
    // The poll returns at once when ProcessFinished has added a handle again.
    curl_multi_poll(multi_, nullptr, 0, kPollMilliseconds, nullptr);
  }
  for (const auto& [id, transfer] : transfers_) {
    curl_multi_remove_handle(multi_, transfer->easy());
  }
  transfers_.clear();
}

void BackendClient::Impl::ProcessCommands() {
  while (auto command = ring_.TryPop()) {
    if (auto* call = std::get_if<Call>(&*command)) {
      StartTransfer(std::move(*call));
    } else {
      Cancel(std::get<CancelCall>(*command).id);
    }
  }
}

void BackendClient::Impl::StartTransfer(Call call) {
  auto transfer =
      std::make_unique<Transfer>(std::move(call), max_answer_bytes_, sockets_);
  curl_multi_add_handle(multi_, transfer->easy());
  const CallId id = transfer->id();
  transfers_[id] = std::move(transfer);
}

void BackendClient::Impl::Cancel(CallId id) {
  const auto node = transfers_.extract(id);
  if (node.empty()) {
    return;
  }
  curl_multi_remove_handle(multi_, node.mapped()->easy());
  listener_.OnBackendResult({id, End::kCancelled, {}});
}

void BackendClient::Impl::ProcessFinished() {
  int remaining = 0;
  while (const CURLMsg* message = curl_multi_info_read(multi_, &remaining)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const CURLcode code = message->data.result;
    char* context = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &context);
    auto* transfer = reinterpret_cast<Transfer*>(context);
    curl_multi_remove_handle(multi_, transfer->easy());
    if (transfer->has_leftover_input() && !transfer->uses_fresh_connection()) {
      transfer->UseFreshConnection();
      curl_multi_add_handle(multi_, transfer->easy());
      continue;
    }
    Result result = transfer->Finish(code);
    transfers_.erase(result.id);
    listener_.OnBackendResult(std::move(result));
  }
}

BackendClient::BackendClient(std::size_t max_answer_bytes, Listener& listener)
    : impl_(std::make_unique<Impl>(max_answer_bytes, listener)) {}

BackendClient::~BackendClient() {
  Stop();
}

void BackendClient::Start() {
  impl_->Start();
}

void BackendClient::Stop() {
  impl_->Stop();
}

bool BackendClient::Send(Call call) {
  return impl_->Push(std::move(call));
}

bool BackendClient::Cancel(CallId id) {
  return impl_->Push(CancelCall{id});
}

}  // namespace vanillafall
