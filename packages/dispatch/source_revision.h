#ifndef DISPATCH_SOURCE_REVISION_H_
#define DISPATCH_SOURCE_REVISION_H_

#include <cstdint>

namespace vanillafall {

// A revision of the source of configuration and backend servers. When the
// source is restored from an older copy, a new era begins, in which it gives
// out the same numbers again; so numbers compare within one era only.
struct SourceRevision {
  // 0 when the source names none.
  std::uint64_t era = 0;
  std::uint64_t number = 0;

  friend bool operator==(const SourceRevision&,
                         const SourceRevision&) = default;
  friend bool operator<(const SourceRevision& a, const SourceRevision& b) {
    return a.era < b.era || (a.era == b.era && a.number < b.number);
  }
  friend bool operator>(const SourceRevision& a, const SourceRevision& b) {
    return b < a;
  }
  friend bool operator<=(const SourceRevision& a, const SourceRevision& b) {
    return !(b < a);
  }
};

}  // namespace vanillafall

#endif  // DISPATCH_SOURCE_REVISION_H_
