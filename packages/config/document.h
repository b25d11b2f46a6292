#ifndef CONFIG_DOCUMENT_H_
#define CONFIG_DOCUMENT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/fleet_config.h"

namespace vanillafall {

// Names under which documents are published: one manifest, and one document
// for each service.
inline constexpr char kManifestName[] = "manifest";
std::string ServiceDocumentName(std::string_view service);

// Largest value that the platform's store accepts.
inline constexpr std::size_t kMaxValueBytes = 1U << 20U;

// Name and digest of one published value. A service's document consists of one
// value, or of several when it is too large for one.
struct DocumentPart {
  std::string name;
  Hash128 digest;
};

// The values that hold the document of a manifest entry, in order. Their
// bodies, concatenated, are the document.
std::vector<DocumentPart> PartsOf(const ManifestEntry& entry);
// Splits a document into bodies that fit into one value each. Only the largest
// documents need more than one.
std::vector<std::string> SplitDocument(std::string_view body);
// Makes the manifest entry of a service; the body is its encoded document.
ManifestEntry MakeManifestEntry(const ServiceConfig& service,
                                std::string_view body);

std::string EncodeManifest(const Manifest& manifest);
std::string EncodeService(const ServiceConfig& service);

// Decode a published document. Return nullopt when any part of it is damaged or
// any value is out of range, so that a partly readable document never comes
// into force.
std::optional<Manifest> DecodeManifest(std::string_view text);
std::optional<ServiceConfig> DecodeService(std::string_view text);

// Digest of a document's bytes, as listed in the manifest.
Hash128 DigestOf(std::string_view text);

}  // namespace vanillafall

#endif  // CONFIG_DOCUMENT_H_
