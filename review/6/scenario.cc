// An empty body in chunks whose last bytes arrive one by one.
//
//   case-N PROGRAM DIRECTORY TROUBLE

#include <string>
#include <thread>
#include <vector>

#include "review/fleet-2/fleet.h"

namespace vanillafall::review2 {
namespace {

// The rule allows three.
constexpr int kMaxLost = 3;
constexpr int kKeptCallers = 8;
// Longer than contact_s, so that the machines are in touch.
constexpr milliseconds kCalm{4000};
constexpr milliseconds kPause{100};
constexpr milliseconds kPatience{5000};

// Sends a request that has an empty body in chunks. The bytes are the same with
// and without the trouble, which only sends them in separate segments. Returns
// the status of the answer, or 0.
int SendEmptyChunkedBody(const std::string& address,
                         bool has_trouble,
                         Record& record) {
  const auto connection = Connection::Open(address);
  if (!connection) {
    return 0;
  }
  connection->Send(std::string("POST /booking/empty HTTP/1.1\r\nHost: ") +
                   kHost +
                   "\r\nX-Request-Id: empty\r\nX-Deadline-Ms: 3000\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n");
  const std::vector<std::string> pieces =
      has_trouble ? std::vector<std::string>{"0\r\n", "\r", "\n"}
                  : std::vector<std::string>{"0\r\n\r\n"};
  for (const std::string& piece : pieces) {
    std::this_thread::sleep_for(kPause);
    connection->Send(piece);
    record.Add("sent " + std::to_string(piece.size()) +
               " bytes of the body of request empty");
  }
  return ReadAnswer(*connection, kPatience).status;
}

int Run(Fleet& fleet, bool has_trouble, Record& record) {
  KeptCallers callers(fleet, 0, kKeptCallers, record);
  std::this_thread::sleep_for(kCalm);
  const int status =
      SendEmptyChunkedBody(fleet.caller_address(0), has_trouble, record);
  record.Add("request empty was answered " + std::to_string(status));
  std::this_thread::sleep_for(10 * kPause);
  const bool are_alive = fleet.AreAllAlive();
  const bool serves = fleet.IsServing(0, milliseconds(3000));
  callers.Stop();
  const int lost = callers.CountLost();
  record.Add("requests answered on kept connections: " +
             std::to_string(callers.answered()) +
             ", run and not answered: " + std::to_string(lost) +
             ", all processes live: " + (are_alive ? "yes" : "no") +
             ", daemon 0 serves: " + (serves ? "yes" : "no"));
  return lost > kMaxLost || !are_alive ? kBroken : kHeld;
}

}  // namespace
}  // namespace vanillafall::review2

int main(int argc, char** argv) {
  namespace review2 = vanillafall::review2;
  review2::Fleet::Options options;
  options.slots = 6;
  options.work = review2::milliseconds(300);
  review2::RunCase(argc, argv, options, review2::Run);
}
