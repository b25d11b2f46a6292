#ifndef DECISION_FAIR_QUEUE_H_
#define DECISION_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace vanillafall {

// One request that is offered to a backend server's admission.
struct AdmissionRequest {
  std::uint64_t ticket = 0;
  std::string customer;
  TimePoint deadline;
  // Runs only while nothing else runs, and nothing else starts beside it.
  bool alone = false;
  std::string request_class;
};

// Waiting requests, served round robin between customers and, within a
// customer, round robin between its request classes; in order of arrival within
// a class. Holds no bound of its own.
class FairQueue {
 public:
  using Ticket = std::uint64_t;

  FairQueue() = default;
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;

  void Push(const AdmissionRequest& request);

  // The request whose turn it is. The queue must not be empty.
  const AdmissionRequest& Front() const;
  // Takes that request and passes the turn on.
  AdmissionRequest Pop();

  // Takes the request that came last in the longest class of that customer.
  Ticket TakeNewestOf(std::string_view customer);
  // Takes the requests whose deadline has passed; costs no customer its turn.
  std::vector<Ticket> TakeExpired(TimePoint now);
  std::vector<Ticket> TakeAll();

  bool empty() const { return customers_.empty(); }
  std::size_t size() const { return size_; }
  std::size_t customer_count() const { return customers_.size(); }
  std::size_t CountOf(std::string_view customer) const;
  // The customer with the most waiting requests. The queue must not be empty.
  std::string_view CustomerWithMostWaiting() const;
  // Requests that a new one of that customer has to wait for.
  std::size_t CountAheadOf(std::string_view customer) const;

 private:
  struct ClassQueue {
    std::string request_class;
    std::deque<AdmissionRequest> requests;
  };
  struct Customer {
    std::string name;
    // In order of turn.
    std::list<ClassQueue> class_queues;
    std::size_t size = 0;
  };

  Customer& FindOrAddCustomer(const std::string& name);
  void EraseEmptyQueues();

  // In order of turn. Neither a customer nor a lane in it is ever empty.
  std::list<Customer> customers_;
  std::size_t size_ = 0;
};

}  // namespace vanillafall

#endif  // DECISION_FAIR_QUEUE_H_
