#ifndef CONFIG_DOCUMENT_H_
#define CONFIG_DOCUMENT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/fleet_config.h"

namespace vanillafall {

// Published names: the manifest, and one document a service.
inline constexpr char kManifestName[] = "manifest";
std::string ServiceDocumentName(std::string_view service);

// Greatest value that the platform holds.
inline constexpr std::size_t kMaxValueBytes = 1U << 20U;

// One published value of a service's document.
struct DocumentPart {
  std::string name;
  Hash128 digest;
};

// The values that an entry of the manifest stands for, in order. Joined they
// are the document.
std::vector<DocumentPart> PartsOf(const ManifestEntry& entry);
// Cuts a document into the bodies of its values. One body for all documents
// but the largest.
std::vector<std::string> SplitDocument(std::string_view body);
// Entry of the manifest for a document.
ManifestEntry MakeManifestEntry(const ServiceConfig& service,
                                std::string_view body);

std::string EncodeManifest(const Manifest& manifest);
std::string EncodeService(const ServiceConfig& service);

// Read a published document; empty when it is damaged or a value is out of its
// range, so that half a document is never in force.
std::optional<Manifest> DecodeManifest(std::string_view text);
std::optional<ServiceConfig> DecodeService(std::string_view text);

// Digest of a document's bytes, as the manifest names it.
Hash128 DigestOf(std::string_view text);

}  // namespace vanillafall

#endif  // CONFIG_DOCUMENT_H_
