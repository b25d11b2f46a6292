#include "dispatch/call_origin.h"

namespace vanillafall {

const char* ToString(CallOrigin origin) {
  switch (origin) {
    case CallOrigin::kNoRun:
      return "no";
    case CallOrigin::kFirstRun:
      return "possible";
    case CallOrigin::kRepeat:
      return "repeat-possible";
  }
  return "?";
}

}  // namespace vanillafall
