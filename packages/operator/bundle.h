#ifndef OPERATOR_BUNDLE_H_
#define OPERATOR_BUNDLE_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "config/fleet_config.h"
#include "config/problem.h"

namespace vanillafall {

// Published documents by name, as read from or written to a directory.
using PublishedDocuments = std::map<std::string, std::string>;

// Documents to publish, by name. Publish the manifest last.
struct Bundle {
  Manifest manifest;
  PublishedDocuments documents;
  // The services themselves, those kept from before among them.
  std::vector<ServiceConfig> services;
  std::vector<Problem> problems;
  // Services that have no file any more and leave the fleet.
  std::vector<std::string> removed;
  // Services that may have lost their file, kept because some file could not
  // be read far enough to tell whose it is.
  std::vector<std::string> kept;
};

// One service file as read from disk.
struct ServiceFile {
  std::string file;
  std::string text;
};

// Makes the documents of the service files. The previous documents give the
// numbers: a service whose content is unchanged keeps its document, a changed
// one gets the manifest's number. The manifest's number always rises, so that
// bundling again settles two publications of one number, and a service that
// was removed and comes back has no lower number than before.
//
// A file with problems keeps its service's previous document and stops no
// other. A service without a file is removed, unless the name of some bad
// file's service can't be read: then nobody can tell a removal from a damaged
// file, and all services without a file are kept.
//
// A document names the former sets of guards for a day after they were
// replaced: a daemon that is cut off may hold a former document for hours. A
// change that would need more sets than a document holds is a problem; it waits
// until the oldest set may go.
Bundle MakeBundle(const std::vector<ServiceFile>& files,
                  const PublishedDocuments& previous,
                  WallTime published_at);

// The services of published documents; those that can't be read are left out.
std::vector<ServiceConfig> ReadServices(const PublishedDocuments& documents);

}  // namespace vanillafall

#endif  // OPERATOR_BUNDLE_H_
