#ifndef DISPATCH_DISPATCH_DELEGATE_FAKE_H_
#define DISPATCH_DISPATCH_DELEGATE_FAKE_H_

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/dispatch_delegate.h"

namespace vanillafall {

// Records all outputs of the dispatch module, for tests.
class DispatchDelegateFake final : public DispatchDelegate {
 public:
  struct ToOwner {
    PeerAddress owner;
    LinkMessage message;
  };
  struct ToEntry {
    LinkId link = 0;
    LinkMessage message;
  };

  void AnswerCaller(CallerAnswer answer) override {
    answers.push_back(std::move(answer));
  }
  void SendToOwner(const PeerAddress& owner, LinkMessage message) override {
    to_owners.push_back({owner, std::move(message)});
  }
  void SendToSomeDaemons(const LinkMessage& message) override {
    to_some_daemons.push_back(message);
  }
  void ResetLink(const PeerAddress& owner) override { resets.push_back(owner); }
  void ReplyTo(LinkId link, LinkMessage message) override {
    to_entries.push_back({link, std::move(message)});
  }
  void CallBackend(BackendCall call) override {
    calls.push_back(std::move(call));
  }
  void CancelBackend(BackendCallId id) override { cancelled.push_back(id); }
  void RefreshServers(RefreshReason refresh_reason) override {
    refresh_reasons.push_back(refresh_reason);
  }
  void CheckSource() override { ++source_checks; }
  void CheckOwnServer() override { ++own_server_checks; }
  void OnConfigConfirmedElsewhere(const SourceRevision& revision) override {
    confirmed_elsewhere = revision;
  }
  void OnConfigText(const ConfigText& config) override {
    configs.push_back(config);
  }
  ConfigText GetConfigText() override { return own_config; }
  void Log(LogEvent event) override { events.push_back(std::move(event)); }

  // The messages of this type that were sent to owners, oldest first, each with
  // its owner.
  template <typename Message>
  std::vector<std::pair<PeerAddress, Message>> SentToOwners() const {
    std::vector<std::pair<PeerAddress, Message>> found;
    for (const ToOwner& sent : to_owners) {
      if (const auto* message = std::get_if<Message>(&sent.message)) {
        found.emplace_back(sent.owner, *message);
      }
    }
    return found;
  }

  // The messages of this type that were sent to entries, oldest first.
  template <typename Message>
  std::vector<Message> SentToEntries() const {
    std::vector<Message> found;
    for (const ToEntry& sent : to_entries) {
      if (const auto* message = std::get_if<Message>(&sent.message)) {
        found.push_back(*message);
      }
    }
    return found;
  }

  std::vector<CallerAnswer> answers;
  std::vector<ToOwner> to_owners;
  std::vector<LinkMessage> to_some_daemons;
  std::vector<ToEntry> to_entries;
  std::vector<PeerAddress> resets;
  std::vector<BackendCall> calls;
  std::vector<BackendCallId> cancelled;
  std::vector<ConfigText> configs;
  std::vector<LogEvent> events;
  // Returned by GetConfigText.
  ConfigText own_config;
  std::vector<RefreshReason> refresh_reasons;
  int source_checks = 0;
  int own_server_checks = 0;
  SourceRevision confirmed_elsewhere;
};

}  // namespace vanillafall

#endif  // DISPATCH_DISPATCH_DELEGATE_FAKE_H_
