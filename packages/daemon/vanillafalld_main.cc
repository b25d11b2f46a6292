#include <curl/curl.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include "config/proxy_settings_file.h"
#include "daemon/daemon.h"
#include "daemon/log.h"
#include "platform/serve.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

// Exit codes; docs/OPERATING.md lists them too.
enum ExitCode : int {
  kExitOk = 0,
  kExitUsage = 1,
  kExitBadSettings = 2,
  kExitCannotStart = 3,
  kExitDrainTimedOut = 4,
};

constexpr milliseconds kDrainPollPeriod{50};
// Minimum duration of a drain. Requests that other daemons send in this time
// are refused as draining, so that those daemons learn that this one is leaving
// and lose no request that is on its way.
constexpr milliseconds kMinDrainTime{1000};
// The drain ends after no request has been unfinished for this long, so that
// the last answers have been sent.
constexpr milliseconds kIdleTimeBeforeStop{200};

struct Arguments {
  std::string settings_file;
  bool check_only = false;
};

Arguments ParseArguments(int argc, const char* const* argv) {
  TCLAP::CmdLine line(
      "vanillafalld, the daemon of the vanillafall proxy fleet. Exit codes: 0 "
      "stopped after a drain, 1 wrong usage, 2 wrong settings, 3 cannot "
      "start, 4 the drain timed out and requests were cut.",
      ' ', VF_VERSION);
  TCLAP::SwitchArg check("", "check-settings",
                         "check the settings file and exit", line);
  TCLAP::UnlabeledValueArg<std::string> file("settings", "TOML settings file",
                                             true, "", "FILE", line);
  line.parse(argc, argv);
  return {file.getValue(), check.getValue()};
}

// Reads a whole file; empty when it can't be read.
std::optional<std::string> ReadText(const std::string& file) {
  std::ifstream in(file);
  if (!in) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// Line 0 means that the problem concerns the file as a whole.
Problem UnreadableFile(const std::string& file) {
  return {file, 0, "(file)", "a missing or unreadable file", "a readable file"};
}

void Print(const std::vector<Problem>& problems) {
  for (const Problem& problem : problems) {
    std::cerr << problem.Describe() << "\n";
  }
}

// Blocks the signals that the main thread waits for, in this and all later
// threads, and ignores SIGPIPE.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, signal);
  }
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

// Waits for a signal and returns its number; 0 when none arrives in the given
// time.
int WaitForSignal(const sigset_t& signals, milliseconds time) {
  const timespec wait{time.count() / 1000, (time.count() % 1000) * 1'000'000};
  const int signal = sigtimedwait(&signals, nullptr, &wait);
  return signal < 0 ? 0 : signal;
}

// Logs a signal that has no effect: SIGHUP, or any other during a drain.
void ReportSignal(int signal, bool is_draining, Daemon& daemon) {
  if (signal == SIGHUP) {
    daemon.Report({LogEventId::kReloadIgnored, "SIGHUP",
                   "settings are read at start only"});
  } else if (is_draining && signal != 0) {
    daemon.Report({LogEventId::kDaemonDrainAlreadyRunning, "", ""});
  }
}

// Returns on SIGTERM or SIGINT.
void RunUntilSignal(const sigset_t& signals, Daemon& daemon) {
  constexpr milliseconds kIdleWait{1000};
  while (true) {
    const int signal = WaitForSignal(signals, kIdleWait);
    ReportSignal(signal, false, daemon);
    if (signal == SIGTERM || signal == SIGINT) {
      return;
    }
  }
}

// Drains the daemon: waits until all requests are answered and kMinDrainTime
// has passed. Returns false when requests are unanswered after the timeout.
bool Drain(const sigset_t& signals,
           milliseconds timeout,
           const Clock& clock,
           Daemon& daemon) {
  daemon.Report({LogEventId::kDaemonDrainStarted, "", ""});
  daemon.BeginDrain();
  const TimePoint deadline = clock.now() + timeout;
  const TimePoint earliest_end = clock.now() + kMinDrainTime;
  TimePoint last_busy = clock.now();
  while (clock.now() < deadline) {
    if (!daemon.IsDrained()) {
      last_busy = clock.now();
    }
    const bool is_idle = clock.now() >= last_busy + kIdleTimeBeforeStop;
    if (is_idle && clock.now() >= earliest_end) {
      return true;
    }
    ReportSignal(WaitForSignal(signals, kDrainPollPeriod), true, daemon);
  }
  return daemon.IsDrained();
}

// Runs the daemon until a signal and drains it. Returns the exit code.
int Serve(const Settings& settings, const sigset_t& signals) {
  const SystemClock clock;
  Daemon daemon(settings, clock);
  if (const std::optional<Error> error = daemon.Start()) {
    daemon.Report(
        {LogEventId::kDaemonCannotStart, settings.instance, error->Describe()});
    return kExitCannotStart;
  }
  RunUntilSignal(signals, daemon);
  const bool is_drained =
      Drain(signals, settings.limits.drain_timeout, clock, daemon);
  daemon.Stop();
  daemon.Report({LogEventId::kDaemonStopped, settings.instance,
                 is_drained ? "drained" : "drain timed out"});
  return is_drained ? kExitOk : kExitDrainTimedOut;
}

// Prints that the settings are valid, and returns the exit code for that.
int ReportValidSettings(const std::string& file) {
  std::cout << file << ": settings are right\n";
  return kExitOk;
}

// Runs a daemon that serves several backend servers and shares configuration
// with its peers. Returns the exit code.
int RunFleetDaemon(const Arguments& arguments, const std::string& text) {
  const Parsed<Settings> settings =
      ParseSettings(text, arguments.settings_file);
  Print(settings.problems);
  if (!settings.ok()) {
    return kExitBadSettings;
  }
  if (arguments.check_only) {
    return ReportValidSettings(arguments.settings_file);
  }
  const sigset_t signals = BlockSignals();
  curl_global_init(CURL_GLOBAL_DEFAULT);
  StartLog(settings.value.log_format, settings.value.log_level,
           settings.value.instance);
  const int code = Serve(settings.value, signals);
  StopLog();
  curl_global_cleanup();
  return code;
}

// Runs a daemon that serves one backend server on a platform. Returns the exit
// code.
int RunProxy(const Arguments& arguments, const std::string& text) {
  const std::string& file = arguments.settings_file;
  const Parsed<ProxySettings> settings = ParseProxySettings(text, file);
  Print(settings.problems);
  if (!settings.ok()) {
    return kExitBadSettings;
  }
  if (arguments.check_only) {
    return ReportValidSettings(file);
  }
  std::signal(SIGPIPE, SIG_IGN);
  StartLog(settings.value.log_format, settings.value.log_level,
           settings.value.instance);
  const SystemClock clock;
  ProxySettingsFile settings_file(file);
  const ServeResult end = ServeOnPlatform(settings.value, clock, settings_file);
  StopLog();
  switch (end) {
    case ServeResult::kDrained:
      return kExitOk;
    case ServeResult::kDrainTimedOut:
      return kExitDrainTimedOut;
    case ServeResult::kCannotStart:
      return kExitCannotStart;
  }
  return kExitCannotStart;
}

int Main(int argc, const char* const* argv) {
  Arguments arguments;
  try {
    arguments = ParseArguments(argc, argv);
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "vanillafalld: " << error.error() << " " << error.argId()
              << "\n";
    return kExitUsage;
  }
  const std::optional<std::string> text = ReadText(arguments.settings_file);
  if (!text) {
    Print({UnreadableFile(arguments.settings_file)});
    return kExitBadSettings;
  }
  return IsProxySettings(*text) ? RunProxy(arguments, *text)
                                : RunFleetDaemon(arguments, *text);
}

}  // namespace
}  // namespace vanillafall

int main(int argc, char** argv) {
  return vanillafall::Main(argc, argv);
}
