/** @file startup_func.h How long a starting balancer waits for newer documents
 * before it serves. */

#ifndef CUMINVANE_MEMBER_STARTUP_FUNC_H_
#define CUMINVANE_MEMBER_STARTUP_FUNC_H_

#include "base/time_type.h"

namespace cuminvane {

/** What a starting balancer that has both documents knows of its peers. */
struct StartupProgress {
  bool knows_peers = false;  ///< There is any balancer to ask.
  bool is_behind = false;    ///< A peer has reported a newer document.
  bool heard_all = false;    ///< All known members have answered.

  bool operator==(const StartupProgress&) const = default;
};

/** @return Time from having both documents until serving. */
inline Milliseconds StartupDelay(const StartupProgress& progress) {
  constexpr Milliseconds kAllMembersHeard{300};
  constexpr Milliseconds kMaxWaitForPeers{1000};
  // After this time the peer that reported a newer document counts as
  // unreachable.
  constexpr Milliseconds kMaxWaitForNewerDocuments{10000};
  if (!progress.knows_peers)
    return Milliseconds(0);
  // Serving with an older document would revert the configuration that is
  // active in the fleet.
  if (progress.is_behind)
    return kMaxWaitForNewerDocuments;
  // The answer of the only peer with the newest document may be lost, so the
  // answer of one peer is not enough.
  return progress.heard_all ? kAllMembersHeard : kMaxWaitForPeers;
}

}  // namespace cuminvane

#endif  // CUMINVANE_MEMBER_STARTUP_FUNC_H_
