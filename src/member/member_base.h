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
 * Tracks which balancers of the fleet are alive.
 *
 * The platform's list only proposes members to probe; a member's own answers
 * decide its state. The cost per member does not depend on the size of the
 * fleet: one probe per interval, and a bounded number of updates per message.
 */
class MemberTable {
 public:
  /**
   * @param self State that this member gossips about itself at first.
   * @param timing Intervals and time-outs of probes and suspicions.
   */
  MemberTable(const MemberInfo& self, const MembershipTiming& timing);

  /** Adds balancers of the platform's list so that they are probed, if they are
   * not known yet or have a later incarnation in the list. Balancers that the
   * platform is about to remove are skipped. */
  void AddFromVmList(const VmList& list, TimePoint now);

  /** Merges the gossip of a ping and answers it. */
  void OnPing(TimePoint now,
              const Endpoint& from,
              const Ping& ping,
              Output& out);
  /** Merges the gossip of an acknowledgement; ends the probe that it answers,
   * or forwards it to the member that asked for the indirect probe. */
  void OnAck(TimePoint now, const Ack& ack, Output& out);
  /** Pings the requested member on behalf of the sender (indirect probe). */
  void OnPingRequest(TimePoint now,
                     const Endpoint& from,
                     const PingRequest& request,
                     Output& out);
  /** Sends due probes, declares members dead whose suspicion has expired, and
   * removes dead or stopped members after kGoneMemberRetention. */
  void Tick(TimePoint now, RandomEngine& random, Output& out);

  /** Pings the seed peers, and known members that have not sent anything to
   * this process yet. */
  void PingSeedPeers(const std::vector<Endpoint>& peers, Output& out);

  /** @return Whether this process has received a message from every member that
   * is not dead or stopped; false before the first message. */
  bool HasHeardFromAllMembers() const;

  /** Announces to members not dead or stopped that this member is stopping. */
  void AnnounceLeaving(Output& out);
  /** Announces to members not dead or stopped that this member has stopped and
   * has no unfinished requests. */
  void AnnounceLeft(Output& out);

  /** Records that this member's documents were the newest ones at `at`; earlier
   * times are ignored. */
  void SetDocumentsConfirmedAt(TimePoint at) {
    this->documents_confirmed_at = std::max(this->documents_confirmed_at, at);
  }
  /** @return Last time at which this member's documents were known to be the
   * newest ones; TimePoint{} if never. */
  TimePoint DocumentsConfirmedAt() const {
    return this->documents_confirmed_at;
  }
  /** Sets the document stamps and the highest token key number that this member
   * gossips. */
  void SetVersions(const DocumentVersions& versions, KeyNumber newest_key);

  /** @return The other members and their current states. */
  MemberView View() const;
  /** @return The state that this member gossips about itself. */
  const MemberInfo& Self() const { return this->self; }
  /** @return A number that grows whenever View() or the identity of this member
   * changes. */
  uint64_t ViewRevision() const { return this->view_revision; }

 private:
  /** Latest known state of another member. */
  struct KnownMember {
    MemberInfo info;
    /** End of a suspicion, or time at which a dead or stopped member is
     * removed; kNever otherwise. */
    TimePoint state_expires_at = kNever;
    /** Number of messages that still have to carry this state. */
    int gossip_sends_left = 0;
    bool heard_from = false;  ///< Whether the member has sent a message to this
                              ///< process since its start.
  };

  /** A direct probe whose answer is outstanding. */
  struct Probe {
    uint64_t sequence = 0;  ///< Number of the ping.
    VmId target;            ///< VmId{} if no probe is outstanding.
    /** Time at which other members are asked to probe the target; kNever once
     * they were asked. */
    TimePoint indirect_probes_at = kNever;
    TimePoint fails_at = kNever;  ///< Time at which the target becomes suspect.
  };

  /** A probe that this member makes on behalf of another one. */
  struct IndirectProbe {
    uint64_t sequence = 0;  ///< Number that the requester gave to the probe.
    Endpoint requester;     ///< Address that gets the answer.
    TimePoint expires_at;   ///< An answer after this time is ignored.
  };

  /** Applies gossip about another member or about this member if it is newer
   * than the known state. */
  void MergeUpdate(TimePoint now, const MemberInfo& info, Output& out);
  /** Raises this member's state version if the update reports a worse state
   * for this member than its current one. */
  void RefuteSuspicion(const MemberInfo& info);
  /** Replaces the state of a member, and queues it for gossip. */
  void ApplyUpdate(TimePoint now,
                   KnownMember& known_member,
                   const MemberInfo& info,
                   Output& out);
  /** Merges the sender's state and its gossip. */
  void MergeMessage(TimePoint now,
                    const MemberInfo& from,
                    const std::vector<MemberInfo>& updates,
                    Output& out);
  /** @return The states to add to the next message. */
  std::vector<MemberInfo> DequeueUpdates();
  /** Sends the direct probe of this interval. */
  void StartProbe(TimePoint now, RandomEngine& random, Output& out);
  /** Asks for indirect probes when `indirect_probes_at` of the outstanding
   * probe has come, and suspects its target when `fails_at` has come. */
  void AdvanceProbe(TimePoint now, RandomEngine& random, Output& out);
  /** Declares members dead whose suspicion has expired, and removes dead or
   * stopped members after kGoneMemberRetention. */
  void ExpireStates(TimePoint now, Output& out);
  /** @return The next member to probe, VmId{} if there is none. */
  VmId NextProbeTarget(RandomEngine& random);
  /** Pings a random dead member, to notice that a network partition has healed.
   */
  void ProbeDeadMember(RandomEngine& random, Output& out);
  void SendPing(const MemberInfo& to, uint64_t sequence, Output& out);
  /** @param max_local Maximum number of members of the own data centre.
   * @return Members to contact that are not dead or stopped: those of the own
   * data centre, and a few of each other one. */
  std::vector<VmId> Contacts(size_t max_local) const;
  /** Changes the state of this member and pings some members, which pass it on
   * by gossip. */
  void AnnounceState(MemberState state, Output& out);
  /** @return Number of messages that carry one update; logarithmic in the size
   * of the fleet. */
  int GossipSendsPerUpdate() const;
  /** @return The value of Ping::confirmed_age_ms_plus_one. */
  uint32_t DocumentsConfirmedAge() const;

  MemberInfo self;  ///< State of this member.
  MembershipTiming timing;
  DocumentVersions versions;  ///< Active documents of this member.
  std::map<VmId, KnownMember> known_members;
  std::deque<VmId> gossip_queue;  ///< Members whose state is still to be
                                  ///< gossiped, in order of sending.
  /** Times at which to check `state_expires_at`; entries of states that have
   * changed since are skipped. */
  std::multimap<TimePoint, VmId> state_expiries;
  std::vector<VmId> probe_order;  ///< Members not probed yet in this pass over
                                  ///< the fleet; the last one is probed next.
  Probe probe;                    ///< The outstanding direct probe.
  TimePoint next_probe_at;        ///< Time of the next direct probe.
  /** Keyed by the sequence number of the ping that this member sent. */
  std::map<uint64_t, IndirectProbe> indirect_probes;
  uint64_t next_sequence = 1;   ///< Number of the next ping.
  uint64_t view_revision = 1;   ///< See ViewRevision().
  bool heard_any_peer = false;  ///< Whether any message has been received.
  TimePoint last_call_at;       ///< Time of the last ping received or Tick();
                                ///< reference for DocumentsConfirmedAge().
  TimePoint documents_confirmed_at;  ///< TimePoint{} if never confirmed.
};

}  // namespace cuminvane

#endif  // CUMINVANE_MEMBER_MEMBER_BASE_H_
