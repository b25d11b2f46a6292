#include "dispatch/class_share.h"

#include <algorithm>
#include <cmath>

namespace vanillafall {
namespace {

using Seconds = std::chrono::duration<double>;

// Time constant by which requests lose weight.
constexpr Seconds kDecayTime{10.0};
// Fewer requests of a class say nothing about its share.
constexpr double kMinAsked = 3;
// Classes with fewer requests than this are dropped when there are too many.
constexpr double kMinKept = 0.1;

}  // namespace

void ClassShare::OnAsked(const std::string& name,
                         double requests,
                         TimePoint now) {
  all_ = Decayed(all_, now);
  all_.asked += requests;
  if (Counts* counts = Find(name, now)) {
    counts->asked += requests;
  }
}

void ClassShare::OnServed(const std::string& name, TimePoint now) {
  all_ = Decayed(all_, now);
  all_.served += 1;
  if (Counts* counts = Find(name, now)) {
    counts->served += 1;
  }
}

bool ClassShare::IsUnderserved(const std::string& name, TimePoint now) const {
  const auto found = classes_.find(name);
  if (found == classes_.end()) {
    return false;
  }
  const Counts counts = Decayed(found->second, now);
  const Counts all = Decayed(all_, now);
  return counts.asked >= kMinAsked &&
         counts.served * all.asked <
             kMinRelativeShare * std::min(all.served, all.asked) * counts.asked;
}

ClassShare::Counts ClassShare::Decayed(Counts counts, TimePoint now) {
  const double remaining =
      std::exp(-Seconds(now - counts.updated) / kDecayTime);
  counts.asked *= remaining;
  counts.served *= remaining;
  counts.updated = now;
  return counts;
}

ClassShare::Counts* ClassShare::Find(const std::string& name, TimePoint now) {
  const auto found = classes_.find(name);
  if (found == classes_.end() && classes_.size() >= kMaxClasses) {
    std::erase_if(classes_, [now](const auto& entry) {
      return Decayed(entry.second, now).asked < kMinKept;
    });
    if (classes_.size() >= kMaxClasses) {
      return nullptr;
    }
  }
  Counts& counts = found == classes_.end() ? classes_[name] : found->second;
  counts = Decayed(counts, now);
  return &counts;
}

}  // namespace vanillafall
