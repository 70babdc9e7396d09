/** @file evidence_type.h What a balancer knows about its own documents and
 * peers. */

#ifndef CUMINVANE_MEMBER_EVIDENCE_TYPE_H_
#define CUMINVANE_MEMBER_EVIDENCE_TYPE_H_

#include <memory>
#include <vector>

#include "base/endpoint_type.h"
#include "base/ids_type.h"
#include "base/time_type.h"

namespace cuminvane {

/** Evidence by which a balancer vouches for its own state. Without it, a
 * backend server that seems lost or unknown may be alive, and its flows must
 * not be reset. */
struct SelfEvidence {
  /** Last time at which the documents were known to be the newest ones;
   * TimePoint{} if never. */
  TimePoint documents_confirmed_at;
  /** Whether the last confirmation is recent enough for a change to be in force
   * in time. */
  bool documents_fresh = false;
  /** Addresses that answer connections if this balancer's link works: live
   * balancers, preferably of the own data centre, else the platform's store.
   * Null or empty if there is none. */
  std::shared_ptr<const std::vector<Endpoint>> controls;
  /** Live balancers in all data centres, including this one. */
  int live_balancers = 1;
  VmId self;  ///< VM of this balancer.
  /** All other balancers known in the last ten minutes, dead ones included, and
   * the seed peers. Null if they were not read yet. */
  std::shared_ptr<const std::vector<VmId>> known_balancers;
  /** Whether none of `known_balancers` is dead or unheard of. */
  bool hears_all_balancers = false;

  bool operator==(const SelfEvidence&) const = default;
};

}  // namespace cuminvane

#endif  // CUMINVANE_MEMBER_EVIDENCE_TYPE_H_
