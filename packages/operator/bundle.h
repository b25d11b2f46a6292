#ifndef OPERATOR_BUNDLE_H_
#define OPERATOR_BUNDLE_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "config/fleet_config.h"
#include "config/problem.h"

namespace vanillafall {

// Documents to publish, by name. Publish the manifest last.
struct Bundle {
  Manifest manifest;
  std::map<std::string, std::string> documents;
  std::vector<Problem> problems;
};

// One service file as read from disk.
struct ServiceFile {
  std::string file;
  std::string text;
};

// Makes the documents of the service files. The previous documents give the
// numbers: a service whose content is unchanged keeps its document, a changed
// one gets the next number. A file with problems keeps its service's previous
// document and stops no other.
//
// A document names the former sets of guards for a day after they were
// replaced: a daemon that is cut off may hold a former document for hours. A
// change that would need more sets than a document holds is a problem; it waits
// until the oldest set may go.
Bundle MakeBundle(const std::vector<ServiceFile>& files,
                  const std::map<std::string, std::string>& previous,
                  WallTime published_at);

}  // namespace vanillafall

#endif  // OPERATOR_BUNDLE_H_
