#include "dispatch/server_roster.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace vanillafall {

void ServerRoster::OnSourceReached(bool served_others,
                                   TimePoint away_at,
                                   TimePoint now) {
  if (!is_source_reachable_ && !served_others) {
    unreliable_until_ = std::clamp<TimePoint>(away_at + kMaxRemovalDelay,
                                              now + kMinReregistrationTime,
                                              now + kReregistrationTime);
  }
  is_source_reachable_ = true;
}

void ServerRoster::OnSourceRestored(TimePoint now) {
  unreliable_until_ = now + kReregistrationTime;
  copy_doubtful_until_ = now + kRestoredRemovalTime;
}

void ServerRoster::OnList(const std::vector<ListedServer>& listed,
                          TimePoint now) {
  std::set<std::string> present;
  for (const ListedServer& server : listed) {
    present.insert(server.id);
    UpdateServer(server, now);
  }
  const bool is_reliable = IsListReliable(now);
  for (auto known = servers_.begin(); known != servers_.end();) {
    const auto& [id, server] = *known++;
    if (present.contains(id)) {
      continue;
    }
    if (is_reliable) {
      // The list may be older than the registration, so the removal counts only
      // against copies of a later era.
      Remove(std::string(id), MakeRemoval(id, {server.revision.era, 0}, now));
    } else {
      missing_.try_emplace(id, std::nullopt);
    }
  }
}

void ServerRoster::UpdateServer(const ListedServer& server, TimePoint now) {
  const auto removed = removed_.find(server.id);
  if (removed != removed_.end()) {
    if (IsBefore(server, removed->second, now)) {
      return;
    }
    removed_.erase(removed);
  }
  const auto missing = missing_.find(server.id);
  if (missing != missing_.end() &&
      (!missing->second || !IsBefore(server, *missing->second, now))) {
    missing_.erase(missing);
  }
  const auto known = servers_.find(server.id);
  if (known == servers_.end()) {
    servers_[server.id] = server;
    return;
  }
  if (!IsLater(server, known->second, now)) {
    return;
  }
  const bool stays_draining =
      known->second.is_draining && known->second.process() == server.process();
  known->second = server;
  known->second.is_draining = server.is_draining || stays_draining;
}

bool ServerRoster::IsBefore(const ListedServer& server,
                            const Removal& removal,
                            TimePoint now) const {
  if (server.revision.era <= removal.revision.era) {
    return server.revision <= removal.revision;
  }
  return now < copy_doubtful_until_ &&
         std::tie(server.started_at, server.sequence) <=
             std::tie(removal.started_at, removal.sequence);
}

bool ServerRoster::IsLater(const ListedServer& server,
                           const ListedServer& known,
                           TimePoint now) const {
  if (server.revision.era <= known.revision.era) {
    return server.revision > known.revision;
  }
  return now >= copy_doubtful_until_ ||
         std::tie(server.started_at, server.sequence) >=
             std::tie(known.started_at, known.sequence);
}

void ServerRoster::RemoveServer(const std::string& id,
                                const SourceRevision& revision,
                                TimePoint now) {
  const Removal removal = MakeRemoval(id, revision, now);
  if (!IsListReliable(now)) {
    missing_[id] = removal;
    return;
  }
  Remove(id, removal);
}

ServerRoster::Removal ServerRoster::MakeRemoval(const std::string& id,
                                                const SourceRevision& revision,
                                                TimePoint now) const {
  const auto known = servers_.find(id);
  if (known != servers_.end()) {
    return {revision, now, known->second.started_at, known->second.sequence};
  }
  const auto removed = removed_.find(id);
  return removed == removed_.end()
             ? Removal{revision, now}
             : Removal{revision, now, removed->second.started_at,
                       removed->second.sequence};
}

void ServerRoster::Remove(const std::string& id, const Removal& removal) {
  servers_.erase(id);
  if (removed_.size() >= kMaxRemoved) {
    removed_.erase(std::min_element(removed_.begin(), removed_.end(),
                                    [](const auto& a, const auto& b) {
                                      return a.second.at < b.second.at;
                                    }));
  }
  removed_[id] = removal;
}

void ServerRoster::Advance(TimePoint now) {
  if (!IsListReliable(now)) {
    return;
  }
  for (const auto& [id, removal] : std::exchange(missing_, {})) {
    if (removal) {
      Remove(id, *removal);
    } else {
      servers_.erase(id);
    }
  }
}

std::optional<TimePoint> ServerRoster::NextWake() const {
  return is_source_reachable_ && !missing_.empty()
             ? std::optional(unreliable_until_)
             : std::nullopt;
}

std::vector<ListedServer> ServerRoster::servers() const {
  std::vector<ListedServer> servers;
  servers.reserve(servers_.size());
  for (const auto& [id, server] : servers_) {
    servers.push_back(server);
  }
  return servers;
}

}  // namespace vanillafall
