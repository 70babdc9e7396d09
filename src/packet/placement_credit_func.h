/** @file placement_credit_func.h Choice of a backend server in proportion to
 * capacity by a balancer that has few flows per server. */

#ifndef CUMINVANE_PACKET_PLACEMENT_CREDIT_FUNC_H_
#define CUMINVANE_PACKET_PLACEMENT_CREDIT_FUNC_H_

#include <vector>

#include "base/random_type.h"
#include "packet/pool_type.h"

namespace cuminvane {

/**
 * Chooses the candidate that is furthest behind its share of flows. What a
 * choice gives one server too much, and the time for which flows stay there,
 * are carried over to the next choices as PoolMember::credit, so that the mean
 * number of flows is proportional to capacity also if it is less than one.
 * @param candidates Not empty; their credit is updated.
 * @param capacities Capacity of each candidate, above 0.
 * @return The chosen candidate.
 */
PoolMember* ChooseByCredit(const std::vector<PoolMember*>& candidates,
                           const std::vector<double>& capacities,
                           TimePoint now,
                           RandomEngine& random);

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_PLACEMENT_CREDIT_FUNC_H_
