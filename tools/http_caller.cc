#include "tools/http_caller.h"

#include <curl/curl.h>

namespace vanillafall {
namespace {

// The state of one transfer, for the callbacks of libcurl.
struct Transfer {
  HttpResponse response;
  int send_count = 0;
  bool is_head_complete = false;
};

// Aborts when libcurl is about to send the request a second time, which it does
// by itself when a reused connection turns out to be closed.
int OnReadyToSend(void* context, char*, char*, int, int) {
  auto* transfer = static_cast<Transfer*>(context);
  ++transfer->send_count;
  return transfer->send_count == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

std::size_t OnHeader(char* data,
                     std::size_t size,
                     std::size_t count,
                     void* context) {
  auto* transfer = static_cast<Transfer*>(context);
  const std::string_view line(data, size * count);
  if (!IsHeadLineValid(line)) {
    return 0;
  }
  transfer->is_head_complete = IsHeadComplete(line, transfer->is_head_complete);
  const std::size_t colon = line.find(": ");
  const std::size_t end = line.find_last_not_of("\r\n");
  if (colon != std::string_view::npos && end != std::string_view::npos) {
    transfer->response.headers.push_back(
        {std::string(line.substr(0, colon)),
         std::string(line.substr(colon + 2, end - colon - 1))});
  }
  return line.size();
}

std::size_t OnBody(char* data,
                   std::size_t size,
                   std::size_t count,
                   void* context) {
  static_cast<Transfer*>(context)->response.body.append(data, size * count);
  return size * count;
}

curl_slist* MakeHeaders(const HttpRequest& request) {
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  for (const HttpHeader& header : request.headers) {
    // libcurl leaves out a header without a value unless it is written so.
    const std::string line = header.value.empty()
                                 ? header.name + ";"
                                 : header.name + ": " + header.value;
    headers = curl_slist_append(headers, line.c_str());
  }
  return headers;
}

}  // namespace

HttpCaller::HttpCaller() : easy_(curl_easy_init()) {}

HttpCaller::~HttpCaller() {
  curl_easy_cleanup(easy_);
}

HttpCaller::Result HttpCaller::Call(const std::string& address,
                                    const HttpRequest& request,
                                    std::chrono::milliseconds timeout) {
  Transfer transfer;
  curl_slist* headers = MakeHeaders(request);
  const std::string url = "http://" + address + request.target;
  // Resets all options but keeps connections open.
  curl_easy_reset(easy_);
  curl_easy_setopt(easy_, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy_, CURLOPT_PROXY, "");
  curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(timeout.count()));
  curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headers);
  if (request.method == "POST") {
    curl_easy_setopt(easy_, CURLOPT_POST, 1L);
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, request.body.data());
  }
  curl_easy_setopt(easy_, CURLOPT_PREREQFUNCTION, &OnReadyToSend);
  curl_easy_setopt(easy_, CURLOPT_PREREQDATA, &transfer);
  curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy_, CURLOPT_HEADERDATA, &transfer);
  curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy_, CURLOPT_WRITEDATA, &transfer);
  const CURLcode code = curl_easy_perform(easy_);
  curl_slist_free_all(headers);
  Result result;
  if (code == CURLE_OK && transfer.is_head_complete) {
    long status = 0;
    curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
    transfer.response.status = static_cast<int>(status);
    result.end = End::kAnswered;
  } else if (transfer.send_count == 0) {
    result.end = End::kNotSent;
  }
  result.response = std::move(transfer.response);
  return result;
}

}  // namespace vanillafall
