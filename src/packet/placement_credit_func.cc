/** @file placement_credit_func.cc Choice in proportion to capacity. */

#include "packet/placement_credit_func.h"

#include <algorithm>
#include <numeric>
#include <random>

namespace cuminvane {
namespace {

/** Credit that a choice costs, in flows. Without it short flows would stay on
 * few servers. 0.5 and 2 gave a worse balance or more tries shed in trials. */
constexpr double kChoiceCredit = 1;
/** Time in which one flow too many costs one flow of credit. 15 s, 20 s and 30
 * s gave a worse balance with 81 balancers. */
constexpr Seconds kCreditTime{10};
/** Longest time between two choices that is credited. The flows may have
 * changed in between, so a long time says little. */
constexpr Seconds kMaxCreditedTime{5};
/** Bound of the credit, in flows, so that a server that could not be chosen for
 * long is not flooded afterwards. */
constexpr double kMaxCredit = 3;

}  // namespace

PoolMember* ChooseByCredit(const std::vector<PoolMember*>& candidates,
                           const std::vector<double>& capacities,
                           TimePoint now,
                           RandomEngine& random) {
  const double capacity =
      std::accumulate(capacities.begin(), capacities.end(), 0.0);
  double flows = 0;
  for (const PoolMember* const member : candidates)
    flows += member->flows;
  std::uniform_real_distribution<double> first_credit(-0.5, 0.5);
  PoolMember* best = candidates.front();
  double best_lead = 0;
  for (size_t index = 0; index < candidates.size(); ++index) {
    PoolMember& member = *candidates[index];
    const double share = capacities[index] / capacity;
    // A random start makes the balancers choose differently.
    if (member.credited_at == TimePoint{})
      member.credit = first_credit(random);
    else
      member.credit +=
          (share * flows - member.flows) *
          (std::min<Microseconds>(now - member.credited_at, kMaxCreditedTime) /
           std::chrono::duration<double, Microseconds::period>(kCreditTime));
    member.credit = std::clamp(member.credit + kChoiceCredit * share,
                               -kMaxCredit, kMaxCredit);
    member.credited_at = now;
    const double lead =
        member.credit + share * (flows + 1) - member.flows - member.waiting;
    if (index != 0 && lead <= best_lead)
      continue;
    best = &member;
    best_lead = lead;
  }
  best->credit -= kChoiceCredit;
  return best;
}

}  // namespace cuminvane
