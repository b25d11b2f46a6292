#include "fleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <string_view>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr int kBacklog = 256;
constexpr std::size_t kReadBytes = std::size_t{64} * 1024;
constexpr milliseconds kIdleConnection{10'000};
constexpr milliseconds kReadyPause{50};
constexpr std::size_t kBytesPerMb = 1'000'000;
constexpr milliseconds kSamplePeriod{50};

sockaddr_in ParseAddress(const std::string& address) {
  sockaddr_in parsed{};
  const std::size_t colon = address.rfind(':');
  parsed.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  parsed.sin_port = htons(
      static_cast<std::uint16_t>(std::atoi(address.substr(colon + 1).c_str())));
  return parsed;
}

std::string ToAddress(const std::string& ip, int fd) {
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
  return ip + ":" + std::to_string(ntohs(bound.sin_port));
}

int BindFreePort(const std::string& ip) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ParseAddress(ip + ":0");
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
      0) {
    std::cerr << "can't bind " << ip << "\n";
    std::_Exit(kCouldNotRun);
  }
  return fd;
}

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string EncodeBase64(std::string_view text) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      const unsigned byte =
          i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U;
      bits = bits << 8 | byte;
    }
    for (std::size_t k = 0; k < 4; ++k) {
      encoded.push_back(
          i + k > text.size() ? '=' : kDigits[bits >> (18 - 6 * k) & 63]);
    }
  }
  return encoded;
}

// Value of a parameter of the target's query, with its escapes undone.
std::string QueryParameter(const std::string& target, const std::string& name) {
  const std::size_t query = target.find('?');
  std::istringstream fields(
      query == std::string::npos ? "" : target.substr(query + 1));
  std::string field;
  while (std::getline(fields, field, '&')) {
    if (!field.starts_with(name + "=")) {
      continue;
    }
    const std::string raw = field.substr(name.size() + 1);
    std::string value;
    for (std::size_t i = 0; i < raw.size(); ++i) {
      if (raw[i] == '%' && i + 2 < raw.size()) {
        value.push_back(static_cast<char>(
            std::strtol(raw.substr(i + 1, 2).c_str(), nullptr, 16)));
        i += 2;
      } else {
        value.push_back(raw[i]);
      }
    }
    return value;
  }
  return "";
}

std::size_t ResidentBytes(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) {
      return std::strtoull(line.c_str() + 6, nullptr, 10) * 1024;
    }
  }
  return 0;
}

// Bytes that have been received on the daemon's port for callers and that it
// has not read yet.
std::size_t UnreadBytes(const std::string& address) {
  constexpr int kHexadecimal = 16;
  constexpr char kEstablished[] = "01";
  const auto port = static_cast<unsigned>(
      std::atoi(address.substr(address.rfind(':') + 1).c_str()));
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  std::size_t unread = 0;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> local >> remote >> state >> queues;
    const auto local_port = std::strtoul(
        local.substr(local.find(':') + 1).c_str(), nullptr, kHexadecimal);
    if (local_port == port && state == kEstablished) {
      unread += std::strtoull(queues.substr(queues.find(':') + 1).c_str(),
                              nullptr, kHexadecimal);
    }
  }
  return unread;
}

std::string MakeAnswer(int status,
                       const std::string& headers,
                       const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

Record::Record(const std::string& path) : start_(Clock::now()), out_(path) {}

milliseconds Record::Elapsed() const {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - start_);
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  out_ << std::setw(7) << Elapsed().count() << " ms  " << text << std::endl;
}

std::unique_ptr<Socket> Socket::Connect(const std::string& address,
                                        int receive_buffer) {
  auto socket = std::make_unique<Socket>(
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (receive_buffer > 0) {
    setsockopt(socket->fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  const sockaddr_in target = ParseAddress(address);
  if (connect(socket->fd_, reinterpret_cast<const sockaddr*>(&target),
              sizeof(target)) != 0) {
    socket->Close();
    return socket;
  }
  const int on = 1;
  setsockopt(socket->fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return socket;
}

bool Socket::Send(const std::string& bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t now =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (now <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(now);
  }
  return true;
}

ssize_t Socket::Read(char* bytes,
                     std::size_t size,
                     milliseconds timeout) const {
  pollfd wanted{fd_, POLLIN, 0};
  const int ready = poll(&wanted, 1, static_cast<int>(timeout.count()));
  return ready <= 0 ? -1 : recv(fd_, bytes, size, 0);
}

void Socket::Close() {
  if (fd_ >= 0) {
    close(std::exchange(fd_, -1));
  }
}

std::string Message::Header(const std::string& name) const {
  const auto found = headers.find(ToLower(name));
  return found == headers.end() ? "" : found->second;
}

std::string Message::Method() const {
  return first_line.substr(0, first_line.find(' '));
}

std::string Message::Target() const {
  const std::size_t begin = first_line.find(' ') + 1;
  return first_line.substr(begin, first_line.find(' ', begin) - begin);
}

int Message::Status() const {
  return first_line.starts_with("HTTP/") ? std::atoi(Target().c_str()) : 0;
}

bool Reader::Fill(Clock::time_point until) {
  std::array<char, kReadBytes> bytes{};
  const auto left =
      std::chrono::duration_cast<milliseconds>(until - Clock::now());
  const ssize_t count =
      socket_.Read(bytes.data(), bytes.size(), std::max(left, milliseconds(0)));
  if (count > 0) {
    buffer_.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
  }
  has_ended_ = count == 0 || Clock::now() < until;
  return false;
}

bool Reader::Next(Message* message, milliseconds timeout) {
  const auto until = Clock::now() + timeout;
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(until)) {
      return false;
    }
  }
  std::istringstream head(buffer_.substr(0, end));
  buffer_.erase(0, end + 4);
  *message = {};
  std::string line;
  std::getline(head, message->first_line);
  message->first_line.erase(message->first_line.find_last_not_of('\r') + 1);
  while (std::getline(head, line)) {
    line.erase(line.find_last_not_of('\r') + 1);
    const std::size_t colon = line.find(':');
    const std::size_t value =
        std::min(line.find_first_not_of(' ', colon + 1), line.size());
    message->headers[ToLower(line.substr(0, colon))] = line.substr(value);
  }
  const std::size_t length = static_cast<std::size_t>(
      std::strtoull(message->Header("content-length").c_str(), nullptr, 10));
  while (buffer_.size() < length) {
    if (!Fill(until)) {
      return false;
    }
  }
  message->body = buffer_.substr(0, length);
  buffer_.erase(0, length);
  return true;
}

Listener::Listener(const std::string& ip, Handler handler) {
  const int fd = BindFreePort(ip);
  listen(fd, kBacklog);
  address_ = ToAddress(ip, fd);
  std::thread([fd, handler = std::move(handler)] {
    while (true) {
      const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      const int on = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([accepted, handler] {
        const Socket socket(accepted);
        handler(socket);
      }).detach();
    }
  }).detach();
}

std::string FreeAddress(const std::string& ip) {
  const int fd = BindFreePort(ip);
  std::string address = ToAddress(ip, fd);
  close(fd);
  return address;
}

Store::Store(const std::string& ip) {
  listener_ = std::make_unique<Listener>(
      ip, [this](const Socket& socket) { Serve(socket); });
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  items_[key] = {value, ++revision_};
  changed_.notify_all();
}

void Store::Serve(const Socket& socket) {
  Reader reader(socket);
  Message request;
  while (reader.Next(&request, std::chrono::hours(1))) {
    if (!socket.Send(Answer(request.Target()))) {
      return;
    }
  }
}

std::string Store::Describe(const std::string& key, const Item& item) const {
  const std::string revision = std::to_string(item.revision);
  return R"("key":")" + key + R"(","value":")" + EncodeBase64(item.value) +
         R"(","rev":)" + revision + R"(,"created_rev":)" + revision +
         R"(,"lease":0)";
}

std::string Store::Answer(const std::string& target) {
  constexpr char kJson[] = "Content-Type: application/json\r\n";
  const std::string path = target.substr(0, target.find('?'));
  const std::string prefix = QueryParameter(target, "prefix");
  std::unique_lock lock(mutex_);
  if (path == "/api/kv-key") {
    const auto found = items_.find(QueryParameter(target, "key"));
    const std::string tail =
        R"("current_rev":)" + std::to_string(revision_) + "}";
    return found == items_.end()
               ? MakeAnswer(404, kJson, "{" + tail)
               : MakeAnswer(
                     200, kJson,
                     "{" + Describe(found->first, found->second) + "," + tail);
  }
  const bool is_watch = path == "/api/kv-watch";
  const std::string after = QueryParameter(target, "after");
  const std::uint64_t after_revision =
      is_watch ? std::strtoull(after.c_str(), nullptr, 10) : 0;
  const auto list = [&] {
    std::string found;
    for (const auto& [key, item] : items_) {
      const bool is_wanted =
          is_watch ? item.revision > after_revision : key > after;
      if (key.starts_with(prefix) && is_wanted) {
        found += (found.empty() ? "{" : ",{") + Describe(key, item) + "}";
      }
    }
    return found;
  };
  if (is_watch) {
    const milliseconds wait(
        std::atoi(QueryParameter(target, "wait_ms").c_str()));
    changed_.wait_for(lock, wait, [&] { return !list().empty(); });
  }
  return MakeAnswer(200, kJson,
                    std::string(is_watch ? R"({"events":[)"
                                         : R"({"has_more":false,"items":[)") +
                        list() + R"(],"current_rev":)" +
                        std::to_string(revision_) + "}");
}

Server::Server(const std::string& ip,
               std::string id,
               std::string service,
               std::string zone,
               milliseconds work,
               Record& record)
    : id_(std::move(id)),
      service_(std::move(service)),
      zone_(std::move(zone)),
      work_(work),
      record_(record) {
  listener_ = std::make_unique<Listener>(
      ip, [this](const Socket& socket) { Serve(socket); });
}

std::string Server::Entry() const {
  return R"({"address":")" + address() + R"(","info":{"service":")" + service_ +
         R"(","version":"v1","zone":")" + zone_ + R"(","slots":)" +
         std::to_string(kSlots) +
         R"(},"status":{"state":"ready","sequence":1,"warmup_left_s":0},)" +
         R"("born":1700000000000})";
}

std::map<std::string, int> Server::runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

std::vector<milliseconds> Server::run_times() {
  const std::lock_guard lock(mutex_);
  return run_times_;
}

void Server::Serve(const Socket& socket) {
  Reader reader(socket);
  Message request;
  while (reader.Next(&request, kIdleConnection)) {
    const std::string request_id = request.Header("X-Request-Id");
    const std::string echo = "X-Request-Id: " + request_id + "\r\n";
    if (request.Header("X-Target-Instance") != id_) {
      socket.Send(MakeAnswer(421, echo + "X-Instance-Id: " + id_ + "\r\n", ""));
      continue;
    }
    {
      std::unique_lock lock(mutex_);
      if (running_ >= kSlots && waiting_ >= kQueue) {
        socket.Send(MakeAnswer(503, echo + "X-Not-Executed: 1\r\n", ""));
        continue;
      }
      ++waiting_;
      slot_freed_.wait(lock, [this] { return running_ < kSlots; });
      --waiting_;
      ++running_;
      ++runs_[request_id];
      run_times_.push_back(record_.Elapsed());
    }
    record_.Line("server " + id_ + " runs " + request_id + " (" +
                 request.Method() + " " + request.Target() + ", body of " +
                 std::to_string(request.body.size()) + " bytes)");
    std::this_thread::sleep_for(work_);
    {
      const std::lock_guard lock(mutex_);
      --running_;
      slot_freed_.notify_one();
    }
    std::string body = "done by " + id_ + ": " + request_id;
    const std::string size = QueryParameter(request.Target(), "bytes");
    body.resize(std::max(body.size(), static_cast<std::size_t>(std::strtoull(
                                          size.c_str(), nullptr, 10))),
                '.');
    std::string headers = echo;
    headers += "X-Response-Signature: " + id_;
    headers += "." + request_id + "\r\nKeep-Alive: timeout=10\r\n";
    if (!socket.Send(MakeAnswer(200, headers, body))) {
      return;
    }
  }
}

Daemon::Daemon(const Options& options)
    : name_(options.name),
      caller_address_(FreeAddress(options.ip)),
      ready_address_(FreeAddress(options.ip)) {
  const std::string settings = options.directory + "/" + name_ + ".toml";
  std::ofstream(settings) << "mode = \"proxy\"\n"
                          << "instance = \"" << name_ << "\"\n"
                          << "data_centre = \"" << options.zone << "\"\n"
                          << "service = \"" << options.service << "\"\n"
                          << "caller_address = \"" << caller_address_ << "\"\n"
                          << "peer_address = \"" << options.ip << ":"
                          << options.peer_port << "\"\n"
                          << "readiness_address = \"" << ready_address_
                          << "\"\n"
                          << "metrics_address = \"" << FreeAddress(options.ip)
                          << "\"\n"
                          << "backend_address = \"" << options.backend_address
                          << "\"\n"
                          << "platform_address = \"" << options.store_address
                          << "\"\n"
                          << "drain_timeout = \"6s\"\n"
                          << "memory_mb = " << kMemoryMb << "\n"
                          << "[log]\n"
                          << "format = \"json\"\n"
                          << "level = \"info\"\n"
                          << "lines_per_second = 50\n";
  const std::string log = options.directory + "/" + name_ + ".log";
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl("target/bin/vanillafalld", "target/bin/vanillafalld",
          settings.c_str(), nullptr);
    std::_Exit(127);
  }
}

Daemon::~Daemon() {
  Kill();
}

bool Daemon::WaitUntilReady(milliseconds timeout) const {
  const auto until = Clock::now() + timeout;
  while (Clock::now() < until) {
    const auto socket = Socket::Connect(ready_address_);
    if (socket->is_open() &&
        socket->Send("GET /api/ready HTTP/1.1\r\nHost: platform\r\n\r\n")) {
      Reader reader(*socket);
      Message answer;
      if (reader.Next(&answer, std::chrono::seconds(1)) &&
          answer.Status() == 200) {
        return true;
      }
    }
    std::this_thread::sleep_for(kReadyPause);
  }
  return false;
}

bool Daemon::HasEnded() {
  const std::lock_guard lock(mutex_);
  if (!has_ended_ && pid_ > 0) {
    has_ended_ = waitpid(pid_, &status_, WNOHANG) == pid_;
  }
  return has_ended_;
}

std::string Daemon::End() const {
  return WIFSIGNALED(status_)
             ? "signal " + std::to_string(WTERMSIG(status_))
             : "exit code " + std::to_string(WEXITSTATUS(status_));
}

void Daemon::Kill() {
  if (pid_ > 0 && !HasEnded()) {
    kill(pid_, SIGKILL);
    waitpid(pid_, &status_, 0);
    has_ended_ = true;
  }
}

std::string MakeConfig(int version, const std::vector<Route>& routes) {
  std::ostringstream text;
  text << R"({"version":")" << std::hex << std::setw(8) << std::setfill('0')
       << version << std::dec << R"(","resources":[)";
  for (const Route& route : routes) {
    text << R"({"resource_type":"routes","metadata":{"name":")" << route.name
         << R"("},"spec":{"host":")" << kHost << R"(","prefix":")"
         << route.prefix << R"(","kind":")"
         << (route.is_idempotent ? "idempotent" : "non_idempotent")
         << R"(","timeout_s":)" << route.timeout_s << R"(,"target_latency_s":)"
         << route.target_s << R"(,"priority":1,"service":")" << route.service
         << R"(","max_attempts":2}},)";
  }
  text << R"({"resource_type":"limits","metadata":{},"spec":{)"
       << R"("max_header_bytes":16384,"max_body_bytes":67108864,)"
       << R"("header_timeout_s":3,"idle_timeout_s":15}}]})";
  return text.str();
}

std::string RequestHead(const std::string& method,
                        const std::string& target,
                        const std::string& id,
                        milliseconds deadline,
                        std::size_t body_bytes) {
  return method + " " + target + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) +
         "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
}

Fleet::Fleet(const std::vector<Instance>& instances,
             const std::vector<Route>& routes,
             const std::string& directory,
             Record& record,
             const std::function<std::string(const Store&)>& relay_to)
    : record_(record) {
  const std::string store_address =
      relay_to ? relay_to(store_) : store_.address();
  constexpr int kConfigVersion = 7;
  const std::string address = FreeAddress("127.0.0.1");
  const std::string port = address.substr(address.rfind(':') + 1);
  store_.Put("op/config", MakeConfig(kConfigVersion, routes));
  for (std::size_t i = 0; i < instances.size(); ++i) {
    const std::string number = std::to_string(i + 1);
    const Instance& instance = instances[i];
    servers_.push_back(std::make_unique<Server>(
        "127.0.0." + number, "i-" + number, instance.service, instance.zone,
        instance.work, record));
    store_.Put("servers/" + servers_.back()->id(), servers_.back()->Entry());
    daemons_.push_back(std::make_unique<Daemon>(
        Daemon::Options{.name = "instance-" + number,
                        .ip = "127.0.0." + number,
                        .zone = instance.zone,
                        .service = instance.service,
                        .backend_address = servers_.back()->address(),
                        .store_address = store_address,
                        .peer_port = port,
                        .directory = directory}));
  }
}

bool Fleet::WaitUntilReady() const {
  const bool is_ready =
      std::all_of(daemons_.begin(), daemons_.end(), [](const auto& daemon) {
        return daemon->WaitUntilReady(std::chrono::seconds(10));
      });
  if (!is_ready) {
    record_.Line("the daemons are not ready");
  }
  // The daemons that were first have to learn of the last server.
  std::this_thread::sleep_for(std::chrono::seconds(3));
  return is_ready;
}

void Fleet::Stop() {
  for (const auto& daemon : daemons_) {
    if (daemon->HasEnded()) {
      record_.Line(daemon->name() + " has ended: " + daemon->End());
    }
  }
  daemons_.clear();
}

KeptCallers::KeptCallers(int callers, Daemon& daemon, Record& record)
    : daemon_(daemon), record_(record) {
  for (int i = 1; i <= callers; ++i) {
    threads_.emplace_back([this, i] { CallAgainAndAgain(i); });
  }
}

void KeptCallers::Stop() {
  is_over_ = true;
  for (std::thread& thread : std::exchange(threads_, {})) {
    thread.join();
  }
}

void KeptCallers::CallAgainAndAgain(int caller) {
  constexpr milliseconds kDeadline{2000};
  // So that the callers' requests do not all begin and end together.
  constexpr milliseconds kStagger{90};
  std::this_thread::sleep_for(caller * kStagger);
  int count = 0;
  while (!is_over_ && !daemon_.HasEnded()) {
    const auto socket = Socket::Connect(daemon_.caller_address());
    Reader reader(*socket);
    bool is_kept = false;
    while (!is_over_ && socket->is_open()) {
      const std::string id =
          "booking-" + std::to_string(caller) + "-" + std::to_string(++count);
      const std::string body = "one booking";
      if (!socket->Send(
              RequestHead("POST", "/bookings/new", id, kDeadline, body.size()) +
              body)) {
        break;
      }
      Message answer;
      if (reader.Next(&answer, 2 * kDeadline)) {
        ++answered_;
        record_.Line("booking " + id + " answered " +
                     std::to_string(answer.Status()));
        const std::lock_guard lock(mutex_);
        ++statuses_[answer.Status()];
        is_kept = true;
        if (answer.Header("Connection") == "close") {
          break;
        }
        continue;
      }
      record_.Line("booking " + id + ": " +
                   (reader.has_ended()
                        ? "the connection ended without an answer"
                        : "no answer"));
      if (is_kept && reader.has_ended()) {
        const std::lock_guard lock(mutex_);
        unanswered_.push_back(id);
      }
      break;
    }
  }
}

std::vector<std::string> KeptCallers::Lost(
    const std::vector<std::unique_ptr<Server>>& servers) {
  std::vector<std::string> lost;
  for (const std::string& id : unanswered_) {
    if (std::any_of(servers.begin(), servers.end(), [&id](const auto& server) {
          return server->runs().contains(id);
        })) {
      lost.push_back(id);
    }
  }
  return lost;
}

std::map<int, int> KeptCallers::statuses() {
  const std::lock_guard lock(mutex_);
  return statuses_;
}

MemoryLimit::MemoryLimit(Daemon& daemon, Record& record)
    : daemon_(daemon), record_(record), thread_([this] { Watch(); }) {}

MemoryLimit::~MemoryLimit() {
  is_over_ = true;
  thread_.join();
  record_.Line("most memory of " + daemon_.name() + ": " +
               std::to_string(most_) + " bytes of " +
               std::to_string(kMemoryMb * kBytesPerMb));
}

void MemoryLimit::Watch() {
  while (!is_over_ && !daemon_.HasEnded()) {
    const std::size_t resident = ResidentBytes(daemon_.pid());
    const std::size_t unread = UnreadBytes(daemon_.caller_address());
    most_ = std::max(most_, resident + unread);
    if (resident + unread > kMemoryMb * kBytesPerMb) {
      record_.Line("platform: " + daemon_.name() + " holds " +
                   std::to_string(resident) + " bytes and has " +
                   std::to_string(unread) +
                   " received and not read, and is killed");
      daemon_.Kill();
      return;
    }
    std::this_thread::sleep_for(kSamplePeriod);
  }
}

bool SetDescriptors(Record& record) {
  constexpr rlim_t kDescriptors = 4100;
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = std::min(kDescriptors, limit.rlim_max);
  if (setrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur < kDescriptors) {
    record.Line("there are too few descriptors");
    return false;
  }
  return true;
}

int JudgeLost(const std::vector<std::string>& lost,
              int answered,
              Record& record) {
  constexpr std::size_t kAllowed = 3;
  for (const std::string& id : lost) {
    record.Line("lost: " + id +
                " ran at a sound server, and its kept connection ended "
                "without an answer");
  }
  const bool is_broken = lost.size() > kAllowed;
  record.Line("bookings answered " + std::to_string(answered) +
              ", passed on and closed without an answer " +
              std::to_string(lost.size()) + " (" + std::to_string(kAllowed) +
              " allowed): LOST is " + (is_broken ? "broken" : "kept"));
  return is_broken ? kBroken : kHeld;
}

bool IsWithoutTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string_view(trouble) == "0";
}

}  // namespace review
