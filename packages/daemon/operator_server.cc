#include "daemon/operator_server.h"

#include <microhttpd.h>

#include <cerrno>
#include <string_view>
#include <utility>

#include "transport/address.h"

namespace vanillafall {
namespace {

constexpr unsigned kMaxConnections = 32;
constexpr unsigned kIdleTimeoutSeconds = 10;
// The URL query argument that names the subject of a page or command.
constexpr char kSubjectArgument[] = "subject";

MHD_Result Send(MHD_Connection* connection, const OperatorServer::Page& page) {
  MHD_Response* response = MHD_create_response_from_buffer(
      page.body.size(), const_cast<char*>(page.body.data()),
      MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
                          page.content_type.c_str());
  const MHD_Result result = MHD_queue_response(
      connection, static_cast<unsigned>(page.status), response);
  MHD_destroy_response(response);
  return result;
}

}  // namespace

class OperatorServer::Impl {
 public:
  Impl(std::string address, Listener& listener)
      : address_(std::move(address)), listener_(listener) {}

  std::optional<Error> Start();
  void Stop() {
    if (daemon_ != nullptr) {
      MHD_stop_daemon(daemon_);
      daemon_ = nullptr;
    }
  }

 private:
  static MHD_Result OnAccess(void* self,
                             MHD_Connection* connection,
                             const char* url,
                             const char* method,
                             const char* version,
                             const char* data,
                             std::size_t* size,
                             void** context);

  const std::string address_;
  Listener& listener_;
  MHD_Daemon* daemon_ = nullptr;
};

std::optional<Error> OperatorServer::Impl::Start() {
  const auto address = ParseAddress(address_);
  if (!address) {
    return Error{std::make_error_code(std::errc::invalid_argument),
                 Step::kListen, address_,
                 "not an IPv4 address of the form host:port"};
  }
  daemon_ = MHD_start_daemon(
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_ITC, 0, nullptr, nullptr,
      &Impl::OnAccess, this, MHD_OPTION_SOCK_ADDR,
      reinterpret_cast<const sockaddr*>(&*address), MHD_OPTION_CONNECTION_LIMIT,
      kMaxConnections, MHD_OPTION_CONNECTION_TIMEOUT, kIdleTimeoutSeconds,
      MHD_OPTION_END);
  if (daemon_ == nullptr) {
    return Error{std::error_code(errno, std::generic_category()), Step::kListen,
                 address_, "cannot open the operators' port"};
  }
  return std::nullopt;
}

MHD_Result OperatorServer::Impl::OnAccess(void* self,
                                          MHD_Connection* connection,
                                          const char* url,
                                          const char* method,
                                          const char* /*version*/,
                                          const char* /*data*/,
                                          std::size_t* size,
                                          void** context) {
  auto* impl = static_cast<Impl*>(self);
  if (*context == nullptr) {
    // libmicrohttpd calls first with the headers only. The response must be
    // queued in a later call, after the body.
    *context = impl;
    return MHD_YES;
  }
  if (*size != 0) {
    *size = 0;
    return MHD_YES;
  }
  const char* argument = MHD_lookup_connection_value(
      connection, MHD_GET_ARGUMENT_KIND, kSubjectArgument);
  const std::string subject = argument == nullptr ? "" : argument;
  const bool is_command = std::string_view(method) == "POST";
  return Send(connection, is_command
                              ? impl->listener_.OnOperatorCommand(url, subject)
                              : impl->listener_.OnOperatorQuery(url, subject));
}

OperatorServer::OperatorServer(std::string address, Listener& listener)
    : impl_(std::make_unique<Impl>(std::move(address), listener)) {}

OperatorServer::~OperatorServer() {
  Stop();
}

std::optional<Error> OperatorServer::Start() {
  return impl_->Start();
}

void OperatorServer::Stop() {
  impl_->Stop();
}

}  // namespace vanillafall
