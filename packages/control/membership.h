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

// The other daemons as one daemon knows them. Each source of information is
// used only for certain facts:
//
//   settings (seeds)       addresses of daemons to probe; they never expire
//   configuration (owners) the address of a daemon, and its data centre until
//                          the daemon itself has reported it
//   the platform's list    addresses, data centres and which daemons are
//                          leaving; never whether a daemon is alive
//   probes and replies     a reply proves that the daemon can be reached;
//                          failures in a row make it suspected; the data centre
//                          and incarnation that it reports of itself override
//                          all other sources
//
// An incoming probe proves that its sender is alive, but not that this daemon
// can reach it: the network may be broken in one direction only. It therefore
// never clears a suspicion.
class Membership {
 public:
  Membership(PeerAddress self, std::string data_centre);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // LearnOwners and LearnInstances replace what the same source reported
  // before; seeds are kept.
  void LearnSeeds(const std::vector<PeerAddress>& seeds);
  void LearnOwners(const FleetConfig& config);
  void LearnInstances(const std::vector<ListedInstance>& instances);

  // Records an incoming probe. Returns false and ignores the probe when the
  // process that sent it has since been replaced at its address.
  bool OnProbe(const ConfigProbe& probe, TimePoint now);
  // Records a reply: the peer can be reached and is not suspected. A reply of a
  // process that has since been replaced is ignored.
  void OnReply(const PeerAddress& peer,
               const ConfigProbeReply& reply,
               TimePoint now);
  // Records that a call to the peer brought no reply.
  void OnFailure(const PeerAddress& peer);
  // Removes members that no source lists and from which nothing has been
  // received for 60 s.
  void Expire(TimePoint now);

  // Whether this daemon is one of the few daemons of its data centre that watch
  // the platform: the first two in the data centre's order that are not
  // suspected, or up to four while some of those do not reach the platform.
  // When daemons disagree about who is suspected, the only effect is that more
  // of them watch: each of the first two that can be reached always watches.
  bool ShouldWatch() const;
  // Members whose failure could make this daemon a watcher, to be probed each
  // period. Empty for all daemons but the first few in the order of watchers.
  std::vector<PeerAddress> GetMonitored(std::mt19937_64& random) const;

  // Chooses up to `count` different members to probe, alternately from this
  // data centre and from others. The alternation continues across calls, so
  // that a daemon that reaches only its own data centre still probes a member
  // there at every second call. One choice in eight includes a suspected
  // member, to notice when it is back.
  std::vector<PeerAddress> Choose(std::size_t count, std::mt19937_64& random);
  // Chooses a co-owner (another owner of a service that this daemon owns
  // servers of) that is not suspected and has not replied in its present
  // incarnation. Empty when there is none.
  PeerAddress ChooseUnreachedCoOwner(std::mt19937_64& random) const;

  bool IsSuspected(const PeerAddress& peer) const;
  // Whether the peer has replied in its present incarnation and is not
  // suspected.
  bool IsReached(const PeerAddress& peer) const;
  bool IsKnown(const PeerAddress& peer) const;

  // Numbers of members, for operators.
  struct Counts {
    std::size_t known = 0;
    std::size_t reached = 0;
    std::size_t suspected = 0;
    std::size_t leaving = 0;
  };
  Counts GetCounts() const;

 private:
  struct Member {
    // Position in its data centre's order of watchers; the greatest weight
    // comes first.
    std::uint64_t watch_weight = 0;
    std::string data_centre;
    bool is_seed = false;
    bool is_owner = false;
    bool is_co_owner = false;
    bool is_listed = false;
    bool is_leaving = false;
    // Whether `data_centre` was reported by the member itself.
    bool has_reported_data_centre = false;
    // Whether the member has replied in its present incarnation.
    bool is_reached = false;
    bool is_platform_reached = true;
    std::uint32_t failures_in_row = 0;
    std::uint64_t incarnation = 0;
    // The incarnation before the present one; its late messages are ignored.
    std::uint64_t replaced_incarnation = 0;
    // When a probe or reply was last received from the member.
    TimePoint last_received;

    bool IsSuspected() const;
    // Whether any source lists the member.
    bool HasSource() const { return is_seed || is_owner || is_listed; }
  };
  // A member that precedes this daemon in the data centre's order of watchers.
  struct RankedMember {
    const PeerAddress* address = nullptr;
    const Member* member = nullptr;
  };

  // Finds or adds the member; null for an empty address and for this daemon.
  Member* Add(const PeerAddress& address);
  // Records a message of the member. Returns false, and records nothing, when
  // its incarnation has been replaced.
  static bool RecordContact(Member& member,
                            std::uint64_t incarnation,
                            const std::string& data_centre,
                            TimePoint now);
  // The members of this data centre that precede this daemon in the order of
  // watchers and are not leaving, in that order.
  std::vector<RankedMember> GetMembersAhead() const;

  const PeerAddress self_;
  const std::string data_centre_;
  const Hash128 watch_key_;
  const std::uint64_t own_watch_weight_;
  std::map<PeerAddress, Member> members_;
  // Whether Choose takes a member of another data centre next.
  bool is_remote_next_ = false;
};

}  // namespace vanillafall

#endif  // CONTROL_MEMBERSHIP_H_
