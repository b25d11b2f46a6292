// Stand-in for a backend server.
//
// A request for any path that is not listed here is work: it occupies a slot
// for its work time and is answered with the server's name and the request's
// X-Request-Id. A request for work while all slots are in use is answered with
// 503. Work other than GET and HEAD is written to the history file when it
// starts.
//
//   GET  /health                        always healthy, whatever the mode
//   GET  /admin/stats                   counters as JSON
//   POST /admin/mode?KEY=VALUE...       replaces the whole mode:
//        work_ms=N        work time in milliseconds
//        hang=1           work hangs until the mode changes, at most 60 s
//        fail_percent=N   percentage of the work that is answered with 500
//        slow_class=TEXT  restricts slow_ms to paths that contain this text
//        slow_ms=N        additional work time in milliseconds
//        cut_after=N      closes the connection after N bytes of the body
//        flap_ms=N        the mode applies only in every other period of N ms
//        crash_on=TEXT    work whose path contains this text ends the process
//        drain=1          answers announce that the server is draining
//
// --crash-on does the same as crash_on, in every mode.

#include <tclap/CmdLine.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

#include "standins/standin_server.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kOk = 200;
constexpr int kServerError = 500;
constexpr int kServiceUnavailable = 503;
constexpr int kCrashExitCode = 9;
constexpr std::int64_t kPercent = 100;
constexpr milliseconds kMaxHang{60'000};

// The behaviour that POST /admin/mode sets. A negative cut_after sends the
// whole body.
struct Mode {
  milliseconds work{0};
  bool hang = false;
  std::int64_t fail_percent = 0;
  std::string slow_class;
  milliseconds slow{0};
  std::int64_t cut_after = -1;
  milliseconds flap{0};
  std::string crash_on;
  bool drain = false;
};

// False for an empty part.
bool Contains(const std::string& text, const std::string& part) {
  return !part.empty() && text.find(part) != std::string::npos;
}

// Thread-safe; Handle may block for the work time.
class Backend {
 public:
  Backend(std::string name,
          int slots,
          milliseconds work,
          const std::string& history,
          std::string crash_on)
      : name_(std::move(name)),
        slots_(slots),
        base_work_(work),
        crash_on_(std::move(crash_on)) {
    mode_.work = work;
    if (!history.empty()) {
      history_.open(history, std::ios::app);
    }
  }

  StandinServer::Response Handle(const StandinServer::Request& request) {
    if (request.path == "/health") {
      return {{kOk, {}, "well\n"}};
    }
    if (request.path == "/admin/mode") {
      SetMode(request);
      return {{kOk, {}, "ok\n"}};
    }
    if (request.path == "/admin/stats") {
      return {{kOk, {}, Stats()}};
    }
    return HandleWork(request);
  }

 private:
  void SetMode(const StandinServer::Request& request) {
    const auto text = [&request](const char* key) {
      const auto found = request.arguments.find(key);
      return found == request.arguments.end() ? "" : found->second;
    };
    const std::lock_guard lock(mutex_);
    mode_.work = milliseconds(request.GetNumber("work_ms", base_work_.count()));
    mode_.hang = request.GetNumber("hang", 0) != 0;
    mode_.fail_percent = request.GetNumber("fail_percent", 0);
    mode_.slow_class = text("slow_class");
    mode_.slow = milliseconds(request.GetNumber("slow_ms", 0));
    mode_.cut_after = request.GetNumber("cut_after", -1);
    mode_.flap = milliseconds(request.GetNumber("flap_ms", 0));
    mode_.crash_on = text("crash_on");
    mode_.drain = request.GetNumber("drain", 0) != 0;
    changed_.notify_all();
  }

  std::string Stats() {
    const std::lock_guard lock(mutex_);
    return "{\"in_use\": " + std::to_string(in_use_) +
           ", \"most_in_use\": " + std::to_string(max_in_use_) +
           ", \"work\": " + std::to_string(work_count_) +
           ", \"shed\": " + std::to_string(shed_count_) + "}\n";
  }

  // Returns the mode in force now. A flapping server is healthy in every other
  // period. The caller holds mutex_.
  Mode CurrentMode() const {
    if (mode_.flap == milliseconds(0)) {
      return mode_;
    }
    const auto elapsed = std::chrono::duration_cast<milliseconds>(
        steady_clock::now().time_since_epoch());
    const bool is_healthy = (elapsed / mode_.flap) % 2 == 0;
    Mode healthy;
    healthy.work = mode_.work;
    return is_healthy ? healthy : mode_;
  }

  StandinServer::Response HandleWork(const StandinServer::Request& request) {
    std::unique_lock lock(mutex_);
    if (in_use_ >= slots_) {
      ++shed_count_;
      return {{kServiceUnavailable, {}, "shed\n"}};
    }
    ++in_use_;
    max_in_use_ = std::max(max_in_use_, in_use_);
    ++work_count_;
    const Mode mode = CurrentMode();
    RecordExecution(request);
    if (Contains(request.path, mode.crash_on) ||
        Contains(request.path, crash_on_)) {
      _exit(kCrashExitCode);
    }
    const bool is_slow =
        mode.slow_class.empty() || Contains(request.path, mode.slow_class);
    const milliseconds duration =
        mode.hang ? kMaxHang
                  : mode.work + (is_slow ? mode.slow : milliseconds(0));
    changed_.wait_for(lock, duration,
                      [&] { return mode.hang && !CurrentMode().hang; });
    --in_use_;
    const bool fails =
        static_cast<std::int64_t>(work_count_ % kPercent) < mode.fail_percent;
    lock.unlock();
    return MakeResponse(request, mode, fails);
  }

  // Appends "customer key request-id path" to the history file. The caller
  // holds mutex_.
  void RecordExecution(const StandinServer::Request& request) {
    if (!history_.is_open() || request.method == "GET" ||
        request.method == "HEAD") {
      return;
    }
    history_ << FindHeader(request.http.headers, kCustomerHeader) << " "
             << FindHeader(request.http.headers, kKeyHeader) << " "
             << FindHeader(request.http.headers, "X-Request-Id") << " "
             << request.path << std::endl;
  }

  StandinServer::Response MakeResponse(const StandinServer::Request& request,
                                       const Mode& mode,
                                       bool fails) const {
    StandinServer::Response response;
    response.cut_after = mode.cut_after;
    response.http.status = fails ? kServerError : kOk;
    response.http.headers = {{"Content-Type", "application/json"}};
    if (mode.drain) {
      response.http.headers.push_back({"Vanillafall-State", "draining"});
    }
    response.http.body =
        "{\"server\": \"" + name_ + "\", \"path\": \"" + request.path +
        "\", \"request\": \"" +
        std::string(FindHeader(request.http.headers, "X-Request-Id")) + "\"}\n";
    return response;
  }

  const std::string name_;
  const int slots_;
  const milliseconds base_work_;
  const std::string crash_on_;
  std::ofstream history_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Mode mode_;
  int in_use_ = 0;
  int max_in_use_ = 0;
  std::uint64_t work_count_ = 0;
  std::uint64_t shed_count_ = 0;
};

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Stand-in for a backend server");
  TCLAP::ValueArg<std::string> address("", "address", "address to listen on",
                                       true, "", "HOST:PORT", line);
  TCLAP::ValueArg<std::string> name(
      "", "name", "name of the server in its answers", true, "", "NAME", line);
  TCLAP::ValueArg<int> slots("", "slots",
                             "number of requests handled at one time", false, 3,
                             "N", line);
  TCLAP::ValueArg<int> work("", "work-ms", "work time in milliseconds", false,
                            5, "MS", line);
  TCLAP::ValueArg<std::string> history(
      "", "history", "file that records the work that was run", false, "",
      "FILE", line);
  TCLAP::ValueArg<std::string> crash_on(
      "", "crash-on", "requests whose path contains TEXT crash the server",
      false, "", "TEXT", line);
  line.parse(argc, argv);
  BlockStopSignals();
  Backend backend(name.getValue(), slots.getValue(),
                  milliseconds(work.getValue()), history.getValue(),
                  crash_on.getValue());
  const StandinServer server(address.getValue(),
                             [&backend](const StandinServer::Request& r) {
                               return backend.Handle(r);
                             });
  WaitForStopSignal();
  return 0;
}

}  // namespace
}  // namespace vanillafall

int main(int argc, char** argv) {
  return vanillafall::Main(argc, argv);
}
