#include "base/error.h"

namespace vanillafall {

const char* ToString(Step step) {
  switch (step) {
    case Step::kReadSettings:
      return "read settings";
    case Step::kReadServiceFile:
      return "read service file";
    case Step::kReadDocument:
      return "read document";
    case Step::kListen:
      return "listen";
    case Step::kReadPlatform:
      return "read platform";
    case Step::kCallPeer:
      return "call peer";
    case Step::kCallBackendServer:
      return "call backend server";
    case Step::kPublish:
      return "publish";
  }
  return "unknown step";
}

std::string Error::Describe() const {
  std::string line = ToString(step);
  if (!peer.empty()) {
    line += " " + peer;
  }
  line += ": " + code.message();
  if (!detail.empty()) {
    line += ": " + detail;
  }
  return line;
}

}  // namespace vanillafall
