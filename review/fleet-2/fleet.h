#ifndef REVIEW_FLEET_2_FLEET_H_
#define REVIEW_FLEET_2_FLEET_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// A small deployment on loopback addresses for the scripts of the second
// review: daemons as separate processes, a stand-in for the platform's store,
// stand-ins for upstreams, and clients.
namespace vanillafall::review2 {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// Writes lines with the time since the start to a file, from any thread.
class Record {
 public:
  explicit Record(const std::string& file);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Add(const std::string& line);

 private:
  std::mutex mutex_;
  std::FILE* file_;
  const Clock::time_point started_ = Clock::now();
};

// A connected socket with the bytes that were read but not used yet.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Null when the connection could not be opened.
  static std::unique_ptr<Connection> Open(const std::string& address);

  bool is_open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  bool Send(const std::string& bytes);
  // Reads up to and including the text; nothing at the end of the connection,
  // on an error or after the time.
  std::optional<std::string> ReadThrough(const std::string& text,
                                         milliseconds time);
  std::optional<std::string> ReadCount(std::size_t count, milliseconds time);
  // Whether the other side has closed the connection.
  bool IsClosedByPeer() const;
  void Close();

 private:
  bool ReadMore(Clock::time_point until);

  int fd_;
  std::string buffer_;
};

// The head of an HTTP message: its first line, and its fields with names in
// lower case.
struct Head {
  std::string first_line;
  std::map<std::string, std::string> fields;
  std::string Get(const std::string& name) const;
};
std::optional<Head> ReadHead(Connection& connection, milliseconds time);
// Reads the body of a message with a length or in chunks.
std::optional<std::string> ReadBody(Connection& connection,
                                    const Head& head,
                                    milliseconds time);

struct Answer {
  // 0 when the connection ended without a complete answer.
  int status = 0;
  Head head;
  std::string body;
};
Answer ReadAnswer(Connection& connection, milliseconds time);

// The text of a request of a client.
struct RequestText {
  std::string method = "GET";
  std::string path;
  std::string id;
  int deadline_ms = 2000;
  std::string body;
  std::string ToString() const;
};
inline constexpr char kHost[] = "desk.example";

// Accepts connections and serves each in a thread of its own.
class Server {
 public:
  using Serve = std::function<void(Connection& connection)>;
  Server() = default;
  ~Server() { Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  bool Start(const std::string& address, Serve serve);
  void Stop();

 private:
  int fd_ = -1;
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

// The platform's store, which holds the configuration and the list of servers.
class Store {
 public:
  bool Start(const std::string& address);
  void Put(const std::string& key, const std::string& value);

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
  };
  void Serve(Connection& connection);
  std::string Handle(const std::string& target, int* status);
  static std::string ToJson(const std::string& key, const Item& item);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 10;
  std::map<std::string, Item> items_;
  Server server_;
};

// An upstream that serves one request at a time on a connection, and as many at
// the same time as it has slots. It rejects requests that find no free slot, or
// that are meant for another upstream.
class Upstream {
 public:
  struct Options {
    std::string id;
    int slots = 3;
    milliseconds work{50};
    // After this time, idle connections are closed.
    milliseconds idle_time{10'000};
    // Answers to requests whose path contains this text have no length and
    // never end, until the caller closes; empty for none. Where "-slow" follows
    // they come at about 12 MiB a second, else as fast as they are read.
    std::string endless_path;
  };
  Upstream(Options options, Record& record)
      : options_(std::move(options)),
        work_ms_(options_.work.count()),
        record_(record) {}

  bool Start(const std::string& address);
  // How often each request has begun to run.
  std::map<std::string, int> runs() const;
  int run_count() const { return run_count_; }
  const std::string& id() const { return options_.id; }
  void set_work(milliseconds work) { work_ms_ = work.count(); }

 private:
  void Serve(Connection& connection);
  // Pauses after each mebibyte.
  void SendWithoutEnd(Connection& connection,
                      const std::string& echo,
                      milliseconds pause);

  const Options options_;
  std::atomic<std::int64_t> work_ms_;
  Record& record_;
  std::atomic<int> busy_{0};
  std::atomic<int> run_count_{0};
  mutable std::mutex mutex_;
  std::map<std::string, int> runs_;
  Server server_;
};

// One daemon as a process of its own.
class Daemon {
 public:
  Daemon() = default;
  ~Daemon() { Kill(); }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  bool Start(const std::string& program,
             const std::string& settings_file,
             const std::string& log_file);
  // False once the process has ended by itself.
  bool IsAlive();
  // The most memory that the process has used, in bytes.
  std::size_t PeakMemory() const;
  // How it ended, for the record.
  std::string HowItEnded() const;
  void Signal(int signal) const;
  void Kill();

 private:
  pid_t pid_ = 0;
  int status_ = 0;
};

// A deployment with one service and one upstream beside each daemon.
class Fleet {
 public:
  struct Options {
    int size = 2;
    int slots = 3;
    milliseconds work{50};
    // As in the options of an upstream.
    milliseconds idle_time{10'000};
    std::string endless_path;
    int memory_mb = 260;
    // Data centres are taken in turn.
    std::vector<std::string> data_centres = {"hervanta"};
    // Further lines of the settings, such as those of [callers].
    std::string more_settings;
    // Those of the pages' example.
    std::string limits =
        R"("max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15)";
    double timeout_s = 3;
  };
  Fleet(std::string program, Options options, Record& record);
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts everything and waits until each daemon answers a request.
  bool Start();
  // Ends all daemons and removes the temporary directory.
  void End();

  int size() const { return options_.size; }
  Daemon& daemon(int number) { return *daemons_[number]; }
  Upstream& upstream(int number) { return *upstreams_[number]; }
  std::string caller_address(int number) const;
  std::string upstream_address(int number) const;
  // Asks until the daemon answers its readiness and a request, at most for the
  // time.
  bool IsServing(int number, milliseconds time);
  // How often each request has begun to run, on any upstream.
  std::map<std::string, int> CountRuns() const;
  // True if every process lives; records those that have ended.
  bool AreAllAlive();
  const std::string& directory() const { return directory_; }

 private:
  std::string Address(int number, int port) const;
  bool FindPorts();
  std::string WriteSettings(int number) const;

  const std::string program_;
  const Options options_;
  Record& record_;
  std::string directory_;
  int base_port_ = 0;
  Store store_;
  std::vector<std::unique_ptr<Upstream>> upstreams_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
};

// Ordinary clients of one daemon. Each sends one request after the other on a
// connection that it keeps, and opens another one when that ends. With a
// period, all of them send at its multiples.
class KeptCallers {
 public:
  KeptCallers(Fleet& fleet,
              int daemon,
              int count,
              Record& record,
              milliseconds period = {});
  ~KeptCallers() { Stop(); }
  KeptCallers(const KeptCallers&) = delete;
  KeptCallers& operator=(const KeptCallers&) = delete;

  void Stop();
  // Requests on connections that had served a request before, which an upstream
  // ran and whose connection ended without an answer. To be called after Stop.
  int CountLost() const;
  int answered() const { return answered_; }
  // Requests that were answered with a success.
  int served() const { return served_; }
  // The statuses of the answers by the ids of their requests.
  std::map<std::string, int> statuses() const;

 private:
  void Call(int number);

  Fleet& fleet_;
  const int daemon_;
  Record& record_;
  const milliseconds period_;
  std::atomic<bool> is_stopping_{false};
  std::atomic<int> answered_{0};
  std::atomic<int> served_{0};
  mutable std::mutex mutex_;
  std::vector<std::string> unanswered_;
  std::map<std::string, int> statuses_;
  std::vector<std::thread> threads_;
};

// Runs a case with the arguments PROGRAM DIRECTORY TROUBLE and ends this
// process with its result, or with kCouldNotRun when it takes too long. The
// daemons end with this process.
using Case = int (*)(Fleet& fleet, bool has_trouble, Record& record);
[[noreturn]] void RunCase(int argc,
                          const char* const* argv,
                          const Fleet::Options& options,
                          Case run);

}  // namespace vanillafall::review2

#endif  // REVIEW_FLEET_2_FLEET_H_
