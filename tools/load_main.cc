// Sends a seeded mix of requests from many callers to running daemons, and
// compares the outcomes that the callers got with the executions that the
// backend server stand-ins recorded. Prints one line per figure: "name value
// unit". The exit code is 1 on a violation.

#include <curl/curl.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "tools/http_caller.h"
#include "tools/load_history.h"

namespace vanillafall {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using std::chrono::system_clock;
using Random = std::mt19937_64;

constexpr int kExitViolation = 1;
constexpr std::size_t kMaxResends = 5;
constexpr milliseconds kMinResendPause{20};
constexpr milliseconds kMaxResendPause{400};
// Timeout of an attempt whose caller gives up early.
constexpr milliseconds kEarlyTimeout{8};
constexpr std::uint64_t kPercent = 100;
// Percentage of the requests with a key whose caller gives up early.
constexpr std::uint64_t kEarlyTimeoutPercent = 10;
// Percentage of the requests with a key that are resent once although the first
// answer was "done".
constexpr std::uint64_t kRedundantResendPercent = 10;
// Percentage of the keys that are UUIDs of version 7.
constexpr std::uint64_t kUuidKeyPercent = 50;

// One kind of request in the mix.
struct RequestKind {
  const char* method;
  const char* path;
  const char* customer;
  std::uint64_t percent;
};

constexpr std::array<RequestKind, 7> kMix = {
    {{"GET", "/fittings/", "stylist", 30},
     {"GET", "/courts/", "clerk", 25},
     {"GET", "/stock/", "workshop", 5},
     {"POST", "/bookings/", "stylist", 15},
     {"POST", "/restyle/", "opera", 12},
     {"POST", "/switch-on/", "clerk", 8},
     {"POST", "/charges/", "court-desk", 5}}};

// The settings of a run. must_answer makes a request without an answer a
// violation; settle is the pause between the last request and the check.
struct Options {
  // Addresses on which the daemons accept callers.
  std::vector<std::string> daemons;
  std::uint64_t seed = 0;
  std::size_t callers = 0;
  // Requests per second of all callers together, resends not counted.
  double rate = 0;
  // Share of the requests with a key that are marked as poison by their path.
  std::uint64_t poison_permille = 0;
  std::uint64_t early_timeout_percent = kEarlyTimeoutPercent;
  bool must_answer = false;
  milliseconds run_time{0};
  milliseconds timeout{0};
  // Time after its first attempt in which a request is resent.
  milliseconds resend_time{0};
  milliseconds settle{0};
  std::string history_directory;
  std::string out;
};

// Makes a key in the form of a UUID of version 7, which contains the time of
// its creation.
std::string MakeUuidKey(Random& random) {
  const auto now =
      duration_cast<milliseconds>(system_clock::now().time_since_epoch());
  std::array<char, 37> text{};
  const std::uint64_t a = random();
  const std::uint64_t b = random();
  std::snprintf(text.data(), text.size(),
                "%08llx-%04llx-7%03llx-8%03llx-%012llx",
                static_cast<unsigned long long>(now.count() >> 16),
                static_cast<unsigned long long>(now.count() & 0xffff),
                static_cast<unsigned long long>(a & 0xfff),
                static_cast<unsigned long long>((a >> 12) & 0xfff),
                static_cast<unsigned long long>(b & 0xffffffffffff));
  return text.data();
}

// One caller, which sends one request after another at its share of the rate.
// Run it on its own thread.
class Caller {
 public:
  Caller(const Options& options, std::size_t number)
      : options_(options),
        number_(number),
        random_(options.seed * 1000 + number) {}

  void Run(steady_clock::time_point began) {
    began_ = began;
    const auto period =
        duration_cast<steady_clock::duration>(std::chrono::duration<double>(
            static_cast<double>(options_.callers) / options_.rate));
    auto next = began + period * static_cast<std::int64_t>(number_) /
                            static_cast<std::int64_t>(options_.callers);
    while (next < began + options_.run_time) {
      std::this_thread::sleep_until(next);
      next = std::max(next + period, steady_clock::now() - period);
      SendNext();
    }
  }

  const std::vector<Attempt>& attempts() const { return attempts_; }

 private:
  // True with the given probability in percent.
  bool Draw(std::uint64_t percent) { return random_() % kPercent < percent; }

  const RequestKind& DrawKind() {
    std::uint64_t at = random_() % kPercent;
    for (const RequestKind& kind : kMix) {
      if (at < kind.percent) {
        return kind;
      }
      at -= kind.percent;
    }
    return kMix.front();
  }

  // Sends one request of a random kind.
  void SendNext() {
    const RequestKind& kind = DrawKind();
    const std::string subject = std::to_string(random_() % 1000);
    HttpRequest request{kind.method, kind.path + subject, {}, ""};
    if (request.method == "GET") {
      Send(kind, request, "", options_.timeout);
      return;
    }
    if (random_() % 1000 < options_.poison_permille) {
      request.target += "-poison";
    }
    const std::string key = MakeKey();
    request.body = "work of " + key;
    SendKeyed(kind, request, key);
  }

  std::string MakeKey() {
    if (Draw(kUuidKeyPercent)) {
      return MakeUuidKey(random_);
    }
    return "key-" + std::to_string(options_.seed) + "-" +
           std::to_string(number_) + "-" + std::to_string(++last_key_);
  }

  // Sends the request until it is done, the time for resends has passed or
  // kMaxResends is reached. A redundant resend follows a first "done".
  void SendKeyed(const RequestKind& kind,
                 const HttpRequest& request,
                 const std::string& key) {
    const auto until = steady_clock::now() + options_.resend_time;
    const bool has_redundant_resend = Draw(kRedundantResendPercent);
    for (std::size_t i = 0; i <= kMaxResends; ++i) {
      const bool gives_up_early =
          i == 0 && Draw(options_.early_timeout_percent);
      const bool is_done =
          Send(kind, request, key,
               gives_up_early ? kEarlyTimeout : options_.timeout);
      if (is_done && (!has_redundant_resend || i > 0)) {
        return;
      }
      if (!gives_up_early) {
        PauseBeforeResend();
      }
      if (steady_clock::now() >= until) {
        return;
      }
    }
  }

  void PauseBeforeResend() {
    const auto spread =
        static_cast<std::uint64_t>((kMaxResendPause - kMinResendPause).count());
    std::this_thread::sleep_for(
        kMinResendPause +
        milliseconds(static_cast<std::int64_t>(random_() % spread)));
  }

  // Sends one attempt to a random daemon and records it. Returns whether the
  // reported outcome is "done".
  bool Send(const RequestKind& kind,
            HttpRequest request,
            const std::string& key,
            milliseconds timeout) {
    Attempt attempt;
    attempt.request_id = "s" + std::to_string(options_.seed) + "-" +
                         std::to_string(number_) + "-" +
                         std::to_string(attempts_.size());
    attempt.customer = kind.customer;
    attempt.key = key;
    attempt.path = request.target;
    attempt.daemon = options_.daemons[random_() % options_.daemons.size()];
    request.headers = {{"Vanillafall-Tenant", attempt.customer},
                       {"X-Request-Id", attempt.request_id}};
    if (!key.empty()) {
      request.headers.push_back({"Idempotency-Key", key});
    }
    attempt.sent = Elapsed();
    const HttpCaller::Result result =
        http_.Call(attempt.daemon, request, timeout);
    attempt.answered = Elapsed();
    RecordResult(result, attempt);
    attempts_.push_back(std::move(attempt));
    return attempts_.back().outcome == Outcome::kDone;
  }

  static void RecordResult(const HttpCaller::Result& result, Attempt& attempt) {
    attempt.end = static_cast<Attempt::End>(result.end);
    if (attempt.end != Attempt::End::kAnswered) {
      return;
    }
    const HttpResponse& response = result.response;
    attempt.status = response.status;
    attempt.outcome =
        ParseOutcome(FindHeader(response.headers, kOutcomeHeader));
    attempt.reason = FindHeader(response.headers, kReasonHeader);
    const auto body =
        nlohmann::json::parse(response.body.text(), nullptr, false);
    if (body.is_object()) {
      attempt.has_whole_body = true;
      attempt.body_path = body.value("path", "");
      attempt.body_request_id = body.value("request", "");
    }
  }

  microseconds Elapsed() const {
    return duration_cast<microseconds>(steady_clock::now() - began_);
  }

  const Options& options_;
  const std::size_t number_;
  Random random_;
  HttpCaller http_;
  std::uint64_t last_key_ = 0;
  steady_clock::time_point began_;
  std::vector<Attempt> attempts_;
};

Options ParseOptions(int argc, const char* const* argv) {
  TCLAP::CmdLine line("Sends load to daemons and checks the history");
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the run", false, 1,
                                      "N", line);
  TCLAP::ValueArg<int> run_time("", "ms", "length of the run", false, 5000,
                                "MS", line);
  TCLAP::ValueArg<double> rate("", "rate", "requests per second of all callers",
                               false, 300, "R", line);
  TCLAP::ValueArg<std::size_t> callers(
      "", "callers", "number of concurrent callers", false, 24, "N", line);
  TCLAP::ValueArg<int> timeout("", "timeout-ms",
                               "time that a caller waits for an answer", false,
                               1500, "MS", line);
  TCLAP::ValueArg<int> resend(
      "", "resend-ms",
      "time after its first attempt in which a request is resent", false, 3000,
      "MS", line);
  TCLAP::ValueArg<int> settle("", "settle-ms",
                              "pause between the last request and the check",
                              false, 2000, "MS", line);
  TCLAP::ValueArg<std::uint64_t> poison(
      "", "poison-permille",
      "share of the requests with a key whose path ends with '-poison'", false,
      0, "N", line);
  TCLAP::SwitchArg must_answer("", "must-answer",
                               "no caller gives up early, and a request "
                               "without an answer is a violation",
                               line);
  TCLAP::ValueArg<std::string> history(
      "", "history", "directory of the backend servers' history-* files", false,
      "", "DIR", line);
  TCLAP::ValueArg<std::string> out("", "out", "file for the callers' history",
                                   false, "", "FILE", line);
  TCLAP::UnlabeledMultiArg<std::string> daemons(
      "daemons", "addresses on which the daemons accept callers", true,
      "HOST:PORT", line);
  line.parse(argc, argv);
  Options options;
  options.daemons = daemons.getValue();
  options.seed = seed.getValue();
  options.callers = callers.getValue();
  options.rate = rate.getValue();
  options.poison_permille = poison.getValue();
  options.must_answer = must_answer.getValue();
  if (options.must_answer) {
    options.early_timeout_percent = 0;
  }
  options.run_time = milliseconds(run_time.getValue());
  options.timeout = milliseconds(timeout.getValue());
  options.resend_time = milliseconds(resend.getValue());
  options.settle = milliseconds(settle.getValue());
  options.history_directory = history.getValue();
  options.out = out.getValue();
  return options;
}

// Runs all callers on threads of their own and returns their attempts.
std::vector<Attempt> RunCallers(const Options& options) {
  std::vector<std::unique_ptr<Caller>> callers;
  std::vector<std::thread> threads;
  const auto began = steady_clock::now();
  for (std::size_t i = 0; i < options.callers; ++i) {
    callers.push_back(std::make_unique<Caller>(options, i));
    threads.emplace_back(
        [caller = callers.back().get(), began] { caller->Run(began); });
  }
  std::vector<Attempt> attempts;
  for (std::size_t i = 0; i < options.callers; ++i) {
    threads[i].join();
    const std::vector<Attempt>& own = callers[i]->attempts();
    attempts.insert(attempts.end(), own.begin(), own.end());
  }
  return attempts;
}

// Reads the history-* files of a directory.
std::vector<Execution> ReadAllExecutions(const std::string& directory) {
  std::vector<Execution> all;
  if (directory.empty()) {
    return all;
  }
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    if (!entry.path().filename().string().starts_with("history-")) {
      continue;
    }
    std::ifstream in(entry.path());
    const std::vector<Execution> own = ReadExecutions(in);
    all.insert(all.end(), own.begin(), own.end());
  }
  return all;
}

void WriteHistory(const std::string& file,
                  const std::vector<Attempt>& attempts) {
  if (file.empty()) {
    return;
  }
  std::ofstream out(file);
  for (const Attempt& attempt : attempts) {
    out << ToJsonLine(attempt) << "\n";
  }
}

// Prints latencies of the requests that were done.
void PrintLatency(const std::vector<Attempt>& attempts) {
  std::vector<std::int64_t> latencies;
  for (const Attempt& attempt : attempts) {
    if (attempt.outcome == Outcome::kDone) {
      latencies.push_back((attempt.answered - attempt.sent).count());
    }
  }
  if (latencies.empty()) {
    return;
  }
  std::sort(latencies.begin(), latencies.end());
  const auto at = [&latencies](double quantile) {
    const auto last = static_cast<double>(latencies.size() - 1);
    return latencies[static_cast<std::size_t>(quantile * last)];
  };
  std::cout << "load_latency_p50_us " << at(0.5) << " us\n"
            << "load_latency_p99_us " << at(0.99) << " us\n"
            << "load_latency_p999_us " << at(0.999) << " us\n";
}

void PrintReport(const HistoryReport& report, const Options& options) {
  const auto print = [](const char* name, std::size_t value) {
    std::cout << name << " " << value << " count\n";
  };
  print("load_requests", report.requests);
  std::cout << "load_throughput "
            << static_cast<double>(report.requests) * 1000 /
                   static_cast<double>(options.run_time.count())
            << " requests/s\n";
  print("load_keys", report.keys);
  print("load_executions", report.executions);
  print("unknown_count", report.unknown);
  print("not_run_count", report.not_run);
  print("lost_answers", report.unanswered);
  print("not_sent", report.not_sent);
  print("lost_lookups", report.failed_lookups);
  print("at_most_once_violations", report.at_most_once_violations);
  print("not_run_lies", report.false_not_run);
  print("done_lies", report.false_done);
  print("mixed_up_answers", report.mixed_up_answers);
  print("answers_without_outcome", report.answers_without_outcome);
}

int Main(int argc, const char* const* argv) {
  const Options options = ParseOptions(argc, argv);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  const std::vector<Attempt> attempts = RunCallers(options);
  // Requests that are still running must reach the history files before the
  // check reads them.
  std::this_thread::sleep_for(options.settle);
  const HistoryReport report =
      CheckHistory(attempts, ReadAllExecutions(options.history_directory),
                   options.must_answer);
  WriteHistory(options.out, attempts);
  PrintReport(report, options);
  PrintLatency(attempts);
  for (const std::string& line : report.violations) {
    std::cerr << "VIOLATION: " << line << "\n";
  }
  return report.is_clean() ? 0 : kExitViolation;
}

}  // namespace
}  // namespace vanillafall

int main(int argc, char** argv) {
  return vanillafall::Main(argc, argv);
}
