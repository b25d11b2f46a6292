#ifndef DISPATCH_CALL_ORIGIN_H_
#define DISPATCH_CALL_ORIGIN_H_

#include <cstdint>
#include <optional>

namespace vanillafall {

// Which run of the own backend server may have made a request as its call. Any
// run that lasts at least as long as the request may have.
enum class CallOrigin : std::uint8_t {
  kNoRun,
  kFirstRun,
  // A repeat is among these runs. A call of a repeat counts as a repeat.
  kRepeat,
};

const char* ToString(CallOrigin origin);

// What is known of the run that made a request as its call.
struct CallParent {
  CallOrigin origin = CallOrigin::kNoRun;
  // Number of runs that may have made it.
  std::uint32_t candidates = 0;
  // Priority of the most urgent of these runs; nothing when there is none.
  std::optional<std::uint32_t> priority;
  // Hash of the customer's name, if all these runs belong to one customer; else
  // 0.
  std::uint64_t customer = 0;
};

}  // namespace vanillafall

#endif  // DISPATCH_CALL_ORIGIN_H_
