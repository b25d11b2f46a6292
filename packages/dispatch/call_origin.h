#ifndef DISPATCH_CALL_ORIGIN_H_
#define DISPATCH_CALL_ORIGIN_H_

#include <cstdint>

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

}  // namespace vanillafall

#endif  // DISPATCH_CALL_ORIGIN_H_
