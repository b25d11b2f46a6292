#include "daemon/control_thread.h"

#include <poll.h>

#include <utility>

namespace vanillafall {
namespace {

constexpr std::size_t kRingCapacity = 4096;
constexpr int kPeriodMilliseconds = 100;

}  // namespace

ControlThread::ControlThread(ConfigKeeper::Identity identity,
                             const Clock& clock,
                             Carrier& carrier)
    : clock_(clock),
      carrier_(carrier),
      keeper_(std::move(identity)),
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
  const bool is_taken = ring_.TryPush(std::move(message));
  wake_.Wake();
  return is_taken;
}

ConfigReport ControlThread::GetReport() const {
  const std::lock_guard lock(keeper_mutex_);
  return keeper_.GetReport();
}

void ControlThread::Run() {
  ControlActions actions;
  {
    const std::lock_guard lock(keeper_mutex_);
    keeper_.Start(clock_.now(), actions);
  }
  CarryAll(actions);
  while (!is_stopping_) {
    wake_.Clear();
    while (const auto message = ring_.TryPop()) {
      Handle(*message, clock_.now(), actions);
      CarryAll(actions);
    }
    {
      const std::lock_guard lock(keeper_mutex_);
      keeper_.Advance(clock_.now(), actions);
    }
    CarryAll(actions);
    pollfd waiting{wake_.fd(), POLLIN, 0};
    poll(&waiting, 1, kPeriodMilliseconds);
  }
}

void ControlThread::Handle(const Message& message,
                           TimePoint now,
                           ControlActions& actions) {
  const std::lock_guard lock(keeper_mutex_);
  if (const auto* answer = std::get_if<PlatformAnswer>(&message)) {
    keeper_.OnPlatformValue(answer->name, answer->value, answer->is_reached,
                            now, actions);
  } else if (const auto* asked = std::get_if<PeerAsked>(&message)) {
    OnAsked(*asked, now, actions);
  } else {
    const auto& replied = std::get<PeerReplied>(message);
    keeper_.OnPeerReplied(replied.call, replied.result, now, actions);
  }
}

void ControlThread::OnAsked(const PeerAsked& asked,
                            TimePoint now,
                            ControlActions& actions) {
  if (const auto* probe = std::get_if<ConfigProbe>(&asked.request)) {
    carrier_.ReplyControl(asked.call, keeper_.OnProbe(*probe, now, actions));
  } else if (const auto* document =
                 std::get_if<DocumentRequest>(&asked.request)) {
    carrier_.ReplyControl(asked.call, keeper_.OnDocumentRequest(*document));
  }
}

void ControlThread::CarryAll(ControlActions& actions) {
  for (ControlAction& action : actions) {
    carrier_.CarryControl(std::move(action));
  }
  actions.clear();
}

}  // namespace vanillafall
