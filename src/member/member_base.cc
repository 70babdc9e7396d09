/** @file member_base.cc SWIM-style membership of the balancers. */

#include "member/member_base.h"

#include <algorithm>
#include <bit>

#include "base/rendezvous_func.h"
#include "message/message_func.h"

namespace cuminvane {
namespace {

/** Number of members asked for an indirect probe of a member that did not
 * answer. */
constexpr size_t kIndirectProbes = 3;
/** Maximum number of updates in one message, so that the message stays below
 * one MTU. */
constexpr size_t kUpdatesPerMessage = 12;
/** Number of messages that carry an update, per doubling of the fleet. */
constexpr int kGossipSendsPerDoubling = 3;
/** Time for which a dead or stopped member is kept, so that delayed gossip does
 * not revive it. */
constexpr Seconds kGoneMemberRetention{600};
/** Maximum number of known members that a starting balancer pings at once;
 * bounds the burst in a large fleet. */
constexpr size_t kMaxUnheardMembersPinged = 16;
/** Maximum confirmation age that is sent; older confirmations are sent with
 * this age. */
constexpr Milliseconds kMaxConfirmedAge{3600000};
/** Maximum number of members of the own data centre that a member announces its
 * stop to; they pass it on by gossip. */
constexpr size_t kMaxLocalAnnouncements = 16;

/** @return Whether `update` is newer than `known_info`: a later incarnation,
 * then a later state version, then the higher state, then a newer key. */
bool Supersedes(const MemberInfo& update, const MemberInfo& known_info) {
  if (update.id.incarnation != known_info.id.incarnation)
    return update.id.incarnation > known_info.id.incarnation;
  if (update.state_version != known_info.state_version)
    return update.state_version > known_info.state_version;
  if (update.state != known_info.state)
    return update.state > known_info.state;
  return update.newest_key > known_info.newest_key;
}

/** @return The last incarnation with a clean exit. In state kLeft, it includes
 * the incarnation of `info` itself, since a member announces kLeft only if it
 * has no unfinished requests. */
Incarnation LastCleanExit(const MemberInfo& info) {
  return info.State() == MemberState::kLeft
             ? std::max(info.last_clean_exit, info.id.incarnation)
             : info.last_clean_exit;
}

/** @return The log entry for a change of a member's state. */
Decision MakeStateDecision(const MemberInfo& info, const char* reason) {
  Decision decision;
  decision.topic = Topic::kMembership;
  decision.event = ToString(info.State());
  decision.reason = reason;
  decision.vm = info.id.vm;
  return decision;
}

}  // namespace

const char* ToString(MemberState state) {
  constexpr std::array<const char*, 5> kStateNames = {
      "member_alive", "member_leaving", "member_suspect", "member_dead",
      "member_left"};
  return kStateNames.at(static_cast<size_t>(state));
}

uint64_t DataCentreIdOf(std::string_view name) {
  return XXH3_64bits(name.data(), name.size());
}

MemberInfo MakeMember(const VmInstance& id,
                      const Endpoint& peer,
                      std::string_view data_centre) {
  MemberInfo member;
  member.id = id;
  member.peer = peer;
  member.data_centre = DataCentreIdOf(data_centre);
  return member;
}

const MemberInfo* FindMember(const MemberView& view, VmId vm) {
  const auto member = std::ranges::lower_bound(
      view.members, vm, {}, [](const MemberInfo& info) { return info.id.vm; });
  const bool found = member != view.members.end() && member->id.vm == vm;
  return found ? &*member : nullptr;
}

VmInstance ChooseSuccessor(const MemberView& view, FlowId flow, VmId excluded) {
  VmInstance best;
  uint64_t best_score = 0;
  for (const MemberInfo& member : view.members) {
    const uint64_t score = RendezvousScore(flow.value, member.id.vm.value);
    const bool eligible =
        member.State() == MemberState::kAlive && member.id.vm != excluded;
    if (eligible && score >= best_score) {
      best = member.id;
      best_score = score;
    }
  }
  return best;
}

MemberTable::MemberTable(const MemberInfo& self, const MembershipTiming& timing)
    : self(self), timing(timing) {}

void MemberTable::AddFromVmList(const VmList& list, TimePoint now) {
  for (const Vm& vm : list.vms) {
    if (vm.role != VmRole::kBalancer || vm.id == this->self.id.vm)
      continue;
    const auto known = this->known_members.find(vm.id);
    const bool newer = known == this->known_members.end() ||
                       known->second.info.id.incarnation < vm.incarnation;
    if (!newer || vm.leaving)
      continue;
    KnownMember& known_member = this->known_members[vm.id];
    known_member.info =
        MakeMember({vm.id, vm.incarnation}, vm.peer_address, vm.data_centre);
    known_member.state_expires_at = kNever;
    ++this->view_revision;
  }
  this->next_probe_at = std::max(this->next_probe_at, now);
}

void MemberTable::OnPing(TimePoint now,
                         const Endpoint& from,
                         const Ping& ping,
                         Output& out) {
  this->last_call_at = now;
  this->MergeMessage(now, ping.from, ping.updates, out);
  const Ack ack{ping.sequence, this->self, this->versions,
                this->DequeueUpdates(), this->DocumentsConfirmedAge()};
  out.datagrams.push_back({Channel::kPeer, from, Encode(ack)});
}

void MemberTable::OnAck(TimePoint now, const Ack& ack, Output& out) {
  this->MergeMessage(now, ack.from, ack.updates, out);
  if (ack.sequence == this->probe.sequence) {
    this->probe = {};
    return;
  }
  const auto indirect_probe = this->indirect_probes.find(ack.sequence);
  if (indirect_probe == this->indirect_probes.end())
    return;
  const Ack relayed_ack{indirect_probe->second.sequence,
                        ack.from,
                        ack.versions,
                        {},
                        ack.confirmed_age_ms_plus_one};
  out.datagrams.push_back(
      {Channel::kPeer, indirect_probe->second.requester, Encode(relayed_ack)});
  this->indirect_probes.erase(indirect_probe);
}

void MemberTable::OnPingRequest(TimePoint now,
                                const Endpoint& from,
                                const PingRequest& request,
                                Output& out) {
  this->MergeUpdate(now, request.from, out);
  const uint64_t sequence = this->next_sequence++;
  this->indirect_probes[sequence] = {request.sequence, from,
                                     now + this->timing.probe_interval};
  const Ping ping{sequence, this->self, this->versions, this->DequeueUpdates(),
                  this->DocumentsConfirmedAge()};
  out.datagrams.push_back({Channel::kPeer, request.target, Encode(ping)});
}

void MemberTable::Tick(TimePoint now, RandomEngine& random, Output& out) {
  this->last_call_at = now;
  this->AdvanceProbe(now, random, out);
  this->ExpireStates(now, out);
  std::erase_if(this->indirect_probes, [now](const auto& item) {
    return item.second.expires_at <= now;
  });
  if (this->next_probe_at <= now)
    this->StartProbe(now, random, out);
}

void MemberTable::PingSeedPeers(const std::vector<Endpoint>& peers,
                                Output& out) {
  const Ping ping{this->next_sequence++,
                  this->self,
                  this->versions,
                  {},
                  this->DocumentsConfirmedAge()};
  for (const Endpoint& peer : peers)
    out.datagrams.push_back({Channel::kPeer, peer, Encode(ping)});
  size_t pinged = 0;
  for (const auto& [vm, known_member] : this->known_members) {
    if (known_member.heard_from || IsDeadOrLeft(known_member.info.State()))
      continue;
    out.datagrams.push_back(
        {Channel::kPeer, known_member.info.peer, Encode(ping)});
    if (++pinged == kMaxUnheardMembersPinged)
      return;
  }
}

bool MemberTable::HasHeardFromAllMembers() const {
  return this->heard_any_peer &&
         std::ranges::all_of(this->known_members, [](const auto& item) {
           return item.second.heard_from ||
                  IsDeadOrLeft(item.second.info.State());
         });
}

void MemberTable::AnnounceLeaving(Output& out) {
  this->AnnounceState(MemberState::kLeaving, out);
}

void MemberTable::AnnounceLeft(Output& out) {
  this->AnnounceState(MemberState::kLeft, out);
}

void MemberTable::SetVersions(const DocumentVersions& versions,
                              KeyNumber newest_key) {
  this->versions = versions;
  if (this->self.newest_key == newest_key.value)
    return;
  this->self.newest_key = newest_key.value;
}

MemberView MemberTable::View() const {
  MemberView view;
  view.members.reserve(this->known_members.size());
  for (const auto& [vm, known_member] : this->known_members)
    view.members.push_back(known_member.info);
  return view;
}

void MemberTable::AnnounceState(MemberState state, Output& out) {
  ++this->self.state_version;
  this->self.state = static_cast<uint8_t>(state);
  for (const VmId vm : this->Contacts(kMaxLocalAnnouncements))
    this->SendPing(this->known_members[vm].info, this->next_sequence++, out);
}

void MemberTable::MergeMessage(TimePoint now,
                               const MemberInfo& from,
                               const std::vector<MemberInfo>& updates,
                               Output& out) {
  this->heard_any_peer = true;
  this->MergeUpdate(now, from, out);
  const auto sender = this->known_members.find(from.id.vm);
  if (sender != this->known_members.end())
    sender->second.heard_from = true;
  for (const MemberInfo& info : updates)
    this->MergeUpdate(now, info, out);
}

void MemberTable::MergeUpdate(TimePoint now,
                              const MemberInfo& info,
                              Output& out) {
  if (info.id.vm == VmId{})
    return;
  if (info.id.vm == this->self.id.vm) {
    // Only the peers know how the previous incarnation of this VM ended.
    const Incarnation last_clean_exit = LastCleanExit(info);
    if (last_clean_exit > this->self.last_clean_exit &&
        last_clean_exit < this->self.id.incarnation) {
      this->self.last_clean_exit = last_clean_exit;
      ++this->view_revision;
    }
    if (info.id.incarnation > this->self.id.incarnation) {
      // Incarnations default to start times. The previous incarnation was
      // started while the clock was ahead; this one must get a higher number.
      this->self.id.incarnation = Incarnation{info.id.incarnation.value + 1};
      ++this->view_revision;
    }
    this->RefuteSuspicion(info);
    return;
  }
  const auto known = this->known_members.find(info.id.vm);
  if (known == this->known_members.end()) {
    // The death of a member that was never known here needs no gossip.
    if (!IsDeadOrLeft(info.State()))
      this->ApplyUpdate(now, this->known_members[info.id.vm], info, out);
    return;
  }
  MemberInfo& known_info = known->second.info;
  const Incarnation last_clean_exit =
      std::max(LastCleanExit(info), LastCleanExit(known_info));
  if (Supersedes(info, known_info))
    this->ApplyUpdate(now, known->second, info, out);
  if (last_clean_exit > known_info.last_clean_exit) {
    known_info.last_clean_exit = last_clean_exit;
    ++this->view_revision;
  }
}

void MemberTable::RefuteSuspicion(const MemberInfo& info) {
  const bool is_accusation = info.id.incarnation == this->self.id.incarnation &&
                             info.state > this->self.state &&
                             info.state_version >= this->self.state_version;
  if (is_accusation)
    this->self.state_version = info.state_version + 1;
}

void MemberTable::ApplyUpdate(TimePoint now,
                              KnownMember& known_member,
                              const MemberInfo& info,
                              Output& out) {
  const bool visible =
      known_member.info.id != info.id || known_member.info.state != info.state;
  known_member.info = info;
  if (known_member.gossip_sends_left <= 0)
    this->gossip_queue.push_back(info.id.vm);
  known_member.gossip_sends_left = this->GossipSendsPerUpdate();
  known_member.state_expires_at = kNever;
  if (info.State() == MemberState::kSuspect)
    known_member.state_expires_at = now + this->timing.suspicion_timeout;
  if (IsDeadOrLeft(info.State()))
    known_member.state_expires_at = now + kGoneMemberRetention;
  if (known_member.state_expires_at != kNever)
    this->state_expiries.emplace(known_member.state_expires_at, info.id.vm);
  ++this->view_revision;
  if (visible)
    out.decisions.push_back(MakeStateDecision(info, "news"));
}

std::vector<MemberInfo> MemberTable::DequeueUpdates() {
  std::vector<MemberInfo> updates;
  const size_t max_lookups =
      std::min(this->gossip_queue.size(), kUpdatesPerMessage);
  for (size_t lookup = 0; lookup < max_lookups; ++lookup) {
    const VmId vm = this->gossip_queue.front();
    this->gossip_queue.pop_front();
    const auto known_member = this->known_members.find(vm);
    if (known_member == this->known_members.end() ||
        known_member->second.gossip_sends_left <= 0)
      continue;
    updates.push_back(known_member->second.info);
    if (--known_member->second.gossip_sends_left > 0)
      this->gossip_queue.push_back(vm);
  }
  return updates;
}

void MemberTable::StartProbe(TimePoint now, RandomEngine& random, Output& out) {
  this->next_probe_at = now + this->timing.probe_interval;
  const VmId target = this->NextProbeTarget(random);
  if (target == VmId{}) {
    this->ProbeDeadMember(random, out);
    return;
  }
  this->probe = {this->next_sequence++, target,
                 now + this->timing.probe_timeout,
                 now + this->timing.probe_interval};
  this->SendPing(this->known_members[target].info, this->probe.sequence, out);
  // A healed network partition is noticed only by probing members that are
  // believed dead.
  constexpr uint64_t kProbesPerDeadMemberProbe = 8;
  if (this->probe.sequence % kProbesPerDeadMemberProbe == 0)
    this->ProbeDeadMember(random, out);
}

void MemberTable::AdvanceProbe(TimePoint now,
                               RandomEngine& random,
                               Output& out) {
  if (this->probe.target == VmId{})
    return;
  if (this->probe.fails_at <= now) {
    const auto target = this->known_members.find(this->probe.target);
    this->probe = {};
    if (target == this->known_members.end() ||
        target->second.info.state >=
            static_cast<uint8_t>(MemberState::kSuspect))
      return;
    MemberInfo suspect = target->second.info;
    suspect.state = static_cast<uint8_t>(MemberState::kSuspect);
    this->ApplyUpdate(now, target->second, suspect, out);
    return;
  }
  if (this->probe.indirect_probes_at > now)
    return;
  this->probe.indirect_probes_at = kNever;
  std::vector<Endpoint> helpers;
  for (const auto& [vm, known_member] : this->known_members) {
    if (vm != this->probe.target &&
        known_member.info.State() == MemberState::kAlive)
      helpers.push_back(known_member.info.peer);
  }
  std::ranges::shuffle(helpers, random);
  helpers.resize(std::min(helpers.size(), kIndirectProbes));
  const Endpoint target = this->known_members[this->probe.target].info.peer;
  const PingRequest request{this->probe.sequence, this->self, target};
  for (const Endpoint& helper : helpers)
    out.datagrams.push_back({Channel::kPeer, helper, Encode(request)});
}

void MemberTable::ExpireStates(TimePoint now, Output& out) {
  while (!this->state_expiries.empty() &&
         this->state_expiries.begin()->first <= now) {
    const VmId vm = this->state_expiries.begin()->second;
    this->state_expiries.erase(this->state_expiries.begin());
    const auto item = this->known_members.find(vm);
    if (item == this->known_members.end() ||
        item->second.state_expires_at > now)
      continue;
    if (IsDeadOrLeft(item->second.info.State())) {
      this->known_members.erase(item);
      ++this->view_revision;
      continue;
    }
    MemberInfo dead = item->second.info;
    dead.state = static_cast<uint8_t>(MemberState::kDead);
    this->ApplyUpdate(now, item->second, dead, out);
  }
}

void MemberTable::SendPing(const MemberInfo& to,
                           uint64_t sequence,
                           Output& out) {
  Ping ping{sequence, this->self, this->versions, this->DequeueUpdates(),
            this->DocumentsConfirmedAge()};
  // A suspected member must learn of the suspicion to refute it.
  if (to.State() >= MemberState::kSuspect)
    ping.updates.push_back(to);
  out.datagrams.push_back({Channel::kPeer, to.peer, Encode(ping)});
}

uint32_t MemberTable::DocumentsConfirmedAge() const {
  if (this->documents_confirmed_at == TimePoint{})
    return 0;
  const auto age = std::chrono::duration_cast<Milliseconds>(std::max(
      Microseconds(0), this->last_call_at - this->documents_confirmed_at));
  return static_cast<uint32_t>(
      std::min<int64_t>(age.count(), kMaxConfirmedAge.count()) + 1);
}

int MemberTable::GossipSendsPerUpdate() const {
  const size_t fleet = this->known_members.size() + 1;
  return kGossipSendsPerDoubling * static_cast<int>(std::bit_width(fleet));
}

}  // namespace cuminvane
