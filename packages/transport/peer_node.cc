#include "transport/peer_node.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/async-unix.h>

#include <atomic>
#include <future>
#include <map>
#include <thread>
#include <unordered_map>
#include <utility>

#include "base/bounded_ring.h"
#include "transport/address.h"
#include "transport/wake_fd.h"
#include "wire/codec.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kRingCapacity = 16'384;
// After this many timeouts in a row, a connection is dropped and a new one is
// opened for the next call.
constexpr int kTimeoutsUntilReconnect = 3;

struct RequestCommand {
  PeerNode::CallId call = 0;
  PeerAddress peer;
  PeerRequest request;
  milliseconds timeout{0};
};
struct ReplyCommand {
  PeerNode::CallId call = 0;
  PeerReply reply;
};
using Command = std::variant<RequestCommand, ReplyCommand>;

// RunRequest carries the requests of callers; all other requests are control
// messages.
bool IsControl(const PeerRequest& request) {
  return !std::holds_alternative<RunRequest>(request);
}

}  // namespace

// The private functions run on the peers thread; the public ones are called
// from any thread.
class PeerNode::Impl final : private kj::TaskSet::ErrorHandler {
 public:
  Impl(PeerAddress address, Listener& listener)
      : address_(std::move(address)),
        listener_(listener),
        ring_(kRingCapacity) {}

  std::optional<Error> Start();
  void Stop();
  bool Push(Command command) {
    const bool is_queued = ring_.TryPush(std::move(command));
    wake_.Wake();
    return is_queued;
  }
  Traffic GetTraffic() const {
    return {control_messages_.load(), control_bytes_.load()};
  }

 private:
  class Server;

  // The connection to one peer. Calls made before it is open wait for the
  // promise `opened`; those that time out before that are never sent.
  struct Connection {
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyClient> client;
    kj::Maybe<wire::Peer::Client> peer;
    kj::Maybe<kj::ForkedPromise<void>> opened;
    int timeouts_in_row = 0;
    std::uint64_t generation = 0;
  };

  // A request of another daemon that has no reply yet.
  struct Inbound {
    kj::Own<kj::PromiseFulfiller<void>> fulfiller;
    capnp::CallContext<wire::Peer::AskParams, wire::Peer::AskResults> context;
    bool is_control = false;
  };

  // A call of this daemon in progress.
  struct Outbound {
    RequestCommand command;
    bool is_sent = false;
    bool is_ended = false;
  };

  void Run(std::promise<std::optional<Error>>& started);
  kj::Promise<void> ProcessCommands();
  void ProcessCommand(Command command);
  void StartCall(RequestCommand command);
  void ProcessReply(const ReplyCommand& command);
  // Sends the request if the connection is open and the call has not ended.
  kj::Promise<void> SendIfOpen(const std::shared_ptr<Outbound>& outbound,
                               const std::shared_ptr<Connection>& connection);
  kj::Promise<void> SendTo(wire::Peer::Client& peer,
                           const std::shared_ptr<Outbound>& outbound,
                           const std::shared_ptr<Connection>& connection);
  std::shared_ptr<Connection> GetConnection(const PeerAddress& peer);
  kj::Promise<void> OpenConnection(
      const std::shared_ptr<Connection>& connection,
      const PeerAddress& peer);
  // Removes the connection, so that the next call opens a new one.
  void DropConnection(const PeerAddress& peer,
                      const std::shared_ptr<Connection>& connection);
  // Reports the result to the listener, unless the call has already ended.
  void EndCall(Outbound& outbound, Result result);
  void EndCallByTimeout(const std::shared_ptr<Outbound>& outbound,
                        const std::shared_ptr<Connection>& connection);
  kj::Promise<void> OnRequest(
      capnp::CallContext<wire::Peer::AskParams, wire::Peer::AskResults>
          context);
  void CountControlMessage(std::size_t words);
  void taskFailed(kj::Exception&& exception) override;

  const PeerAddress address_;
  Listener& listener_;
  BoundedRing<Command> ring_;
  WakeFd wake_;
  std::atomic<bool> is_stopping_{false};
  std::atomic<std::uint64_t> control_messages_{0};
  std::atomic<std::uint64_t> control_bytes_{0};
  std::thread thread_;

  // Used by the peers thread only.
  kj::AsyncIoContext* io_ = nullptr;
  kj::TaskSet* tasks_ = nullptr;
  kj::UnixEventPort::FdObserver* observer_ = nullptr;
  CallId last_inbound_id_ = 0;
  std::map<PeerAddress, std::shared_ptr<Connection>> connections_;
  std::unordered_map<CallId, Inbound> inbound_;
};

class PeerNode::Impl::Server final : public wire::Peer::Server {
 public:
  explicit Server(Impl& impl) : impl_(impl) {}

  kj::Promise<void> ask(AskContext context) override {
    return impl_.OnRequest(context);
  }

 private:
  Impl& impl_;
};

std::optional<Error> PeerNode::Impl::Start() {
  std::promise<std::optional<Error>> started;
  std::future<std::optional<Error>> result = started.get_future();
  thread_ = std::thread([this, &started] { Run(started); });
  return result.get();
}

void PeerNode::Impl::Stop() {
  is_stopping_ = true;
  wake_.Wake();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void PeerNode::Impl::Run(std::promise<std::optional<Error>>& started) {
  auto io = kj::setupAsyncIo();
  kj::TaskSet tasks(*this);
  kj::UnixEventPort::FdObserver observer(
      io.unixEventPort, wake_.fd(),
      kj::UnixEventPort::FdObserver::OBSERVE_READ);
  io_ = &io;
  tasks_ = &tasks;
  observer_ = &observer;
  capnp::TwoPartyServer server(kj::heap<Server>(*this));
  const auto address = ParseAddress(address_);
  kj::Own<kj::ConnectionReceiver> receiver;
  const auto failure = kj::runCatchingExceptions([&] {
    KJ_REQUIRE(address.has_value(),
               "not an IPv4 address of the form host:port");
    receiver = io.provider->getNetwork()
                   .getSockaddr(&*address, sizeof(*address))
                   ->listen();
  });
  KJ_IF_MAYBE (exception, failure) {
    started.set_value(Error{
        std::make_error_code(std::errc::address_not_available), Step::kListen,
        address_, std::string(exception->getDescription().cStr())});
    return;
  }
  started.set_value(std::nullopt);
  tasks.add(server.listen(*receiver));
  ProcessCommands().wait(io.waitScope);
  connections_.clear();
  inbound_.clear();
}

kj::Promise<void> PeerNode::Impl::ProcessCommands() {
  wake_.Clear();
  while (auto command = ring_.TryPop()) {
    ProcessCommand(std::move(*command));
  }
  if (is_stopping_) {
    return kj::READY_NOW;
  }
  return observer_->whenBecomesReadable().then(
      [this] { return ProcessCommands(); });
}

void PeerNode::Impl::ProcessCommand(Command command) {
  if (auto* request_command = std::get_if<RequestCommand>(&command)) {
    StartCall(std::move(*request_command));
  } else {
    ProcessReply(std::get<ReplyCommand>(command));
  }
}

void PeerNode::Impl::StartCall(RequestCommand command) {
  auto outbound = std::make_shared<Outbound>();
  outbound->command = std::move(command);
  const PeerAddress& peer = outbound->command.peer;
  const std::shared_ptr<Connection> connection = GetConnection(peer);
  auto timeout =
      io_->provider->getTimer()
          .afterDelay(outbound->command.timeout.count() * kj::MILLISECONDS)
          .then([this, outbound, connection] {
            EndCallByTimeout(outbound, connection);
          });
  auto on_failure = [this, outbound, connection](kj::Exception&&) {
    const bool was_sent = outbound->is_sent;
    DropConnection(outbound->command.peer, connection);
    EndCall(*outbound, was_sent ? PeerFailure::kLost : PeerFailure::kNotSent);
  };
  kj::Promise<void> call = SendIfOpen(outbound, connection);
  KJ_IF_MAYBE (opened, connection->opened) {
    if (connection->peer == nullptr) {
      call = opened->addBranch().then([this, outbound, connection] {
        return SendIfOpen(outbound, connection);
      });
    }
  }
  tasks_->add(
      call.catch_(std::move(on_failure)).exclusiveJoin(kj::mv(timeout)));
}

kj::Promise<void> PeerNode::Impl::SendIfOpen(
    const std::shared_ptr<Outbound>& outbound,
    const std::shared_ptr<Connection>& connection) {
  if (outbound->is_ended) {
    return kj::READY_NOW;
  }
  KJ_IF_MAYBE (peer, connection->peer) {
    return SendTo(*peer, outbound, connection);
  }
  return kj::READY_NOW;
}

kj::Promise<void> PeerNode::Impl::SendTo(
    wire::Peer::Client& peer,
    const std::shared_ptr<Outbound>& outbound,
    const std::shared_ptr<Connection>& connection) {
  const bool is_control = IsControl(outbound->command.request);
  auto request = peer.askRequest();
  Encode(outbound->command.request, request.initRequest());
  if (is_control) {
    CountControlMessage(request.totalSize().wordCount);
  }
  outbound->is_sent = true;
  return request.send().then([this, outbound, connection, is_control](
                                 capnp::Response<wire::Peer::AskResults> r) {
    connection->timeouts_in_row = 0;
    if (is_control) {
      CountControlMessage(r.totalSize().wordCount);
    }
    std::optional<PeerReply> reply = Decode(r.getReply());
    if (!reply) {
      listener_.OnMalformedMessage();
      EndCall(*outbound, PeerFailure::kLost);
      return;
    }
    EndCall(*outbound, std::move(*reply));
  });
}

std::shared_ptr<PeerNode::Impl::Connection> PeerNode::Impl::GetConnection(
    const PeerAddress& peer) {
  std::shared_ptr<Connection>& connection = connections_[peer];
  if (connection == nullptr) {
    connection = std::make_shared<Connection>();
    connection->opened = OpenConnection(connection, peer).fork();
  }
  return connection;
}

kj::Promise<void> PeerNode::Impl::OpenConnection(
    const std::shared_ptr<Connection>& connection,
    const PeerAddress& peer) {
  const auto address = ParseAddress(peer);
  KJ_REQUIRE(address.has_value(), "not an IPv4 address of the form host:port");
  auto target =
      io_->provider->getNetwork().getSockaddr(&*address, sizeof(*address));
  auto connecting = target->connect();
  // A weak pointer, because the connection holds this promise and would
  // otherwise keep itself alive.
  const std::weak_ptr<Connection> weak = connection;
  return connecting.attach(kj::mv(target))
      .then([this, weak, peer](kj::Own<kj::AsyncIoStream> stream) {
        const std::shared_ptr<Connection> open = weak.lock();
        if (open == nullptr) {
          return;
        }
        open->stream = kj::mv(stream);
        open->client = kj::heap<capnp::TwoPartyClient>(*open->stream);
        open->peer = open->client->bootstrap().castAs<wire::Peer>();
        // Drops the connection when the peer closes it. A call sent on it later
        // would end as kLost; on a new connection it ends as kNotSent if the
        // peer does not listen.
        tasks_->add(open->client->onDisconnect().then([this, weak, peer] {
          if (const std::shared_ptr<Connection> ended = weak.lock()) {
            DropConnection(peer, ended);
          }
        }));
      });
}

void PeerNode::Impl::DropConnection(
    const PeerAddress& peer,
    const std::shared_ptr<Connection>& connection) {
  const auto found = connections_.find(peer);
  if (found != connections_.end() && found->second == connection) {
    connections_.erase(found);
  }
}

void PeerNode::Impl::EndCall(Outbound& outbound, Result result) {
  if (outbound.is_ended) {
    return;
  }
  outbound.is_ended = true;
  listener_.OnPeerResult(outbound.command.call, std::move(result));
}

void PeerNode::Impl::EndCallByTimeout(
    const std::shared_ptr<Outbound>& outbound,
    const std::shared_ptr<Connection>& connection) {
  ++connection->timeouts_in_row;
  if (connection->timeouts_in_row >= kTimeoutsUntilReconnect) {
    DropConnection(outbound->command.peer, connection);
  }
  EndCall(*outbound,
          outbound->is_sent ? PeerFailure::kLost : PeerFailure::kNotSent);
}

void PeerNode::Impl::ProcessReply(const ReplyCommand& command) {
  auto node = inbound_.extract(command.call);
  if (node.empty()) {
    return;
  }
  Inbound& inbound = node.mapped();
  if (!inbound.fulfiller->isWaiting()) {
    return;
  }
  auto results = inbound.context.getResults();
  Encode(command.reply, results.initReply());
  if (inbound.is_control) {
    CountControlMessage(results.totalSize().wordCount);
  }
  inbound.fulfiller->fulfill();
}

kj::Promise<void> PeerNode::Impl::OnRequest(
    capnp::CallContext<wire::Peer::AskParams, wire::Peer::AskResults> context) {
  const std::optional<PeerRequest> request =
      Decode(context.getParams().getRequest());
  if (!request) {
    listener_.OnMalformedMessage();
    return KJ_EXCEPTION(FAILED, "malformed request");
  }
  const bool is_control = IsControl(*request);
  if (is_control) {
    CountControlMessage(context.getParams().totalSize().wordCount);
  }
  context.releaseParams();
  const CallId call = ++last_inbound_id_;
  auto promise_and_fulfiller = kj::newPromiseAndFulfiller<void>();
  inbound_.emplace(call, Inbound{kj::mv(promise_and_fulfiller.fulfiller),
                                 context, is_control});
  if (!listener_.OnPeerRequest(call, *request)) {
    inbound_.erase(call);
    return KJ_EXCEPTION(OVERLOADED, "no room for the request");
  }
  return kj::mv(promise_and_fulfiller.promise);
}

void PeerNode::Impl::CountControlMessage(std::size_t words) {
  ++control_messages_;
  control_bytes_ += words * sizeof(capnp::word);
}

void PeerNode::Impl::taskFailed(kj::Exception&& /*exception*/) {
  // A connection opened by another daemon broke; that daemon ends its calls.
}

PeerNode::PeerNode(PeerAddress address, Listener& listener)
    : impl_(std::make_unique<Impl>(std::move(address), listener)) {}

PeerNode::~PeerNode() {
  Stop();
}

std::optional<Error> PeerNode::Start() {
  return impl_->Start();
}

void PeerNode::Stop() {
  impl_->Stop();
}

bool PeerNode::SendRequest(CallId call,
                           PeerAddress peer,
                           PeerRequest request,
                           milliseconds timeout) {
  return impl_->Push(
      RequestCommand{call, std::move(peer), std::move(request), timeout});
}

bool PeerNode::SendReply(CallId call, PeerReply reply) {
  return impl_->Push(ReplyCommand{call, std::move(reply)});
}

PeerNode::Traffic PeerNode::GetTraffic() const {
  return impl_->GetTraffic();
}

}  // namespace vanillafall
