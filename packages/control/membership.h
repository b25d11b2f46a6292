#ifndef CONTROL_MEMBERSHIP_H_
#define CONTROL_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "config/fleet_config.h"
#include "config/instance_list.h"
#include "message/peer.h"

namespace vanillafall {

// What one daemon knows of the others. Each source is believed for one thing:
//
//   settings (seeds)       an address worth asking, for ever
//   configuration (owners) the address of a daemon, and its data centre until
//                          the daemon itself has named it
//   the platform's list    addresses, data centres, who is leaving; never that
//                          somebody is alive or dead
//   exchange               a reply proves that the other is reached; failures
//                          in a row make it suspected; its own word on its
//                          data centre and incarnation goes before all others
//
// A probe that comes in proves that its sender lives but not that it can be
// reached, so it never clears a suspicion; one-way cuts look like that.
class Membership {
 public:
  Membership(PeerAddress self, std::string data_centre);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Each replaces what the same source said before.
  void LearnSeeds(const std::vector<PeerAddress>& seeds);
  void LearnOwners(const FleetConfig& config);
  void LearnInstances(const std::vector<ListedInstance>& instances);

  // A probe came in. False when it was sent by a process that has since been
  // replaced at its address; it then counts for nothing.
  bool OnProbe(const ConfigProbe& probe, TimePoint now);
  void OnReply(const PeerAddress& peer,
               const ConfigProbeReply& reply,
               TimePoint now);
  // A call to the peer has brought no reply.
  void OnFailure(const PeerAddress& peer);
  // Drops members that no source names and that have long been silent.
  void Expire(TimePoint now);

  // Whether this daemon is one of its data centre's few platform watchers, as
  // far as it can see. Daemons that see differently make the watchers more,
  // never fewer than the reachable ones among the first two.
  bool ShouldWatch() const;
  // Members whose loss could make this daemon a watcher; empty for all daemons
  // but the next few in line. Probe them each period.
  std::vector<PeerAddress> GetMonitored(std::mt19937_64& random) const;

  // Up to so many different members to exchange with, in turn from this data
  // centre and from others, also from one call to the next: whoever can reach
  // only its own data centre asks there at every second call. Now and then a
  // suspected one, to see whether it is back.
  std::vector<PeerAddress> Choose(std::size_t count, std::mt19937_64& random);
  // A fellow owner of a service of ours that has not replied in its present
  // incarnation; empty when all have.
  PeerAddress ChooseUnreachedCoOwner(std::mt19937_64& random) const;

  bool IsSuspected(const PeerAddress& peer) const;
  // It has answered in its present incarnation and is not suspected.
  bool IsReached(const PeerAddress& peer) const;
  bool IsKnown(const PeerAddress& peer) const;

  struct Counts {
    std::size_t known = 0;
    std::size_t reached = 0;
    std::size_t suspected = 0;
    std::size_t leaving = 0;
  };
  Counts GetCounts() const;

 private:
  struct Member {
    // Place in the data centre's order of watchers; the greatest is the first.
    std::uint64_t watch_weight = 0;
    std::string data_centre;
    bool is_seed = false;
    bool is_owner = false;
    bool is_co_owner = false;
    bool is_listed = false;
    bool is_leaving = false;
    // It has itself said where it is.
    bool has_reported_data_centre = false;
    bool is_reached = false;
    bool is_platform_reached = true;
    std::uint32_t failures_in_row = 0;
    std::uint64_t incarnation = 0;
    // The incarnation that was replaced last.
    std::uint64_t replaced_incarnation = 0;
    TimePoint last_received;

    bool IsSuspected() const;
    bool HasSource() const { return is_seed || is_owner || is_listed; }
  };
  // One member ahead of this daemon in the data centre's order of watchers.
  struct RankedMember {
    const PeerAddress* address = nullptr;
    const Member* member = nullptr;
  };

  Member* Add(const PeerAddress& address);
  // False for an incarnation that has been replaced.
  static bool RecordContact(Member& member,
                            std::uint64_t incarnation,
                            const std::string& data_centre,
                            TimePoint now);
  std::vector<RankedMember> GetMembersAhead() const;

  const PeerAddress self_;
  const std::string data_centre_;
  const Hash128 watch_key_;
  const std::uint64_t own_watch_weight_;
  std::map<PeerAddress, Member> members_;
  bool is_remote_next_ = false;
};

}  // namespace vanillafall

#endif  // CONTROL_MEMBERSHIP_H_
