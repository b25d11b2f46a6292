#include "decision/server_health.h"

#include <algorithm>
#include <utility>

#include "decision/health_profile.h"

namespace vanillafall {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

using Phase = Readmission::Phase;

constexpr milliseconds kEvaluationPeriod{50};
// A lease request counts as a renewal if the lease before it was granted at
// least this long ago. An earlier one also needs the digest for a comparison.
constexpr milliseconds kRenewalAge{900};
constexpr milliseconds kBlockedEventPeriod{10'000};
// Maximum number of request classes in a digest; those with the most samples
// are sent.
constexpr std::size_t kMaxDigestClasses = 4;

milliseconds TimeUntil(TimePoint end, TimePoint now) {
  return end <= now ? milliseconds(0) : duration_cast<milliseconds>(end - now);
}

}  // namespace

ServerHealth::ServerHealth(const std::string& service,
                           const std::string& server,
                           std::unique_ptr<HealthEvaluator> evaluator,
                           TimePoint now)
    : name_(server),
      subject_(service + "/" + server),
      window_({}),
      evaluator_(std::move(evaluator)),
      book_(now),
      collector_(server) {}

void ServerHealth::Configure(const ServiceConfig& service, TimePoint now) {
  const HealthProfile& profile = GetHealthProfile(service.profile);
  const BackendServer* server = service.FindBackendServer(name_);
  slots_ = server == nullptr ? 0 : server->slots;
  base_ejection_time_ = profile.base_ejection_time;
  window_.Resize(profile.window);
  cell_ = MakeCell(service, name_);
  book_.RetainGrantors(cell_.others, now);
  collector_.Configure(cell_);
}

void ServerHealth::SetEvaluator(std::unique_ptr<HealthEvaluator> evaluator) {
  evaluator_ = std::move(evaluator);
}

void ServerHealth::OnStarted(WorkWindow::Ticket ticket,
                             const std::string& request_class,
                             TimePoint now) {
  window_.OnStarted(ticket, request_class, now);
}

void ServerHealth::OnEnded(WorkWindow::Ticket ticket) {
  window_.OnEnded(ticket);
}

void ServerHealth::Record(const WorkSample& sample, TimePoint now) {
  if (evaluator_->IsInformative(sample)) {
    window_.Record(sample, now);
  }
}

ServingState ServerHealth::GetState(TimePoint now) const {
  if (is_draining_) {
    return ServingState::kDraining;
  }
  if (!IsRestricted(now)) {
    return ServingState::kInService;
  }
  return readmission_.phase() == Phase::kOutOfService
             ? ServingState::kEjected
             : ServingState::kProbation;
}

std::uint32_t ServerHealth::GetSlotLimit(TimePoint now) const {
  return IsRestricted(now) ? std::min(slots_, readmission_.slot_limit())
                           : slots_;
}

HealthExplanation ServerHealth::Explain(TimePoint now) const {
  HealthExplanation explanation;
  explanation.state = GetState(now);
  explanation.slot_limit = GetSlotLimit(now);
  explanation.verdict = evaluation_.verdict;
  const bool is_ejected = explanation.state == ServingState::kEjected;
  explanation.evidence = is_ejected ? ejection_evidence_ : evaluation_.evidence;
  explanation.samples = window_.sample_count();
  explanation.failure_ratio =
      evaluator_->GetReportedFailureRatio(GetInput(), now);
  explanation.leases_held = book_.CountHeld(now);
  explanation.leases_needed = cell_.leases_needed;
  explanation.granted_time_left = TimeUntil(book_.granted_until(), now);
  if (is_ejected) {
    explanation.ejection_time_left =
        TimeUntil(readmission_.ejected_until(), now);
  } else if (evaluation_.verdict == HealthVerdict::kUnhealthy) {
    explanation.blocked_by = GetBlockingReason(now);
  }
  return explanation;
}

void ServerHealth::Advance(TimePoint now, std::vector<LogEvent>& events) {
  book_.RetainGrantors(cell_.others, now);
  const bool has_lost_leases =
      readmission_.phase() != Phase::kInService && !IsRestricted(now);
  if (has_lost_leases) {
    readmission_.ReturnToService(now);
    events.push_back(
        {LogEventId::kBackendServerReadmitted, subject_,
         "its in-service leases ran out: " + GetBlockingReason(now)});
  }
  EvaluateIfDue(now);
  ActOnVerdict(now, events);
}

ServerHealth::Query ServerHealth::TakeDueQuery(TimePoint now) {
  const std::optional<LeaseCollector::Purpose> purpose = GetRequestPurpose(now);
  if (!purpose) {
    collector_.ResetBackoff();
    return {};
  }
  const bool wants_leases = *purpose != LeaseCollector::Purpose::kCompare;
  const bool can_have_leases = book_.IsTakeoverComplete(now) &&
                               cell_.others.size() >= cell_.leases_needed;
  if (is_draining_ || (wants_leases && !can_have_leases)) {
    return {};
  }
  return {collector_.TakeDueServers(*purpose, book_, now),
          wants_leases ? kMaxLeaseDuration : milliseconds(0)};
}

LeaseGrant ServerHealth::Answer(const std::string& ejector,
                                milliseconds duration,
                                TimePoint now) {
  EvaluateIfDue(now);
  LeaseGrant grant;
  grant.backend_server = name_;
  grant.digest = MakeDigest(now);
  const bool is_eligible = evaluation_.verdict == HealthVerdict::kHealthy &&
                           !is_draining_ &&
                           readmission_.phase() == Phase::kInService &&
                           book_.IsTakeoverComplete(now);
  const bool is_valid_request = ejector != name_ &&
                                duration > milliseconds(0) &&
                                duration <= kMaxLeaseDuration;
  if (is_eligible && is_valid_request) {
    book_.Grant(duration, now);
    grant.granted = true;
    if (IsRenewal(ejector, now)) {
      grant.digest = {};
    }
    granted_to_[ejector] = now;
  }
  return grant;
}

void ServerHealth::OnGrant(const LeaseGrant& grant,
                           milliseconds duration,
                           TimePoint sent,
                           TimePoint now) {
  const bool is_known = std::find(cell_.others.begin(), cell_.others.end(),
                                  grant.backend_server) != cell_.others.end();
  if (!is_known) {
    return;
  }
  const bool is_granted = grant.granted || duration == milliseconds(0);
  collector_.OnAnswer(grant.backend_server, is_granted);
  peers_.Update(grant.backend_server, grant.digest, now);
  if (grant.granted) {
    book_.RecordHeld(grant.backend_server, duration, sent);
  }
  next_evaluation_ = now;
}

HealthEvaluator::Input ServerHealth::GetInput() const {
  const bool on_probation = readmission_.phase() == Phase::kProbation;
  const std::uint32_t slots =
      on_probation ? std::min(slots_, readmission_.slot_limit()) : slots_;
  return {window_, peers_, slots, on_probation};
}

bool ServerHealth::IsRestricted(TimePoint now) const {
  return readmission_.phase() != Phase::kInService &&
         book_.MayRestrict(cell_.leases_needed, now);
}

void ServerHealth::EvaluateIfDue(TimePoint now) {
  if (now < next_evaluation_) {
    return;
  }
  next_evaluation_ = now + kEvaluationPeriod;
  window_.Expire(now);
  peers_.Expire(now);
  evaluation_ = readmission_.phase() == Phase::kOutOfService
                    ? Evaluation()
                    : evaluator_->Evaluate(GetInput(), now);
}

void ServerHealth::ActOnVerdict(TimePoint now, std::vector<LogEvent>& events) {
  if (is_draining_) {
    return;
  }
  if (evaluation_.verdict != HealthVerdict::kUnhealthy) {
    AdvanceReadmission(now, events);
  } else if (book_.MayRestrict(cell_.leases_needed, now)) {
    Eject(now, events);
  } else {
    LogBlockedEjection(now, events);
  }
}

void ServerHealth::Eject(TimePoint now, std::vector<LogEvent>& events) {
  readmission_.Eject(base_ejection_time_, now);
  ejection_evidence_ = std::exchange(evaluation_, {}).evidence;
  window_.Clear(now);
  const milliseconds ejection_time =
      TimeUntil(readmission_.ejected_until(), now);
  events.push_back({LogEventId::kBackendServerEjected, subject_,
                    ejection_evidence_ + "; ejected for " +
                        std::to_string(ejection_time.count()) +
                        " ms; leases held " +
                        std::to_string(book_.CountHeld(now)) + " of " +
                        std::to_string(cell_.leases_needed) + " needed"});
}

void ServerHealth::AdvanceReadmission(TimePoint now,
                                      std::vector<LogEvent>& events) {
  const Phase before = readmission_.phase();
  if (!readmission_.Advance(slots_, window_.sample_count(), now)) {
    return;
  }
  if (before == Phase::kOutOfService) {
    window_.Clear(now);
  }
  if (readmission_.phase() == Phase::kInService) {
    events.push_back({LogEventId::kBackendServerReadmitted, subject_,
                      "it has completed its probation"});
  }
}

void ServerHealth::LogBlockedEjection(TimePoint now,
                                      std::vector<LogEvent>& events) {
  if (now < next_blocked_event_) {
    return;
  }
  next_blocked_event_ = now + kBlockedEventPeriod;
  events.push_back({LogEventId::kEjectionBlocked, subject_,
                    evaluation_.evidence + "; " + GetBlockingReason(now)});
}

std::optional<LeaseCollector::Purpose> ServerHealth::GetRequestPurpose(
    TimePoint now) const {
  const bool is_suspect = evaluation_.verdict != HealthVerdict::kHealthy;
  if (is_suspect && peers_.size() == 0) {
    return IsRestricted(now) ? LeaseCollector::Purpose::kCollect
                             : LeaseCollector::Purpose::kCompare;
  }
  if (is_suspect) {
    return LeaseCollector::Purpose::kCollect;
  }
  return IsRestricted(now) ? std::optional(LeaseCollector::Purpose::kRenew)
                           : std::nullopt;
}

std::string ServerHealth::GetBlockingReason(TimePoint now) const {
  if (!book_.IsTakeoverComplete(now)) {
    return "its owner took it over too recently";
  }
  if (book_.HasGranted(now)) {
    return "it has granted another server a lease and must stay in service";
  }
  if (cell_.others.size() < cell_.leases_needed) {
    return "the floor allows no ejection";
  }
  return "leases held " + std::to_string(book_.CountHeld(now)) + " of " +
         std::to_string(cell_.leases_needed) + " needed";
}

bool ServerHealth::IsRenewal(const std::string& ejector, TimePoint now) {
  std::erase_if(granted_to_, [now](const auto& entry) {
    return now - entry.second > kMaxLeaseDuration;
  });
  const auto found = granted_to_.find(ejector);
  return found != granted_to_.end() && now - found->second >= kRenewalAge;
}

HealthDigest ServerHealth::MakeDigest(TimePoint now) const {
  HealthDigest digest;
  digest.samples = window_.sample_count() +
                   static_cast<std::uint32_t>(window_.running().size());
  digest.failure_ratio = evaluator_->GetReportedFailureRatio(GetInput(), now);
  std::vector<ClassSummary> classes = window_.SummarizeClasses();
  std::sort(classes.begin(), classes.end(),
            [](const ClassSummary& a, const ClassSummary& b) {
              return a.samples > b.samples;
            });
  classes.resize(std::min(classes.size(), kMaxDigestClasses));
  for (const ClassSummary& each : classes) {
    digest.latencies.push_back({each.request_class, each.median, each.samples});
  }
  return digest;
}

}  // namespace vanillafall
