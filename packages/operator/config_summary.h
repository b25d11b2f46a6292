#ifndef OPERATOR_CONFIG_SUMMARY_H_
#define OPERATOR_CONFIG_SUMMARY_H_

#include <string>
#include <vector>

namespace vanillafall {

// Answer of one daemon's operator port to /config.
struct ConfigAnswer {
  // Address of the daemon's operator port.
  std::string daemon;
  // JSON; empty when the daemon did not answer.
  std::string body;
};

// Formats the answers as text for people: for each daemon its configuration
// version, for how long and why it lags behind the newest one, and when its
// latest versions came into force.
std::string SummarizeConfig(const std::vector<ConfigAnswer>& answers);

}  // namespace vanillafall

#endif  // OPERATOR_CONFIG_SUMMARY_H_
