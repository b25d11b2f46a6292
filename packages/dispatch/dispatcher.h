#ifndef DISPATCH_DISPATCHER_H_
#define DISPATCH_DISPATCHER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "decision/crash_guard.h"
#include "dispatch/backend_owner.h"
#include "dispatch/config_freshness.h"
#include "dispatch/dispatch_delegate.h"
#include "dispatch/request_entry.h"
#include "dispatch/route_table.h"
#include "dispatch/server_directory.h"
#include "limit/fleet_limiter.h"

namespace vanillafall {

// Entry and owner of one daemon. Takes each input with the time at which it is
// handled and calls its delegate for each output. Messages between the daemon's
// own entry and owner do not use the network.
class Dispatcher final : private DispatchDelegate,
                         private FleetLimiter::Delegate {
 public:
  struct Identity {
    // This daemon's address.
    PeerAddress self;
    std::string data_centre;
    // Address at which this instance's backend server listens.
    std::string backend_address;
    // A random number that each process draws at its start.
    std::uint64_t incarnation = 0;
    // Seed of the random choices between services and backend servers.
    std::uint64_t seed = 0;
    // Unix time at the epoch of TimePoint.
    std::chrono::milliseconds unix_offset{0};
    // Requests by which a customer's limit may be exceeded in a short time.
    double limit_tolerance = 0;
  };

  Dispatcher(Identity identity, DispatchDelegate& delegate);
  ~Dispatcher() override = default;
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // Inputs.

  // A configuration that is not newer than the one in force is ignored. The
  // origin says for the log how it was received.
  void OnConfig(const RouteTablePtr& table,
                const std::string& origin,
                TimePoint now);
  // The source has said that no configuration newer than the one in force had
  // been published at this time, when it was at this revision.
  void OnConfigConfirmed(TimePoint as_of,
                         const SourceRevision& revision,
                         TimePoint now);
  // Whether the source answers; it does at the start.
  void SetSourceReachable(bool is_reachable, TimePoint now);
  // The list entry of this instance's backend server may be out of date: offers
  // are answered only after OnOwnServerConfirmed, or once the source has not
  // answered for a while.
  void HoldOffers(TimePoint now);
  void OnOwnServerConfirmed(TimePoint now);
  void OnServers(const std::vector<ListedServer>& servers, TimePoint now);
  void OnCallerRequest(EntryRequest request, TimePoint now);
  void OnCallerGone(RequestId id, TimePoint now);
  void OnOwnerMessage(const PeerAddress& owner,
                      LinkMessage message,
                      TimePoint now);
  void OnOwnerLinkLost(const PeerAddress& owner, TimePoint now);
  void OnEntryMessage(LinkId link, LinkMessage message, TimePoint now);
  // A granted request arrived from an entry without its body.
  void OnRunWithoutBody(LinkId link, const OfferId& id, TimePoint now);
  void OnEntryLinkLost(LinkId link, TimePoint now);
  void OnBackendEnd(BackendCallEnd end, TimePoint now);
  // The daemon has begun to stop; see RequestEntry::BeginDrain.
  void BeginDrain(TimePoint limited_from, TimePoint end) {
    entry_.BeginDrain(limited_from, end);
  }
  // From now on the owner denies all offers, and this daemon gives no credits
  // of limits.
  void StopOwner() {
    owner_.SetStopping();
    limiter_.StopAllocating();
  }
  // Answers all requests of this instance's callers with what is known of them.
  void EndRequests(TimePoint now);
  // Handles all timeouts that are due.
  void Advance(TimePoint now);

  // Queries.

  // The time at which Advance has something to do.
  std::optional<TimePoint> NextWake() const;
  // The first message on each link.
  Hello MakeHello() const;
  // Time since the configuration in force was last known to be the newest;
  // nothing while it never was.
  std::optional<Duration> ConfigAge(TimePoint now) const {
    return freshness_.Age(now);
  }
  // The highest version of a configuration that this daemon has heard of.
  std::uint64_t newest_heard_version() const {
    return freshness_.newest_heard_version();
  }
  bool is_source_reachable() const { return freshness_.is_source_reachable(); }
  // Whether other daemons or this one have found the source answering at all
  // times since then, as far as confirmations of the configuration show it.
  bool HasSourceAnsweredSince(TimePoint since, TimePoint now) const {
    return freshness_.IsConfirmedSince(since, now);
  }
  // The routes in force; null before the first configuration.
  const RouteTablePtr& table() const { return table_; }
  // True once a list contained a backend server.
  bool has_servers() const { return has_servers_; }
  // The backend server on this instance; nothing when none is listed.
  const std::optional<ListedServer>& own_server() const {
    return owner_.server();
  }
  // Unanswered requests of this instance's callers, plus runs and reserved
  // slots of its backend server.
  std::size_t unfinished_count() const {
    return entry_.request_count() + held_.size() + undecided_.size() +
           owner_.busy_count();
  }

 private:
  // Where a message came from: the link of an entry, or an owner.
  using Sender = std::variant<LinkId, PeerAddress>;

  // Messages that this daemon sends to itself, by the receiving role.
  struct ToSelfAsOwner {
    LinkMessage message;
  };
  struct ToSelfAsEntry {
    LinkMessage message;
  };

  // Why a request waits for a confirmation that the configuration is the
  // newest, the most urgent last.
  enum class HoldReason : std::uint8_t {
    kNone,
    // It can run, but its key may have been removed. That happens only after a
    // time without traffic or after the process stood still.
    kMayBeOutdated,
    // It would be refused, but a route or key for it may have been published.
    kWouldBeRefused,
  };

  // A request that waits until the source has confirmed that no route matches
  // it, no customer has its key, or its key was not removed.
  struct HeldRequest {
    EntryRequest request;
    TimePoint since;
    HoldReason reason = HoldReason::kNone;
    TimePoint until;
  };

  // A request that waits until its customer's limit has been checked.
  struct UndecidedRequest {
    EntryRequest request;
    CustomerPtr customer;
    TimePoint since;
    TimePoint deadline;
  };
  // A request that was admitted under a limit and is not answered yet.
  struct LimitedRequest {
    std::string limit;
    TimePoint admitted_at;
  };

  void AnswerCaller(CallerAnswer answer) override;
  void SendToOwner(const PeerAddress& owner, LinkMessage message) override;
  void SendToSomeDaemons(const LinkMessage& message) override;
  void ResetLink(const PeerAddress& owner) override;
  void ReplyTo(LinkId link, LinkMessage message) override;
  void CallBackend(BackendCall call) override;
  void CancelBackend(BackendCallId id) override;
  void RefreshServers(RefreshReason refresh_reason) override;
  void CheckSource() override;
  void CheckOwnServer() override;
  void OnConfigConfirmedElsewhere(const SourceRevision& revision) override;
  void OnConfigText(const ConfigText& config) override;
  ConfigText GetConfigText() override;
  void Log(LogEvent event) override;
  void SendCreditRequest(const PeerAddress& daemon,
                         const CreditRequest& request) override;
  void SendCreditReply(FleetLimiter::CreditLink link,
                       const CreditReply& reply) override;
  void OnDecided(FleetLimiter::Ticket ticket,
                 const FleetLimiter::Verdict& verdict) override;
  std::optional<FleetLimit> FindLimit(const std::string& name) override;
  std::uint64_t ConfigVersion() override;

  // Handles the messages that this daemon sent to itself, and sends crash
  // notices to the other daemons. Called at the end of each input.
  void DeliverPendingMessages(TimePoint now);
  // Lets the owner grant repeats only while the services that the backend
  // server may call can get their calls as repeats.
  void LimitRepeats(TimePoint now);
  void HandleAsOwner(LinkId link, LinkMessage message, TimePoint now);
  void HandleAsEntry(const PeerAddress& owner,
                     LinkMessage message,
                     TimePoint now);
  // Tells the owners of listed servers that this new list shows as leaving.
  void NotifyOwnersOfLeaving(const std::vector<ListedServer>& servers);
  // That the source does not answer this daemon is no reason to refuse a
  // request: it may answer others, and the operator. Nor is a recent proof once
  // a newer version has been heard of.
  HoldReason FindHoldReason(const EntryRequest& request, TimePoint now) const;
  // How long a request may wait for this reason.
  std::chrono::milliseconds MaxHoldTime(HoldReason reason) const;
  // Passes on the held requests that need not wait any longer, and refuses
  // those that have waited too long.
  void ReleaseHeldRequests(TimePoint now);
  // Passes a request on, or lets it wait until its customer's limit has been
  // checked.
  void Accept(EntryRequest request, TimePoint now);
  // Passes a request on whose limit need not be checked or has been checked.
  void PassOn(EntryRequest request, TimePoint now);
  // Lets a request wait until the source has confirmed that the configuration
  // is the newest, or until it has waited too long.
  void Hold(EntryRequest request, HoldReason reason, TimePoint now);
  // The customer of a request that is to be admitted only within a limit; null
  // for all other requests.
  CustomerPtr FindLimitedCustomer(const EntryRequest& request) const;
  // Carries out the decision on a request under its customer's limit.
  void ApplyVerdict(EntryRequest request,
                    const Customer& customer,
                    const FleetLimiter::Verdict& verdict,
                    TimePoint now);
  // Carries out the decisions of the limiter, and returns the credits of
  // requests that did not run.
  void ApplyLimits(TimePoint now);
  // Refuses the requests whose deadline passes before their limit has been
  // checked.
  void RefuseOverdueUndecided(TimePoint now);
  void LogOverLimit(const Customer& customer,
                    const FleetLimiter::Verdict& verdict,
                    TimePoint now);
  // Checks at the source, if it is time, that the configuration is the newest.
  void CheckConfigIfDue(TimePoint now);
  // Tells other daemons of a confirmation that is news to this one.
  void ApplyConfirmation(ConfigFreshness::Origin origin,
                         TimePoint as_of,
                         const SourceRevision& revision,
                         TimePoint now);
  // Another daemon knows that its configuration was the newest. As the message
  // may have been on its way for long, it only leads to a question, whose reply
  // is at most as old as the question. The text of a newer configuration is
  // requested only if this daemon could not learn of it by itself, or has
  // asked: it is large, and all daemons hear of it within milliseconds.
  void HandleConfirmation(const ConfigConfirmed& confirmed,
                          const Sender& sender,
                          TimePoint now);
  void AnswerConfirmationRequest(const ConfirmationWanted& wanted,
                                 const Sender& sender,
                                 TimePoint now);
  // Whether to ask another daemon for a confirmation now.
  bool TryTakeConfirmationRequest(TimePoint now);
  static ConfirmationWanted MakeConfirmationRequest(TimePoint now);
  // Asks the source and some other daemons for a confirmation.
  void RequestConfirmation(TimePoint now);
  // Requests the text of the sender's configuration if its version is newer and
  // no other daemon is about to send one. A large text fills a slow link, so no
  // second one is requested while the first may be on its way.
  void RequestConfigIfNewer(const Sender& sender,
                            std::uint64_t version,
                            TimePoint now);
  // A daemon can't send the text that was requested from it any more.
  void OnConfigSenderLost(const Sender& sender);
  // Sends a message back to where another one came from.
  void SendBack(const Sender& sender, LinkMessage message);

  const Identity identity_;
  DispatchDelegate& delegate_;
  std::mt19937_64 random_;
  RouteTablePtr table_;
  bool has_servers_ = false;
  ConfigFreshness freshness_;
  // Of the last confirmation.
  SourceRevision confirmed_revision_;
  TimePoint confirmation_requested_at_;
  // When offers that wait for a confirmation of the own server are released
  // without it; nothing while none wait or the source answers.
  std::optional<TimePoint> offers_released_at_;
  std::map<RequestId, HeldRequest> held_;
  FleetLimiter limiter_;
  std::unordered_map<RequestId, UndecidedRequest> undecided_;
  std::unordered_map<RequestId, LimitedRequest> limited_;
  std::vector<std::pair<RequestId, FleetLimiter::Verdict>> verdicts_;
  std::vector<LimitedRequest> returned_;
  // Refusals since the last log event about limits.
  std::uint64_t refused_count_ = 0;
  TimePoint next_limit_log_;
  TimePoint config_requested_at_;
  // Nothing once the daemon that was asked can't reply any more.
  std::optional<Sender> config_requested_from_;
  ServerDirectory directory_;
  CrashGuard crash_guard_;
  BackendOwner owner_;
  RequestEntry entry_;
  std::deque<std::variant<ToSelfAsOwner, ToSelfAsEntry>> to_self_;
};

}  // namespace vanillafall

#endif  // DISPATCH_DISPATCHER_H_
