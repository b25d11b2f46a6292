#include "review/fleet-2/fleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <utility>

namespace vanillafall::review2 {
namespace {

constexpr milliseconds kPatience{10'000};
constexpr std::chrono::seconds kMaxTime{110};
// After each mebibyte of a slow answer without end.
constexpr milliseconds kSlowPause{80};
// For the body of a request at an upstream.
constexpr milliseconds kBodyTime{10'000};

// Offsets from the base port; each instance has an address of its own.
constexpr int kCallerPort = 1;
constexpr int kPeerPort = 2;
constexpr int kReadyPort = 3;
constexpr int kUpstreamPort = 4;
constexpr int kStorePort = 5;
constexpr int kPorts = 6;

sockaddr_in ToSocketAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  to.sin_port = htons(static_cast<std::uint16_t>(
      std::strtol(address.c_str() + colon + 1, nullptr, 10)));
  return to;
}

int Listen(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in at = ToSocketAddress(address);
  constexpr int kBacklog = 512;
  if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
      listen(fd, kBacklog) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string ToBase64(const std::string& text) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t at = 0; at < text.size(); at += 3) {
    std::uint32_t bits = 0;
    const std::size_t count = std::min<std::size_t>(3, text.size() - at);
    for (std::size_t i = 0; i < 3; ++i) {
      bits = bits << 8 |
             (i < count ? static_cast<unsigned char>(text[at + i]) : 0U);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      out.push_back(i <= count ? kDigits[bits >> (18 - 6 * i) & 63] : '=');
    }
  }
  return out;
}

// The value of a field of a URL's query, decoded.
std::string FromQuery(const std::string& target, const std::string& name) {
  const std::size_t query = target.find('?');
  std::size_t at = target.find(name + "=", query);
  if (query == std::string::npos || at == std::string::npos) {
    return "";
  }
  at += name.size() + 1;
  const std::string text = target.substr(at, target.find('&', at) - at);
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out.push_back(static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
      i += 2;
    } else {
      out.push_back(text[i]);
    }
  }
  return out;
}

}  // namespace

Record::Record(const std::string& file) : file_(fopen(file.c_str(), "w")) {}

Record::~Record() {
  if (file_ != nullptr) {
    fclose(file_);
  }
}

void Record::Add(const std::string& line) {
  const std::lock_guard lock(mutex_);
  if (file_ != nullptr) {
    const std::chrono::duration<double> time = Clock::now() - started_;
    std::fprintf(file_, "%9.4f %s\n", time.count(), line.c_str());
    std::fflush(file_);
  }
}

Connection::~Connection() {
  Close();
}

void Connection::Close() {
  if (fd_ >= 0) {
    close(fd_);
    fd_ = -1;
  }
}

std::unique_ptr<Connection> Connection::Open(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  // A daemon that hangs must not hold the case up.
  const timeval most{2, 0};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &most, sizeof(most));
  const sockaddr_in to = ToSocketAddress(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    close(fd);
    return nullptr;
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return std::make_unique<Connection>(fd);
}

bool Connection::Send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool Connection::ReadMore(Clock::time_point until) {
  while (fd_ >= 0) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - Clock::now());
    if (left <= milliseconds(0)) {
      return false;
    }
    pollfd ready{fd_, POLLIN, 0};
    if (poll(&ready, 1, static_cast<int>(left.count()) + 1) <= 0) {
      continue;
    }
    std::array<char, 65'536> block{};
    const ssize_t count = recv(fd_, block.data(), block.size(), 0);
    if (count <= 0) {
      return false;
    }
    buffer_.append(block.data(), static_cast<std::size_t>(count));
    return true;
  }
  return false;
}

std::optional<std::string> Connection::ReadThrough(const std::string& text,
                                                   milliseconds time) {
  const Clock::time_point until = Clock::now() + time;
  while (true) {
    const std::size_t at = buffer_.find(text);
    if (at != std::string::npos) {
      std::string out = buffer_.substr(0, at + text.size());
      buffer_.erase(0, at + text.size());
      return out;
    }
    if (!ReadMore(until)) {
      return std::nullopt;
    }
  }
}

std::optional<std::string> Connection::ReadCount(std::size_t count,
                                                 milliseconds time) {
  const Clock::time_point until = Clock::now() + time;
  while (buffer_.size() < count) {
    if (!ReadMore(until)) {
      return std::nullopt;
    }
  }
  std::string out = buffer_.substr(0, count);
  buffer_.erase(0, count);
  return out;
}

bool Connection::IsClosedByPeer() const {
  char byte = 0;
  const ssize_t count = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::string Head::Get(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

std::optional<Head> ReadHead(Connection& connection, milliseconds time) {
  const auto text = connection.ReadThrough("\r\n\r\n", time);
  if (!text) {
    return std::nullopt;
  }
  Head head;
  std::size_t at = 0;
  while (at < text->size()) {
    const std::size_t end = text->find("\r\n", at);
    const std::string line = text->substr(at, end - at);
    at = end + 2;
    if (head.first_line.empty()) {
      head.first_line = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      head.fields[Lower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
  }
  return head;
}

std::optional<std::string> ReadBody(Connection& connection,
                                    const Head& head,
                                    milliseconds time) {
  if (Lower(head.Get("transfer-encoding")) != "chunked") {
    return connection.ReadCount(
        std::strtoul(head.Get("content-length").c_str(), nullptr, 10), time);
  }
  std::string body;
  while (true) {
    const auto line = connection.ReadThrough("\r\n", time);
    if (!line) {
      return std::nullopt;
    }
    const std::size_t size = std::strtoul(line->c_str(), nullptr, 16);
    const auto chunk = connection.ReadCount(size + 2, time);
    if (!chunk) {
      return std::nullopt;
    }
    if (size == 0) {
      return body;
    }
    body += chunk->substr(0, size);
  }
}

Answer ReadAnswer(Connection& connection, milliseconds time) {
  Answer answer;
  const auto head = ReadHead(connection, time);
  if (!head) {
    return answer;
  }
  const auto body = ReadBody(connection, *head, time);
  if (!body) {
    return answer;
  }
  constexpr std::size_t kStatusAt = 9;
  answer.head = *head;
  answer.body = *body;
  if (head->first_line.size() > kStatusAt) {
    answer.status = static_cast<int>(
        std::strtol(head->first_line.c_str() + kStatusAt, nullptr, 10));
  }
  return answer;
}

std::string RequestText::ToString() const {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + kHost +
                     "\r\nX-Request-Id: " + id +
                     "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
                     "\r\n";
  if (!body.empty()) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

bool Server::Start(const std::string& address, Serve serve) {
  fd_ = Listen(address);
  if (fd_ < 0) {
    return false;
  }
  thread_ = std::thread([this, serve = std::move(serve)] {
    while (!is_stopping_) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      std::thread([fd, serve] {
        Connection connection(fd);
        serve(connection);
      }).detach();
    }
  });
  return true;
}

void Server::Stop() {
  if (fd_ >= 0) {
    is_stopping_ = true;
    shutdown(fd_, SHUT_RDWR);
    thread_.join();
    close(std::exchange(fd_, -1));
  }
}

bool Store::Start(const std::string& address) {
  return server_.Start(address,
                       [this](Connection& connection) { Serve(connection); });
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  items_[key] = {value, ++revision_};
  changed_.notify_all();
}

void Store::Serve(Connection& connection) {
  constexpr std::chrono::minutes kIdle{5};
  while (const auto head = ReadHead(connection, kIdle)) {
    const std::size_t begin = head->first_line.find(' ') + 1;
    const std::string target = head->first_line.substr(
        begin, head->first_line.find(' ', begin) - begin);
    int status = 200;
    const std::string body = Handle(target, &status);
    if (!connection.Send("HTTP/1.1 " + std::to_string(status) +
                         " -\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body)) {
      return;
    }
  }
}

std::string Store::ToJson(const std::string& key, const Item& item) {
  return R"({"key":")" + key + R"(","value":")" + ToBase64(item.value) +
         R"(","rev":)" + std::to_string(item.revision) +
         R"(,"created_rev":1,"lease":0)";
}

std::string Store::Handle(const std::string& target, int* status) {
  std::unique_lock lock(mutex_);
  const auto revision = [this] {
    return R"("current_rev":)" + std::to_string(revision_) + "}";
  };
  if (target.starts_with("/api/kv-key")) {
    const auto found = items_.find(FromQuery(target, "key"));
    if (found == items_.end()) {
      *status = 404;
      return "{}";
    }
    return ToJson(found->first, found->second) + "," + revision();
  }
  const bool is_watch = target.starts_with("/api/kv-watch");
  if (!is_watch && !target.starts_with("/api/kv-range")) {
    *status = 404;
    return "{}";
  }
  const std::string prefix = FromQuery(target, "prefix");
  const std::string after = FromQuery(target, "after");
  const std::uint64_t after_revision =
      std::strtoull(after.c_str(), nullptr, 10);
  const auto list = [&] {
    std::string text;
    for (const auto& [key, item] : items_) {
      const bool is_wanted =
          is_watch ? item.revision > after_revision : key > after;
      if (key.starts_with(prefix) && is_wanted) {
        text += (text.empty() ? "" : ",") + ToJson(key, item) + "}";
      }
    }
    return text;
  };
  if (!is_watch) {
    return R"({"items":[)" + list() + R"(],"has_more":false,)" + revision();
  }
  const long wait =
      std::strtol(FromQuery(target, "wait_ms").c_str(), nullptr, 10);
  changed_.wait_for(lock, milliseconds(wait),
                    [&list] { return !list().empty(); });
  return R"({"events":[)" + list() + "]," + revision();
}

bool Upstream::Start(const std::string& address) {
  return server_.Start(address,
                       [this](Connection& connection) { Serve(connection); });
}

std::map<std::string, int> Upstream::runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

void Upstream::Serve(Connection& connection) {
  while (const auto head = ReadHead(connection, options_.idle_time)) {
    if (!ReadBody(connection, *head, kBodyTime)) {
      return;
    }
    const std::string id = head->Get("x-request-id");
    const std::string echo = "X-Request-Id: " + id + "\r\n";
    if (head->Get("x-target-instance") != options_.id) {
      connection.Send("HTTP/1.1 421 -\r\n" + echo +
                      "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    if (++busy_ > options_.slots) {
      --busy_;
      connection.Send("HTTP/1.1 503 -\r\n" + echo +
                      "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    record_.Add("run " + id + " at " + options_.id);
    ++run_count_;
    {
      const std::lock_guard lock(mutex_);
      ++runs_[id];
    }
    const milliseconds work(work_ms_);
    // It drops the request when the connection closes.
    const Clock::time_point until = Clock::now() + work;
    while (Clock::now() < until && !connection.IsClosedByPeer()) {
      constexpr milliseconds kStep{5};
      std::this_thread::sleep_for(std::min<Clock::duration>(
          kStep,
          std::max<Clock::duration>(until - Clock::now(), Clock::duration(0))));
    }
    const bool is_endless =
        !options_.endless_path.empty() &&
        head->first_line.find(options_.endless_path) != std::string::npos;
    if (is_endless) {
      const bool is_slow = head->first_line.find(options_.endless_path +
                                                 "-slow") != std::string::npos;
      SendWithoutEnd(connection, echo, is_slow ? kSlowPause : milliseconds(0));
      --busy_;
      return;
    }
    --busy_;
    // Whole seconds only, if there are any.
    const auto seconds =
        std::chrono::floor<std::chrono::seconds>(options_.idle_time).count();
    const std::string body = "ran " + id;
    std::string answer = "HTTP/1.1 200 OK\r\n";
    answer += echo;
    answer += "X-Response-Signature: s.";
    answer += id;
    if (seconds > 0) {
      answer += "\r\nKeep-Alive: timeout=" + std::to_string(seconds);
    }
    answer += "\r\nContent-Length: " + std::to_string(body.size());
    answer += "\r\n\r\n";
    answer += body;
    if (!connection.Send(answer)) {
      return;
    }
  }
}

void Upstream::SendWithoutEnd(Connection& connection,
                              const std::string& echo,
                              milliseconds pause) {
  constexpr std::size_t kBlock = std::size_t{1024} * 1024;
  const std::string block(kBlock, 'e');
  std::size_t sent = 0;
  connection.Send("HTTP/1.1 200 OK\r\n" + echo + "\r\n");
  while (connection.Send(block)) {
    sent += kBlock;
    std::this_thread::sleep_for(pause);
  }
  record_.Add("an answer of " + options_.id +
              " was closed by its caller after " + std::to_string(sent) +
              " bytes");
}

bool Daemon::Start(const std::string& program,
                   const std::string& settings_file,
                   const std::string& log_file) {
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ != 0) {
    return pid_ > 0;
  }
  // Ends with the case, also when that is killed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(127);
  }
  const int log = open(log_file.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execl(program.c_str(), program.c_str(), settings_file.c_str(), nullptr);
  _exit(127);
}

bool Daemon::IsAlive() {
  if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) {
    pid_ = 0;
  }
  return pid_ > 0;
}

std::size_t Daemon::PeakMemory() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  constexpr std::size_t kKibibyte = 1024;
  for (std::string word; status >> word;) {
    if (word == "VmHWM:") {
      std::size_t kibibytes = 0;
      status >> kibibytes;
      return kibibytes * kKibibyte;
    }
  }
  return 0;
}

std::string Daemon::HowItEnded() const {
  return WIFSIGNALED(status_)
             ? "signal " + std::to_string(WTERMSIG(status_))
             : "exit code " + std::to_string(WEXITSTATUS(status_));
}

void Daemon::Signal(int signal) const {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

void Daemon::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, &status_, 0);
    pid_ = 0;
  }
}

Fleet::Fleet(std::string program, Options options, Record& record)
    : program_(std::move(program)),
      options_(std::move(options)),
      record_(record) {
  std::string name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  directory_ = mkdtemp(name.data()) != nullptr ? name : "";
}

void Fleet::End() {
  daemons_.clear();
  if (!directory_.empty()) {
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  }
}

std::string Fleet::Address(int number, int port) const {
  return "127.41.0." + std::to_string(number + 1) + ":" +
         std::to_string(base_port_ + port);
}

std::string Fleet::caller_address(int number) const {
  return Address(number, kCallerPort);
}

std::string Fleet::upstream_address(int number) const {
  return Address(number, kUpstreamPort);
}

bool Fleet::FindPorts() {
  // Cases that are started together get ranges of their own.
  constexpr int kFirst = 21'000;
  constexpr int kRanges = 1500;
  for (int i = 0; i < kRanges; ++i) {
    base_port_ = kFirst + (getpid() + i) % kRanges * kPorts;
    bool is_free = true;
    for (int number = 0; number < options_.size && is_free; ++number) {
      for (int port = 1; port < kPorts && is_free; ++port) {
        const int fd = Listen(Address(number, port));
        is_free = fd >= 0;
        if (is_free) {
          close(fd);
        }
      }
    }
    if (is_free) {
      return true;
    }
  }
  return false;
}

std::string Fleet::WriteSettings(int number) const {
  std::string file =
      directory_ + "/settings-" + std::to_string(number) + ".toml";
  std::ofstream out(file);
  out << "mode = \"proxy\"\ninstance = \"sidecar-" << number
      << "\"\ndata_centre = \""
      << options_.data_centres[static_cast<std::size_t>(number) %
                               options_.data_centres.size()]
      << "\"\nservice = \"order-desk\"\ncaller_address = \""
      << caller_address(number) << "\"\npeer_address = \""
      << Address(number, kPeerPort) << "\"\nreadiness_address = \""
      << Address(number, kReadyPort) << "\"\nbackend_address = \""
      << upstream_address(number) << "\"\nplatform_address = \""
      << Address(0, kStorePort)
      << "\"\ndrain_timeout = \"6s\"\nmemory_mb = " << options_.memory_mb
      << "\n"
      << options_.more_settings
      << "[log]\nformat = \"json\"\nlevel = \"info\"\n"
         "lines_per_second = 50\n";
  return file;
}

bool Fleet::Start() {
  if (directory_.empty() || !FindPorts() ||
      !store_.Start(Address(0, kStorePort))) {
    return false;
  }
  const auto route = [this](const char* name, const char* prefix,
                            const char* kind) {
    return std::string(R"({"resource_type":"routes","metadata":{"name":")") +
           name + R"("},"spec":{"host":")" + kHost + R"(","prefix":")" +
           prefix + R"(","kind":")" + kind + R"(","timeout_s":)" +
           std::to_string(options_.timeout_s) +
           R"(,"target_latency_s":0.8,"priority":1,"service":"order-desk","max_attempts":2}},)";
  };
  store_.Put(
      "op/config",
      R"({"version":"00000007","resources":[)" +
          route("lookup", "/lookup/", "idempotent") +
          route("booking", "/booking/", "non_idempotent") +
          R"({"resource_type":"services","metadata":{"name":"order-desk"},"spec":{"health_path":"/health","max_connections":360}},)"
          R"({"resource_type":"limits","metadata":{},"spec":{)" +
          options_.limits + "}}]}");
  for (int number = 0; number < options_.size; ++number) {
    const std::string id = "i-" + std::to_string(number);
    upstreams_.push_back(std::make_unique<Upstream>(
        Upstream::Options{id, options_.slots, options_.work, options_.idle_time,
                          options_.endless_path},
        record_));
    if (!upstreams_.back()->Start(upstream_address(number))) {
      return false;
    }
    store_.Put(
        "servers/" + id,
        R"({"address":")" + upstream_address(number) +
            R"(","info":{"service":"order-desk","zone":")" +
            options_.data_centres[static_cast<std::size_t>(number) %
                                  options_.data_centres.size()] +
            R"(","version":"1","slots":)" + std::to_string(options_.slots) +
            R"(},"status":{"state":"ready","sequence":1,"warmup_left_s":0},"born":1700000000000})");
  }
  for (int number = 0; number < options_.size; ++number) {
    daemons_.push_back(std::make_unique<Daemon>());
    if (!daemons_.back()->Start(
            program_, WriteSettings(number),
            directory_ + "/daemon-" + std::to_string(number) + ".log")) {
      return false;
    }
  }
  for (int number = 0; number < options_.size; ++number) {
    if (!IsServing(number, kPatience)) {
      record_.Add("daemon " + std::to_string(number) + " does not serve");
      return false;
    }
  }
  return true;
}

bool Fleet::IsServing(int number, milliseconds time) {
  const Clock::time_point until = Clock::now() + time;
  for (int i = 0; Clock::now() < until; ++i) {
    constexpr milliseconds kPause{100};
    if (const auto connection = Connection::Open(caller_address(number))) {
      RequestText request;
      request.path = "/lookup/serving";
      request.id = "serving-" + std::to_string(number) + "-" +
                   std::to_string(Clock::now().time_since_epoch().count());
      connection->Send(request.ToString());
      if (ReadAnswer(*connection, milliseconds(2500)).status == 200) {
        return true;
      }
    }
    std::this_thread::sleep_for(kPause);
  }
  return false;
}

bool Fleet::AreAllAlive() {
  bool are_alive = true;
  for (std::size_t number = 0; number < daemons_.size(); ++number) {
    if (!daemons_[number]->IsAlive()) {
      are_alive = false;
      record_.Add("daemon " + std::to_string(number) +
                  " has ended by itself: " + daemons_[number]->HowItEnded());
    }
  }
  return are_alive;
}

std::map<std::string, int> Fleet::CountRuns() const {
  std::map<std::string, int> runs;
  for (const auto& upstream : upstreams_) {
    for (const auto& [id, count] : upstream->runs()) {
      runs[id] += count;
    }
  }
  return runs;
}

KeptCallers::KeptCallers(Fleet& fleet,
                         int daemon,
                         int count,
                         Record& record,
                         milliseconds period)
    : fleet_(fleet), daemon_(daemon), record_(record), period_(period) {
  for (int number = 0; number < count; ++number) {
    threads_.emplace_back([this, number] { Call(number); });
  }
}

void KeptCallers::Stop() {
  is_stopping_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

void KeptCallers::Call(int number) {
  std::unique_ptr<Connection> connection;
  bool is_kept = false;
  for (int i = 0; !is_stopping_; ++i) {
    if (connection == nullptr) {
      connection = Connection::Open(fleet_.caller_address(daemon_));
      is_kept = false;
    }
    if (connection == nullptr) {
      constexpr milliseconds kPause{100};
      std::this_thread::sleep_for(kPause);
      continue;
    }
    if (period_ > milliseconds(0)) {
      const auto now = Clock::now().time_since_epoch();
      std::this_thread::sleep_for(period_ - now % period_);
    }
    RequestText request;
    request.method = "POST";
    request.path = "/booking/kept";
    request.id = "kept-" + std::to_string(daemon_) + "-" +
                 std::to_string(number) + "-" + std::to_string(i);
    const bool is_sent = connection->Send(request.ToString());
    const Answer answer =
        is_sent ? ReadAnswer(*connection, kPatience) : Answer();
    if (answer.status != 0) {
      ++answered_;
      served_ += answer.status == 200 ? 1 : 0;
      const std::lock_guard lock(mutex_);
      statuses_[request.id] = answer.status;
    } else if (is_kept && is_sent) {
      record_.Add(request.id + " on a kept connection got no answer");
      const std::lock_guard lock(mutex_);
      unanswered_.push_back(request.id);
    }
    is_kept = true;
    if (answer.status == 0 || answer.head.Get("connection") == "close") {
      connection.reset();
    }
  }
}

std::map<std::string, int> KeptCallers::statuses() const {
  const std::lock_guard lock(mutex_);
  return statuses_;
}

int KeptCallers::CountLost() const {
  const auto runs = fleet_.CountRuns();
  const std::lock_guard lock(mutex_);
  return static_cast<int>(std::count_if(
      unanswered_.begin(), unanswered_.end(),
      [&runs](const std::string& id) { return runs.contains(id); }));
}

void RunCase(int argc,
             const char* const* argv,
             const Fleet::Options& options,
             Case run) {
  if (argc != 4) {
    _exit(kCouldNotRun);
  }
  // Never destroyed: threads of the stand-ins use them until the end.
  static Record record(std::string(argv[2]) + "/record.txt");
  static Fleet fleet(argv[1], options, record);
  std::thread([] {
    std::this_thread::sleep_for(kMaxTime);
    record.Add("the case takes too long");
    fleet.End();
    _exit(kCouldNotRun);
  }).detach();
  const bool has_trouble = std::string(argv[3]) != "0";
  record.Add(has_trouble ? "with the disruption" : "without the disruption");
  const int code =
      fleet.Start() ? run(fleet, has_trouble, record) : kCouldNotRun;
  const char* result = code == kHeld     ? "held"
                       : code == kBroken ? "broken"
                                         : "could not run";
  record.Add(result);
  fleet.End();
  std::printf("%s\n", result);
  std::fflush(stdout);
  _exit(code);
}

}  // namespace vanillafall::review2
