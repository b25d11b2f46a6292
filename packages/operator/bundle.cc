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

constexpr std::size_t kMostFormerGuardSets = 64;
constexpr milliseconds kFormerGuardsKept = std::chrono::hours(24);

std::optional<ServiceConfig> PreviousOf(
    const std::string& name,
    const std::map<std::string, std::string>& previous) {
  const auto found = previous.find(name);
  return found == previous.end() ? std::nullopt : DecodeService(found->second);
}

bool HasSameGuards(const ServiceConfig& a, const ServiceConfig& b) {
  const GuardSet left = a.CurrentGuards();
  const GuardSet right = b.CurrentGuards();
  return left.guards == right.guards && left.data_centres == right.data_centres;
}

// Gives the service the next number if its content differs from before.
void Number(ServiceConfig& service,
            const std::optional<ServiceConfig>& previous,
            milliseconds published_at) {
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
  std::erase_if(service.former_guards, [published_at](const GuardSet& set) {
    return set.replaced_at + kFormerGuardsKept < published_at;
  });
  // A shorter window must not shorten what was promised for keys in use.
  const bool is_former_needed = !HasSameGuards(service, *previous) ||
                                service.resend_window < previous->resend_window;
  if (is_former_needed) {
    service.former_guards.push_back(previous->CurrentGuards());
    service.former_guards.back().replaced_at = published_at;
  }
}

void AddDocument(const std::string& service,
                 std::uint64_t number,
                 const std::string& body,
                 Bundle& bundle) {
  bundle.documents[ServiceDocumentName(service)] = body;
  bundle.manifest.entries.push_back({service, number, DigestOf(body)});
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
                  const std::map<std::string, std::string>& previous,
                  WallTime published_at) {
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
    Number(service, PreviousOf(ServiceDocumentName(service.name), previous),
           std::chrono::duration_cast<milliseconds>(
               published_at.time_since_epoch()));
    if (service.former_guards.size() > kMostFormerGuardSets) {
      bundle.problems.push_back(
          {file.file, 0, "backend_server",
           std::to_string(service.former_guards.size()) +
               " changes of owners within a day",
           "at most " + std::to_string(kMostFormerGuardSets)});
      continue;
    }
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
