#include "operator/bundle.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "config/document.h"
#include "config/service_file.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxFormerGuardSets = 64;
constexpr milliseconds kFormerGuardRetention = std::chrono::hours(24);

// Joins the parts of an entry's document. Returns nullopt when a part is
// missing or the digest differs.
std::optional<std::string> JoinParts(const ManifestEntry& entry,
                                     const PublishedDocuments& documents) {
  std::string body;
  for (const DocumentPart& part : PartsOf(entry)) {
    const auto found = documents.find(part.name);
    if (found == documents.end()) {
      return std::nullopt;
    }
    body += found->second;
  }
  return DigestOf(body) == entry.digest ? std::optional(body) : std::nullopt;
}

std::optional<Manifest> ReadManifest(const PublishedDocuments& documents) {
  const auto found = documents.find(kManifestName);
  return found == documents.end() ? std::nullopt
                                  : DecodeManifest(found->second);
}

const ServiceConfig* FindByName(const std::vector<ServiceConfig>& services,
                                const std::string& name) {
  const auto found = std::find_if(
      services.begin(), services.end(),
      [&name](const ServiceConfig& each) { return each.name == name; });
  return found == services.end() ? nullptr : &*found;
}

bool HasSameGuards(const ServiceConfig& a, const ServiceConfig& b) {
  const GuardSet left = a.CurrentGuards();
  const GuardSet right = b.CurrentGuards();
  return left.guards == right.guards && left.data_centres == right.data_centres;
}

// Gives the service the manifest's number if its content differs from the
// previous document, and updates its list of former guard sets.
void AssignNumber(ServiceConfig& service,
                  const ServiceConfig* previous,
                  std::uint64_t manifest_number,
                  milliseconds published_at) {
  if (previous == nullptr) {
    service.number = manifest_number;
    return;
  }
  service.number = previous->number;
  service.former_guards = previous->former_guards;
  if (EncodeService(service) == EncodeService(*previous)) {
    return;
  }
  service.number = manifest_number;
  std::erase_if(service.former_guards, [published_at](const GuardSet& set) {
    return set.replaced_at + kFormerGuardRetention < published_at;
  });
  // A key that is already in use keeps the longer resend window under which it
  // was first used.
  const bool is_former_needed = !HasSameGuards(service, *previous) ||
                                service.resend_window < previous->resend_window;
  if (is_former_needed) {
    service.former_guards.push_back(previous->CurrentGuards());
    service.former_guards.back().replaced_at = published_at;
  }
}

void AddService(ServiceConfig service, Bundle& bundle) {
  const std::string body = EncodeService(service);
  const ManifestEntry entry = MakeManifestEntry(service, body);
  const std::vector<DocumentPart> parts = PartsOf(entry);
  const std::vector<std::string> bodies = SplitDocument(body);
  for (std::size_t i = 0; i < parts.size(); ++i) {
    bundle.documents[parts[i].name] = bodies[i];
  }
  bundle.manifest.entries.push_back(entry);
  bundle.services.push_back(std::move(service));
}

// The services described by the service files.
struct ParsedFiles {
  std::vector<ServiceConfig> valid;
  // Service names read from files with problems.
  std::set<std::string> invalid_names;
  // True when the service name in some file cannot be read.
  bool has_unreadable_name = false;
};

ParsedFiles ParseFiles(const std::vector<ServiceFile>& files,
                       std::vector<Problem>& problems) {
  ParsedFiles parsed_files;
  std::map<std::string, std::string> file_of;
  for (const ServiceFile& file : files) {
    Parsed<ServiceConfig> parsed = ParseServiceFile(file.text, file.file);
    const std::string& name = parsed.value.name;
    if (!name.empty()) {
      const auto [first, is_new] = file_of.try_emplace(name, file.file);
      if (!is_new) {
        parsed.problems.push_back({file.file, 0, "service",
                                   name + ", also used in " + first->second,
                                   "a name that no other service file uses"});
      }
    }
    problems.insert(problems.end(), parsed.problems.begin(),
                    parsed.problems.end());
    if (parsed.ok()) {
      parsed_files.valid.push_back(std::move(parsed.value));
    } else if (name.empty()) {
      parsed_files.has_unreadable_name = true;
    } else {
      parsed_files.invalid_names.insert(name);
    }
  }
  return parsed_files;
}

// Handles the previous services without a valid file: keeps the document of
// those that may still have a file, and removes the others.
void KeepOrRemove(const std::vector<ServiceConfig>& previous,
                  const ParsedFiles& parsed_files,
                  Bundle& bundle) {
  for (const ServiceConfig& service : previous) {
    if (FindByName(parsed_files.valid, service.name) != nullptr) {
      continue;
    }
    if (parsed_files.invalid_names.contains(service.name)) {
      AddService(service, bundle);
    } else if (parsed_files.has_unreadable_name) {
      bundle.kept.push_back(service.name);
      AddService(service, bundle);
    } else {
      bundle.removed.push_back(service.name);
    }
  }
}

}  // namespace

Bundle MakeBundle(const std::vector<ServiceFile>& files,
                  const PublishedDocuments& previous,
                  WallTime published_at) {
  Bundle bundle;
  const std::optional<Manifest> manifest = ReadManifest(previous);
  bundle.manifest.number = manifest ? manifest->number + 1 : 1;
  ParsedFiles parsed_files = ParseFiles(files, bundle.problems);
  const std::vector<ServiceConfig> previous_services = ReadServices(previous);
  for (ServiceConfig& service : parsed_files.valid) {
    const ServiceConfig* previous_service =
        FindByName(previous_services, service.name);
    AssignNumber(service, previous_service, bundle.manifest.number,
                 std::chrono::duration_cast<milliseconds>(
                     published_at.time_since_epoch()));
    if (service.former_guards.size() <= kMaxFormerGuardSets) {
      AddService(service, bundle);
      continue;
    }
    bundle.problems.push_back(
        {service.name, 0, "backend_server",
         std::to_string(service.former_guards.size()) +
             " changes of owners within a day",
         "at most " + std::to_string(kMaxFormerGuardSets)});
    AddService(*previous_service, bundle);
  }
  KeepOrRemove(previous_services, parsed_files, bundle);
  std::sort(bundle.manifest.entries.begin(), bundle.manifest.entries.end(),
            [](const ManifestEntry& a, const ManifestEntry& b) {
              return a.service < b.service;
            });
  bundle.documents[kManifestName] = EncodeManifest(bundle.manifest);
  return bundle;
}

std::vector<ServiceConfig> ReadServices(const PublishedDocuments& documents) {
  std::vector<ServiceConfig> services;
  const std::optional<Manifest> manifest = ReadManifest(documents);
  if (!manifest) {
    return services;
  }
  for (const ManifestEntry& entry : manifest->entries) {
    const std::optional<std::string> body = JoinParts(entry, documents);
    std::optional<ServiceConfig> service =
        body ? DecodeService(*body) : std::nullopt;
    if (service) {
      services.push_back(std::move(*service));
    }
  }
  return services;
}

}  // namespace vanillafall
