#include "operator/daemon_query.h"

#include <curl/curl.h>

#include <memory>

namespace vanillafall {
namespace {

constexpr long kTimeoutMilliseconds = 5000;
constexpr long kOkStatus = 200;

std::size_t OnBody(char* data, std::size_t size, std::size_t n, void* body) {
  static_cast<std::string*>(body)->append(data, size * n);
  return size * n;
}

Error MakeError(const std::string& address, const std::string& detail) {
  return {std::make_error_code(std::errc::io_error), Step::kCallPeer, address,
          detail};
}

}  // namespace

std::variant<std::string, Error> QueryDaemon(const std::string& address,
                                             const std::string& path,
                                             const std::string& subject) {
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(
      curl_easy_init(), &curl_easy_cleanup);
  std::string url = "http://" + address + path;
  if (!subject.empty()) {
    char* escaped = curl_easy_escape(easy.get(), subject.c_str(),
                                     static_cast<int>(subject.size()));
    url += "?subject=" + std::string(escaped);
    curl_free(escaped);
  }
  std::string body;
  curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, kTimeoutMilliseconds);
  curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &body);
  const CURLcode code = curl_easy_perform(easy.get());
  if (code != CURLE_OK) {
    return MakeError(address, curl_easy_strerror(code));
  }
  long status = 0;
  curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
  if (status != kOkStatus) {
    return MakeError(address, "status " + std::to_string(status));
  }
  return body;
}

}  // namespace vanillafall
