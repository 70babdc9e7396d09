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

void EraseEnded(std::vector<TimePoint>& uses_end_at, TimePoint now) {
  std::erase_if(uses_end_at, [now](TimePoint end) { return end <= now; });
}

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
  // The flow uses a token of this server already. Without open flows it was
  // placed on the instance before.
  if (member.vm == holder && member.flows > 0)
    return true;
  if (this->settled_at > now)
    return false;
  ColdShare& share = member.cold_share;
  if (share.dealt_round != this->round ||
      share.incarnation != member.incarnation) {
    share.dealt_round = this->round;
    share.incarnation = member.incarnation;
    share.tokens = ShareOf({member.vm, member.incarnation}, *tokens, this->self,
                           *this->others);
  }
  EraseEnded(share.uses_end_at, now);
  return member.flows + static_cast<int64_t>(share.uses_end_at.size()) <
         share.tokens;
}

void ColdLimit::OnFlowEnded(PoolMember& member,
                            TimePoint last_packet_at) const {
  this->OnFurtherRequest(member, last_packet_at);
}

void ColdLimit::OnFurtherRequest(PoolMember& member, TimePoint now) const {
  if (this->TokensFor(member, now) == nullptr)
    return;
  EraseEnded(member.cold_share.uses_end_at, now);
  member.cold_share.uses_end_at.push_back(now + kWindow);
}

}  // namespace cuminvane
