#ifndef LIMIT_CREDIT_MESSAGE_H_
#define LIMIT_CREDIT_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace vanillafall {

// To the allocator of a limit that all daemons share: requests credits, one for
// each request that is to be admitted. Without the name of a limit it only
// checks that the receiver can be reached.
struct CreditRequest {
  std::string limit;
  // Grows with each message of one daemon.
  std::uint64_t sequence = 0;
  // Credits for requests that wait.
  std::uint32_t waiting = 0;
  // Credits for requests that are expected soon.
  std::uint32_t advance = 0;
  std::uint64_t config_version = 0;
};

// The reply to a CreditRequest.
struct CreditReply {
  std::string limit;
  // That of the CreditRequest.
  std::uint64_t sequence = 0;
  std::uint32_t granted = 0;
  // Time until the limit has room again for requests that got no credit.
  std::chrono::milliseconds retry_after{0};
  // The sender is not the allocator; another daemon has to be asked.
  bool is_declined = false;
  std::uint64_t config_version = 0;
};

}  // namespace vanillafall

#endif  // LIMIT_CREDIT_MESSAGE_H_
