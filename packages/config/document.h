#ifndef CONFIG_DOCUMENT_H_
#define CONFIG_DOCUMENT_H_

#include <optional>
#include <string>
#include <string_view>

#include "config/fleet_config.h"

namespace vanillafall {

// Published names: the manifest, and one document a service.
inline constexpr char kManifestName[] = "manifest";
std::string ServiceDocumentName(std::string_view service);

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
