/** @file member_probe.cc Which members a member probes. */

#include <algorithm>
#include <map>

#include "base/rendezvous_func.h"
#include "member/member_base.h"

namespace cuminvane {
namespace {

/** Maximum number of members that this member probes, or announces its stop to,
 * in each remote data centre. Bytes between data centres are dear, and all
 * members of a data centre together reach every member elsewhere. */
constexpr size_t kMaxContactsPerRemoteDataCentre = 2;

}  // namespace

std::vector<VmId> MemberTable::Contacts(size_t max_local) const {
  // Contacts are chosen by rendezvous hashing, so that the members of one data
  // centre contact different members elsewhere.
  std::map<uint64_t, std::vector<std::pair<uint64_t, VmId>>> by_data_centre;
  for (const auto& [vm, known_member] : this->known_members) {
    if (!IsDeadOrLeft(known_member.info.State()))
      by_data_centre[known_member.info.data_centre].emplace_back(
          RendezvousScore(this->self.id.vm.value, vm.value), vm);
  }
  std::vector<VmId> contacts;
  for (auto& [data_centre, ranked] : by_data_centre) {
    std::ranges::sort(ranked, std::greater<>());
    const size_t limit = data_centre == this->self.data_centre
                             ? max_local
                             : kMaxContactsPerRemoteDataCentre;
    ranked.resize(std::min(ranked.size(), limit));
    for (const auto& [score, vm] : ranked)
      contacts.push_back(vm);
  }
  return contacts;
}

VmId MemberTable::NextProbeTarget(RandomEngine& random) {
  if (this->probe_order.empty()) {
    this->probe_order = this->Contacts(this->known_members.size());
    std::ranges::shuffle(this->probe_order, random);
  }
  while (!this->probe_order.empty()) {
    const VmId target = this->probe_order.back();
    this->probe_order.pop_back();
    const auto known_member = this->known_members.find(target);
    if (known_member != this->known_members.end() &&
        !IsDeadOrLeft(known_member->second.info.State()))
      return target;
  }
  return {};
}

void MemberTable::ProbeDeadMember(RandomEngine& random, Output& out) {
  std::vector<VmId> dead;
  for (const auto& [at, vm] : this->state_expiries) {
    const auto known_member = this->known_members.find(vm);
    if (known_member != this->known_members.end() &&
        known_member->second.info.State() == MemberState::kDead)
      dead.push_back(vm);
  }
  if (dead.empty())
    return;
  const VmId target = dead[DrawIndex(random, dead.size())];
  this->SendPing(this->known_members[target].info, this->next_sequence++, out);
}

}  // namespace cuminvane
