#include "dispatch/customer_usage.h"

#include <cmath>

namespace vanillafall {
namespace {

using Seconds = std::chrono::duration<double>;

// Time constants by which requests lose weight. A surge of a few seconds must
// show soon and hardly change what counts as usual.
constexpr Seconds kRecentTime{1.5};
constexpr Seconds kUsualTime{60.0};
// What is usual for a customer is unknown for this time.
constexpr Seconds kLearnTime{10.0};
// Fewer recent requests than this are no surge: a customer that usually sends
// less than one request in several seconds sends two in short order by chance.
constexpr double kMinRecent = 2.5;
constexpr std::uint64_t kDrawSteps = 1024;
// A customer is forgotten after this time without requests.
constexpr Seconds kRetention{120.0};

}  // namespace

bool CustomerUsage::OnAsked(std::uint64_t customer,
                            double requests,
                            std::uint64_t draw,
                            TimePoint now) {
  if (customer == 0) {
    return false;
  }
  if (customers_.size() >= kMaxCustomers && !customers_.contains(customer)) {
    std::erase_if(customers_, [now](const auto& entry) {
      return now - entry.second.updated > kRetention;
    });
    if (customers_.size() >= kMaxCustomers) {
      return false;
    }
  }
  const auto [entry, is_new] = customers_.try_emplace(customer);
  Usage& usage = entry->second;
  if (is_new) {
    usage.first_seen = now;
    usage.updated = now;
  }
  const Seconds gap = now - usage.updated;
  usage.updated = now;
  usage.recent = usage.recent * std::exp(-gap / kRecentTime) + requests;
  usage.usual = usage.usual * std::exp(-gap / kUsualTime) + requests;
  const Seconds age = now - usage.first_seen;
  if (age < kLearnTime || usage.recent < kMinRecent) {
    return false;
  }
  const double usual_rate =
      usage.usual / (kUsualTime.count() * (1 - std::exp(-age / kUsualTime)));
  const double recent_rate = usage.recent / kRecentTime.count();
  if (recent_rate < kSurgeMultiple * usual_rate) {
    return false;
  }
  const double excess_share = 1 - kUsualMultiple * usual_rate / recent_rate;
  // A surge must not become usual.
  usage.usual -= requests * excess_share;
  return static_cast<double>(draw % kDrawSteps) <
         excess_share * static_cast<double>(kDrawSteps);
}

}  // namespace vanillafall
