/** @file pool_placement.cc Choice of the backend server of a new flow. */

#include <algorithm>
#include <random>

#include "packet/placement_credit_func.h"
#include "packet/pool_base.h"
#include "packet/server_load_func.h"

namespace cuminvane {
namespace {

/** A backend server whose answers take more than this many times the mean of
 * all candidates gets fewer flows. */
constexpr double kSlowFactor = 2.0;
/** Utilisation of the local slots up to which all new flows stay local. Above
 * it the chance that a flow stays local falls linearly, to zero at
 * kSpreadAllUtilisation. */
constexpr double kLocalOnlyUtilisation = 0.5;
/** Utilisation of the local slots from which on local backend servers are not
 * preferred. */
constexpr double kSpreadAllUtilisation = 0.8;

/** @return The candidates' capacity relative to each other by what balancers
 * share; empty if all count as equal. */
std::vector<double> CapacityFactors(const std::vector<PoolMember*>& candidates,
                                    TimePoint now) {
  double sum_speed = 0;
  double sum_delay = 0;
  int known = 0;
  for (const PoolMember* const member : candidates) {
    sum_delay += DelayOf(member->load, now);
    if (!IsSlownessKnown(member->load, now))
      continue;
    sum_speed += 1 / member->load.slowness.mean;
    ++known;
  }
  const double mean_speed = known == 0 ? 0 : sum_speed / known;
  const double mean_delay = sum_delay / static_cast<double>(candidates.size());
  std::vector<double> factors;
  bool all_equal = true;
  for (const PoolMember* const member : candidates) {
    factors.push_back(
        CapacityFactorOf(member->load, mean_speed, mean_delay, now));
    all_equal &= factors.back() == 1;
  }
  if (all_equal)
    factors.clear();
  return factors;
}

}  // namespace

std::vector<PoolMember*> BackendPool::Candidates(
    ServiceId service,
    VmId avoided,
    TimePoint now,
    std::vector<PoolMember*>& paced,
    bool& cold_limited) {
  std::vector<PoolMember*> trusted;
  std::vector<PoolMember*> suspects;
  std::vector<PoolMember*> others;
  for (auto& [vm, member] : this->members) {
    if (member.service != service || !this->AcceptsFlows(member, now))
      continue;
    if (!this->cold_limit.Allows(member, avoided, now)) {
      cold_limited = true;
      continue;
    }
    if (this->RefreshPace(member, now) && vm != avoided &&
        member.liveness.reachability == Reachability::kReachable)
      paced.push_back(&member);
    else if (vm != avoided && this->IsTrusted(member, now))
      trusted.push_back(&member);
    else if (!IsUnavailable(member))
      suspects.push_back(&member);
    else
      others.push_back(&member);
  }
  if (!trusted.empty())
    return trusted;
  if (!paced.empty())
    return paced;
  if (!suspects.empty())
    return suspects;
  // A reset now serves the caller better than an unavailable backend server.
  return cold_limited ? std::vector<PoolMember*>{} : others;
}

double BackendPool::Capacity(const PoolMember& member,
                             double mean_answer_ms,
                             TimePoint now) const {
  double capacity =
      static_cast<double>(member.slots) * this->CapacityWeight(member, now);
  if (mean_answer_ms > 0 && member.answer_ms > kSlowFactor * mean_answer_ms)
    capacity *= mean_answer_ms / member.answer_ms;
  return capacity;
}

PoolMember* BackendPool::LeastLoaded(const std::vector<PoolMember*>& candidates,
                                     TimePoint now,
                                     RandomEngine& random) const {
  double sum_ms = 0;
  int measured = 0;
  for (const PoolMember* const member : candidates) {
    sum_ms += member->answer_ms;
    measured += member->answer_ms > 0 ? 1 : 0;
  }
  const double mean_answer_ms = measured == 0 ? 0 : sum_ms / measured;
  const std::vector<double> factors = this->limits.share_load
                                          ? CapacityFactors(candidates, now)
                                          : std::vector<double>();
  std::vector<double> capacities;
  for (size_t index = 0; index < candidates.size(); ++index) {
    const PoolMember& member = *candidates[index];
    // The shared slowness has the answer times in it. This balancer's own last
    // answers may be old, and would count them twice.
    const bool is_known = !factors.empty() && IsSlownessKnown(member.load, now);
    capacities.push_back(
        this->Capacity(member, is_known ? 0 : mean_answer_ms, now) *
        (factors.empty() ? 1 : factors[index]));
  }
  if (!factors.empty())
    return ChooseByCredit(candidates, capacities, now, random);
  // A random start makes the balancers choose differently among equal loads.
  const size_t start = DrawIndex(random, candidates.size());
  PoolMember* best = nullptr;
  double best_load = 0;
  for (size_t step = 0; step < candidates.size(); ++step) {
    const size_t index = (start + step) % candidates.size();
    PoolMember* const member = candidates[index];
    const double load =
        (member->flows + member->waiting + 1) / capacities[index];
    if (best != nullptr && load >= best_load)
      continue;
    best = member;
    best_load = load;
  }
  return best;
}

std::vector<PoolMember*> BackendPool::WithRoom(
    const std::vector<PoolMember*>& candidates,
    int64_t depth_limit) {
  for (const int64_t limit : {int64_t{1}, depth_limit}) {
    std::vector<PoolMember*> with_room;
    std::ranges::copy_if(
        candidates, std::back_inserter(with_room),
        [limit](const PoolMember* member) { return !IsFull(*member, limit); });
    if (!with_room.empty())
      return with_room;
  }
  return candidates;
}

bool BackendPool::PrefersLocal(ServiceId service, RandomEngine& random) const {
  const auto found = this->local_utilisation.find(service);
  const double utilisation =
      found == this->local_utilisation.end() ? 0 : found->second;
  const double chance = (kSpreadAllUtilisation - utilisation) /
                        (kSpreadAllUtilisation - kLocalOnlyUtilisation);
  return std::uniform_real_distribution<double>(0, 1)(random) < chance;
}

PoolChoice BackendPool::Choose(ServiceId service,
                               VmId avoided,
                               int64_t depth_limit,
                               TimePoint now,
                               RandomEngine& random) {
  std::vector<PoolMember*> paced;
  bool cold_limited = false;
  const std::vector<PoolMember*> all =
      this->Candidates(service, avoided, now, paced, cold_limited);
  if (all.empty())
    return {nullptr, cold_limited ? "cold_limit"
                                  : ReasonForNone(this->members, service, now)};
  if (!paced.empty() && all != paced) {
    if (PoolMember* const chosen = this->DrawPaced(paced, now, random))
      return {chosen, "slow_start"};
  }
  std::vector<PoolMember*> local;
  std::ranges::copy_if(all, std::back_inserter(local),
                       [](const PoolMember* member) { return member->local; });
  if (!local.empty() && this->PrefersLocal(service, random)) {
    PoolMember* const best =
        this->LeastLoaded(WithRoom(local, depth_limit), now, random);
    if (!IsFull(*best, depth_limit))
      return {best, "near"};
  }
  return {this->LeastLoaded(WithRoom(all, depth_limit), now, random),
          "least_loaded"};
}

bool BackendPool::IsFull(const PoolMember& member, int64_t depth_limit) {
  return depth_limit > 0 && !IsUnavailable(member) &&
         member.waiting >= depth_limit * member.slots;
}

}  // namespace cuminvane
