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

// A request for a slot of a backend server.
struct AdmissionRequest {
  std::uint64_t ticket = 0;
  std::string customer;
  TimePoint deadline;
  // Starts only while no other request runs, and no other request starts while
  // it runs.
  bool alone = false;
  std::string request_class;
};

// Queue of waiting requests, served round robin between customers and, within a
// customer, between request classes; within a class in order of arrival. Has no
// bound of its own.
class FairQueue {
 public:
  using Ticket = std::uint64_t;

  FairQueue() = default;
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;

  void Push(const AdmissionRequest& request);

  // The request that is served next. The queue must not be empty.
  const AdmissionRequest& Front() const;
  // Removes and returns the request that Front shows. Its customer and class
  // become the last in turn.
  AdmissionRequest Pop();

  // Removes and returns the newest request of that customer's longest class.
  // The customer must have a waiting request.
  Ticket TakeNewestOf(std::string_view customer);
  // Removes and returns the requests whose deadline has passed. The order of
  // the customers stays.
  std::vector<Ticket> TakeExpired(TimePoint now);
  std::vector<Ticket> TakeAll();

  bool empty() const { return customers_.empty(); }
  std::size_t size() const { return size_; }
  std::size_t customer_count() const { return customers_.size(); }
  std::size_t CountOf(std::string_view customer) const;
  // The customer with the most waiting requests. The queue must not be empty.
  std::string_view CustomerWithMostWaiting() const;
  // How many requests are served before a new one of that customer.
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

  // In order of turn. No customer and no class in it is ever empty.
  std::list<Customer> customers_;
  std::size_t size_ = 0;
};

}  // namespace vanillafall

#endif  // DECISION_FAIR_QUEUE_H_
