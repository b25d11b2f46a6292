#ifndef DECISION_IDEMPOTENCY_KEY_H_
#define DECISION_IDEMPOTENCY_KEY_H_

#include <chrono>
#include <string_view>

namespace vanillafall {

// Returns the timestamp of a key that is a UUID of version 7, as time since the
// Unix epoch; 0 for every other key.
std::chrono::milliseconds TimeOfKey(std::string_view key);

}  // namespace vanillafall

#endif  // DECISION_IDEMPOTENCY_KEY_H_
