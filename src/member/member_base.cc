/** @file member_base.cc Membership of the balancers. */

#include "member/member_base.h"

#include <algorithm>
#include <bit>

#include "base/rendezvous_func.h"
#include "message/message_func.h"

namespace cuminvane {
namespace {

/** Members asked to probe one that did not answer. */
constexpr size_t kIndirectProbes = 3;
/** Updates added to one message; keeps it below one MTU. */
constexpr size_t kUpdatesPerMessage = 12;
/** Each update is sent this many times per doubling of the fleet. */
constexpr int kSendsPerDoubling = 3;
/** How long a dead member is remembered, so that old news does not revive it.
 */
constexpr Seconds kDeadMemory{600};
/** Members asked at once by a starter; bounds the burst in a large fleet. */
constexpr size_t kFirstAsked = 16;
/** Older confirmations are told as this old. */
constexpr Milliseconds kOldestConfirmed{3600000};
/** Members of one other data centre that this member probes. */
constexpr size_t kContactsPerDataCentre = 8;

bool IsGone(MemberState state) {
  return state == MemberState::kDead || state == MemberState::kLeft;
}

/** Whether `news` replaces `belief`: a later start, then a later round, then
 * the graver state. */
bool Replaces(const MemberInfo& news, const MemberInfo& belief) {
  if (news.id.incarnation != belief.id.incarnation)
    return news.id.incarnation > belief.id.incarnation;
  if (news.round != belief.round)
    return news.round > belief.round;
  if (news.state != belief.state)
    return news.state > belief.state;
  return news.newest_key > belief.newest_key;
}

/** A member says that it has left only when it owes nothing. */
Incarnation CleanLeft(const MemberInfo& info) {
  return info.State() == MemberState::kLeft
             ? std::max(info.clean_left, info.id.incarnation)
             : info.clean_left;
}

Decision Describe(const MemberInfo& info, const char* reason) {
  Decision decision;
  decision.topic = Topic::kMembership;
  decision.event = ToString(info.State());
  decision.reason = reason;
  decision.vm = info.id.vm;
  return decision;
}

}  // namespace

const char* ToString(MemberState state) {
  constexpr std::array<const char*, 5> kWords = {
      "member_alive", "member_leaving", "member_suspect", "member_dead",
      "member_left"};
  return kWords.at(static_cast<size_t>(state));
}

uint64_t DataCentreIdOf(std::string_view name) {
  return XXH3_64bits(name.data(), name.size());
}

MemberInfo MakeMember(const Holder& id,
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

Holder SuccessorOf(const MemberView& view, FlowId flow, VmId excluded) {
  Holder best;
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

void MemberTable::Propose(const VmList& list, TimePoint now) {
  for (const Vm& vm : list.vms) {
    if (vm.role != VmRole::kBalancer || vm.id == this->self.id.vm)
      continue;
    const auto known = this->entries.find(vm.id);
    const bool newer = known == this->entries.end() ||
                       known->second.info.id.incarnation < vm.incarnation;
    if (!newer || vm.leaving)
      continue;
    Entry& entry = this->entries[vm.id];
    entry.info =
        MakeMember({vm.id, vm.incarnation}, vm.peer_address, vm.data_centre);
    entry.state_until = kNever;
    ++this->changes;
  }
  this->next_probe_at = std::max(this->next_probe_at, now);
}

void MemberTable::OnPing(TimePoint now,
                         const Endpoint& from,
                         const Ping& ping,
                         Output& out) {
  this->clock = now;
  this->MergeAll(now, ping.from, ping.updates, out);
  const Ack ack{ping.sequence, this->self, this->versions, this->TakeUpdates(),
                this->ConfirmedAge()};
  out.datagrams.push_back({Lane::kPeer, from, Encode(ack)});
}

void MemberTable::OnAck(TimePoint now, const Ack& ack, Output& out) {
  this->MergeAll(now, ack.from, ack.updates, out);
  if (ack.sequence == this->probe.sequence) {
    this->probe = {};
    return;
  }
  const auto errand = this->errands.find(ack.sequence);
  if (errand == this->errands.end())
    return;
  const Ack passed_on{
      errand->second.sequence, ack.from, ack.versions, {}, ack.confirmed_age};
  out.datagrams.push_back(
      {Lane::kPeer, errand->second.requester, Encode(passed_on)});
  this->errands.erase(errand);
}

void MemberTable::OnPingRequest(TimePoint now,
                                const Endpoint& from,
                                const PingRequest& request,
                                Output& out) {
  this->Merge(now, request.from, out);
  const uint64_t sequence = this->next_sequence++;
  this->errands[sequence] = {request.sequence, from, now + this->timing.probe};
  const Ping ping{sequence, this->self, this->versions, this->TakeUpdates(),
                  this->ConfirmedAge()};
  out.datagrams.push_back({Lane::kPeer, request.target, Encode(ping)});
}

void MemberTable::Tick(TimePoint now, RandomEngine& random, Output& out) {
  this->clock = now;
  this->ContinueProbe(now, random, out);
  this->EndSuspicions(now, out);
  std::erase_if(this->errands,
                [now](const auto& item) { return item.second.until <= now; });
  if (this->next_probe_at <= now)
    this->StartProbe(now, random, out);
}

void MemberTable::PingFirst(const std::vector<Endpoint>& peers, Output& out) {
  const Ping ping{this->next_sequence++,
                  this->self,
                  this->versions,
                  {},
                  this->ConfirmedAge()};
  for (const Endpoint& peer : peers)
    out.datagrams.push_back({Lane::kPeer, peer, Encode(ping)});
  size_t asked = 0;
  for (const auto& [vm, entry] : this->entries) {
    if (entry.heard || IsGone(entry.info.State()))
      continue;
    out.datagrams.push_back({Lane::kPeer, entry.info.peer, Encode(ping)});
    if (++asked == kFirstAsked)
      return;
  }
}

bool MemberTable::HasHeardAll() const {
  return this->heard &&
         std::ranges::all_of(this->entries, [](const auto& item) {
           return item.second.heard || IsGone(item.second.info.State());
         });
}

void MemberTable::Leave(Output& out) {
  this->Announce(MemberState::kLeaving, out);
}

void MemberTable::Left(Output& out) {
  this->Announce(MemberState::kLeft, out);
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
  view.members.reserve(this->entries.size());
  for (const auto& [vm, entry] : this->entries)
    view.members.push_back(entry.info);
  return view;
}

void MemberTable::Announce(MemberState state, Output& out) {
  ++this->self.round;
  this->self.state = static_cast<uint8_t>(state);
  for (const auto& [vm, entry] : this->entries) {
    if (!IsGone(entry.info.State()))
      this->SendPing(entry.info, this->next_sequence++, out);
  }
}

void MemberTable::MergeAll(TimePoint now,
                           const MemberInfo& from,
                           const std::vector<MemberInfo>& updates,
                           Output& out) {
  this->heard = true;
  this->Merge(now, from, out);
  const auto sender = this->entries.find(from.id.vm);
  if (sender != this->entries.end())
    sender->second.heard = true;
  for (const MemberInfo& info : updates)
    this->Merge(now, info, out);
}

void MemberTable::Merge(TimePoint now, const MemberInfo& info, Output& out) {
  if (info.id.vm == VmId{})
    return;
  if (info.id.vm == this->self.id.vm) {
    // Peers know better than a new start how the one before it ended.
    const Incarnation clean_left = CleanLeft(info);
    if (clean_left > this->self.clean_left &&
        clean_left < this->self.id.incarnation) {
      this->self.clean_left = clean_left;
      ++this->changes;
    }
    if (info.id.incarnation > this->self.id.incarnation) {
      // The start before this one read a clock that was ahead.
      this->self.id.incarnation = Incarnation{info.id.incarnation.value + 1};
      ++this->changes;
    }
    this->Refute(info);
    return;
  }
  const auto known = this->entries.find(info.id.vm);
  if (known == this->entries.end()) {
    // News of a death nobody here knew the life of is not worth passing on.
    if (!IsGone(info.State()))
      this->Adopt(now, this->entries[info.id.vm], info, out);
    return;
  }
  MemberInfo& belief = known->second.info;
  const Incarnation clean_left = std::max(CleanLeft(info), CleanLeft(belief));
  if (Replaces(info, belief))
    this->Adopt(now, known->second, info, out);
  if (clean_left > belief.clean_left) {
    belief.clean_left = clean_left;
    ++this->changes;
  }
}

void MemberTable::Refute(const MemberInfo& info) {
  const bool accuses = info.id.incarnation == this->self.id.incarnation &&
                       info.state > this->self.state &&
                       info.round >= this->self.round;
  if (accuses)
    this->self.round = info.round + 1;
}

void MemberTable::Adopt(TimePoint now,
                        Entry& entry,
                        const MemberInfo& info,
                        Output& out) {
  const bool visible =
      entry.info.id != info.id || entry.info.state != info.state;
  entry.info = info;
  if (entry.sends_left <= 0)
    this->fresh.push_back(info.id.vm);
  entry.sends_left = this->SendsPerUpdate();
  entry.state_until = kNever;
  if (info.State() == MemberState::kSuspect)
    entry.state_until = now + this->timing.suspicion;
  if (IsGone(info.State()))
    entry.state_until = now + kDeadMemory;
  if (entry.state_until != kNever)
    this->state_ends.emplace(entry.state_until, info.id.vm);
  ++this->changes;
  if (visible)
    out.decisions.push_back(Describe(info, "news"));
}

std::vector<MemberInfo> MemberTable::TakeUpdates() {
  std::vector<MemberInfo> updates;
  const size_t looks = std::min(this->fresh.size(), kUpdatesPerMessage);
  for (size_t look = 0; look < looks; ++look) {
    const VmId vm = this->fresh.front();
    this->fresh.pop_front();
    const auto entry = this->entries.find(vm);
    if (entry == this->entries.end() || entry->second.sends_left <= 0)
      continue;
    updates.push_back(entry->second.info);
    if (--entry->second.sends_left > 0)
      this->fresh.push_back(vm);
  }
  return updates;
}

void MemberTable::StartProbe(TimePoint now, RandomEngine& random, Output& out) {
  this->next_probe_at = now + this->timing.probe;
  const VmId target = this->NextTarget(random);
  if (target == VmId{}) {
    this->ReviveProbe(random, out);
    return;
  }
  this->probe = {this->next_sequence++, target,
                 now + this->timing.probe_timeout, now + this->timing.probe};
  this->SendPing(this->entries[target].info, this->probe.sequence, out);
  // A cut that has healed is only noticed by asking those on its other side.
  constexpr uint64_t kProbesPerRevival = 8;
  if (this->probe.sequence % kProbesPerRevival == 0)
    this->ReviveProbe(random, out);
}

void MemberTable::ContinueProbe(TimePoint now,
                                RandomEngine& random,
                                Output& out) {
  if (this->probe.target == VmId{})
    return;
  if (this->probe.fails_at <= now) {
    const auto target = this->entries.find(this->probe.target);
    this->probe = {};
    if (target == this->entries.end() ||
        target->second.info.state >=
            static_cast<uint8_t>(MemberState::kSuspect))
      return;
    MemberInfo suspect = target->second.info;
    suspect.state = static_cast<uint8_t>(MemberState::kSuspect);
    this->Adopt(now, target->second, suspect, out);
    return;
  }
  if (this->probe.indirect_at > now)
    return;
  this->probe.indirect_at = kNever;
  std::vector<Endpoint> helpers;
  for (const auto& [vm, entry] : this->entries) {
    if (vm != this->probe.target && entry.info.State() == MemberState::kAlive)
      helpers.push_back(entry.info.peer);
  }
  std::ranges::shuffle(helpers, random);
  helpers.resize(std::min(helpers.size(), kIndirectProbes));
  const Endpoint target = this->entries[this->probe.target].info.peer;
  const PingRequest request{this->probe.sequence, this->self, target};
  for (const Endpoint& helper : helpers)
    out.datagrams.push_back({Lane::kPeer, helper, Encode(request)});
}

void MemberTable::EndSuspicions(TimePoint now, Output& out) {
  while (!this->state_ends.empty() && this->state_ends.begin()->first <= now) {
    const VmId vm = this->state_ends.begin()->second;
    this->state_ends.erase(this->state_ends.begin());
    const auto item = this->entries.find(vm);
    if (item == this->entries.end() || item->second.state_until > now)
      continue;
    if (IsGone(item->second.info.State())) {
      this->entries.erase(item);
      ++this->changes;
      continue;
    }
    MemberInfo dead = item->second.info;
    dead.state = static_cast<uint8_t>(MemberState::kDead);
    this->Adopt(now, item->second, dead, out);
  }
}

VmId MemberTable::NextTarget(RandomEngine& random) {
  if (this->probe_order.empty()) {
    // Of each other data centre only a few contacts are probed, chosen by
    // rendezvous so that the members of one data centre pick different ones.
    std::map<uint64_t, std::vector<std::pair<uint64_t, VmId>>> by_data_centre;
    for (const auto& [vm, entry] : this->entries) {
      if (!IsGone(entry.info.State()))
        by_data_centre[entry.info.data_centre].emplace_back(
            RendezvousScore(this->self.id.vm.value, vm.value), vm);
    }
    for (auto& [data_centre, ranked] : by_data_centre) {
      std::ranges::sort(ranked, std::greater<>());
      if (data_centre != this->self.data_centre)
        ranked.resize(std::min(ranked.size(), kContactsPerDataCentre));
      for (const auto& [score, vm] : ranked)
        this->probe_order.push_back(vm);
    }
    std::ranges::shuffle(this->probe_order, random);
  }
  while (!this->probe_order.empty()) {
    const VmId target = this->probe_order.back();
    this->probe_order.pop_back();
    const auto entry = this->entries.find(target);
    if (entry != this->entries.end() && !IsGone(entry->second.info.State()))
      return target;
  }
  return {};
}

void MemberTable::ReviveProbe(RandomEngine& random, Output& out) {
  std::vector<VmId> dead;
  for (const auto& [at, vm] : this->state_ends) {
    const auto entry = this->entries.find(vm);
    if (entry != this->entries.end() &&
        entry->second.info.State() == MemberState::kDead)
      dead.push_back(vm);
  }
  if (dead.empty())
    return;
  const VmId target = dead[DrawIndex(random, dead.size())];
  this->SendPing(this->entries[target].info, this->next_sequence++, out);
}

void MemberTable::SendPing(const MemberInfo& to,
                           uint64_t sequence,
                           Output& out) {
  Ping ping{sequence, this->self, this->versions, this->TakeUpdates(),
            this->ConfirmedAge()};
  // A member that is under suspicion must hear of it to refute it.
  if (to.State() >= MemberState::kSuspect)
    ping.updates.push_back(to);
  out.datagrams.push_back({Lane::kPeer, to.peer, Encode(ping)});
}

uint32_t MemberTable::ConfirmedAge() const {
  if (this->confirmed_at == TimePoint{})
    return 0;
  const auto age = std::chrono::duration_cast<Milliseconds>(
      std::max(Microseconds(0), this->clock - this->confirmed_at));
  return static_cast<uint32_t>(
      std::min<int64_t>(age.count(), kOldestConfirmed.count()) + 1);
}

int MemberTable::SendsPerUpdate() const {
  const size_t fleet = this->entries.size() + 1;
  return kSendsPerDoubling * static_cast<int>(std::bit_width(fleet));
}

}  // namespace cuminvane
