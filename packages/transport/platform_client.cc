#include "transport/platform_client.h"

#include <curl/curl.h>

#include <atomic>
#include <charconv>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include "base/bounded_ring.h"
#include "message/http.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kRingCapacity = 4096;
constexpr long kConnectTimeoutMilliseconds = 500;
constexpr milliseconds kReadTimeout{2000};
constexpr std::size_t kMaxValueBytes = 1U << 20U;
// Maximum size of all header and trailer fields of an answer.
constexpr std::size_t kMaxHeadBytes = std::size_t{64} * 1024;
constexpr long kOkStatus = 200;
constexpr long kFirstServerError = 500;
constexpr std::string_view kRevisionHeader = "X-Revision";

// An HTTP GET to be made for the value of that name.
struct Query {
  std::string name;
  std::string target;
  milliseconds timeout{0};
};

// The answer to a query, as far as it has arrived.
struct Answer {
  PlatformClient::Value value;
  std::size_t head_bytes = 0;
  bool is_head_complete = false;
};

std::size_t OnBody(char* data, std::size_t size, std::size_t n, void* context) {
  std::string& body = static_cast<Answer*>(context)->value.body;
  if (body.size() + size * n > kMaxValueBytes) {
    return 0;
  }
  body.append(data, size * n);
  return size * n;
}

std::size_t OnHeader(char* data,
                     std::size_t size,
                     std::size_t n,
                     void* context) {
  auto* answer = static_cast<Answer*>(context);
  const std::string_view line(data, size * n);
  answer->head_bytes += line.size();
  if (answer->head_bytes > kMaxHeadBytes || !IsHeadLineValid(line)) {
    return 0;
  }
  answer->is_head_complete = IsHeadComplete(line, answer->is_head_complete);
  const std::size_t colon = line.find(": ");
  if (colon != std::string_view::npos &&
      EqualsIgnoringCase(line.substr(0, colon), kRevisionHeader)) {
    std::from_chars(line.data() + colon + 2, line.data() + line.size(),
                    answer->value.revision);
  }
  return size * n;
}

// Aborts the transfer when the client stops.
int OnProgress(void* context, curl_off_t, curl_off_t, curl_off_t, curl_off_t) {
  return *static_cast<std::atomic<bool>*>(context) ? 1 : 0;
}

}  // namespace

// A thread that performs queued queries one at a time.
class PlatformClient::RequestThread {
 public:
  RequestThread(std::string address, Listener& listener)
      : address_(std::move(address)),
        listener_(listener),
        ring_(kRingCapacity) {}

  void Start() {
    thread_ = std::thread([this] { Run(); });
  }

  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      is_stopping_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  bool Push(Query query) {
    const bool is_queued = ring_.TryPush(std::move(query));
    const std::lock_guard lock(mutex_);
    changed_.notify_all();
    return is_queued;
  }

  std::uint64_t call_count() const { return call_count_; }

 private:
  void Run();
  // Blocks until a query is queued; returns nothing when the thread must stop.
  std::optional<Query> WaitForQuery();
  void Perform(CURL* easy, const Query& query);

  const std::string address_;
  Listener& listener_;
  BoundedRing<Query> ring_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<bool> is_stopping_{false};
  std::atomic<std::uint64_t> call_count_{0};
  std::thread thread_;
};

void PlatformClient::RequestThread::Run() {
  CURL* easy = curl_easy_init();
  while (const std::optional<Query> query = WaitForQuery()) {
    Perform(easy, *query);
  }
  curl_easy_cleanup(easy);
}

std::optional<Query> PlatformClient::RequestThread::WaitForQuery() {
  std::unique_lock lock(mutex_);
  while (!is_stopping_) {
    if (auto query = ring_.TryPop()) {
      return query;
    }
    changed_.wait(lock);
  }
  return std::nullopt;
}

void PlatformClient::RequestThread::Perform(CURL* easy, const Query& query) {
  Answer answer;
  const std::string url = "http://" + address_ + query.target;
  curl_easy_reset(easy);
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   kConnectTimeoutMilliseconds);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(query.timeout.count()));
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &answer);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &answer);
  curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, &OnProgress);
  curl_easy_setopt(easy, CURLOPT_XFERINFODATA, &is_stopping_);
  ++call_count_;
  const CURLcode code = curl_easy_perform(easy);
  long status = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  const bool is_reached =
      code == CURLE_OK && answer.is_head_complete && status < kFirstServerError;
  const bool has_value = is_reached && status == kOkStatus;
  listener_.OnPlatformValue(
      query.name,
      has_value ? std::optional(std::move(answer.value)) : std::nullopt,
      is_reached);
}

class PlatformClient::Impl {
 public:
  Impl(const std::string& address, Listener& listener)
      : reads_(address, listener), watches_(address, listener) {}

  RequestThread reads_;
  RequestThread watches_;
};

PlatformClient::PlatformClient(const std::string& address, Listener& listener)
    : impl_(std::make_unique<Impl>(address, listener)) {}

PlatformClient::~PlatformClient() {
  Stop();
}

void PlatformClient::Start() {
  impl_->reads_.Start();
  impl_->watches_.Start();
}

void PlatformClient::Stop() {
  impl_->reads_.Stop();
  impl_->watches_.Stop();
}

bool PlatformClient::Read(std::string name) {
  std::string target = "/v1/values/" + name;
  return impl_->reads_.Push({std::move(name), std::move(target), kReadTimeout});
}

bool PlatformClient::Watch(std::string name,
                           std::uint64_t after,
                           milliseconds wait) {
  std::string target = "/v1/watch/" + name + "?after=" + std::to_string(after) +
                       "&wait_ms=" + std::to_string(wait.count());
  return impl_->watches_.Push(
      {std::move(name), std::move(target), wait + kReadTimeout});
}

std::uint64_t PlatformClient::call_count() const {
  return impl_->reads_.call_count() + impl_->watches_.call_count();
}

}  // namespace vanillafall
