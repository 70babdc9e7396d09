/** @file cold_limit_func.cc Tokens of the rate limit of a cold backend server.
 */

#include "packet/cold_limit_func.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

#include "base/rendezvous_func.h"

namespace cuminvane {
namespace {

/** One token of this many is not dealt (rounded up, but one token is always
 * dealt). A balancer that has settled while some others don't know it yet
 * duplicates about the share of one balancer, so this covers an eighth of all
 * joining in the seconds in which a partition begins. */
constexpr int64_t kMarginDivisor = 8;
/** Maximum number of tokens. Above it each token stands for several flows, so
 * that dealing takes bounded time. */
constexpr int64_t kMaxTokens = 1024;

}  // namespace

ColdTokens TokensOf(double requests_per_s) {
  // The requests must stay under the limit, so a whole limit is not reached.
  const auto whole = static_cast<int64_t>(std::ceil(requests_per_s)) - 1;
  if (whole <= 0)
    return {};
  const int64_t margin = (whole + kMarginDivisor - 1) / kMarginDivisor;
  const int64_t dealt = std::max<int64_t>(1, whole - margin);
  if (dealt <= kMaxTokens)
    return {dealt, 1};
  return {kMaxTokens, dealt / kMaxTokens};
}

int64_t ShareOf(const VmInstance& server,
                const ColdTokens& tokens,
                VmId self,
                std::span<const VmId> others) {
  int64_t held = 0;
  for (int64_t token = 0; token < tokens.count; ++token) {
    const std::array<uint64_t, 3> name{server.vm.value,
                                       server.incarnation.value,
                                       static_cast<uint64_t>(token)};
    const uint64_t key = XXH3_64bits(name.data(), sizeof(name));
    const uint64_t own = RendezvousScore(key, self.value);
    // Most tokens are lost after a few comparisons.
    const bool is_held = std::ranges::none_of(others, [&](VmId other) {
      return RendezvousScore(key, other.value) > own;
    });
    held += is_held ? 1 : 0;
  }
  return held * tokens.flows_per_token;
}

ColdSharers ColdSharersOf(const MemberView& view, const Settings& settings) {
  ColdSharers sharers;
  for (const MemberInfo& member : view.members) {
    sharers.balancers.push_back(member.id.vm);
    sharers.hears_all &= member.State() != MemberState::kDead;
  }
  for (const Endpoint& seed : settings.seed_peers) {
    const VmId id{seed.ip};
    if (id == settings.id ||
        std::ranges::find(view.members, seed, &MemberInfo::peer) !=
            view.members.end() ||
        std::ranges::find(sharers.balancers, id) != sharers.balancers.end())
      continue;
    sharers.balancers.push_back(id);
    sharers.hears_all = false;
  }
  return sharers;
}

}  // namespace cuminvane
