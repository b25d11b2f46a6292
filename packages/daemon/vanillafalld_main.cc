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

// Exit codes, as docs/OPERATING.md lists them.
enum ExitCode : int {
  kExitOk = 0,
  kExitUsage = 1,
  kExitBadSettings = 2,
  kExitCannotStart = 3,
  kExitDrainTimedOut = 4,
};

constexpr milliseconds kDrainPollPeriod{50};
// A drain goes on at least this long: other daemons hear from the refusals that
// this one is leaving, instead of losing the requests that are on their way.
constexpr milliseconds kMinDrainTime{1000};
// Nothing may be unfinished for this long before the drain ends, so that the
// last answers have left.
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

// The text of a file; empty when it can't be read.
std::optional<std::string> ReadText(const std::string& file) {
  std::ifstream in(file);
  if (!in) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// A problem without a line stands for a file that can't be read.
Problem UnreadableFile(const std::string& file) {
  return {file, 0, "(file)", "nothing that can be read", "a readable file"};
}

void Print(const std::vector<Problem>& problems) {
  for (const Problem& problem : problems) {
    std::cerr << problem.Describe() << "\n";
  }
}

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

// The next signal within the time, or 0.
int WaitForSignal(const sigset_t& signals, milliseconds time) {
  const timespec wait{time.count() / 1000, (time.count() % 1000) * 1'000'000};
  const int signal = sigtimedwait(&signals, nullptr, &wait);
  return signal < 0 ? 0 : signal;
}

void ReportSignal(int signal, bool is_draining, Daemon& daemon) {
  if (signal == SIGHUP) {
    daemon.Report({LogEventId::kReloadIgnored, "SIGHUP",
                   "settings are read at start only"});
  } else if (is_draining && signal != 0) {
    daemon.Report({LogEventId::kDaemonDrainAlreadyRunning, "", ""});
  }
}

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

// Waits until every request is answered and the others have heard; false when
// time ran out with requests unanswered.
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

// Prints that the settings are right; the exit code says so too.
int ReportValidSettings(const std::string& file) {
  std::cout << file << ": settings are right\n";
  return kExitOk;
}

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
  const ServeEnd end = ServeOnPlatform(settings.value, clock, settings_file);
  StopLog();
  switch (end) {
    case ServeEnd::kDrained:
      return kExitOk;
    case ServeEnd::kDrainTimedOut:
      return kExitDrainTimedOut;
    case ServeEnd::kCannotStart:
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
