#include "operator/bundle.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "config/document.h"
#include "config/service_file.h"

namespace vanillafall {
namespace {

constexpr std::size_t kMostFormerGuardSets = 8;

std::optional<ServiceConfig> PreviousOf(
    const std::string& name,
    const std::map<std::string, std::string>& previous) {
  const auto found = previous.find(name);
  return found == previous.end() ? std::nullopt : DecodeService(found->second);
}

// Gives the service the next number if its content differs from before.
void Number(ServiceConfig& service,
            const std::optional<ServiceConfig>& previous) {
  if (!previous) {
    service.number = 1;
    return;
  }
  service.number = previous->number;
  service.former_guards = previous->former_guards;
  if (EncodeService(service) == EncodeService(*previous)) {
    return;
  }
  service.number = previous->number + 1;
  if (service.Owners() != previous->Owners()) {
    service.former_guards.push_back({previous->number, previous->Owners()});
  }
  if (service.former_guards.size() > kMostFormerGuardSets) {
    service.former_guards.erase(service.former_guards.begin());
  }
}

void AddDocument(const std::string& service,
                 std::uint64_t number,
                 const std::string& body,
                 Bundle& bundle) {
  bundle.documents[ServiceDocumentName(service)] = body;
  bundle.manifest.entries.push_back({service, number, DigestOf(body), {}});
}

// Previous documents of services that no good file describes now.
void KeepPrevious(const std::map<std::string, std::string>& previous,
                  Bundle& bundle) {
  for (const auto& [name, body] : previous) {
    const std::optional<ServiceConfig> service = DecodeService(body);
    if (service && !bundle.documents.contains(name)) {
      AddDocument(service->name, service->number, body, bundle);
    }
  }
}

}  // namespace

Bundle MakeBundle(const std::vector<ServiceFile>& files,
                  const std::map<std::string, std::string>& previous) {
  Bundle bundle;
  std::set<std::string> names;
  for (const ServiceFile& file : files) {
    Parsed<ServiceConfig> parsed = ParseServiceFile(file.text, file.file);
    if (parsed.ok() && !names.insert(parsed.value.name).second) {
      parsed.problems.push_back({file.file, 0, "service", parsed.value.name,
                                 "a name that no other file has"});
    }
    if (!parsed.ok()) {
      bundle.problems.insert(bundle.problems.end(), parsed.problems.begin(),
                             parsed.problems.end());
      continue;
    }
    ServiceConfig& service = parsed.value;
    Number(service, PreviousOf(ServiceDocumentName(service.name), previous));
    AddDocument(service.name, service.number, EncodeService(service), bundle);
  }
  KeepPrevious(previous, bundle);
  const auto held = previous.find(kManifestName);
  const std::optional<Manifest> before =
      held == previous.end() ? std::nullopt : DecodeManifest(held->second);
  bundle.manifest.number = before ? before->number + 1 : 1;
  bundle.documents[kManifestName] = EncodeManifest(bundle.manifest);
  return bundle;
}

}  // namespace vanillafall
