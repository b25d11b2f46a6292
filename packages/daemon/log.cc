#include "daemon/log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>

#include <atomic>
#include <chrono>
#include <ctime>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>

namespace vanillafall {
namespace {

namespace logging = boost::log;

constexpr std::size_t kMaxQueuedLines = 4096;

using Sink = logging::sinks::asynchronous_sink<
    logging::sinks::text_ostream_backend,
    logging::sinks::bounded_fifo_queue<kMaxQueuedLines,
                                       logging::sinks::drop_on_overflow>>;

struct LogState {
  LogFormat format = LogFormat::kText;
  LogLevel level = LogLevel::kInfo;
  std::string instance;
  boost::shared_ptr<Sink> sink;
};

LogState& State() {
  static LogState state;
  return state;
}

const char* ToString(LogSeverity severity) {
  switch (severity) {
    case LogSeverity::kInfo:
      return "info";
    case LogSeverity::kWarning:
      return "warning";
    case LogSeverity::kError:
      return "error";
  }
  return "error";
}

std::string Timestamp() {
  const auto now = std::chrono::system_clock::now();
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                          now.time_since_epoch()) %
                      std::chrono::seconds(1);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  const std::size_t length =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::string digits = std::to_string(millis.count());
  digits.insert(0, 3 - digits.size(), '0');
  return std::string(text.data(), length) + "." + digits + "Z";
}

std::string FormatText(const LogEvent& event, const LogEventInfo& info) {
  std::string line =
      Timestamp() + " " + State().instance + " " + ToString(info.severity) +
      " E" + std::to_string(static_cast<int>(event.id)) + " " + info.name;
  if (!event.subject.empty()) {
    line += " " + event.subject;
  }
  if (!event.detail.empty()) {
    line += ": " + event.detail;
  }
  for (const LogField& field : event.fields) {
    line += " " + field.name + "=" + field.value;
  }
  return line;
}

std::string FormatJson(const LogEvent& event, const LogEventInfo& info) {
  nlohmann::json line{{"time", Timestamp()},
                      {"instance", State().instance},
                      {"severity", ToString(info.severity)},
                      {"event", static_cast<int>(event.id)},
                      {"name", info.name},
                      {"subject", event.subject},
                      {"detail", event.detail}};
  for (const LogField& field : event.fields) {
    line["fields"][field.name] = field.value;
  }
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

void StartLog(LogFormat format, LogLevel level, const std::string& instance) {
  LogState& state = State();
  state.format = format;
  state.level = level;
  state.instance = instance;
  auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
  backend->auto_flush(true);
  state.sink = boost::make_shared<Sink>(backend);
  logging::core::get()->add_sink(state.sink);
}

void StopLog() {
  LogState& state = State();
  if (state.sink == nullptr) {
    return;
  }
  logging::core::get()->remove_sink(state.sink);
  state.sink->stop();
  state.sink->flush();
  state.sink.reset();
}

void WriteLog(const LogEvent& event) {
  const LogEventInfo& info = GetLogEventInfo(event.id);
  if (static_cast<int>(info.severity) < static_cast<int>(State().level)) {
    return;
  }
  const std::string line = State().format == LogFormat::kText
                               ? FormatText(event, info)
                               : FormatJson(event, info);
  thread_local logging::sources::logger logger;
  BOOST_LOG(logger) << line;
}

}  // namespace vanillafall
