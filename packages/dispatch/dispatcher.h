#ifndef DISPATCH_DISPATCHER_H_
#define DISPATCH_DISPATCHER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "decision/crash_guard.h"
#include "dispatch/backend_owner.h"
#include "dispatch/carrier.h"
#include "dispatch/request_entry.h"
#include "dispatch/route_table.h"
#include "dispatch/server_directory.h"

namespace vanillafall {

// Entry and owner of one daemon. Feed it every input with the time at which it
// is handled; it asks its carrier for what must be done. Messages to itself
// take no network.
class Dispatcher final : private Carrier {
 public:
  struct Identity {
    PeerAddress self;
    std::string data_centre;
    // Where this instance's backend server listens.
    std::string backend_address;
    // Drawn anew by each process.
    std::uint64_t incarnation = 0;
    std::uint64_t seed = 0;
  };

  Dispatcher(Identity identity, Carrier& delegate);
  ~Dispatcher() override = default;
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // Commands. A configuration that is not newer than the one in force is
  // ignored.
  void OnConfig(const RouteTablePtr& table, TimePoint now);
  void OnServers(const std::vector<ListedServer>& servers, TimePoint now);
  void OnCallerRequest(EntryRequest request, TimePoint now);
  void OnCallerGone(RequestId id, TimePoint now);
  void OnOwnerMessage(const PeerAddress& owner,
                      LinkMessage message,
                      TimePoint now);
  void OnOwnerLinkLost(const PeerAddress& owner, TimePoint now);
  void OnEntryMessage(LinkId link, LinkMessage message, TimePoint now);
  void OnEntryLinkLost(LinkId link, TimePoint now);
  void OnBackendEnd(BackendCallEnd end, TimePoint now);
  void BeginStop() { owner_.SetStopping(); }
  void Advance(TimePoint now);

  // Queries.
  std::optional<TimePoint> NextWake() const;
  Hello MakeHello() const;
  const RouteTablePtr& table() const { return table_; }
  // True once a list named a backend server.
  bool has_servers() const { return has_servers_; }
  const std::optional<ListedServer>& own_server() const {
    return owner_.server();
  }
  // Requests of callers and of other entries that are not yet ended.
  std::size_t unfinished_count() const {
    return entry_.request_count() + owner_.busy_count();
  }

 private:
  struct ToSelfAsOwner {
    LinkMessage message;
  };
  struct ToSelfAsEntry {
    LinkMessage message;
  };

  void AnswerCaller(CallerAnswer answer) override;
  void SendToOwner(const PeerAddress& owner, LinkMessage message) override;
  void ResetLink(const PeerAddress& owner) override;
  void ReplyTo(LinkId link, LinkMessage message) override;
  void CallBackend(BackendCall call) override;
  void CancelBackend(BackendCallId id) override;
  void RefreshServers(ListDoubt refresh_reason) override;
  void OnConfigText(const ConfigText& config) override;
  ConfigText GetConfigText() override;
  void Log(LogEvent event) override;

  // Carries out what the daemon has asked of itself, and tells of crashes.
  void DeliverPendingMessages(TimePoint now);
  void HandleAsOwner(LinkId link, LinkMessage message, TimePoint now);
  void HandleAsEntry(const PeerAddress& owner,
                     LinkMessage message,
                     TimePoint now);
  // True when the other side shows a newer configuration that is worth asking
  // for now.
  bool ShouldRequestConfig(std::uint64_t version, TimePoint now);

  const Identity identity_;
  Carrier& delegate_;
  std::mt19937_64 random_;
  RouteTablePtr table_;
  bool has_servers_ = false;
  TimePoint config_requested_at_;
  ServerDirectory directory_;
  CrashGuard crash_guard_;
  BackendOwner owner_;
  RequestEntry entry_;
  std::deque<std::variant<ToSelfAsOwner, ToSelfAsEntry>> to_self_;
};

}  // namespace vanillafall

#endif  // DISPATCH_DISPATCHER_H_
