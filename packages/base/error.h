#ifndef BASE_ERROR_H_
#define BASE_ERROR_H_

#include <string>
#include <system_error>

namespace vanillafall {

// The operation that failed with an error.
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

// Name of the step in messages, such as "read settings".
const char* ToString(Step step);

// An error code with the operation that failed and what it was applied to.
struct Error {
  std::error_code code;
  Step step = Step::kReadSettings;
  // Address or file name that the step used; may be empty.
  std::string peer;
  // More about the cause; may be empty.
  std::string detail;

  // One line for log and console: step, peer, message of the code, detail.
  std::string Describe() const;
};

}  // namespace vanillafall

#endif  // BASE_ERROR_H_
