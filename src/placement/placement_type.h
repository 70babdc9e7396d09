/** @file placement_type.h What placement knows of a backend server, and the
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

/** A backend server as one balancer sees it. */
struct BackendState {
  VmId vm;
  Incarnation incarnation;
  Endpoint address;
  ServiceId service;
  bool leaving = false;      ///< By the platform's list or a planned change.
  TimePoint draining_until;  ///< It said that it drains; believed until then.
  TimePoint ejected_until;   ///< It did not answer; left alone until then.
  TimePoint warm_at;         ///< From then on it gets a full share.
  double placed_flows =
      0;                ///< Flows placed here, counted higher while it is cold.
  int outstanding = 0;  ///< Runs sent by this balancer and not ended.
  int consecutive_timeouts = 0;  ///< Runs in a row that it did not react to.
  LoadReport report;             ///< What it last said of itself.

  bool operator==(const BackendState&) const = default;
};

/** A backend server chosen for a flow or a request. */
struct BackendChoice {
  VmId vm;
  Incarnation incarnation;
  Endpoint address;
  const char* reason = "";  ///< Why this one.

  bool operator==(const BackendChoice&) const = default;
};

/** How a run ended, as a sign of the backend server's health. */
enum class RunOutcome : uint8_t {
  kAnswered,
  kRefused,   ///< Answered that it would not run it.
  kTimedOut,  ///< No reaction.
};

template <class P>
concept PlacementPolicy = requires(std::span<BackendState* const> candidates,
                                   RandomEngine& random) {
  { P::Pick(candidates, random) } -> std::same_as<size_t>;
};

/** Takes the one with the fewest flows placed by this balancer. */
struct LeastFlows {
  /** @return Index of the choice; there must be a candidate. */
  static size_t Pick(std::span<BackendState* const> candidates,
                     RandomEngine& random) {
    // Starting anywhere spreads ties, so that balancers do not all begin with
    // the same one.
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

/** Takes the one with fewer runs outstanding out of two at random. */
struct PowerOfTwoChoices {
  /** @return Index of the choice; there must be a candidate. */
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
