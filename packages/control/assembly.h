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

// Where a document comes from: the address of a daemon, or empty for the
// platform.
using ConfigSource = PeerAddress;
inline const ConfigSource kFromPlatform;

// Documents by their published names. A publication shares unchanged bodies
// with the one before.
using DocumentBody = std::shared_ptr<const std::string>;
using DocumentBodies = std::map<std::string, DocumentBody, std::less<>>;

// Collects the documents of one publication from all sources known to hold it.
// The publication can be put in force only once it is complete: every document
// has arrived with the digest that the manifest states.
class Assembly {
 public:
  // A document to request from a source.
  struct Fetch {
    std::string name;
    Hash128 digest;
    ConfigSource source;
  };
  // kDamaged: the digest differs. kNotNeeded: the document is not, or no
  // longer, missing.
  enum class AddResult { kAccepted, kDamaged, kNotNeeded };

  Assembly(ConfigVersion version,
           Manifest manifest,
           std::string manifest_body,
           TimePoint now);

  // Takes every missing document that `bodies` holds with the right digest, so
  // that only changed documents are requested.
  void Reuse(const DocumentBodies& bodies);

  void AddSource(const ConfigSource& source);
  // Call when the source does not answer or no longer holds the publication.
  void RemoveSource(const ConfigSource& source);
  bool HasSources() const { return !sources_.empty(); }

  // Returns the documents to request now and marks them as requested, with at
  // most `max_in_flight` requests open. For each document every source is tried
  // once before any is tried again, and then only after a pause of 1 s. When a
  // daemon has not answered within 300 ms, another source is tried; a late
  // answer of the first is still accepted.
  std::vector<Fetch> NextFetches(std::size_t max_in_flight,
                                 TimePoint now,
                                 std::mt19937_64& random);
  AddResult AddDocument(const std::string& name,
                        std::string body,
                        TimePoint now);
  // The source did not deliver the document.
  void OnFetchFailed(const std::string& name, const ConfigSource& source);
  // Undoes a fetch that was not sent. The source counts as not tried.
  void CancelFetch(const std::string& name);

  bool IsComplete() const { return missing_.empty(); }
  // When the last document was accepted, or the assembly began.
  TimePoint last_progress() const { return last_progress_; }
  const ConfigVersion& version() const { return version_; }
  const Manifest& manifest() const { return manifest_; }
  const std::string& manifest_body() const { return manifest_body_; }
  const DocumentBodies& bodies() const { return bodies_; }
  std::vector<std::string> GetMissing() const;

 private:
  struct Missing;

  // Allows another source to be tried when the daemon that the document was
  // requested from has not answered in time.
  void ReleaseSlowFetch(Missing& missing, TimePoint now) const;

  struct Missing {
    Hash128 digest;
    // Sources that failed or were slow since the last pause.
    std::set<ConfigSource> tried_sources;
    // The source of the open request.
    std::optional<ConfigSource> fetching_from;
    TimePoint fetch_began;
    // End of the pause before the document is requested again.
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
