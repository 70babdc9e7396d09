/** @file evidence_type.h What a balancer knows about the state of its own link
 * and documents. */

#ifndef CUMINVANE_MEMBER_EVIDENCE_TYPE_H_
#define CUMINVANE_MEMBER_EVIDENCE_TYPE_H_

#include "base/time_type.h"

namespace cuminvane {

/** Evidence by which a balancer vouches for its own state. Without it, a
 * backend server that seems lost or unknown may be alive, and its flows must
 * not be reset. */
struct SelfEvidence {
  /** Last time at which the documents were known to be the newest ones;
   * TimePoint{} if never. */
  TimePoint documents_confirmed_at;
  /** Last time at which another balancer answered a probe promptly; TimePoint{}
   * if never. */
  TimePoint prompt_ack_at;
  /** Whether the last confirmation is recent enough for a change to be in force
   * in time. */
  bool documents_fresh = false;
  bool has_peers = false;  ///< Whether any other balancer is known that has not
                           ///< left, even if it seems dead.

  bool operator==(const SelfEvidence&) const = default;
};

}  // namespace cuminvane

#endif  // CUMINVANE_MEMBER_EVIDENCE_TYPE_H_
