#ifndef OPERATOR_CONFIG_SUMMARY_H_
#define OPERATOR_CONFIG_SUMMARY_H_

#include <string>
#include <vector>

namespace vanillafall {

// One daemon's answer to /config; the body is empty when it did not answer.
struct ConfigAnswer {
  std::string daemon;
  std::string body;
};

// Text for people: which daemon has which version and since when, who lags,
// since when and why, and when each change arrived where.
std::string SummarizeConfig(const std::vector<ConfigAnswer>& answers);

}  // namespace vanillafall

#endif  // OPERATOR_CONFIG_SUMMARY_H_
