#ifndef BASE_ERROR_H_
#define BASE_ERROR_H_

#include <string>
#include <system_error>

namespace vanillafall {

// The step of the work at which an error arose.
enum class Step {
  kReadSettings,
  kReadServiceFile,
  kReadDocument,
  kListen,
  kReadPlatform,
  kCallPeer,
  kCallBackendServer,
  kPublish,
};

// Name of a step as shown to people, such as "read settings".
const char* ToString(Step step);

// An error with the step and the peer at which it arose. The peer is an
// address or a file name, and may be empty.
struct Error {
  std::error_code code;
  Step step = Step::kReadSettings;
  std::string peer;
  std::string detail;

  // One line for people: step, peer, code and detail.
  std::string Describe() const;
};

}  // namespace vanillafall

#endif  // BASE_ERROR_H_
