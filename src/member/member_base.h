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
  void Propose(const VmList& list, TimePoint now);

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
  void PingFirst(const std::vector<Endpoint>& peers, Output& out);

  /** @return Whether every member that is not known to be gone has been heard
   * since this start. */
  bool HasHeardAll() const;

  /** Tells all watched members at once that this member is leaving. */
  void Leave(Output& out);
  /** Tells all watched members at once that this member has left. */
  void Left(Output& out);

  /** Sets when this member's documents were last known to be the newest. */
  void SetConfirmed(TimePoint at) {
    this->confirmed_at = std::max(this->confirmed_at, at);
  }
  /** @return When this member's documents were last known to be the newest. */
  TimePoint ConfirmedAt() const { return this->confirmed_at; }
  /** Sets what this member tells of its documents and keys. */
  void SetVersions(const DocumentVersions& versions, KeyNumber newest_key);

  /** @return The members as believed now. */
  MemberView View() const;
  /** @return What this member says about itself. */
  const MemberInfo& Self() const { return this->self; }
  /** @return Grows with every change of the view. */
  uint64_t Changes() const { return this->changes; }

 private:
  /** Belief about one other member. */
  struct Entry {
    MemberInfo info;
    TimePoint state_until =
        kNever;  ///< End of a suspicion, or when a dead member is forgotten.
    int sends_left = 0;  ///< Messages this belief is still added to.
    bool heard = false;  ///< It has spoken to this start of the process.
  };

  /** A probe that waits for its answer. */
  struct Probe {
    uint64_t sequence = 0;
    VmId target;
    TimePoint indirect_at = kNever;  ///< When others are asked.
    TimePoint fails_at = kNever;     ///< When the target becomes suspect.
  };

  /** A probe made for another member. */
  struct Errand {
    uint64_t sequence = 0;  ///< As the other member knows it.
    Endpoint requester;
    TimePoint until;
  };

  void Merge(TimePoint now, const MemberInfo& info, Output& out);
  void Refute(const MemberInfo& info);
  void Adopt(TimePoint now, Entry& entry, const MemberInfo& info, Output& out);
  void MergeAll(TimePoint now,
                const MemberInfo& from,
                const std::vector<MemberInfo>& updates,
                Output& out);
  std::vector<MemberInfo> TakeUpdates();
  void StartProbe(TimePoint now, RandomEngine& random, Output& out);
  void ContinueProbe(TimePoint now, RandomEngine& random, Output& out);
  void EndSuspicions(TimePoint now, Output& out);
  VmId NextTarget(RandomEngine& random);
  void ReviveProbe(RandomEngine& random, Output& out);
  void SendPing(const MemberInfo& to, uint64_t sequence, Output& out);
  void Announce(MemberState state, Output& out);
  int SendsPerUpdate() const;
  uint32_t ConfirmedAge() const;

  MemberInfo self;
  MembershipTiming timing;
  DocumentVersions versions;
  std::map<VmId, Entry> entries;
  std::deque<VmId> fresh;  ///< Members whose beliefs are still passed on.
  std::multimap<TimePoint, VmId>
      state_ends;  ///< When to look at `state_until`; may hold stale ones.
  std::vector<VmId> probe_order;  ///< Members still to probe in this round.
  Probe probe;
  TimePoint next_probe_at;
  std::map<uint64_t, Errand> errands;  ///< By own sequence number.
  uint64_t next_sequence = 1;
  uint64_t changes = 1;
  bool heard = false;
  TimePoint clock;  ///< Time of the last call.
  TimePoint confirmed_at;
};

}  // namespace cuminvane

#endif  // CUMINVANE_MEMBER_MEMBER_BASE_H_
