#ifndef CONTROL_ASSEMBLY_H_
#define CONTROL_ASSEMBLY_H_

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "config/document.h"
#include "config/fleet_config.h"
#include "message/peer.h"

namespace vanillafall {

// Where a document comes from: a daemon, or the platform as the empty address.
using ConfigSource = PeerAddress;
inline const ConfigSource kFromPlatform;

// Documents by their published names. A publication shares the bodies that it
// has in common with the one before.
using DocumentBody = std::shared_ptr<const std::string>;
using DocumentBodies = std::map<std::string, DocumentBody, std::less<>>;

// One publication that is being gathered, document by document, from all
// sources that are known to hold it. Nothing of it is in force before the last
// document has come and each agrees with its digest.
class Assembly {
 public:
  // One document to ask for.
  struct Fetch {
    std::string name;
    Hash128 digest;
    ConfigSource source;
  };
  enum class AddResult { kAccepted, kDamaged, kNotNeeded };

  Assembly(ConfigVersion version,
           Manifest manifest,
           std::string manifest_body,
           TimePoint now);

  // Takes over every document of the right digest, so that only changes are
  // asked for.
  void Reuse(const DocumentBodies& bodies);

  void AddSource(const ConfigSource& source);
  // The source does not answer or no longer holds the publication.
  void RemoveSource(const ConfigSource& source);
  bool HasSources() const { return !sources_.empty(); }

  // The next documents to ask for, at most so many in flight; notes them as
  // asked for. Each source is tried once a document before any is tried again,
  // and then only after a pause. A daemon that takes long is not waited for:
  // what it sends late is still taken.
  std::vector<Fetch> NextFetches(std::size_t max_in_flight,
                                 TimePoint now,
                                 std::mt19937_64& random);
  AddResult AddDocument(const std::string& name,
                        std::string body,
                        TimePoint now);
  // The document did not come from the source that was asked.
  void OnFetchFailed(const std::string& name, const ConfigSource& source);
  // The request for it was not sent after all; it costs the source nothing.
  void CancelFetch(const std::string& name);

  bool IsComplete() const { return missing_.empty(); }
  // When the last good document came.
  TimePoint last_progress() const { return last_progress_; }
  const ConfigVersion& version() const { return version_; }
  const Manifest& manifest() const { return manifest_; }
  const std::string& manifest_body() const { return manifest_body_; }
  const DocumentBodies& bodies() const { return bodies_; }
  std::vector<std::string> GetMissing() const;

 private:
  struct Missing;

  // Lets other sources be asked beside a daemon that has not answered in time.
  void ReleaseSlowFetch(Missing& missing, TimePoint now) const;

  struct Missing {
    Hash128 digest;
    std::set<ConfigSource> tried_sources;
    std::optional<ConfigSource> fetching_from;
    TimePoint fetch_began;
    TimePoint not_before;
  };

  const ConfigVersion version_;
  const Manifest manifest_;
  const std::string manifest_body_;
  TimePoint last_progress_;
  DocumentBodies bodies_;
  std::map<std::string, Missing, std::less<>> missing_;
  std::set<ConfigSource> sources_;
};

}  // namespace vanillafall

#endif  // CONTROL_ASSEMBLY_H_
