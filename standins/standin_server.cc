#include "standins/standin_server.h"

#include <microhttpd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <system_error>
#include <utility>

#include "transport/address.h"

namespace vanillafall {
namespace {

constexpr unsigned kMaxConnections = 2000;

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

MHD_Result CollectArgument(void* context,
                           MHD_ValueKind /*kind*/,
                           const char* name,
                           const char* value) {
  auto* arguments = static_cast<std::map<std::string, std::string>*>(context);
  (*arguments)[name] = value == nullptr ? "" : value;
  return MHD_YES;
}

MHD_Result CollectHeader(void* context,
                         MHD_ValueKind /*kind*/,
                         const char* name,
                         const char* value) {
  auto* headers = static_cast<std::vector<HttpHeader>*>(context);
  headers->push_back({name, value == nullptr ? "" : value});
  return MHD_YES;
}

// Response body of which only the first cut_after bytes are sent; then the
// connection is closed.
struct TruncatedBody {
  std::string body;
  std::uint64_t cut_after = 0;
};

ssize_t ReadTruncatedBody(void* context,
                          std::uint64_t offset,
                          char* out,
                          size_t max_size) {
  const auto* truncated = static_cast<TruncatedBody*>(context);
  if (offset >= truncated->cut_after) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  const std::size_t count =
      std::min<std::uint64_t>(max_size, truncated->cut_after - offset);
  std::copy_n(truncated->body.data() + offset, count, out);
  return static_cast<ssize_t>(count);
}

void FreeTruncatedBody(void* context) {
  delete static_cast<TruncatedBody*>(context);
}

MHD_Response* MakeResponse(const StandinServer::Response& response) {
  const std::string& body = response.http.body;
  if (response.cut_after < 0) {
    return MHD_create_response_from_buffer(
        body.size(), const_cast<char*>(body.data()), MHD_RESPMEM_MUST_COPY);
  }
  auto* truncated = new TruncatedBody{
      body, std::min<std::uint64_t>(
                static_cast<std::uint64_t>(response.cut_after), body.size())};
  return MHD_create_response_from_callback(
      body.size(), 4096, &ReadTruncatedBody, truncated, &FreeTruncatedBody);
}

}  // namespace

std::int64_t StandinServer::Request::GetNumber(const std::string& name,
                                               std::int64_t fallback) const {
  const auto found = arguments.find(name);
  if (found == arguments.end()) {
    return fallback;
  }
  const std::string& text = found->second;
  std::int64_t value = fallback;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

class StandinServer::Impl {
 public:
  Impl(const std::string& address, Handler handler)
      : handler_(std::move(handler)) {
    const auto parsed = ParseAddress(address);
    if (!parsed) {
      throw std::system_error(EINVAL, std::generic_category(), address);
    }
    daemon_ = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0,
        nullptr, nullptr, &Impl::OnAccess, this, MHD_OPTION_SOCK_ADDR,
        reinterpret_cast<const sockaddr*>(&*parsed),
        MHD_OPTION_CONNECTION_LIMIT, kMaxConnections,
        MHD_OPTION_NOTIFY_COMPLETED, &Impl::OnCompleted, nullptr,
        MHD_OPTION_END);
    if (daemon_ == nullptr) {
      throw std::system_error(errno, std::generic_category(), address);
    }
  }
  ~Impl() { MHD_stop_daemon(daemon_); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

 private:
  static MHD_Result OnAccess(void* self,
                             MHD_Connection* connection,
                             const char* url,
                             const char* method,
                             const char* /*version*/,
                             const char* data,
                             std::size_t* size,
                             void** context) {
    if (*context == nullptr) {
      auto request = std::make_unique<Request>();
      request->method = method;
      request->path = url;
      request->http.method = method;
      request->http.target = url;
      MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND,
                                &CollectArgument, &request->arguments);
      MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader,
                                &request->http.headers);
      *context = request.release();
      return MHD_YES;
    }
    auto* request = static_cast<Request*>(*context);
    if (*size != 0) {
      request->http.body.append(data, *size);
      *size = 0;
      return MHD_YES;
    }
    const Response answer = static_cast<Impl*>(self)->handler_(*request);
    MHD_Response* response = MakeResponse(answer);
    for (const HttpHeader& header : answer.http.headers) {
      MHD_add_response_header(response, header.name.c_str(),
                              header.value.c_str());
    }
    const MHD_Result result = MHD_queue_response(
        connection, static_cast<unsigned>(answer.http.status), response);
    MHD_destroy_response(response);
    return result;
  }

  static void OnCompleted(void* /*self*/,
                          MHD_Connection* /*connection*/,
                          void** context,
                          MHD_RequestTerminationCode /*code*/) {
    const std::unique_ptr<Request> request(static_cast<Request*>(*context));
    *context = nullptr;
  }

  const Handler handler_;
  MHD_Daemon* daemon_ = nullptr;
};

StandinServer::StandinServer(const std::string& address, Handler handler)
    : impl_(std::make_unique<Impl>(address, std::move(handler))) {}

StandinServer::~StandinServer() = default;

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int signal = 0;
  sigwait(&signals, &signal);
}

}  // namespace vanillafall
