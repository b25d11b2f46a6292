#include "control/assembly.h"

#include <algorithm>
#include <utility>

namespace vanillafall {
namespace {

// Pause after every source has failed to deliver a document.
constexpr std::chrono::milliseconds kPauseBetweenRounds{1000};
// A daemon that can be reached answers within a round trip between regions plus
// the time until its next tick.
constexpr std::chrono::milliseconds kHedgeDelay{300};

}  // namespace

Assembly::Assembly(ConfigVersion version,
                   Manifest manifest,
                   std::string manifest_body,
                   TimePoint now)
    : version_(version),
      manifest_(std::move(manifest)),
      manifest_body_(std::move(manifest_body)),
      last_progress_(now) {
  for (const ManifestEntry& entry : manifest_.entries) {
    for (const DocumentPart& part : PartsOf(entry)) {
      missing_[part.name].digest = part.digest;
    }
  }
}

void Assembly::Reuse(const DocumentBodies& bodies) {
  std::erase_if(missing_, [this, &bodies](const auto& each) {
    const auto held = bodies.find(each.first);
    if (held == bodies.end() || DigestOf(*held->second) != each.second.digest) {
      return false;
    }
    bodies_[each.first] = held->second;
    return true;
  });
}

void Assembly::AddSource(const ConfigSource& source) {
  sources_.insert(source);
}

void Assembly::RemoveSource(const ConfigSource& source) {
  sources_.erase(source);
}

std::vector<Assembly::Fetch> Assembly::NextFetches(std::size_t max_in_flight,
                                                   TimePoint now,
                                                   std::mt19937_64& random) {
  std::vector<Fetch> fetches;
  for (auto& [name, missing] : missing_) {
    ReleaseSlowFetch(missing, now);
  }
  auto in_flight = static_cast<std::size_t>(std::count_if(
      missing_.begin(), missing_.end(),
      [](const auto& each) { return each.second.fetching_from.has_value(); }));
  for (auto& [name, missing] : missing_) {
    if (in_flight >= max_in_flight) {
      break;
    }
    if (missing.fetching_from || missing.not_before > now || sources_.empty()) {
      continue;
    }
    std::vector<ConfigSource> untried;
    std::set_difference(
        sources_.begin(), sources_.end(), missing.tried_sources.begin(),
        missing.tried_sources.end(), std::back_inserter(untried));
    if (untried.empty()) {
      missing.tried_sources.clear();
      missing.not_before = now + kPauseBetweenRounds;
      continue;
    }
    std::uniform_int_distribution<std::size_t> draw(0, untried.size() - 1);
    missing.fetching_from = untried[draw(random)];
    missing.fetch_began = now;
    fetches.push_back({name, missing.digest, *missing.fetching_from});
    ++in_flight;
  }
  return fetches;
}

void Assembly::ReleaseSlowFetch(Missing& missing, TimePoint now) const {
  const bool is_late =
      missing.fetching_from && *missing.fetching_from != kFromPlatform &&
      sources_.size() > 1 && now >= missing.fetch_began + kHedgeDelay;
  if (is_late) {
    missing.tried_sources.insert(*missing.fetching_from);
    missing.fetching_from.reset();
  }
}

Assembly::AddResult Assembly::AddDocument(const std::string& name,
                                          std::string body,
                                          TimePoint now) {
  const auto found = missing_.find(name);
  if (found == missing_.end()) {
    return AddResult::kNotNeeded;
  }
  if (DigestOf(body) != found->second.digest) {
    return AddResult::kDamaged;
  }
  bodies_[name] = std::make_shared<const std::string>(std::move(body));
  missing_.erase(found);
  last_progress_ = now;
  return AddResult::kAccepted;
}

void Assembly::OnFetchFailed(const std::string& name,
                             const ConfigSource& source) {
  const auto found = missing_.find(name);
  if (found == missing_.end()) {
    return;
  }
  found->second.tried_sources.insert(source);
  if (found->second.fetching_from == source) {
    found->second.fetching_from.reset();
  }
}

void Assembly::CancelFetch(const std::string& name) {
  const auto found = missing_.find(name);
  if (found != missing_.end()) {
    found->second.fetching_from.reset();
  }
}

std::vector<std::string> Assembly::GetMissing() const {
  std::vector<std::string> names;
  names.reserve(missing_.size());
  for (const auto& [name, missing] : missing_) {
    names.push_back(name);
  }
  return names;
}

}  // namespace vanillafall
