/** @file cold_limit_func.h Tokens of the rate limit of a cold backend server,
 * dealt to balancers without communication. */

#ifndef CUMINVANE_PACKET_COLD_LIMIT_FUNC_H_
#define CUMINVANE_PACKET_COLD_LIMIT_FUNC_H_

#include <cstdint>
#include <span>
#include <vector>

#include "base/ids_type.h"
#include "document/settings_type.h"
#include "member/member_type.h"

namespace cuminvane {

/** Tokens that are dealt for one cold backend server. */
struct ColdTokens {
  int64_t count = 0;
  int64_t flows_per_token = 1;  ///< New flows per second for each token.

  bool operator==(const ColdTokens&) const = default;
};

/** @return The tokens for a rate limit: as many whole requests as stay under
 * it, minus a margin for balancers that do not know each other.
 * @param requests_per_s Requests that all balancers may send in any second. */
ColdTokens TokensOf(double requests_per_s);

/**
 * Each token belongs to the balancer with the highest rendezvous score. Two
 * balancers that know each other never hold the same token, whatever else they
 * know.
 * @param server Instance of the cold backend server.
 * @param others All other known balancers.
 * @return New flows that the balancer `self` may place there per second.
 */
int64_t ShareOf(const VmInstance& server,
                const ColdTokens& tokens,
                VmId self,
                std::span<const VmId> others);

/** The other balancers that share a rate limit. */
struct ColdSharers {
  std::vector<VmId> balancers;
  bool hears_all = true;  ///< None of them is dead or unheard of.

  bool operator==(const ColdSharers&) const = default;
};

/** @return The known members, also dead ones, and the seed peers, which may be
 * out of reach. A seed peer that is no known member counts under its IP
 * address, which is its id unless its settings state another one. */
ColdSharers ColdSharersOf(const MemberView& view, const Settings& settings);

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_COLD_LIMIT_FUNC_H_
