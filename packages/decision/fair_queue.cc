#include "decision/fair_queue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace vanillafall {

void FairQueue::Push(const AdmissionRequest& request) {
  Customer& customer = FindOrAddCustomer(request.customer);
  auto class_queue =
      std::find_if(customer.class_queues.begin(), customer.class_queues.end(),
                   [&request](const ClassQueue& each) {
                     return each.request_class == request.request_class;
                   });
  if (class_queue == customer.class_queues.end()) {
    class_queue =
        customer.class_queues.insert(class_queue, {request.request_class, {}});
  }
  class_queue->requests.push_back(request);
  ++customer.size;
  ++size_;
}

const AdmissionRequest& FairQueue::Front() const {
  assert(!empty() && "Front needs a waiting request");
  return customers_.front().class_queues.front().requests.front();
}

AdmissionRequest FairQueue::Pop() {
  assert(!empty() && "Pop needs a waiting request");
  Customer& customer = customers_.front();
  ClassQueue& class_queue = customer.class_queues.front();
  AdmissionRequest request = std::move(class_queue.requests.front());
  class_queue.requests.pop_front();
  --customer.size;
  --size_;
  customer.class_queues.splice(customer.class_queues.end(),
                               customer.class_queues,
                               customer.class_queues.begin());
  customers_.splice(customers_.end(), customers_, customers_.begin());
  EraseEmptyQueues();
  return request;
}

FairQueue::Ticket FairQueue::TakeNewestOf(std::string_view name) {
  const auto customer =
      std::find_if(customers_.begin(), customers_.end(),
                   [name](const Customer& each) { return each.name == name; });
  assert(customer != customers_.end() &&
         "the customer must have a waiting request");
  const auto class_queue = std::max_element(
      customer->class_queues.begin(), customer->class_queues.end(),
      [](const ClassQueue& a, const ClassQueue& b) {
        return a.requests.size() < b.requests.size();
      });
  const Ticket ticket = class_queue->requests.back().ticket;
  class_queue->requests.pop_back();
  --customer->size;
  --size_;
  EraseEmptyQueues();
  return ticket;
}

std::vector<FairQueue::Ticket> FairQueue::TakeExpired(TimePoint now) {
  std::vector<Ticket> expired;
  const auto take_if_expired = [&expired, now](const AdmissionRequest& each) {
    if (each.deadline > now) {
      return false;
    }
    expired.push_back(each.ticket);
    return true;
  };
  for (Customer& customer : customers_) {
    for (ClassQueue& class_queue : customer.class_queues) {
      const std::size_t erased =
          std::erase_if(class_queue.requests, take_if_expired);
      customer.size -= erased;
      size_ -= erased;
    }
  }
  EraseEmptyQueues();
  return expired;
}

std::vector<FairQueue::Ticket> FairQueue::TakeAll() {
  return TakeExpired(TimePoint::max());
}

std::size_t FairQueue::CountOf(std::string_view name) const {
  const auto customer =
      std::find_if(customers_.begin(), customers_.end(),
                   [name](const Customer& each) { return each.name == name; });
  return customer == customers_.end() ? 0 : customer->size;
}

std::string_view FairQueue::CustomerWithMostWaiting() const {
  assert(!empty() && "CustomerWithMostWaiting needs a waiting request");
  return std::max_element(customers_.begin(), customers_.end(),
                          [](const Customer& a, const Customer& b) {
                            return a.size < b.size;
                          })
      ->name;
}

std::size_t FairQueue::CountAheadOf(std::string_view name) const {
  const std::size_t own = CountOf(name);
  std::size_t ahead = own;
  for (const Customer& customer : customers_) {
    ahead += customer.name == name ? 0 : std::min(customer.size, own + 1);
  }
  return ahead;
}

FairQueue::Customer& FairQueue::FindOrAddCustomer(const std::string& name) {
  auto customer =
      std::find_if(customers_.begin(), customers_.end(),
                   [&name](const Customer& each) { return each.name == name; });
  if (customer == customers_.end()) {
    customer = customers_.insert(customer, {name, {}, 0});
  }
  return *customer;
}

void FairQueue::EraseEmptyQueues() {
  for (Customer& customer : customers_) {
    std::erase_if(customer.class_queues, [](const ClassQueue& class_queue) {
      return class_queue.requests.empty();
    });
  }
  std::erase_if(customers_, [](const Customer& customer) {
    return customer.class_queues.empty();
  });
}

}  // namespace vanillafall
