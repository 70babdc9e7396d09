/** @file placement_type.h State of the backend servers for placement, and the
 * policies that choose one. */

#ifndef CUMINVANE_PLACEMENT_PLACEMENT_TYPE_H_
#define CUMINVANE_PLACEMENT_PLACEMENT_TYPE_H_

#include <algorithm>
#include <concepts>
#include <span>

#include "base/endpoint_type.h"
#include "base/ids_type.h"
#include "base/random_type.h"
#include "base/time_type.h"
#include "message/message_type.h"

namespace cuminvane {

/** State of a backend server as one balancer sees it. */
struct BackendState {
  VmId vm;
  Incarnation incarnation;  ///< Latest incarnation that was listed or reported.
  Endpoint address;
  ServiceId service;
  /** Whether the platform's list, a planned change or the service's
   * configuration excludes it from new work. */
  bool leaving = false;
  /** Until when its data centre is evacuated: it gets no new flows but further
   * requests of its flows. kNever while that is requested, TimePoint{} if it is
   * not evacuated. */
  TimePoint evacuated_until;
  /** Expiry of its last report that it is draining; it gets no new work until
   * then. TimePoint{} if its last load report did not say so. */
  TimePoint draining_until;
  /** End of its ejection after time-outs; it gets work before then only if no
   * other backend server is left. */
  TimePoint ejected_until;
  TimePoint warm_up_ends_at;  ///< End of its warm-up; it gets a reduced share
                              ///< of new flows until then.
  double placed_flows = 0;    ///< Flows placed on it by this balancer; a flow
                            ///< placed during the warm-up counts as 1 / share.
  int outstanding = 0;  ///< Runs sent by this balancer that have not ended.
  /** Runs in a row that timed out, reset by any report. */
  int consecutive_timeouts = 0;
  LoadReport report;  ///< Its last report of its load.

  bool operator==(const BackendState&) const = default;
};

/** Backend server chosen for a flow, a request or a feed. */
struct BackendChoice {
  VmId vm;
  Incarnation incarnation;
  Endpoint address;
  const char* reason = "";  ///< Reason of the choice, one word for the log.

  bool operator==(const BackendChoice&) const = default;
};

/** Outcome of a run, as a health signal of the backend server. */
enum class RunOutcome : uint8_t {
  kAnswered,  ///< The backend server sent its answer.
  kRefused,  ///< The backend server answered that it would not run the request.
  kTimedOut,  ///< The backend server did not react in time.
};

/** A policy that chooses one of at least one candidate, by index. */
template <class P>
concept PlacementPolicy = requires(std::span<BackendState* const> candidates,
                                   RandomEngine& random) {
  { P::Pick(candidates, random) } -> std::same_as<size_t>;
};

/** Chooses the candidate with the fewest flows placed by this balancer. */
struct LeastFlows {
  /**
   * @param candidates At least one.
   * @return Index of the chosen candidate.
   */
  static size_t Pick(std::span<BackendState* const> candidates,
                     RandomEngine& random) {
    // A random start spreads ties, so that not all balancers begin with the
    // same backend server.
    const size_t start = DrawIndex(random, candidates.size());
    size_t best = start;
    for (size_t step = 1; step < candidates.size(); ++step) {
      const size_t index = (start + step) % candidates.size();
      if (candidates[index]->placed_flows < candidates[best]->placed_flows)
        best = index;
    }
    return best;
  }
};

/** Draws two candidates at random and chooses the one with fewer outstanding
 * runs. */
struct PowerOfTwoChoices {
  /**
   * @param candidates At least one.
   * @return Index of the chosen candidate.
   */
  static size_t Pick(std::span<BackendState* const> candidates,
                     RandomEngine& random) {
    const size_t first = DrawIndex(random, candidates.size());
    const size_t second = DrawIndex(random, candidates.size());
    return candidates[second]->outstanding < candidates[first]->outstanding
               ? second
               : first;
  }
};

}  // namespace cuminvane

#endif  // CUMINVANE_PLACEMENT_PLACEMENT_TYPE_H_
