// Stand-ins for the systems around a fleet in proxy mode, for the scripts of
// the review: the platform's store, upstreams, clients, and the part of the
// platform that starts daemons and enforces their memory limit. Everything
// listens on loopback addresses. Blocking sockets, one thread a connection.

#ifndef REVIEW_STANDIN_WORLD_H_
#define REVIEW_STANDIN_WORLD_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Writes lines with the time since its creation, in seconds.
class Record {
 public:
  explicit Record(const std::string& path);
  void Add(const std::string& line);
  double Now() const;

 private:
  const Clock::time_point start_ = Clock::now();
  std::mutex mutex_;
  std::ofstream out_;
};

struct Message {
  // Request line or status line, split at spaces.
  std::vector<std::string> first;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Get(const std::string& name) const;
};

// One blocking TCP connection with a read buffer.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Connects within a second; null when that fails.
  static std::unique_ptr<Connection> Open(const std::string& address);

  bool Send(const std::string& bytes);
  // Reads one message with a declared length; nothing on a close or timeout.
  std::optional<Message> Read(milliseconds timeout);
  void Shutdown();
  int fd() const { return fd_; }

 private:
  bool Fill(Clock::time_point deadline);

  int fd_;
  std::string buffer_;
};

// Accepts connections on an address and serves each on a thread of its own.
class Server {
 public:
  // Returns the answer to a request, or nothing to close the connection.
  using Handler = std::function<std::optional<std::string>(const Message&)>;

  Server(const std::string& address, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Stops listening and closes all connections.
  void CloseAll();

 private:
  void Accept();
  void Serve(const std::shared_ptr<Connection>& connection);

  const Handler handler_;
  int listener_ = -1;
  std::atomic<bool> is_stopping_{false};
  std::mutex mutex_;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

std::string MakeAnswer(int status,
                       const std::map<std::string, std::string>& headers,
                       const std::string& body);

// The platform's store: items, ranges and watches.
class Store {
 public:
  explicit Store(const std::string& address);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // From now on, reads with serializable = 1 are this old.
  void SetStaleness(milliseconds staleness);
  // Discards the history: a watch from an earlier revision is answered 410.
  void ForgetHistory();

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
  };
  struct Event {
    std::string key;
    std::uint64_t revision = 0;
    // Nothing when the key was removed.
    std::optional<std::string> value;
    Clock::time_point at;
  };

  std::string Handle(const Message& request);
  std::string Range(const std::string& prefix, bool is_serializable);
  std::string Watch(const std::string& prefix,
                    std::uint64_t after,
                    milliseconds wait);

  std::mutex mutex_;
  std::condition_variable changed_;
  bool is_stopping_ = false;
  std::uint64_t revision_ = 10;
  std::map<std::string, Item> items_;
  // All changes, also those that watches no longer get.
  std::vector<Event> history_;
  std::uint64_t oldest_revision_ = 0;
  milliseconds staleness_{0};
  std::unique_ptr<Server> server_;
};

// The path of one machine to the store. A cut resets the open connections and
// drops the packets that would open new ones.
class StorePath {
 public:
  StorePath(std::string address, std::string target);
  ~StorePath();
  StorePath(const StorePath&) = delete;
  StorePath& operator=(const StorePath&) = delete;

  void Cut();
  void Heal();

 private:
  void Accept();
  void Forward(int from, int to);
  // Opens connections until the kernel drops further ones.
  void FillQueue();

  const std::string address_;
  const std::string target_;
  int listener_ = -1;
  std::atomic<bool> is_cut_{false};
  std::atomic<bool> is_stopping_{false};
  std::mutex mutex_;
  std::vector<int> open_;
  std::vector<int> fillers_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// An upstream with slots that runs each request for a fixed time. A path with
// "/bytes/N" in it is answered with a body of N bytes.
class Upstream {
 public:
  struct Options {
    std::string address;
    std::string id;
    std::string service;
    std::string zone;
    int slots = 3;
    milliseconds work{200};
  };

  Upstream(Options options, Record& record);

  // The value of the upstream's entry in the store.
  std::string Entry(const std::string& state = "ready") const;
  // Closes the port and all connections, also of requests that run.
  void Stop();
  const Options& options() const { return options_; }
  // Number of times that the request began to run here.
  int RunsOf(const std::string& request_id);
  // When each request began to run here, in the order of their starts.
  std::vector<std::pair<std::string, Clock::time_point>> Starts();

 private:
  std::optional<std::string> Handle(const Message& request);

  const Options options_;
  Record& record_;
  std::mutex mutex_;
  std::condition_variable slot_free_;
  int running_ = 0;
  std::map<std::string, int> runs_;
  std::vector<std::pair<std::string, Clock::time_point>> starts_;
  std::unique_ptr<Server> server_;
};

// One machine: a daemon process and its settings.
class Machine {
 public:
  struct Options {
    std::string name;
    std::string ip;
    std::string zone;
    std::string service;
    std::string store_address;
    std::string backend_address;
    std::string directory;
    int port = 0;
    int memory_mb = 260;
    double grace_s = 6;
    std::string program = "target/bin/vanillafalld";
    // Descriptors that the process may open; 0 leaves the limit as it is.
    int max_descriptors = 0;
  };

  Machine(Options options, Record& record);
  ~Machine();
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  void Start();
  void Signal(int signal);
  // Ends the process at once and collects it.
  void Kill();
  bool IsReady();
  // Kills the process when it uses more memory than its limit, and starts a
  // process that has ended again, as the platform does. Returns true when the
  // process was killed for its memory or had ended by itself.
  bool Supervise();

  std::string outbound() const;
  const Options& options() const { return options_; }
  pid_t pid() const { return pid_; }
  std::uint64_t peak_kb() const { return peak_kb_; }

 private:
  std::string Address(int offset) const;
  void WriteSettings() const;

  const Options options_;
  Record& record_;
  pid_t pid_ = -1;
  std::uint64_t peak_kb_ = 0;
  Clock::time_point restart_at_;
};

// A client that keeps its connection to one address.
class Client {
 public:
  enum class End : std::uint8_t {
    kAnswered,
    // No connection could be made, or no byte could be sent.
    kUnsent,
    // The connection ended without a complete answer.
    kClosed,
    kTimeout,
  };
  struct Result {
    End end = End::kUnsent;
    Message answer;
    int status = 0;
    // Whether an earlier request had been answered on the same connection.
    bool was_kept = false;
  };

  explicit Client(std::string address) : address_(std::move(address)) {}

  Result Call(const std::string& method,
              const std::string& target,
              const std::string& host,
              const std::string& id,
              milliseconds deadline,
              const std::string& body);

 private:
  const std::string address_;
  std::unique_ptr<Connection> connection_;
  bool has_answers_ = false;
};

// The first three numbers of loopback addresses, with a dot at the end, that
// differ between processes that run at the same time.
std::string DrawNetwork();
// A port at which offsets 0 to 9 are free on the loopback address.
int FindFreePorts(const std::string& ip);
std::string Encode64(const std::string& bytes);
const char* Name(Client::End end);

}  // namespace review

#endif  // REVIEW_STANDIN_WORLD_H_
