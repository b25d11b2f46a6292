#include "dispatch/dispatcher.h"

#include <set>
#include <utility>

namespace vanillafall {
namespace {

// Links that others open count from 1.
constexpr LinkId kOwnLink = 0;
// A newer configuration is asked for at most this often; an answer takes a
// round trip.
constexpr std::chrono::milliseconds kConfigAskPeriod{100};

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

Dispatcher::Dispatcher(Identity identity, Carrier& carrier)
    : identity_(std::move(identity)),
      carrier_(carrier),
      random_(identity_.seed),
      directory_(identity_.data_centre),
      owner_(*this, crash_guard_),
      entry_(identity_.incarnation, *this, directory_, crash_guard_) {}

void Dispatcher::OnConfig(const RouteTablePtr& table, TimePoint now) {
  const std::uint64_t former = table_ ? table_->version() : 0;
  if (table_ && table->version() <= former) {
    return;
  }
  table_ = table;
  entry_.Configure(table);
  owner_.SetConfigVersion(table->version());
  carrier_.Log({LogEventId::kConfigInForce,
                std::to_string(table->version()),
                "",
                {{"former", std::to_string(former)},
                 {"routes", std::to_string(table->size())}}});
  Settle(now);
}

void Dispatcher::OnServers(const std::vector<ListedServer>& servers,
                           TimePoint now) {
  has_servers_ = has_servers_ || !servers.empty();
  directory_.Update(servers, now);
  std::optional<ListedServer> own;
  for (const ListedServer& server : servers) {
    const bool is_own = server.address == identity_.backend_address;
    if (is_own && (!own || server.revision > own->revision)) {
      own = server;
    }
  }
  owner_.SetServer(own, now);
  Settle(now);
}

void Dispatcher::OnCallerRequest(EntryRequest request, TimePoint now) {
  entry_.OnRequest(std::move(request), random_, now);
  Settle(now);
}

void Dispatcher::OnCallerGone(RequestId id, TimePoint now) {
  entry_.OnCallerGone(id, now);
  Settle(now);
}

void Dispatcher::OnOwnerMessage(const PeerAddress& owner,
                                LinkMessage message,
                                TimePoint now) {
  HandleAsEntry(owner, std::move(message), now);
  Settle(now);
}

void Dispatcher::OnOwnerLinkLost(const PeerAddress& owner, TimePoint now) {
  entry_.OnLinkLost(owner, random_, now);
  Settle(now);
}

void Dispatcher::OnEntryMessage(LinkId link,
                                LinkMessage message,
                                TimePoint now) {
  HandleAsOwner(link, std::move(message), now);
  Settle(now);
}

void Dispatcher::OnEntryLinkLost(LinkId link, TimePoint now) {
  owner_.OnEntryLinkLost(link, now);
  Settle(now);
}

void Dispatcher::OnBackendEnd(BackendCallEnd end, TimePoint now) {
  owner_.OnBackendEnd(std::move(end), now);
  Settle(now);
}

void Dispatcher::Advance(TimePoint now) {
  owner_.Advance(now);
  entry_.Advance(random_, now);
  Settle(now);
}

std::optional<TimePoint> Dispatcher::NextWake() const {
  const std::optional<TimePoint> owner = owner_.NextWake();
  const std::optional<TimePoint> entry = entry_.NextWake();
  if (!owner || !entry) {
    return owner ? owner : entry;
  }
  return std::min(*owner, *entry);
}

Hello Dispatcher::MakeHello() const {
  return {identity_.incarnation, table_ ? table_->version() : 0};
}

void Dispatcher::HandleAsOwner(LinkId link,
                               LinkMessage message,
                               TimePoint now) {
  const auto check_version = [this, link, now](std::uint64_t version) {
    if (ShouldAskForConfig(version, now)) {
      ReplyTo(link, ConfigWanted{});
    }
  };
  std::visit(
      Overloaded{
          [&](Offer& offer) {
            check_version(offer.config_version);
            owner_.OnOffer(link, offer, now);
          },
          [&](Withdraw& withdraw) { owner_.OnWithdraw(withdraw.id, now); },
          [&](Run& run) { owner_.OnRun(link, run, now); },
          [&](CancelRun& cancel) { owner_.OnCancel(cancel.id, now); },
          [&](Resume& resume) { owner_.OnResume(link, resume, now); },
          [&](Hello& hello) { check_version(hello.config_version); },
          [&](Ping&) { ReplyTo(link, Pong{}); },
          [&](ConfigWanted&) { ReplyTo(link, carrier_.GetConfigText()); },
          [&](ConfigText& config) { carrier_.OnConfigText(config); },
          [&](CrashNotice& notice) { crash_guard_.OnNotice(notice, now); },
          [](auto&) {}},
      message);
}

void Dispatcher::HandleAsEntry(const PeerAddress& owner,
                               LinkMessage message,
                               TimePoint now) {
  entry_.OnHeard(owner, now);
  const auto check_version = [&](std::uint64_t version) {
    if (ShouldAskForConfig(version, now)) {
      SendToOwner(owner, ConfigWanted{});
    }
  };
  std::visit(
      Overloaded{
          [&](Grant& grant) {
            check_version(grant.config_version);
            entry_.OnGrant(grant, random_, now);
          },
          [&](Deny& deny) {
            check_version(deny.config_version);
            entry_.OnDeny(deny, random_, now);
          },
          [&](RunResult& result) {
            check_version(result.config_version);
            entry_.OnResult(std::move(result), random_, now);
          },
          [&](Hello& hello) {
            check_version(hello.config_version);
            entry_.OnHello(owner, hello, now);
          },
          [&](ConfigWanted&) { SendToOwner(owner, carrier_.GetConfigText()); },
          [&](ConfigText& config) { carrier_.OnConfigText(config); },
          [](auto&) {}},
      message);
}

bool Dispatcher::ShouldAskForConfig(std::uint64_t version, TimePoint now) {
  const std::uint64_t own = table_ ? table_->version() : 0;
  if (version <= own || now < config_asked_ + kConfigAskPeriod) {
    return false;
  }
  config_asked_ = now;
  return true;
}

void Dispatcher::Settle(TimePoint now) {
  while (!to_self_.empty()) {
    auto next = std::move(to_self_.front());
    to_self_.pop_front();
    if (auto* as_owner = std::get_if<ToSelfAsOwner>(&next)) {
      HandleAsOwner(kOwnLink, std::move(as_owner->message), now);
    } else {
      HandleAsEntry(identity_.self,
                    std::move(std::get<ToSelfAsEntry>(next).message), now);
    }
  }
  for (const CrashNotice& notice : owner_.TakeCrashNotices()) {
    for (const PeerAddress& owner : directory_.Owners()) {
      if (owner != identity_.self) {
        carrier_.SendToOwner(owner, notice);
      }
    }
  }
}

void Dispatcher::AnswerCaller(CallerAnswer answer) {
  carrier_.AnswerCaller(std::move(answer));
}

void Dispatcher::SendToOwner(const PeerAddress& owner, LinkMessage message) {
  if (owner == identity_.self) {
    to_self_.emplace_back(ToSelfAsOwner{std::move(message)});
    return;
  }
  carrier_.SendToOwner(owner, std::move(message));
}

void Dispatcher::ResetLink(const PeerAddress& owner) {
  carrier_.ResetLink(owner);
}

void Dispatcher::ReplyTo(LinkId link, LinkMessage message) {
  if (link == kOwnLink) {
    to_self_.emplace_back(ToSelfAsEntry{std::move(message)});
    return;
  }
  carrier_.ReplyTo(link, std::move(message));
}

void Dispatcher::CallBackend(BackendCall call) {
  carrier_.CallBackend(std::move(call));
}

void Dispatcher::CancelBackend(BackendCallId id) {
  carrier_.CancelBackend(id);
}

void Dispatcher::RefreshServers(ListDoubt doubt) {
  carrier_.RefreshServers(doubt);
}

void Dispatcher::OnConfigText(const ConfigText& config) {
  carrier_.OnConfigText(config);
}

ConfigText Dispatcher::GetConfigText() {
  return carrier_.GetConfigText();
}

void Dispatcher::Log(LogEvent event) {
  carrier_.Log(std::move(event));
}

}  // namespace vanillafall
