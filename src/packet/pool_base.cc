/** @file pool_base.cc The backend servers of opaque flows. */

#include "packet/pool_base.h"

#include <algorithm>
#include <utility>

#include "document/config_func.h"
#include "member/member_type.h"
#include "packet/packet_func.h"

namespace cuminvane {
namespace {

/** Time for which a backend server that left the list of VMs is kept after its
 * last answer, so that its flows go on. */
constexpr Seconds kDelistedRetention{60};
/** Time for which a backend server that was listed as leaving counts as
 * stopping after it is listed as live again: an older copy of the platform's
 * store lacks its announcement until the server writes it again. */
constexpr Milliseconds kStopRetention{3000};
/** Ticks further apart than this mean that this process itself has stalled. A
 * health check that timed out during a stall may have been answered. */
constexpr Milliseconds kStallThreshold{60};
/** Time between two updates of utilisation, isolation and due health checks. */
constexpr Milliseconds kUpdateInterval{100};
/** Weight of the newest sample of the utilisation; with kUpdateInterval the
 * average covers about one second. */
constexpr double kUtilisationWeight = 0.1;

/** Time after the start in which a balancer hears from all live ones; their
 * heartbeats come every second. */
constexpr Seconds kSettlingTime{3};

}  // namespace

BackendPool::BackendPool(std::string_view data_centre, const FlowLimits& limits)
    : data_centre(DataCentreIdOf(data_centre)),
      limits(limits),
      evacuations(data_centre),
      cold_limit(limits) {}

std::vector<VmId> BackendPool::Sync(const VmList& list,
                                    const Config& config,
                                    TimePoint now) {
  std::vector<VmId> restarted;
  this->cold_limit.SetServices(config.services);
  const uint64_t list_era = list.version.value / kVersionsPerEra;
  if (std::exchange(this->era, list_era) != list_era)
    this->guard.OnHistoryLost(now);
  for (auto& [vm, member] : this->members) {
    if (member.delisted_at == kNever)
      member.delisted_at = now;
  }
  for (const Vm& vm : list.vms) {
    if (vm.role != VmRole::kBackend)
      continue;
    const auto [position, is_new] = this->members.try_emplace(vm.id);
    PoolMember& member = position->second;
    if (!is_new && member.incarnation != vm.incarnation) {
      restarted.push_back(vm.id);
      this->ForgetInstance(member, now);
    }
    const bool is_new_instance = member.incarnation != vm.incarnation;
    if (is_new_instance) {
      member.load = {};
      member.pace.warm_up_seen = TimePoint{};
      member.stopping_until = TimePoint{};
    }
    // A server can be cold again without a restart, for example when its data
    // centre returns to service.
    if (is_new_instance || member.listed_warm_up != vm.warm_up_left)
      member.warm_up_ends_at = now + vm.warm_up_left;
    member.listed_warm_up = vm.warm_up_left;
    if (vm.leaving)
      member.stopping_until = kNever;
    else if (member.stopping_until == kNever)
      member.stopping_until = now + kStopRetention;
    member.tag = TagOf(vm.id);
    member.vm = vm.id;
    member.incarnation = vm.incarnation;
    member.address = vm.address;
    member.service = vm.service;
    member.data_centre = DataCentreIdOf(vm.data_centre);
    member.local = member.data_centre == this->data_centre;
    member.leaving = vm.leaving || FindActiveChange(config, vm, now) != nullptr;
    member.slots = std::max<int64_t>(1, vm.slots);
    member.delisted_at = kNever;
  }
  this->evacuations.Sync(list, now, this->members);
  this->IndexTags();
  if (this->limits.share_load)
    this->load_exchange.SetServers(this->members);
  return restarted;
}

void BackendPool::IndexTags() {
  this->by_tag.clear();
  // If several backend servers have the same tag, the oldest one keeps it,
  // because it may have flows already.
  for (auto& [vm, member] : this->members) {
    member.tag_conflict = false;
    const auto [position, is_new] = this->by_tag.emplace(member.tag.value, vm);
    if (is_new)
      continue;
    PoolMember& other = this->members.at(position->second);
    const auto start_order = [](const PoolMember& one) {
      return std::pair(one.incarnation, one.vm);
    };
    PoolMember& younger =
        start_order(member) < start_order(other) ? other : member;
    younger.tag_conflict = true;
    if (&younger == &other)
      position->second = vm;
  }
}

PoolMember* BackendPool::Find(VmId vm) {
  const auto member = this->members.find(vm);
  return member == this->members.end() ? nullptr : &member->second;
}

PoolMember* BackendPool::FindByTag(FlowTag tag) {
  const auto vm = this->by_tag.find(tag.value);
  return vm == this->by_tag.end() ? nullptr : this->Find(vm->second);
}

bool BackendPool::AcceptsFlows(const PoolMember& member, TimePoint now) const {
  if (member.leaving || member.stopping_until > now || member.tag_conflict ||
      IsEvacuated(member, now))
    return false;
  // The list entry of a running backend server can expire while the platform is
  // unreachable; it is restored soon. During this grace period the backend
  // server accepts flows if it has answered since it was delisted.
  return member.delisted_at == kNever ||
         (member.delisted_at + this->limits.removal_grace_period > now &&
          member.liveness.last_alive_at > member.delisted_at);
}

void BackendPool::Tick(TimePoint now,
                       int local_balancers,
                       const SelfEvidence& evidence,
                       PacketOutput& out) {
  this->guard.Update(evidence, now);
  this->cold_limit.Update(evidence, now);
  this->controls = evidence.controls;
  this->local_balancers = local_balancers;
  this->live_balancers = std::max(local_balancers, evidence.live_balancers);
  this->settled_at = std::min(this->settled_at, now + kSettlingTime);
  if (this->last_tick_at != TimePoint{} &&
      now - this->last_tick_at > kStallThreshold)
    this->last_stall_at = now;
  this->last_tick_at = now;
  if (now < this->next_update_at)
    return;
  this->next_update_at = now + kUpdateInterval;
  this->UpdateLocalUtilisation(now, local_balancers);
  this->UpdateIsolation(now);
  this->evacuations.Tick(now, this->members, out.common);
  this->UpdatePaces(now, out);
  for (auto& [vm, member] : this->members) {
    const bool unproven =
        IsUnavailable(member) ||
        member.liveness.reachability == Reachability::kSuspect;
    const bool due =
        unproven && !member.liveness.check_pending &&
        member.liveness.next_check_at <= now &&
        (member.delisted_at == kNever || member.liveness.flows_kept);
    if (due)
      this->StartHealthCheck(member, FailureSignal::kRecheck, now, out);
  }
  const size_t erased = std::erase_if(this->members, [now](const auto& item) {
    const PoolMember& member = item.second;
    return member.delisted_at != kNever &&
           std::max(member.delisted_at, member.liveness.last_alive_at) +
                   kDelistedRetention <=
               now;
  });
  if (erased != 0)
    this->IndexTags();
}

void BackendPool::UpdateLocalUtilisation(TimePoint now, int local_balancers) {
  struct SlotUsage {
    double waiting = 0;
    double slots = 0;
  };
  std::map<ServiceId, SlotUsage> usages;
  for (const auto& [vm, member] : this->members) {
    if (!member.local || IsUnavailable(member) ||
        !this->AcceptsFlows(member, now))
      continue;
    usages[member.service].waiting += member.waiting;
    usages[member.service].slots += static_cast<double>(member.slots);
  }
  for (const auto& [service, usage] : usages) {
    double& average = this->local_utilisation[service];
    // The balancers of a data centre receive similar shares of its flows, so
    // this balancer's count is scaled up by their number.
    const double sample = usage.waiting * local_balancers / usage.slots;
    average += kUtilisationWeight * (sample - average);
  }
}

}  // namespace cuminvane
