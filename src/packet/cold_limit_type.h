/** @file cold_limit_type.h This balancer's share of the rate limit of one cold
 * backend server. */

#ifndef CUMINVANE_PACKET_COLD_LIMIT_TYPE_H_
#define CUMINVANE_PACKET_COLD_LIMIT_TYPE_H_

#include <cstdint>
#include <vector>

#include "base/ids_type.h"
#include "base/time_type.h"

namespace cuminvane {

/** Tokens that this balancer holds for one cold backend server. */
struct ColdShare {
  uint64_t dealt_round = 0;  ///< ColdLimit::round of `tokens`; 0 means none.
  Incarnation incarnation;   ///< Instance that `tokens` were dealt for.
  int64_t tokens = 0;        ///< New flows that may be placed per second.
  /** Ends of the uses of tokens, other than by open flows; may contain past
   * ones. */
  std::vector<TimePoint> uses_end_at;

  bool operator==(const ColdShare&) const = default;
};

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_COLD_LIMIT_TYPE_H_
