#ifndef LIMIT_FLEET_LIMITER_H_
#define LIMIT_FLEET_LIMITER_H_

#include <chrono>
#include <cstdint>
#include <list>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "limit/allocator_order.h"
#include "limit/credit_account.h"
#include "limit/credit_bucket.h"
#include "limit/credit_message.h"
#include "limit/reach_estimate.h"
#include "message/peer.h"

namespace vanillafall {

// Admits or refuses requests so that all daemons together keep within the
// limits, and gives credits for the limits whose allocator this daemon is.
//
// A daemon that gets no reply from the allocator asks the next one in the
// order. A daemon that is asked although another one comes before it declines
// if it has heard from that one lately. A daemon that reaches none uses its
// equal share of the limit.
class FleetLimiter {
 public:
  // Identifies a request that waits for its decision.
  using Ticket = std::uint64_t;
  // The link on which a message arrived.
  using CreditLink = std::uint64_t;

  enum class Decision : std::uint8_t {
    kAdmitted,
    // OnDecided follows within kMaxWait.
    kPending,
    kRefused
  };

  // A decision on one request.
  struct Verdict {
    Decision decision = Decision::kPending;
    // With kRefused: when to come back. Differs between requests, so that
    // callers do not come back all at once.
    std::chrono::milliseconds retry_after{0};
    // The allocator's last reply about the limit, and the age of this reply;
    // nothing when there was none.
    std::uint32_t last_granted = 0;
    std::optional<std::chrono::milliseconds> reply_age;
  };

  // Carries out the limiter's outputs. Its functions other than OnDecided must
  // not call back into the limiter.
  class Delegate {
   public:
    virtual ~Delegate() = default;
    virtual void SendCreditRequest(const PeerAddress& daemon,
                                   const CreditRequest& request) = 0;
    virtual void SendCreditReply(CreditLink link, const CreditReply& reply) = 0;
    virtual void OnDecided(Ticket ticket, const Verdict& verdict) = 0;
    // The limit of this name by the configuration in force; nothing when it has
    // none.
    virtual std::optional<FleetLimit> FindLimit(const std::string& name) = 0;
    virtual std::uint64_t ConfigVersion() = 0;
  };

  // A request waits at most this long for its decision, unless this process
  // stands still.
  static constexpr std::chrono::milliseconds kMaxWait{150};
  // The next daemon is asked when there is no reply within this time.
  static constexpr std::chrono::milliseconds kReplyTime{50};

  struct Identity {
    PeerAddress self;
    // Seed of the random choices.
    std::uint64_t seed = 0;
    // Unix time at the epoch of TimePoint.
    std::chrono::milliseconds unix_offset{0};
  };

  FleetLimiter(Identity identity, Delegate& delegate);
  FleetLimiter(const FleetLimiter&) = delete;
  FleetLimiter& operator=(const FleetLimiter&) = delete;

  void SetMembers(const std::vector<LimitMember>& members, TimePoint now);
  // Whether the source of the configuration and the list answers; it does at
  // the start.
  void SetSourceReachable(bool is_reachable, TimePoint now) {
    reach_.SetSourceReachable(is_reachable, now);
  }
  // The daemon stops: it gives no more credits.
  void StopAllocating() { is_stopping_ = true; }

  // Decides on a request under the limit of this name. A name without a limit
  // admits everything.
  Verdict Request(const std::string& name, Ticket ticket, TimePoint now);
  // The request that waits is no longer there.
  void Cancel(Ticket ticket);
  // A request that was admitted at this time has not run and never will.
  void Return(const std::string& name, TimePoint admitted_at, TimePoint now);

  void OnCreditRequest(CreditLink link,
                       const CreditRequest& request,
                       TimePoint now);
  void OnCreditReply(const PeerAddress& daemon,
                     const CreditReply& reply,
                     TimePoint now);
  void OnLinkLost(const PeerAddress& daemon, TimePoint now);
  // Handles all timeouts that are due.
  void Advance(TimePoint now);
  // The time at which Advance has something to do; nothing while no limit is in
  // use.
  std::optional<TimePoint> NextWake() const;

  // Number of limits of which something is kept.
  std::size_t limit_count() const { return users_.size() + buckets_.size(); }

 private:
  struct Waiting {
    Ticket ticket = 0;
    TimePoint until;
    // The last credit request that counted it; 0 for none.
    std::uint64_t asked_in = 0;
  };
  // A credit request whose reply may still bring credits.
  struct SentRequest {
    std::uint64_t sequence = 0;
    TimePoint sent_at;
  };
  // The credit request whose reply is waited for.
  struct OpenRequest {
    PeerAddress daemon;
    std::uint64_t sequence = 0;
    TimePoint reply_by;
    bool is_extended = false;
  };
  // This daemon as a user of a limit.
  struct User {
    CreditAccount account;
    // A list takes no memory while it is empty, as it mostly is.
    std::list<Waiting> waiting;
    std::vector<SentRequest> sent;
    std::optional<OpenRequest> open;
    // Daemons that did not give credits to the requests that wait.
    std::vector<PeerAddress> tried;
    std::vector<PeerAddress> candidates;
    // Daemons that come, or lately came, before the one that declined last.
    // They are asked next: one of them is at work.
    std::vector<PeerAddress> rivals;
    std::uint64_t epoch = 0;
    // No credit request before this time.
    TimePoint next_request_at;
    TimePoint used_at;
    std::uint32_t last_granted = 0;
    std::optional<TimePoint> replied_at;
    // When a daemon last declined to give credits.
    std::optional<TimePoint> declined_at;
  };
  // This daemon as the allocator of a limit.
  struct Allocation {
    CreditBucket bucket;
    std::vector<PeerAddress> candidates;
    // See AllocatorOrder::FindRivals.
    std::vector<PeerAddress> rivals;
    std::uint64_t epoch = 0;
    TimePoint used_at;
  };

  // Handles a standstill of this process that shows in the time of an input.
  void CheckStandstill(TimePoint now);
  void SendProbes(TimePoint now);
  void Probe(const PeerAddress& daemon);
  User& UserOf(const std::string& name, TimePoint now);
  // The daemon to ask; null when none is left.
  const PeerAddress* ChooseAllocator(User& user, TimePoint now);
  // Whether a daemon has declined lately, so that an allocator is at work.
  static bool WasDeclined(const User& user, TimePoint now);
  // Asks for credits if none were asked for and it is time.
  void RequestCredits(const std::string& name, User& user, TimePoint now);
  void TakeReply(const std::string& name,
                 User& user,
                 const CreditReply& reply,
                 TimePoint now);
  // Goes on to the next daemon after one has not given credits.
  void TryNext(const std::string& name, User& user, TimePoint now);
  void AdvanceUser(const std::string& name, User& user, TimePoint now);
  // Admits as many of the waiting requests as there are credits.
  void AdmitWaiting(User& user, TimePoint now);
  // Admits the request from the own share, or refuses it.
  void DecideAlone(const std::string& name,
                   User& user,
                   Ticket ticket,
                   TimePoint now);
  Verdict MakeRefusal(const User& user,
                      std::chrono::milliseconds retry_after,
                      TimePoint now);
  void Decide(const Waiting& waiting, const Verdict& verdict);
  void NoteBusy(const std::string& name, const User& user);
  // Calls OnDecided for all decisions that were made.
  void DeliverDecisions();

  // Decides as the allocator.
  CreditReply Allocate(const CreditRequest& request, TimePoint now);
  // Whether another daemon that may be the allocator is alive, or this daemon
  // is no candidate.
  bool IsForOther(const Allocation& allocation, TimePoint now);

  const Identity identity_;
  Delegate& delegate_;
  std::mt19937_64 random_;
  bool is_stopping_ = false;
  AllocatorOrder order_;
  ReachEstimate reach_;
  std::unordered_map<std::string, User> users_;
  // Names of the users that wait for something.
  std::set<std::string> busy_;
  std::unordered_map<std::string, Allocation> buckets_;
  std::unordered_map<Ticket, std::string> names_by_ticket_;
  std::vector<std::pair<Ticket, Verdict>> decisions_;
  std::uint64_t last_sequence_ = 0;
  TimePoint last_input_at_;
  TimePoint standstill_at_ = TimePoint::min();
  TimePoint next_sweep_at_;
};

}  // namespace vanillafall

#endif  // LIMIT_FLEET_LIMITER_H_
