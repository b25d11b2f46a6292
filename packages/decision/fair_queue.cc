#include "decision/fair_queue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace vanillafall {

void FairQueue::Push(const AdmissionRequest& request) {
  Tenant& tenant = TenantNamed(request.tenant);
  auto lane = std::find_if(tenant.lanes.begin(), tenant.lanes.end(),
                           [&request](const ClassLane& each) {
                             return each.request_class == request.request_class;
                           });
  if (lane == tenant.lanes.end()) {
    lane = tenant.lanes.insert(lane, {request.request_class, {}});
  }
  lane->requests.push_back(request);
  ++tenant.size;
  ++size_;
}

const AdmissionRequest& FairQueue::Front() const {
  assert(!empty() && "ask for the front only while something waits");
  return tenants_.front().lanes.front().requests.front();
}

AdmissionRequest FairQueue::Pop() {
  assert(!empty() && "take only while something waits");
  Tenant& tenant = tenants_.front();
  ClassLane& lane = tenant.lanes.front();
  AdmissionRequest request = std::move(lane.requests.front());
  lane.requests.pop_front();
  --tenant.size;
  --size_;
  tenant.lanes.splice(tenant.lanes.end(), tenant.lanes, tenant.lanes.begin());
  tenants_.splice(tenants_.end(), tenants_, tenants_.begin());
  EraseEmptyLanes();
  return request;
}

FairQueue::Ticket FairQueue::TakeNewestOf(std::string_view name) {
  const auto tenant =
      std::find_if(tenants_.begin(), tenants_.end(),
                   [name](const Tenant& each) { return each.name == name; });
  assert(tenant != tenants_.end() && "the tenant must have something waiting");
  const auto lane =
      std::max_element(tenant->lanes.begin(), tenant->lanes.end(),
                       [](const ClassLane& a, const ClassLane& b) {
                         return a.requests.size() < b.requests.size();
                       });
  const Ticket ticket = lane->requests.back().ticket;
  lane->requests.pop_back();
  --tenant->size;
  --size_;
  EraseEmptyLanes();
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
  for (Tenant& tenant : tenants_) {
    for (ClassLane& lane : tenant.lanes) {
      const std::size_t erased = std::erase_if(lane.requests, take_if_expired);
      tenant.size -= erased;
      size_ -= erased;
    }
  }
  EraseEmptyLanes();
  return expired;
}

std::vector<FairQueue::Ticket> FairQueue::TakeAll() {
  return TakeExpired(TimePoint::max());
}

std::size_t FairQueue::CountOf(std::string_view name) const {
  const auto tenant =
      std::find_if(tenants_.begin(), tenants_.end(),
                   [name](const Tenant& each) { return each.name == name; });
  return tenant == tenants_.end() ? 0 : tenant->size;
}

std::string_view FairQueue::LongestTenant() const {
  assert(!empty() && "ask for the longest only while something waits");
  return std::max_element(
             tenants_.begin(), tenants_.end(),
             [](const Tenant& a, const Tenant& b) { return a.size < b.size; })
      ->name;
}

std::size_t FairQueue::CountAheadOf(std::string_view name) const {
  const std::size_t own = CountOf(name);
  std::size_t ahead = own;
  for (const Tenant& tenant : tenants_) {
    ahead += tenant.name == name ? 0 : std::min(tenant.size, own + 1);
  }
  return ahead;
}

FairQueue::Tenant& FairQueue::TenantNamed(const std::string& name) {
  auto tenant =
      std::find_if(tenants_.begin(), tenants_.end(),
                   [&name](const Tenant& each) { return each.name == name; });
  if (tenant == tenants_.end()) {
    tenant = tenants_.insert(tenant, {name, {}, 0});
  }
  return *tenant;
}

void FairQueue::EraseEmptyLanes() {
  for (Tenant& tenant : tenants_) {
    std::erase_if(tenant.lanes,
                  [](const ClassLane& lane) { return lane.requests.empty(); });
  }
  std::erase_if(tenants_,
                [](const Tenant& tenant) { return tenant.lanes.empty(); });
}

}  // namespace vanillafall
