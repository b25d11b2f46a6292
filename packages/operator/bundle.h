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

// Bodies of published documents by name, as read from or written to a
// directory.
using PublishedDocuments = std::map<std::string, std::string>;

// A complete set of documents to publish, and how it came about.
struct Bundle {
  Manifest manifest;
  // All documents, the manifest included. Publish the manifest last.
  PublishedDocuments documents;
  // The services that the documents describe, including those taken over
  // unchanged from the previous documents.
  std::vector<ServiceConfig> services;
  // Problems found in the service files.
  std::vector<Problem> problems;
  // Services that no longer have a file and are left out of the manifest.
  std::vector<std::string> removed;
  // Services without a file that are published again, because the service name
  // in some file cannot be read and that file may describe any of them.
  std::vector<std::string> kept;
};

// One service file as read from disk.
struct ServiceFile {
  // Path of the file, used in problems.
  std::string file;
  std::string text;
};

// Makes documents from the service files and numbers them on the basis of the
// previous documents: the manifest's number is always higher than the previous
// one, an unchanged service keeps its document, and a changed one gets the
// manifest's number. Bundling again therefore resolves a conflict between two
// publications with the same number, and a service that was removed and is
// added again never gets a lower number than before.
//
// When a file has problems, its service keeps its previous document; the other
// files are not affected. A service without a file is removed, unless the
// service name in some file cannot be read. That file may belong to any service
// without a file, so all of these are kept.
//
// A document lists former guard sets for a day after they were replaced,
// because a disconnected daemon may use a former document for hours. A change
// that would exceed the maximum number of former sets in a document is a
// problem: the service keeps its previous document until enough sets are a day
// old.
Bundle MakeBundle(const std::vector<ServiceFile>& files,
                  const PublishedDocuments& previous,
                  WallTime published_at);

// Decodes the services of published documents. Leaves out services whose
// document is missing or damaged.
std::vector<ServiceConfig> ReadServices(const PublishedDocuments& documents);

}  // namespace vanillafall

#endif  // OPERATOR_BUNDLE_H_
