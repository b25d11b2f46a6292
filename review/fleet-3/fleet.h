#ifndef REVIEW_FLEET_3_FLEET_H_
#define REVIEW_FLEET_3_FLEET_H_

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
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// In megabytes, as in the daemons' settings.
inline constexpr std::size_t kMemoryMb = 260;

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Writes what was sent, answered and run, with the time since its start.
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);
  milliseconds Elapsed() const;

 private:
  const Clock::time_point start_;
  std::mutex mutex_;
  std::ofstream out_;
};

// A socket that is closed when it goes out of scope.
class Socket {
 public:
  explicit Socket(int fd) : fd_(fd) {}
  ~Socket() { Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  // Connects to "IP:PORT"; `receive_buffer` is the size of the kernel's buffer,
  // 0 for the usual one.
  static std::unique_ptr<Socket> Connect(const std::string& address,
                                         int receive_buffer = 0);

  bool is_open() const { return fd_ >= 0; }
  bool Send(const std::string& bytes) const;
  // Reads up to `size` bytes; 0 at the end of the connection, negative after an
  // error or when `timeout` is over.
  ssize_t Read(char* bytes, std::size_t size, milliseconds timeout) const;
  void Close();
  int fd() const { return fd_; }

 private:
  int fd_;
};

// A request or an answer as it was read.
struct Message {
  // The request line or the status line.
  std::string first_line;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  // Of a request line.
  std::string Method() const;
  std::string Target() const;
  // Of a status line; 0 for any other.
  int Status() const;
};

// Reads messages with a length or none from one connection.
class Reader {
 public:
  explicit Reader(const Socket& socket) : socket_(socket) {}
  // False at the end of the connection, after an error or a timeout.
  bool Next(Message* message, milliseconds timeout);
  // Whether the connection ended rather than was silent.
  bool has_ended() const { return has_ended_; }

 private:
  bool Fill(Clock::time_point until);

  const Socket& socket_;
  std::string buffer_;
  bool has_ended_ = false;
};

// Accepts connections on a free port of an address and handles each on a thread
// of its own until the process ends.
class Listener {
 public:
  using Handler = std::function<void(const Socket&)>;

  Listener(const std::string& ip, Handler handler);
  const std::string& address() const { return address_; }

 private:
  std::string address_;
};

// A free port of an address.
std::string FreeAddress(const std::string& ip);

// A stand-in of the platform's store: reads of keys and ranges, and watches.
class Store {
 public:
  explicit Store(const std::string& ip);
  const std::string& address() const { return listener_->address(); }
  void Put(const std::string& key, const std::string& value);

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
  };

  void Serve(const Socket& socket);
  std::string Answer(const std::string& target);
  std::string Describe(const std::string& key, const Item& item) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::uint64_t revision_ = 10;
  std::unique_ptr<Listener> listener_;
};

// A stand-in of a backend server. It runs as many requests at once as it has
// slots, queues a few more, and rejects the others. An answer has as many bytes
// as the parameter "bytes" of the target says.
class Server {
 public:
  Server(const std::string& ip,
         std::string id,
         std::string service,
         std::string zone,
         milliseconds work,
         Record& record);
  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }
  const std::string& address() const { return listener_->address(); }
  // Its entry in the store.
  std::string Entry() const;
  // Ids of the requests that have run, with how often.
  std::map<std::string, int> runs();
  // When each run began, by the record's time.
  std::vector<milliseconds> run_times();

  static constexpr int kSlots = 3;
  static constexpr int kQueue = 24;

 private:
  void Serve(const Socket& socket);

  const std::string id_;
  const std::string service_;
  const std::string zone_;
  const milliseconds work_;
  Record& record_;
  std::mutex mutex_;
  std::condition_variable slot_freed_;
  int running_ = 0;
  int waiting_ = 0;
  std::map<std::string, int> runs_;
  std::vector<milliseconds> run_times_;
  std::unique_ptr<Listener> listener_;
};

// One daemon of the project, started with a settings file as the deploy file
// says.
class Daemon {
 public:
  struct Options {
    std::string name;
    std::string ip;
    std::string zone;
    std::string service;
    std::string backend_address;
    std::string store_address;
    // The same on all daemons.
    std::string peer_port;
    std::string directory;
  };

  explicit Daemon(const Options& options);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  bool WaitUntilReady(milliseconds timeout) const;
  const std::string& caller_address() const { return caller_address_; }
  const std::string& name() const { return name_; }
  pid_t pid() const { return pid_; }
  // True once the process has ended.
  bool HasEnded();
  // How it ended, for the record.
  std::string End() const;
  void Kill();

 private:
  const std::string name_;
  std::string caller_address_;
  std::string ready_address_;
  pid_t pid_ = -1;
  std::mutex mutex_;
  bool has_ended_ = false;
  int status_ = 0;
};

struct Route {
  std::string name;
  std::string prefix;
  bool is_idempotent = false;
  double timeout_s = 2;
  double target_s = 0.8;
  std::string service;
};

inline constexpr char kHost[] = "desk.example";

// A configuration with the limits that the platform's pages show.
std::string MakeConfig(int version, const std::vector<Route>& routes);

// The head of a request with a body of this length.
std::string RequestHead(const std::string& method,
                        const std::string& target,
                        const std::string& id,
                        milliseconds deadline,
                        std::size_t body_bytes);

// A store, backend servers and the daemon beside each.
class Fleet {
 public:
  struct Instance {
    std::string service;
    // Processing time of the backend server.
    milliseconds work;
    std::string zone = "north";
  };

  // The daemons reach the store at the address that `relay_to` returns, if it
  // is given.
  Fleet(const std::vector<Instance>& instances,
        const std::vector<Route>& routes,
        const std::string& directory,
        Record& record,
        const std::function<std::string(const Store&)>& relay_to = {});
  bool WaitUntilReady() const;
  Store& store() { return store_; }
  Daemon& daemon(std::size_t index) { return *daemons_.at(index); }
  const std::vector<std::unique_ptr<Server>>& servers() const {
    return servers_;
  }
  // Records which daemons have ended, and ends the others.
  void Stop();

 private:
  Record& record_;
  Store store_{"127.0.0.1"};
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
};

// Callers that send one request after the other on kept connections to one
// daemon, each under the path "/bookings/".
class KeptCallers {
 public:
  KeptCallers(int callers, Daemon& daemon, Record& record);
  ~KeptCallers() { Stop(); }
  KeptCallers(const KeptCallers&) = delete;
  KeptCallers& operator=(const KeptCallers&) = delete;

  void Stop();
  int answered() const { return answered_; }
  // Ids of the requests that one of the servers has run and whose kept
  // connection ended without an answer. Call it after Stop.
  std::vector<std::string> Lost(
      const std::vector<std::unique_ptr<Server>>& servers);
  // Statuses of the answers, with how many there were.
  std::map<int, int> statuses();

 private:
  void CallAgainAndAgain(int caller);

  Daemon& daemon_;
  Record& record_;
  std::atomic<bool> is_over_ = false;
  std::atomic<int> answered_ = 0;
  std::mutex mutex_;
  std::vector<std::string> unanswered_;
  std::map<int, int> statuses_;
  std::vector<std::thread> threads_;
};

// The platform's limit of memory: kills the daemon when what it holds and what
// its callers have sent and it has not read exceed the limit of the settings.
class MemoryLimit {
 public:
  MemoryLimit(Daemon& daemon, Record& record);
  ~MemoryLimit();
  MemoryLimit(const MemoryLimit&) = delete;
  MemoryLimit& operator=(const MemoryLimit&) = delete;

 private:
  void Watch();

  Daemon& daemon_;
  Record& record_;
  std::size_t most_ = 0;
  std::atomic<bool> is_over_ = false;
  std::thread thread_;
};

// Gives this process and the daemons the descriptors that the platform gives
// them. False if this process may not have so many.
bool SetDescriptors(Record& record);

// Records the lost requests and returns the exit code by the rule LOST: more
// than three must not be lost.
int JudgeLost(const std::vector<std::string>& lost,
              int answered,
              Record& record);

// Whether the case is to be run without its disruption.
bool IsWithoutTrouble();

}  // namespace review

#endif  // REVIEW_FLEET_3_FLEET_H_
