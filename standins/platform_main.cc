// Stand-in for the platform's configuration service.
//
//   GET  /v1/values/NAME                        returns the value, and its
//                                               revision in X-Revision
//   GET  /v1/watch/NAME?after=R&wait_ms=W       waits up to W ms for a revision
//                                               later than R
//   PUT  /v1/values/NAME                        publishes a value (operators
//                                               only)
//   DELETE /v1/values/NAME                      deletes a value
//   POST /admin/mode?mode=ok|down|stale&delay_ms=D
//                                               delays each call by D ms
//   GET  /admin/calls                           number of calls so far
//   GET  /admin/peak                            highest number of calls in one
//                                               second since the last query
//
// Calls other than those to /admin/ are counted; a watch counts as one call. In
// mode `down` reads are answered with 503. In mode `stale` reads return the
// values of the moment at which the mode was set.

#include <tclap/CmdLine.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "standins/standin_server.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;
constexpr int kTooLarge = 413;
constexpr int kServiceUnavailable = 503;
constexpr std::size_t kMaxValueBytes = 1U << 20U;
constexpr std::string_view kValuesPath = "/v1/values/";
constexpr std::string_view kWatchPath = "/v1/watch/";

struct Value {
  std::uint64_t revision = 0;
  std::string body;
};

StandinServer::Response MakeResponse(int status, std::string body) {
  return {{status, {}, std::move(body)}};
}

// Thread-safe; Handle may block.
class Platform {
 public:
  StandinServer::Response Handle(const StandinServer::Request& request) {
    const std::string_view path = request.path;
    if (path == "/admin/mode") {
      return SetMode(request);
    }
    if (path == "/admin/calls") {
      return MakeResponse(kOk, std::to_string(calls_.load()) + "\n");
    }
    if (path == "/admin/peak") {
      return MakeResponse(kOk, std::to_string(TakePeak()) + "\n");
    }
    CountCall();
    std::this_thread::sleep_for(GetDelay());
    if (path.starts_with(kValuesPath)) {
      const std::string name(path.substr(kValuesPath.size()));
      if (request.method == "DELETE") {
        return Delete(name);
      }
      return request.method == "PUT" ? Put(name, request.http.body) : Get(name);
    }
    if (path.starts_with(kWatchPath)) {
      return Watch(std::string(path.substr(kWatchPath.size())), request);
    }
    return MakeResponse(kNotFound, "");
  }

 private:
  milliseconds GetDelay() {
    const std::lock_guard lock(mutex_);
    return delay_;
  }

  void CountCall() {
    const std::lock_guard lock(mutex_);
    ++calls_;
    const auto now = std::chrono::steady_clock::now();
    if (now - second_started_ >= std::chrono::seconds(1)) {
      second_started_ = now;
      calls_in_second_ = 0;
    }
    peak_ = std::max(peak_, ++calls_in_second_);
  }

  // Returns the peak and resets it.
  std::uint64_t TakePeak() {
    const std::lock_guard lock(mutex_);
    return std::exchange(peak_, 0);
  }

  StandinServer::Response SetMode(const StandinServer::Request& request) {
    const std::lock_guard lock(mutex_);
    const auto mode = request.arguments.find("mode");
    if (mode != request.arguments.end()) {
      is_down_ = mode->second == "down";
      const bool becomes_stale = mode->second == "stale";
      if (becomes_stale && !is_stale_) {
        stale_values_ = values_;
      }
      is_stale_ = becomes_stale;
    }
    delay_ = milliseconds(request.GetNumber("delay_ms", 0));
    changed_.notify_all();
    return MakeResponse(kOk, "ok\n");
  }

  StandinServer::Response Put(const std::string& name,
                              const std::string& body) {
    if (body.size() > kMaxValueBytes) {
      return MakeResponse(kTooLarge, "");
    }
    const std::lock_guard lock(mutex_);
    values_[name] = {++revision_, body};
    changed_.notify_all();
    return MakeResponse(kOk, "ok\n");
  }

  StandinServer::Response Delete(const std::string& name) {
    const std::lock_guard lock(mutex_);
    values_.erase(name);
    return MakeResponse(kOk, "ok\n");
  }

  StandinServer::Response Get(const std::string& name) {
    const std::lock_guard lock(mutex_);
    return RespondIfNewer(name, 0);
  }

  StandinServer::Response Watch(const std::string& name,
                                const StandinServer::Request& request) {
    const auto after =
        static_cast<std::uint64_t>(request.GetNumber("after", 0));
    const milliseconds wait(request.GetNumber("wait_ms", 0));
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, wait, [&] {
      const Value* value = Find(name);
      return is_down_ || (value != nullptr && value->revision > after);
    });
    return RespondIfNewer(name, after);
  }

  // Returns the value if its revision is later than `after`, else 304. The
  // caller holds mutex_.
  StandinServer::Response RespondIfNewer(const std::string& name,
                                         std::uint64_t after) {
    if (is_down_) {
      return MakeResponse(kServiceUnavailable, "");
    }
    const Value* value = Find(name);
    if (value == nullptr) {
      return MakeResponse(kNotFound, "");
    }
    if (value->revision <= after) {
      return MakeResponse(kNotModified, "");
    }
    return {
        {kOk, {{"X-Revision", std::to_string(value->revision)}}, value->body}};
  }

  const Value* Find(const std::string& name) const {
    const auto& values = is_stale_ ? stale_values_ : values_;
    const auto found = values.find(name);
    return found == values.end() ? nullptr : &found->second;
  }

  std::atomic<std::uint64_t> calls_{0};
  std::mutex mutex_;
  std::chrono::steady_clock::time_point second_started_;
  std::uint64_t calls_in_second_ = 0;
  std::uint64_t peak_ = 0;
  std::condition_variable changed_;
  std::map<std::string, Value> values_;
  std::map<std::string, Value> stale_values_;
  std::uint64_t revision_ = 0;
  bool is_down_ = false;
  bool is_stale_ = false;
  milliseconds delay_{0};
};

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Stand-in for the platform's configuration service");
  TCLAP::ValueArg<std::string> address("", "address", "address to listen on",
                                       true, "", "HOST:PORT", line);
  line.parse(argc, argv);
  BlockStopSignals();
  Platform platform;
  const StandinServer server(address.getValue(),
                             [&platform](const StandinServer::Request& r) {
                               return platform.Handle(r);
                             });
  WaitForStopSignal();
  return 0;
}

}  // namespace
}  // namespace vanillafall

int main(int argc, char** argv) {
  return vanillafall::Main(argc, argv);
}
