/** @file member_base.h Membership of the balancers: random probes, indirect
 * probes and suspicion, as in SWIM. */

#ifndef CUMINVANE_MEMBER_MEMBER_BASE_H_
#define CUMINVANE_MEMBER_MEMBER_BASE_H_

#include <deque>
#include <map>
#include <string_view>
#include <vector>

#include "base/random_type.h"
#include "base/time_type.h"
#include "decision/output_type.h"
#include "document/settings_type.h"
#include "document/vmlist_type.h"
#include "member/member_type.h"

namespace cuminvane {

/**
 * Who of the fleet's balancers is there.
 *
 * The platform's list only proposes members; their own answers decide. Cost per
 * member does not depend on the size of the fleet: one probe an interval, and a
 * bounded number of updates in each message.
 */
class MemberTable {
 public:
  /**
   * @param self What this member says about itself.
   * @param timing Probe and suspicion times.
   */
  MemberTable(const MemberInfo& self, const MembershipTiming& timing);

  /** Takes the platform's list as a proposal of whom to probe. */
  void AddFromVmList(const VmList& list, TimePoint now);

  /** Handles a ping. */
  void OnPing(TimePoint now,
              const Endpoint& from,
              const Ping& ping,
              Output& out);
  /** Handles an acknowledgement. */
  void OnAck(TimePoint now, const Ack& ack, Output& out);
  /** Handles a request to probe another member. */
  void OnPingRequest(TimePoint now,
                     const Endpoint& from,
                     const PingRequest& request,
                     Output& out);
  /** Sends due probes and ends due suspicions. */
  void Tick(TimePoint now, RandomEngine& random, Output& out);

  /** Pings the first peers, and members that have not been heard yet. */
  void PingSeedPeers(const std::vector<Endpoint>& peers, Output& out);

  /** @return Whether every member that is not known to be gone has been heard
   * since this start. */
  bool HasHeardFromAllMembers() const;

  /** Tells all watched members at once that this member is leaving. */
  void AnnounceLeaving(Output& out);
  /** Tells all watched members at once that this member has left. */
  void AnnounceLeft(Output& out);

  /** Sets when this member's documents were last known to be the newest. */
  void SetDocumentsConfirmedAt(TimePoint at) {
    this->documents_confirmed_at = std::max(this->documents_confirmed_at, at);
  }
  /** @return When this member's documents were last known to be the newest. */
  TimePoint DocumentsConfirmedAt() const {
    return this->documents_confirmed_at;
  }
  /** Sets what this member tells of its documents and keys. */
  void SetVersions(const DocumentVersions& versions, KeyNumber newest_key);

  /** @return The members as believed now. */
  MemberView View() const;
  /** @return What this member says about itself. */
  const MemberInfo& Self() const { return this->self; }
  /** @return Grows with every change of the view. */
  uint64_t ViewRevision() const { return this->view_revision; }

 private:
  /** Belief about one other member. */
  struct KnownMember {
    MemberInfo info;
    TimePoint state_expires_at =
        kNever;  ///< End of a suspicion, or when a dead member is forgotten.
    int gossip_sends_left = 0;  ///< Messages this belief is still added to.
    bool heard_from = false;    ///< It has spoken to this start of the process.
  };

  /** A probe that waits for its answer. */
  struct Probe {
    uint64_t sequence = 0;
    VmId target;
    TimePoint indirect_probes_at = kNever;  ///< When others are asked.
    TimePoint fails_at = kNever;  ///< When the target becomes suspect.
  };

  /** A probe made for another member. */
  struct IndirectProbe {
    uint64_t sequence = 0;  ///< As the other member knows it.
    Endpoint requester;
    TimePoint expires_at;
  };

  void MergeUpdate(TimePoint now, const MemberInfo& info, Output& out);
  void RefuteSuspicion(const MemberInfo& info);
  void ApplyUpdate(TimePoint now,
                   KnownMember& entry,
                   const MemberInfo& info,
                   Output& out);
  void MergeMessage(TimePoint now,
                    const MemberInfo& from,
                    const std::vector<MemberInfo>& updates,
                    Output& out);
  std::vector<MemberInfo> DequeueUpdates();
  void StartProbe(TimePoint now, RandomEngine& random, Output& out);
  void AdvanceProbe(TimePoint now, RandomEngine& random, Output& out);
  void ExpireStates(TimePoint now, Output& out);
  VmId NextProbeTarget(RandomEngine& random);
  void ProbeDeadMember(RandomEngine& random, Output& out);
  void SendPing(const MemberInfo& to, uint64_t sequence, Output& out);
  void AnnounceState(MemberState state, Output& out);
  int GossipSendsPerUpdate() const;
  uint32_t DocumentsConfirmedAge() const;

  MemberInfo self;
  MembershipTiming timing;
  DocumentVersions versions;
  std::map<VmId, KnownMember> known_members;
  std::deque<VmId>
      gossip_queue;  ///< Members whose beliefs are still passed on.
  std::multimap<TimePoint, VmId>
      state_expiries;  ///< When to look at `state_expires_at`; may hold stale
                       ///< ones.
  std::vector<VmId> probe_order;  ///< Members still to probe in this round.
  Probe probe;
  TimePoint next_probe_at;
  std::map<uint64_t, IndirectProbe>
      indirect_probes;  ///< By own sequence number.
  uint64_t next_sequence = 1;
  uint64_t view_revision = 1;
  bool heard_from = false;
  TimePoint last_call_at;  ///< Time of the last call.
  TimePoint documents_confirmed_at;
};

}  // namespace cuminvane

#endif  // CUMINVANE_MEMBER_MEMBER_BASE_H_
