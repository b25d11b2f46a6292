#include "dispatch/server_roster.h"

#include <set>
#include <utility>

namespace vanillafall {

void ServerRoster::SetSourceReachable(bool is_reachable, TimePoint now) {
  if (is_reachable && !is_source_reachable_) {
    reachable_since_ = now;
  }
  is_source_reachable_ = is_reachable;
}

void ServerRoster::OnList(const std::vector<ListedServer>& listed,
                          TimePoint now) {
  std::set<std::string> present;
  for (const ListedServer& server : listed) {
    present.insert(server.id);
    UpdateServer(server);
  }
  if (IsListReliable(now)) {
    std::erase_if(servers_, [&present](const auto& entry) {
      return !present.contains(entry.first);
    });
    return;
  }
  for (const auto& [id, server] : servers_) {
    if (!present.contains(id)) {
      missing_.try_emplace(id, 0);
    }
  }
}

void ServerRoster::UpdateServer(const ListedServer& server) {
  const auto removed = removed_.find(server.id);
  if (removed != removed_.end()) {
    if (server.revision <= removed->second) {
      return;
    }
    removed_.erase(removed);
  }
  const auto known = servers_.find(server.id);
  if (known == servers_.end() || known->second.revision < server.revision) {
    servers_[server.id] = server;
  }
  const auto missing = missing_.find(server.id);
  if (missing != missing_.end() && missing->second < server.revision) {
    missing_.erase(missing);
  }
}

void ServerRoster::RemoveServer(const std::string& id,
                                std::uint64_t revision,
                                TimePoint now) {
  if (!IsListReliable(now)) {
    missing_[id] = revision;
    return;
  }
  Remove(id, revision);
}

void ServerRoster::Remove(const std::string& id, std::uint64_t revision) {
  servers_.erase(id);
  if (removed_.size() >= kMaxRemoved) {
    removed_.erase(removed_.begin());
  }
  removed_[id] = revision;
}

void ServerRoster::Advance(TimePoint now) {
  if (!IsListReliable(now)) {
    return;
  }
  for (const auto& [id, revision] : std::exchange(missing_, {})) {
    if (revision == 0) {
      servers_.erase(id);
    } else {
      Remove(id, revision);
    }
  }
}

std::optional<TimePoint> ServerRoster::NextWake() const {
  return is_source_reachable_ && !missing_.empty()
             ? std::optional(reachable_since_ + kReregistrationTime)
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
