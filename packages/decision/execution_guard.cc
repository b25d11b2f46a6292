#include "decision/execution_guard.h"

#include <algorithm>
#include <utility>

#include "decision/key_retention.h"
#include "decision/vote_round.h"

namespace vanillafall {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// How long the release of an attempt that holds no grant is remembered. Longer
// than any message between daemons can be delayed.
constexpr milliseconds kReleaseRetention{60'000};

}  // namespace

ExecutionGuard::ExecutionGuard(PeerAddress self,
                               std::size_t max_keys,
                               TimePoint started,
                               milliseconds start_wall_time)
    : self_(std::move(self)),
      max_keys_(max_keys),
      started_(started),
      start_wall_time_(start_wall_time) {}

void ExecutionGuard::Configure(const FleetConfig& config, TimePoint now) {
  for (const auto& [name, service] : config.services) {
    ServiceNumber& known = service_numbers_[name];
    if (service.number > known.number) {
      known = {service.number, now};
    }
  }
}

void ExecutionGuard::OnPeerUpToDate(const PeerAddress& peer) {
  up_to_date_peers_.insert(peer);
}

VoteReply ExecutionGuard::Vote(const VoteRequest& request,
                               const ServiceConfig& service,
                               TimePoint now) {
  VoteReply reply;
  const ServiceNumber& known = service_numbers_[service.name];
  reply.service_number = known.number;
  reply.service_number_age = duration_cast<milliseconds>(now - known.since);
  if (request.service_number < known.number) {
    reply.result = VoteResult::kStaleConfig;
    return reply;
  }
  const auto found = keys_.find(request.key);
  if (found != keys_.end() && found->second.attempt != request.attempt) {
    const Grant& grant = found->second;
    reply.result = grant.fingerprint == request.fingerprint
                       ? VoteResult::kTaken
                       : VoteResult::kOtherBody;
    reply.holder = grant.attempt;
    reply.holder_owner = grant.owner;
    reply.settled = grant.settled;
    return reply;
  }
  const bool is_settled_attempt = found != keys_.end() && found->second.settled;
  if (is_settled_attempt || released_attempts_.contains(request.attempt) ||
      MustAbstain(request, service, now)) {
    reply.result = VoteResult::kAbstained;
    return reply;
  }
  if (found == keys_.end() && keys_.size() >= max_keys_) {
    reply.result = VoteResult::kTableFull;
    return reply;
  }
  Grant& grant = keys_[request.key];
  grant.fingerprint = request.fingerprint;
  grant.attempt = request.attempt;
  grant.owner = request.owner;
  const bool is_newer = request.service_number > known.number;
  ExtendRetention(request.key, grant,
                  now + (is_newer ? kMaxRetention : RetentionOf(service)));
  reply.result = VoteResult::kGranted;
  return reply;
}

void ExecutionGuard::Settle(const SettleNotice& notice,
                            const ServiceConfig& service,
                            TimePoint now) {
  const auto found = keys_.find(notice.key);
  const bool is_held =
      found != keys_.end() && found->second.attempt == notice.attempt;
  if (!is_held) {
    if (notice.outcome == Outcome::kNotRun &&
        released_attempts_.size() < max_keys_ &&
        released_attempts_.insert(notice.attempt).second) {
      release_expiries_.emplace_back(now + kReleaseRetention, notice.attempt);
    }
    return;
  }
  if (notice.outcome == Outcome::kNotRun) {
    keys_.erase(found);
    return;
  }
  found->second.settled = notice.outcome;
  ExtendRetention(notice.key, found->second, now + RetentionOf(service));
}

std::optional<ExecutionGuard::Grant> ExecutionGuard::Find(
    const Hash128& key) const {
  const auto found = keys_.find(key);
  return found == keys_.end() ? std::nullopt : std::optional(found->second);
}

void ExecutionGuard::Expire(TimePoint now) {
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    const auto found = keys_.find(expiries_.begin()->second);
    if (found != keys_.end() && found->second.kept_until <= now) {
      keys_.erase(found);
    }
    expiries_.erase(expiries_.begin());
  }
  while (!release_expiries_.empty() && release_expiries_.front().first <= now) {
    released_attempts_.erase(release_expiries_.front().second);
    release_expiries_.pop_front();
  }
}

bool ExecutionGuard::MustAbstain(const VoteRequest& request,
                                 const ServiceConfig& service,
                                 TimePoint now) const {
  const bool may_miss_former_grants = now < started_ + RetentionOf(service);
  if (may_miss_former_grants && !WasCreatedAfterStart(request.key_time, now)) {
    return true;
  }
  const std::vector<PeerAddress> group =
      GuardsOfKey(request.key, service.CurrentGuards());
  const std::size_t needed = group.size() - MajorityOf(group.size()) + 1;
  const auto up_to_date_count = static_cast<std::size_t>(
      std::count_if(group.begin(), group.end(), [this](const auto& guard) {
        return guard != self_ && up_to_date_peers_.contains(guard);
      }));
  return up_to_date_count < std::min(needed, group.size() - 1);
}

// A timestamp in the future shows that the caller's clock is wrong, so it
// proves nothing.
bool ExecutionGuard::WasCreatedAfterStart(milliseconds key_time,
                                          TimePoint now) const {
  const milliseconds wall_time_now =
      start_wall_time_ + duration_cast<milliseconds>(now - started_);
  return start_wall_time_ > milliseconds(0) &&
         key_time > start_wall_time_ + kMaxClockSkew &&
         key_time <= wall_time_now + kMaxClockSkew;
}

void ExecutionGuard::ExtendRetention(const Hash128& key,
                                     Grant& grant,
                                     TimePoint until) {
  grant.kept_until = std::max(grant.kept_until, until);
  expiries_.emplace(grant.kept_until, key);
}

}  // namespace vanillafall
