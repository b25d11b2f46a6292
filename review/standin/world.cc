#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <string_view>
#include <utility>

namespace review {
namespace {

constexpr int kBacklog = 200;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr int kQueue = 24;
constexpr milliseconds kWaitForSlot{3000};
constexpr milliseconds kRestartDelay{500};
constexpr milliseconds kIdle{60'000};

sockaddr_in ToAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  parsed.sin_port = htons(static_cast<std::uint16_t>(
      std::strtol(address.c_str() + colon + 1, nullptr, 10)));
  return parsed;
}

int OpenListener(const std::string& address, int backlog = kBacklog) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in to = ToAddress(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0 ||
      listen(fd, backlog) != 0) {
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

// The value of a parameter in the query of a target, percent-decoded.
std::string QueryOf(const std::string& target, const std::string& name) {
  const std::size_t mark = target.find('?');
  std::istringstream query(mark == std::string::npos ? ""
                                                     : target.substr(mark + 1));
  for (std::string part; std::getline(query, part, '&');) {
    if (part.rfind(name + "=", 0) != 0) {
      continue;
    }
    std::string value;
    for (std::size_t i = name.size() + 1; i < part.size(); ++i) {
      if (part[i] == '%' && i + 2 < part.size()) {
        constexpr int kHexadecimal = 16;
        value.push_back(static_cast<char>(
            std::strtol(part.substr(i + 1, 2).c_str(), nullptr, kHexadecimal)));
        i += 2;
      } else {
        value.push_back(part[i]);
      }
    }
    return value;
  }
  return "";
}

std::string MakeItem(const std::string& key,
                     std::uint64_t revision,
                     const std::optional<std::string>& value) {
  const std::string head =
      R"({"key":")" + key + R"(","rev":)" + std::to_string(revision);
  return value ? head + R"(,"created_rev":)" + std::to_string(revision) +
                     R"(,"lease":0,"value":")" + Encode64(*value) + R"("})"
               : head + R"(,"deleted":true})";
}

// Drops the sections of the settings template. They hold what only some
// deployments have, and the stand-in's has none of it.
std::string DropSections(std::string text) {
  constexpr std::string_view kBegin = "{{#";
  constexpr std::string_view kClose = "}}";
  for (std::size_t begin = text.find(kBegin); begin != std::string::npos;
       begin = text.find(kBegin)) {
    const std::size_t name = begin + kBegin.size();
    const std::string end =
        "{{/" + text.substr(name, text.find(kClose, name) - name) + "}}";
    const std::size_t at = text.find(end, name);
    if (at == std::string::npos) {
      break;
    }
    text.erase(begin, at + end.size() - begin);
  }
  return text;
}

// Replaces each placeholder of the settings template.
std::string Fill(std::string text,
                 const std::map<std::string, std::string>& values) {
  for (const auto& [name, value] : values) {
    const std::string placeholder = "{{" + name + "}}";
    for (std::size_t at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder)) {
      text.replace(at, placeholder.size(), value);
    }
  }
  return text;
}

}  // namespace

Record::Record(const std::string& path) : out_(path) {}

double Record::Now() const {
  return std::chrono::duration<double>(Clock::now() - start_).count();
}

void Record::Add(const std::string& line) {
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%8.3f s  ", Now());
  const std::lock_guard lock(mutex_);
  out_ << time.data() << line << "\n";
  out_.flush();
}

std::string Message::Get(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

Connection::~Connection() {
  close(fd_);
}

void Connection::Shutdown() {
  shutdown(fd_, SHUT_RDWR);
}

std::unique_ptr<Connection> Connection::Open(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto connection = std::make_unique<Connection>(fd);
  const sockaddr_in to = ToAddress(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    return nullptr;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connection;
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

bool Connection::Fill(Clock::time_point deadline) {
  constexpr std::size_t kBlock = 262'144;
  const auto left =
      std::chrono::duration_cast<milliseconds>(deadline - Clock::now());
  pollfd waiting{fd_, POLLIN, 0};
  if (left.count() <= 0 ||
      poll(&waiting, 1, static_cast<int>(left.count())) <= 0) {
    errno = ETIMEDOUT;
    return false;
  }
  const std::size_t size = buffer_.size();
  buffer_.resize(size + kBlock);
  const ssize_t count = recv(fd_, buffer_.data() + size, kBlock, 0);
  buffer_.resize(size + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
  errno = 0;
  return count > 0;
}

std::optional<Message> Connection::Read(milliseconds timeout) {
  const auto deadline = Clock::now() + timeout;
  std::size_t end = buffer_.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill(deadline)) {
      return std::nullopt;
    }
    end = buffer_.find("\r\n\r\n");
  }
  Message message;
  std::istringstream head(buffer_.substr(0, end));
  std::string line;
  std::getline(head, line);
  std::istringstream first(line);
  for (std::string word; first >> word;) {
    message.first.push_back(word);
  }
  while (std::getline(head, line)) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    value.erase(value.find_last_not_of("\r ") + 1);
    message.headers[Lower(line.substr(0, colon))] = value;
  }
  const std::size_t length =
      std::strtoul(message.Get("content-length").c_str(), nullptr, 10);
  const std::size_t total = end + 4 + length;
  while (buffer_.size() < total) {
    if (!Fill(deadline)) {
      return std::nullopt;
    }
  }
  message.body = buffer_.substr(end + 4, length);
  buffer_.erase(0, total);
  return message;
}

Server::Server(const std::string& address, Handler handler)
    : handler_(std::move(handler)), listener_(OpenListener(address)) {
  if (listener_ < 0) {
    std::perror(address.c_str());
    constexpr int kCouldNotRun = 2;
    std::exit(kCouldNotRun);
  }
  acceptor_ = std::thread([this] { Accept(); });
}

Server::~Server() {
  CloseAll();
  acceptor_.join();
  close(listener_);
  CloseAll();
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void Server::CloseAll() {
  is_stopping_ = true;
  shutdown(listener_, SHUT_RDWR);
  const std::lock_guard lock(mutex_);
  for (const auto& connection : connections_) {
    connection->Shutdown();
  }
}

void Server::Accept() {
  while (!is_stopping_) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto connection = std::make_shared<Connection>(fd);
    const std::lock_guard lock(mutex_);
    connections_.push_back(connection);
    threads_.emplace_back([this, connection] { Serve(connection); });
  }
}

void Server::Serve(const std::shared_ptr<Connection>& connection) {
  while (!is_stopping_) {
    const std::optional<Message> request = connection->Read(kIdle);
    if (!request) {
      break;
    }
    const std::optional<std::string> answer = handler_(*request);
    if (!answer || !connection->Send(*answer)) {
      break;
    }
  }
  connection->Shutdown();
  const std::lock_guard lock(mutex_);
  std::erase(connections_, connection);
}

std::string MakeAnswer(int status,
                       const std::map<std::string, std::string>& headers,
                       const std::string& body) {
  std::string answer = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) {
    answer.append(name).append(": ").append(value).append("\r\n");
  }
  answer += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return answer + body;
}

Store::Store(const std::string& address) {
  server_ = std::make_unique<Server>(
      address, [this](const Message& request) -> std::optional<std::string> {
        return Handle(request);
      });
}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  changed_.notify_all();
  server_.reset();
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  items_[key] = {value, ++revision_};
  history_.push_back({key, revision_, value, Clock::now()});
  changed_.notify_all();
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  items_.erase(key);
  history_.push_back({key, ++revision_, std::nullopt, Clock::now()});
  changed_.notify_all();
}

void Store::SetStaleness(milliseconds staleness) {
  const std::lock_guard lock(mutex_);
  staleness_ = staleness;
}

void Store::ForgetHistory() {
  const std::lock_guard lock(mutex_);
  oldest_revision_ = revision_;
  changed_.notify_all();
}

std::string Store::Range(const std::string& prefix, bool is_serializable) {
  constexpr int kOk = 200;
  const std::lock_guard lock(mutex_);
  const auto seen_until =
      Clock::now() - (is_serializable ? staleness_ : milliseconds(0));
  std::map<std::string, Item> items;
  std::uint64_t revision = 0;
  for (const Event& event : history_) {
    if (event.at > seen_until) {
      break;
    }
    revision = event.revision;
    items.erase(event.key);
    if (event.value) {
      items[event.key] = {*event.value, event.revision};
    }
  }
  std::string list;
  for (const auto& [key, item] : items) {
    if (key.rfind(prefix, 0) == 0) {
      list +=
          (list.empty() ? "" : ",") + MakeItem(key, item.revision, item.value);
    }
  }
  std::string body = R"({"items":[)" + list;
  body += R"(],"has_more":false,"current_rev":)";
  return MakeAnswer(kOk, {}, body + std::to_string(revision) + "}");
}

std::string Store::Handle(const Message& request) {
  constexpr int kOk = 200;
  constexpr int kNotFound = 404;
  const std::string target =
      request.first.size() > 1 ? request.first[1] : std::string();
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/api/kv-watch") {
    return Watch(QueryOf(target, "prefix"),
                 std::strtoull(QueryOf(target, "after").c_str(), nullptr, 10),
                 milliseconds(std::strtol(QueryOf(target, "wait_ms").c_str(),
                                          nullptr, 10)));
  }
  if (path == "/api/kv-range") {
    return Range(QueryOf(target, "prefix"),
                 QueryOf(target, "serializable") == "1");
  }
  const std::lock_guard lock(mutex_);
  const std::string revision =
      R"(,"current_rev":)" + std::to_string(revision_) + "}";
  if (path == "/api/kv-key") {
    const std::string key = QueryOf(target, "key");
    const auto found = items_.find(key);
    if (found == items_.end()) {
      return MakeAnswer(kNotFound, {}, "{\"key\":null" + revision);
    }
    std::string item =
        MakeItem(key, found->second.revision, found->second.value);
    item.pop_back();
    return MakeAnswer(kOk, {}, item + revision);
  }
  return MakeAnswer(kNotFound, {}, "");
}

std::string Store::Watch(const std::string& prefix,
                         std::uint64_t after,
                         milliseconds wait) {
  constexpr int kOk = 200;
  const auto end = Clock::now() + wait;
  std::unique_lock lock(mutex_);
  constexpr int kGone = 410;
  while (true) {
    if (after < oldest_revision_) {
      return MakeAnswer(kGone, {}, "");
    }
    std::string events;
    for (const Event& event : history_) {
      if (event.revision > after && event.key.rfind(prefix, 0) == 0) {
        events += (events.empty() ? "" : ",") +
                  MakeItem(event.key, event.revision, event.value);
      }
    }
    if (!events.empty() || is_stopping_ || Clock::now() >= end) {
      return MakeAnswer(kOk, {},
                        R"({"events":[)" + events + R"(],"current_rev":)" +
                            std::to_string(revision_) + "}");
    }
    changed_.wait_until(lock, end);
  }
}

StorePath::StorePath(std::string address, std::string target)
    : address_(std::move(address)),
      target_(std::move(target)),
      // A short queue, so that few connections fill it.
      listener_(OpenListener(address_, 1)),
      acceptor_([this] { Accept(); }) {}

StorePath::~StorePath() {
  is_stopping_ = true;
  Heal();
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  {
    const std::lock_guard lock(mutex_);
    for (const int fd : open_) {
      shutdown(fd, SHUT_RDWR);
    }
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
  for (const int fd : open_) {
    close(fd);
  }
  close(listener_);
}

void StorePath::Accept() {
  constexpr int kPollMs = 2;
  while (!is_stopping_) {
    pollfd waiting{listener_, POLLIN, 0};
    if (is_cut_ || poll(&waiting, 1, kPollMs) <= 0) {
      std::this_thread::sleep_for(milliseconds(1));
      continue;
    }
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    const int to = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = ToAddress(target_);
    if (connect(to, reinterpret_cast<const sockaddr*>(&target),
                sizeof(target)) != 0) {
      close(fd);
      close(to);
      continue;
    }
    const std::lock_guard lock(mutex_);
    open_.push_back(fd);
    open_.push_back(to);
    threads_.emplace_back([this, fd, to] { Forward(fd, to); });
    threads_.emplace_back([this, fd, to] { Forward(to, fd); });
  }
}

void StorePath::Forward(int from, int to) {
  constexpr std::size_t kBlock = 65'536;
  std::string block(kBlock, 0);
  while (true) {
    const ssize_t count = recv(from, block.data(), kBlock, 0);
    if (count <= 0 || send(to, block.data(), static_cast<std::size_t>(count),
                           MSG_NOSIGNAL) != count) {
      break;
    }
  }
  shutdown(from, SHUT_RDWR);
  shutdown(to, SHUT_RDWR);
}

void StorePath::FillQueue() {
  constexpr int kFillers = 8;
  const sockaddr_in to = ToAddress(address_);
  for (int i = 0; i < kFillers; ++i) {
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    // Stays in progress once the queue is full.
    static_cast<void>(
        connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)));
    fillers_.push_back(fd);
  }
}

void StorePath::Cut() {
  is_cut_ = true;
  const std::lock_guard lock(mutex_);
  FillQueue();
  for (const int fd : open_) {
    // Resets the connection when it is shut down.
    const linger reset{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    shutdown(fd, SHUT_RDWR);
  }
}

void StorePath::Heal() {
  {
    const std::lock_guard lock(mutex_);
    for (const int fd : fillers_) {
      close(fd);
    }
    fillers_.clear();
  }
  is_cut_ = false;
}

Upstream::Upstream(Options options, Record& record)
    : options_(std::move(options)), record_(record) {
  server_ = std::make_unique<Server>(
      options_.address,
      [this](const Message& request) { return Handle(request); });
}

void Upstream::Stop() {
  server_->CloseAll();
}

std::string Upstream::Entry(const std::string& state) const {
  return R"({"address":")" + options_.address + R"(","info":{"service":")" +
         options_.service + R"(","version":"v1","zone":")" + options_.zone +
         R"(","slots":)" + std::to_string(options_.slots) +
         R"(},"status":{"state":")" + state +
         R"(","sequence":1,"warmup_left_s":0},)" + R"("born":1764900000000})";
}

int Upstream::RunsOf(const std::string& request_id) {
  const std::lock_guard lock(mutex_);
  const auto found = runs_.find(request_id);
  return found == runs_.end() ? 0 : found->second;
}

std::vector<std::pair<std::string, Clock::time_point>> Upstream::Starts() {
  const std::lock_guard lock(mutex_);
  return starts_;
}

std::optional<std::string> Upstream::Handle(const Message& request) {
  constexpr int kOk = 200;
  const std::string id = request.Get("x-request-id");
  if (request.Get("x-target-instance") != options_.id) {
    return MakeAnswer(kMisdirected,
                      {{"X-Request-Id", id}, {"X-Instance-Id", options_.id}},
                      "");
  }
  {
    std::unique_lock lock(mutex_);
    const bool has_slot = running_ < options_.slots + kQueue &&
                          slot_free_.wait_for(lock, kWaitForSlot, [this] {
                            return running_ < options_.slots;
                          });
    if (!has_slot) {
      return MakeAnswer(kUnavailable,
                        {{"X-Request-Id", id}, {"X-Not-Executed", "1"}}, "");
    }
    ++running_;
    ++runs_[id];
    starts_.emplace_back(id, Clock::now());
  }
  record_.Add("upstream " + options_.id + " runs " + id + ", body " +
              std::to_string(request.body.size()));
  std::this_thread::sleep_for(options_.work);
  {
    const std::lock_guard lock(mutex_);
    --running_;
  }
  slot_free_.notify_one();
  const std::string target =
      request.first.size() > 1 ? request.first[1] : std::string();
  constexpr std::string_view kBytes = "/bytes/";
  const std::size_t at = target.find(kBytes);
  return MakeAnswer(
      kOk, {{"X-Request-Id", id}, {"X-Response-Signature", options_.id}},
      at == std::string::npos
          ? "done " + id
          : std::string(
                std::strtoul(target.c_str() + at + kBytes.size(), nullptr, 10),
                'b'));
}

Machine::Machine(Options options, Record& record)
    : options_(std::move(options)), record_(record) {}

Machine::~Machine() {
  Kill();
}

std::string Machine::Address(int offset) const {
  return options_.ip + ":" + std::to_string(options_.port + offset);
}

std::string Machine::outbound() const {
  return Address(1);
}

void Machine::WriteSettings() const {
  std::ifstream in("deploy/settings.template.toml");
  std::ostringstream text;
  text << in.rdbuf();
  std::ostringstream grace;
  grace << options_.grace_s;
  // The metrics port is a constant in the template; each machine has its own
  // loopback address.
  std::ofstream(options_.directory + "/" + options_.name + ".toml")
      << Fill(DropSections(text.str()),
              {{"node_name", options_.name},
               {"zone", options_.zone},
               {"service", options_.service},
               {"listen_addrs.outbound", Address(1)},
               {"listen_addrs.inbound", Address(2)},
               {"listen_addrs.ready", Address(3)},
               {"ip", options_.ip},
               {"app_addr", options_.backend_address},
               {"platform.address", options_.store_address},
               {"bounds.grace_s", grace.str()},
               {"limits.memory_mb", std::to_string(options_.memory_mb)}});
}

void Machine::Start() {
  WriteSettings();
  const std::string base = options_.directory + "/" + options_.name;
  const std::string settings = base + ".toml";
  const std::string log = base + ".log";
  const char* program = options_.program.c_str();
  pid_ = fork();
  if (pid_ != 0) {
    return;
  }
  // The daemon ends with this process, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  constexpr int kMode = 0644;
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, kMode);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  if (options_.max_descriptors > 0) {
    const auto most = static_cast<rlim_t>(options_.max_descriptors);
    const rlimit limit{most, most};
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  execl(program, program, settings.c_str(), static_cast<char*>(nullptr));
  constexpr int kNoProgram = 127;
  _exit(kNoProgram);
}

void Machine::Signal(int signal) {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

void Machine::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

bool Machine::IsReady() {
  constexpr milliseconds kWait{500};
  const auto connection = Connection::Open(Address(3));
  if (!connection || !connection->Send("GET /api/ready HTTP/1.1\r\nHost: " +
                                       Address(3) + "\r\n\r\n")) {
    return false;
  }
  const auto answer = connection->Read(kWait);
  return answer && answer->first.size() > 1 && answer->first[1] == "200";
}

bool Machine::Supervise() {
  if (pid_ <= 0) {
    if (Clock::now() >= restart_at_) {
      Start();
      record_.Add("platform starts " + options_.name + " again");
    }
    return false;
  }
  if (waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = -1;
    restart_at_ = Clock::now() + kRestartDelay;
    record_.Add("process of " + options_.name + " ended by itself");
    return true;
  }
  // Memory that belongs to the process alone, without shared libraries.
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  std::uint64_t used_kb = 0;
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("RssAnon:", 0) == 0) {
      used_kb =
          std::strtoull(line.c_str() + sizeof("RssAnon:") - 1, nullptr, 10);
    }
  }
  peak_kb_ = std::max(peak_kb_, used_kb);
  constexpr std::uint64_t kKbPerMb = 1024;
  if (used_kb <= static_cast<std::uint64_t>(options_.memory_mb) * kKbPerMb) {
    return false;
  }
  record_.Add("process of " + options_.name + " uses " +
              std::to_string(used_kb / kKbPerMb) + " MiB, limit " +
              std::to_string(options_.memory_mb) + ": killed");
  Kill();
  restart_at_ = Clock::now() + kRestartDelay;
  return true;
}

Client::Result Client::Call(const std::string& method,
                            const std::string& target,
                            const std::string& host,
                            const std::string& id,
                            milliseconds deadline,
                            const std::string& body) {
  Result result;
  if (!connection_) {
    connection_ = Connection::Open(address_);
    has_answers_ = false;
  }
  if (!connection_) {
    return result;
  }
  result.was_kept = has_answers_;
  std::string request = method + " " + target + " HTTP/1.1\r\nHost: " + host +
                        "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " +
                        std::to_string(deadline.count()) + "\r\n";
  if (!body.empty()) {
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  request += "\r\n";
  request += body;
  // A server may answer before it has read the whole request.
  const bool is_sent = connection_->Send(request);
  const auto answer = connection_->Read(deadline);
  if (!answer) {
    result.end = errno == ETIMEDOUT ? End::kTimeout : End::kClosed;
    connection_.reset();
    return result;
  }
  result.end = End::kAnswered;
  result.answer = *answer;
  result.status =
      answer->first.size() > 1 ? std::atoi(answer->first[1].c_str()) : 0;
  has_answers_ = true;
  if (!is_sent || Lower(answer->Get("connection")) == "close") {
    connection_.reset();
  }
  return result;
}

std::string DrawNetwork() {
  constexpr int kNumbers = 200;
  const int process = getpid();
  std::string net = "127.";
  net += std::to_string(1 + process % kNumbers);
  net += ".";
  net += std::to_string(1 + process / kNumbers % kNumbers);
  return net + ".";
}

int FindFreePorts(const std::string& ip) {
  constexpr int kFirst = 21'000;
  constexpr int kLast = 29'000;
  constexpr int kStep = 10;
  for (int port = kFirst + static_cast<int>(getpid() % 500) * kStep;
       port < kLast; port += kStep) {
    bool is_free = true;
    for (int offset = 0; offset < kStep && is_free; ++offset) {
      const int fd = OpenListener(ip + ":" + std::to_string(port + offset));
      is_free = fd >= 0;
      if (fd >= 0) {
        close(fd);
      }
    }
    if (is_free) {
      return port;
    }
  }
  return kLast;
}

std::string Encode64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8U |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text.push_back(i + j <= bytes.size() || j < 2
                         ? kDigits[group >> (18 - 6 * j) & 63U]
                         : '=');
    }
  }
  return text;
}

const char* Name(Client::End end) {
  switch (end) {
    case Client::End::kAnswered:
      return "answered";
    case Client::End::kUnsent:
      return "not sent";
    case Client::End::kClosed:
      return "closed without an answer";
    case Client::End::kTimeout:
      return "no answer in time";
  }
  return "";
}

}  // namespace review
