/** @file cold_limit_base.cc Rate limit of cold backend servers. */

#include "packet/cold_limit_base.h"

#include <algorithm>

#include "packet/pool_type.h"

namespace cuminvane {
namespace {

/** Time over which requests are counted. */
constexpr Seconds kWindow{1};
/** Time for which a new balancer must hear from all others before it holds
 * tokens, so that they have heard of it too: heartbeats come every second, and
 * a member that is out of reach counts as dead within about two. Longer than
 * kWindow, so the requests of the process before a restart have left it. */
constexpr Seconds kSettlingTime{3};
/** A new balancer that doesn't hear from all others holds tokens after this
 * time, which is that after which dead members are forgotten. */
constexpr Seconds kMaxSettlingTime{600};
/** A token is reserved for this time for the first request of a new flow. A
 * caller gives up opening a flow after 1.4 s. */
constexpr Milliseconds kOpeningTime{1500};

}  // namespace

ColdLimit::ColdLimit(const FlowLimits& limits)
    : over(limits.cold_over), slack(limits.cold_slack) {}

void ColdLimit::SetServices(const std::vector<Service>& services) {
  this->limited.clear();
  for (const Service& service : services) {
    if (service.cold_per_s > 0)
      this->limited[service.id] =
          TokensOf(service.cold_per_s * this->over + this->slack);
  }
  ++this->round;
}

void ColdLimit::Update(const SelfEvidence& evidence, TimePoint now) {
  if (evidence.known_balancers == nullptr)
    return;
  this->settles_by = std::min(this->settles_by, now + kMaxSettlingTime);
  if (this->settled_at > now)
    this->settled_at = evidence.hears_all_balancers
                           ? std::min({this->settled_at, this->settles_by,
                                       now + kSettlingTime})
                           : this->settles_by;
  if (this->others == evidence.known_balancers && this->self == evidence.self)
    return;
  this->self = evidence.self;
  this->others = evidence.known_balancers;
  ++this->round;
}

const ColdTokens* ColdLimit::TokensFor(const PoolMember& member,
                                       TimePoint now) const {
  if (this->limited.empty() || member.warm_up_ends_at <= now)
    return nullptr;
  const auto found = this->limited.find(member.service);
  return found == this->limited.end() ? nullptr : &found->second;
}

bool ColdLimit::Allows(PoolMember& member, VmId holder, TimePoint now) const {
  const ColdTokens* const tokens = this->TokensFor(member, now);
  if (tokens == nullptr)
    return true;
  ColdShare& share = member.cold_share;
  std::erase_if(share.uses,
                [now](const ColdUse& use) { return use.ends_at <= now; });
  // The flow has its token already.
  if (member.vm == holder &&
      std::ranges::find(share.uses, true, &ColdUse::is_opening) !=
          share.uses.end())
    return true;
  if (this->settled_at > now)
    return false;
  if (share.dealt_round != this->round ||
      share.incarnation != member.incarnation) {
    share.dealt_round = this->round;
    share.incarnation = member.incarnation;
    share.tokens = ShareOf({member.vm, member.incarnation}, *tokens, this->self,
                           *this->others);
  }
  return static_cast<int64_t>(share.uses.size()) < share.tokens;
}

void ColdLimit::OnPlaced(PoolMember& member, VmId holder, TimePoint now) const {
  if (this->TokensFor(member, now) == nullptr || member.vm == holder)
    return;
  member.cold_share.uses.push_back({now + kOpeningTime + kWindow, true});
}

void ColdLimit::OnRequest(PoolMember& member,
                          bool is_first,
                          TimePoint now) const {
  if (this->TokensFor(member, now) == nullptr)
    return;
  std::vector<ColdUse>& uses = member.cold_share.uses;
  std::erase_if(uses, [now](const ColdUse& use) { return use.ends_at <= now; });
  const auto opening = std::ranges::find(uses, true, &ColdUse::is_opening);
  if (is_first && opening != uses.end())
    *opening = {now + kWindow, false};
  else
    uses.push_back({now + kWindow, false});
}

}  // namespace cuminvane
