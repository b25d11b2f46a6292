#include "daemon/control_thread.h"

#include <poll.h>

#include <utility>

namespace vanillafall {
namespace {

constexpr std::size_t kRingCapacity = 4096;
constexpr int kAdvancePeriodMs = 100;

}  // namespace

ControlThread::ControlThread(ConfigManager::Identity identity,
                             const Clock& clock,
                             Delegate& delegate)
    : clock_(clock),
      delegate_(delegate),
      manager_(std::move(identity)),
      ring_(kRingCapacity) {}

ControlThread::~ControlThread() {
  Stop();
}

void ControlThread::Start() {
  thread_ = std::thread([this] { Run(); });
}

void ControlThread::Stop() {
  is_stopping_ = true;
  wake_.Wake();
  if (thread_.joinable()) {
    thread_.join();
  }
}

bool ControlThread::Push(Message message) {
  const bool is_queued = ring_.TryPush(std::move(message));
  wake_.Wake();
  return is_queued;
}

ConfigReport ControlThread::GetReport() const {
  const std::lock_guard lock(manager_mutex_);
  return manager_.GetReport();
}

void ControlThread::Run() {
  ControlActions actions;
  {
    const std::lock_guard lock(manager_mutex_);
    manager_.Start(clock_.now(), actions);
  }
  ExecuteAll(actions);
  while (!is_stopping_) {
    wake_.Clear();
    while (const auto message = ring_.TryPop()) {
      Handle(*message, clock_.now(), actions);
      ExecuteAll(actions);
    }
    {
      const std::lock_guard lock(manager_mutex_);
      manager_.Advance(clock_.now(), actions);
    }
    ExecuteAll(actions);
    pollfd wake_event{wake_.fd(), POLLIN, 0};
    poll(&wake_event, 1, kAdvancePeriodMs);
  }
}

void ControlThread::Handle(const Message& message,
                           TimePoint now,
                           ControlActions& actions) {
  const std::lock_guard lock(manager_mutex_);
  if (const auto* answer = std::get_if<PlatformAnswer>(&message)) {
    manager_.OnPlatformValue(answer->name, answer->value, answer->is_reached,
                             now, actions);
  } else if (const auto* incoming = std::get_if<PeerAsked>(&message)) {
    OnPeerRequest(*incoming, now, actions);
  } else {
    const auto& replied = std::get<PeerReplied>(message);
    manager_.OnPeerReplied(replied.call, replied.result, now, actions);
  }
}

void ControlThread::OnPeerRequest(const PeerAsked& incoming,
                                  TimePoint now,
                                  ControlActions& actions) {
  if (const auto* probe = std::get_if<ConfigProbe>(&incoming.request)) {
    delegate_.SendControlReply(incoming.call,
                               manager_.OnProbe(*probe, now, actions));
  } else if (const auto* document =
                 std::get_if<DocumentRequest>(&incoming.request)) {
    delegate_.SendControlReply(incoming.call,
                               manager_.OnDocumentRequest(*document));
  }
}

void ControlThread::ExecuteAll(ControlActions& actions) {
  for (ControlAction& action : actions) {
    delegate_.ExecuteControl(std::move(action));
  }
  actions.clear();
}

}  // namespace vanillafall
