#include "decision/execution_guard.h"

#include <algorithm>
#include <utility>

#include "decision/vote_round.h"

namespace vanillafall {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

}  // namespace

ExecutionGuard::ExecutionGuard(PeerAddress self,
                               std::size_t max_keys,
                               TimePoint started)
    : self_(std::move(self)), max_keys_(max_keys), started_(started) {}

void ExecutionGuard::Configure(const FleetConfig& config, TimePoint now) {
  for (const auto& [name, service] : config.services) {
    ServiceNumber& held = service_numbers_[name];
    if (service.number > held.number) {
      held = {service.number, now};
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
  const ServiceNumber& held = service_numbers_[service.name];
  reply.service_number = held.number;
  reply.service_number_age = duration_cast<milliseconds>(now - held.since);
  if (request.service_number < held.number) {
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
  if (IsAbstaining(request.key, service, now)) {
    reply.result = VoteResult::kAbstained;
    return reply;
  }
  if (found == keys_.end() && keys_.size() >= max_keys_) {
    reply.result = VoteResult::kTableFull;
    return reply;
  }
  keys_[request.key] = {request.fingerprint, request.attempt, request.owner,
                        std::nullopt};
  reply.result = VoteResult::kGranted;
  return reply;
}

void ExecutionGuard::Settle(const SettleNotice& notice,
                            const ServiceConfig& service,
                            TimePoint now) {
  const auto found = keys_.find(notice.key);
  if (found == keys_.end() || found->second.attempt != notice.attempt) {
    return;
  }
  if (notice.outcome == Outcome::kNotRun) {
    keys_.erase(found);
    return;
  }
  found->second.settled = notice.outcome;
  expiries_.push_back(
      {now + service.resend_window, notice.key, notice.attempt});
}

void ExecutionGuard::Expire(TimePoint now) {
  while (!expiries_.empty() && expiries_.front().at <= now) {
    const auto found = keys_.find(expiries_.front().key);
    if (found != keys_.end() &&
        found->second.attempt == expiries_.front().attempt) {
      keys_.erase(found);
    }
    expiries_.pop_front();
  }
}

bool ExecutionGuard::IsAbstaining(const Hash128& key,
                                  const ServiceConfig& service,
                                  TimePoint now) const {
  if (now < started_ + service.resend_window) {
    return true;
  }
  const std::vector<PeerAddress> group = GuardsOfKey(key, service.Owners());
  const std::size_t needed = group.size() - MajorityOf(group.size()) + 1;
  const auto heard = static_cast<std::size_t>(
      std::count_if(group.begin(), group.end(), [this](const auto& guard) {
        return guard != self_ && up_to_date_peers_.contains(guard);
      }));
  return heard < std::min(needed, group.size() - 1);
}

}  // namespace vanillafall
