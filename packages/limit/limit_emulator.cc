#include "limit/limit_emulator.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>

namespace vanillafall {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// Between data centres.
constexpr microseconds kMinDelay{200};
constexpr microseconds kMaxDelay{6000};
constexpr std::chrono::seconds kSpan{5};
// The rule for the fleet: see the description of the bound in limits.md.
constexpr double kBoundFactor = 1.25;
constexpr double kBoundSlack = 20;
// Part of the admitted requests that do not run, and when they end.
constexpr double kNotRunPart = 0.02;
constexpr milliseconds kNotRunTime{30};

}  // namespace

// One daemon with its limiter. Outlives its process.
class LimitEmulator::Daemon final : private FleetLimiter::Delegate {
 public:
  Daemon(LimitEmulator& fleet, std::size_t number)
      : fleet_(fleet), number_(number) {}

  void Start(const std::vector<LimitMember>& members) {
    ++process_;
    is_alive_ = true;
    waiting_.clear();
    wake_at_.reset();
    FleetLimiter::Delegate& delegate = *this;
    limiter_ = std::make_unique<FleetLimiter>(
        FleetLimiter::Identity{AddressOf(number_), fleet_.random_()}, delegate);
    limiter_->SetMembers(members, fleet_.now_);
  }
  void Stop() {
    ++process_;
    is_alive_ = false;
    limiter_.reset();
  }

  void Request(std::size_t customer) {
    const std::uint64_t ticket = ++last_ticket_;
    const FleetLimiter::Verdict verdict =
        limiter_->Request(NameOf(customer), ticket, fleet_.now_);
    if (verdict.decision == FleetLimiter::Decision::kPending) {
      waiting_[ticket] = customer;
    } else {
      Count(customer, verdict);
    }
  }
  // Sets a timer for the limiter's next timeout.
  void Wake() {
    const std::optional<TimePoint> next = limiter_->NextWake();
    if (!next || (wake_at_ && *wake_at_ <= *next)) {
      return;
    }
    wake_at_ = next;
    fleet_.Deliver(number_, std::max(*next, fleet_.now_),
                   [at = *next](Daemon& daemon) {
                     if (daemon.wake_at_ == at) {
                       daemon.wake_at_.reset();
                       daemon.limiter_->Advance(daemon.fleet_.now_);
                     }
                   });
  }

  FleetLimiter& limiter() { return *limiter_; }
  bool is_alive() const { return is_alive_; }
  std::uint64_t process() const { return process_; }

  TimePoint frozen_until;
  int side = 0;

 private:
  void SendCreditRequest(const PeerAddress& daemon,
                         const CreditRequest& request) override {
    const std::size_t to = fleet_.by_address_.at(daemon);
    ++fleet_.message_count_;
    if (fleet_.IsCut(number_, to)) {
      return;
    }
    if (!fleet_.daemons_[to]->is_alive()) {
      fleet_.Deliver(number_, fleet_.ArrivalTime(), [daemon](Daemon& self) {
        self.limiter_->OnLinkLost(daemon, self.fleet_.now_);
      });
      return;
    }
    // The number of the link is that of the daemon.
    fleet_.Deliver(
        to, fleet_.ArrivalTime(), [request, from = number_](Daemon& self) {
          self.limiter_->OnCreditRequest(from, request, self.fleet_.now_);
        });
  }
  void SendCreditReply(FleetLimiter::CreditLink link,
                       const CreditReply& reply) override {
    ++fleet_.message_count_;
    const auto to = static_cast<std::size_t>(link);
    if (fleet_.IsCut(number_, to)) {
      return;
    }
    fleet_.Deliver(to, fleet_.ArrivalTime(),
                   [reply, from = AddressOf(number_)](Daemon& self) {
                     self.limiter_->OnCreditReply(from, reply,
                                                  self.fleet_.now_);
                   });
  }
  void OnDecided(FleetLimiter::Ticket ticket,
                 const FleetLimiter::Verdict& verdict) override {
    const auto found = waiting_.find(ticket);
    const std::size_t customer = found->second;
    waiting_.erase(found);
    Count(customer, verdict);
  }
  std::optional<FleetLimit> FindLimit(const std::string& name) override {
    return fleet_.customers_[fleet_.by_name_.at(name)].limit;
  }
  std::uint64_t ConfigVersion() override { return 1; }

  void Count(std::size_t customer, const FleetLimiter::Verdict& verdict) {
    Load& load = fleet_.loads_[customer];
    if (verdict.decision == FleetLimiter::Decision::kRefused) {
      ++load.refused;
      return;
    }
    if (std::bernoulli_distribution(kNotRunPart)(fleet_.random_)) {
      ++load.not_run;
      fleet_.Deliver(number_, fleet_.now_ + kNotRunTime,
                     [customer, at = fleet_.now_](Daemon& self) {
                       self.limiter_->Return(NameOf(customer), at,
                                             self.fleet_.now_);
                     });
      return;
    }
    load.admitted.push_back(fleet_.now_);
  }

  LimitEmulator& fleet_;
  const std::size_t number_;
  std::uint64_t process_ = 0;
  bool is_alive_ = false;
  std::unique_ptr<FleetLimiter> limiter_;
  std::uint64_t last_ticket_ = 0;
  std::unordered_map<FleetLimiter::Ticket, std::size_t> waiting_;
  std::optional<TimePoint> wake_at_;
};

LimitEmulator::LimitEmulator(std::size_t daemons,
                             std::vector<Customer> customers,
                             std::uint64_t seed)
    : now_(std::chrono::seconds(1000)),
      random_(seed),
      customers_(std::move(customers)),
      loads_(customers_.size()) {
  for (std::size_t i = 0; i < daemons; ++i) {
    daemons_.push_back(std::make_unique<Daemon>(*this, i));
    by_address_[AddressOf(i)] = i;
  }
  const auto members = MembersWhere([](std::size_t) { return true; });
  for (const auto& daemon : daemons_) {
    daemon->Start(members);
  }
  for (std::size_t i = 0; i < customers_.size(); ++i) {
    by_name_[NameOf(i)] = i;
    // Zipf's law: few daemons get most of a customer's requests.
    std::vector<double> weights;
    for (std::size_t rank = 1; rank <= daemons; ++rank) {
      weights.push_back(1 / static_cast<double>(rank));
    }
    std::shuffle(weights.begin(), weights.end(), random_);
    for (std::size_t j = 1; j < weights.size(); ++j) {
      weights[j] += weights[j - 1];
    }
    loads_[i].weights = std::move(weights);
    ScheduleArrival(i);
  }
}

LimitEmulator::~LimitEmulator() = default;

void LimitEmulator::Run(milliseconds time) {
  const TimePoint end = now_ + time;
  while (!events_.empty() && events_.top().at <= end) {
    const std::function<void()> run = events_.top().run;
    now_ = std::max(now_, events_.top().at);
    events_.pop();
    run();
  }
  now_ = end;
}

void LimitEmulator::Kill(std::size_t daemon) {
  daemons_[daemon]->Stop();
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    if (daemons_[i]->is_alive() && !IsCut(i, daemon)) {
      Deliver(i, ArrivalTime(), [this, daemon](Daemon& self) {
        self.limiter().OnLinkLost(AddressOf(daemon), now_);
      });
    }
  }
}

void LimitEmulator::Restart(std::size_t daemon) {
  daemons_[daemon]->Start(MembersWhere([](std::size_t) { return true; }));
}

void LimitEmulator::Freeze(std::size_t daemon, milliseconds time) {
  daemons_[daemon]->frozen_until = now_ + time;
}

void LimitEmulator::SetSide(std::size_t daemon, int side) {
  daemons_[daemon]->side = side;
}

void LimitEmulator::SetList(std::size_t daemon,
                            const std::function<bool(std::size_t)>& is_listed) {
  daemons_[daemon]->limiter().SetMembers(MembersWhere(is_listed), now_);
}

void LimitEmulator::SetLoad(std::size_t customer, double factor) {
  loads_[customer].factor = factor;
}

void LimitEmulator::SetLimit(std::size_t customer, const FleetLimit& limit) {
  customers_[customer].limit = limit;
}

void LimitEmulator::ResetResults() {
  for (Load& load : loads_) {
    load.admitted.clear();
    load.not_run = 0;
    load.refused = 0;
    load.under_limit = 0;
  }
}

std::size_t LimitEmulator::AllocatorOf(std::size_t customer) const {
  AllocatorOrder order("", milliseconds(0));
  order.SetMembers(MembersWhere([](std::size_t) { return true; }), now_);
  return by_address_.at(order.Find(NameOf(customer)).front());
}

LimitEmulator::Result LimitEmulator::ResultOf(std::size_t customer) const {
  const Load& load = loads_[customer];
  const FleetLimit& limit = customers_[customer].limit;
  const double bound =
      (limit.per_second * Seconds(kSpan).count() + limit.burst) * kBoundFactor +
      kBoundSlack;
  Result result;
  result.admitted = load.admitted.size() + load.not_run;
  result.refused = load.refused;
  result.under_limit = load.under_limit;
  std::size_t first = 0;
  std::size_t most = 0;
  for (std::size_t last = 0; last < load.admitted.size(); ++last) {
    while (load.admitted[last] - load.admitted[first] >= kSpan) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  result.worst_part_of_bound = static_cast<double>(most) / bound;
  return result;
}

LimitEmulator::Result LimitEmulator::Total() const {
  Result total;
  for (std::size_t i = 0; i < customers_.size(); ++i) {
    const Result result = ResultOf(i);
    total.admitted += result.admitted;
    total.refused += result.refused;
    total.under_limit += result.under_limit;
    total.worst_part_of_bound =
        std::max(total.worst_part_of_bound, result.worst_part_of_bound);
  }
  return total;
}

std::string LimitEmulator::NameOf(std::size_t customer) {
  return "customer/c" + std::to_string(customer);
}

PeerAddress LimitEmulator::AddressOf(std::size_t daemon) {
  return "10.0.0." + std::to_string(daemon) + ":7100";
}

void LimitEmulator::At(TimePoint at, std::function<void()> run) {
  events_.push({at, ++last_event_, std::move(run)});
}

void LimitEmulator::Deliver(std::size_t daemon,
                            TimePoint at,
                            std::function<void(Daemon&)> action) {
  At(at, [this, daemon, process = daemons_[daemon]->process(),
          action = std::move(action)]() mutable {
    Daemon& target = *daemons_[daemon];
    if (target.process() != process || !target.is_alive()) {
      return;
    }
    if (now_ < target.frozen_until) {
      Deliver(daemon, target.frozen_until, std::move(action));
      return;
    }
    action(target);
    target.Wake();
  });
}

TimePoint LimitEmulator::ArrivalTime() {
  std::uniform_int_distribution<std::int64_t> delay(kMinDelay.count(),
                                                    kMaxDelay.count());
  return now_ + microseconds(delay(random_));
}

bool LimitEmulator::IsCut(std::size_t from, std::size_t to) const {
  return daemons_[from]->side != daemons_[to]->side;
}

void LimitEmulator::ScheduleArrival(std::size_t customer) {
  const double rate =
      customers_[customer].requests_per_second * loads_[customer].factor;
  std::exponential_distribution<double> gap(rate);
  At(now_ + std::chrono::duration_cast<Duration>(Seconds(gap(random_))),
     [this, customer] {
       Arrive(customer);
       ScheduleArrival(customer);
     });
}

void LimitEmulator::Arrive(std::size_t customer) {
  const std::vector<double>& weights = loads_[customer].weights;
  // Callers leave out daemons that do not answer.
  for (int i = 0; i < 10; ++i) {
    std::uniform_real_distribution<double> draw(0, weights.back());
    const auto at =
        std::upper_bound(weights.begin(), weights.end(), draw(random_));
    const auto number = static_cast<std::size_t>(std::min(
        at - weights.begin(), static_cast<std::ptrdiff_t>(weights.size()) - 1));
    Daemon& daemon = *daemons_[number];
    if (daemon.is_alive() && now_ >= daemon.frozen_until) {
      CountUnderLimit(customer);
      daemon.Request(customer);
      daemon.Wake();
      return;
    }
  }
}

void LimitEmulator::CountUnderLimit(std::size_t customer) {
  const FleetLimit& limit = customers_[customer].limit;
  Load& load = loads_[customer];
  const Seconds elapsed = now_ - load.refilled_at;
  load.refilled_at = now_;
  load.tokens = std::min(std::max(1.0, limit.burst),
                         load.tokens + elapsed.count() * limit.per_second);
  if (load.tokens >= 1) {
    load.tokens -= 1;
    ++load.under_limit;
  }
}

std::vector<LimitMember> LimitEmulator::MembersWhere(
    const std::function<bool(std::size_t)>& is_listed) const {
  std::vector<LimitMember> members;
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    if (is_listed(i)) {
      members.push_back({AddressOf(i), milliseconds(0), false});
    }
  }
  return members;
}

}  // namespace vanillafall
