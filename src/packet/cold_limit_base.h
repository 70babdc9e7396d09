/** @file cold_limit_base.h Rate limit of cold backend servers: how many new
 * flows this balancer may place on them. */

#ifndef CUMINVANE_PACKET_COLD_LIMIT_BASE_H_
#define CUMINVANE_PACKET_COLD_LIMIT_BASE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "document/config_type.h"
#include "document/settings_type.h"
#include "member/evidence_type.h"
#include "packet/cold_limit_func.h"

namespace cuminvane {

struct PoolMember;

/**
 * Limits the requests that all balancers together send to a cold backend server
 * in any second, without messages: tokens are dealt by rendezvous hashing, and
 * a balancer places new flows only with its own tokens. A flow uses a token
 * from its placement until one second after its last packet, since a request
 * may come at any time meanwhile. Further requests of a flow use one for a
 * second each, but can't be refused.
 */
class ColdLimit {
 public:
  /** @param limits Factor and addend of the services' limits. */
  explicit ColdLimit(const FlowLimits& limits);

  /** Reads the limits of the services. */
  void SetServices(const std::vector<Service>& services);
  /** Reads which balancers share the limits. This balancer holds no tokens
   * until it has settled: it has heard from all others for some time, so that
   * they know it too. Later it keeps its tokens in a partition. */
  void Update(const SelfEvidence& evidence, TimePoint now);

  /**
   * @param holder Backend server on which the flow was placed before; it may
   * get a retransmission of the flow's opening packet. 0 means none.
   * @return Whether a new flow may be placed on the backend server.
   */
  bool Allows(PoolMember& member, VmId holder, TimePoint now) const;
  /** Keeps the token of a flow that has ended in use for some time. */
  void OnFlowEnded(PoolMember& member, TimePoint last_packet_at) const;
  /** Uses a token for a further request of an open flow. */
  void OnFurtherRequest(PoolMember& member, TimePoint now) const;

 private:
  /** @return The tokens dealt for the backend server; null if it is not cold or
   * its service has no limit. */
  const ColdTokens* TokensFor(const PoolMember& member, TimePoint now) const;

  double over;                              ///< See FlowLimits::cold_over.
  double slack;                             ///< See FlowLimits::cold_slack.
  std::map<ServiceId, ColdTokens> limited;  ///< Services with a limit.
  VmId self;                                ///< VM of this balancer.
  /** See SelfEvidence::known_balancers. */
  std::shared_ptr<const std::vector<VmId>> others;
  /** Grows whenever the tokens have to be dealt again. */
  uint64_t round = 1;
  /** When this balancer settles at the latest; kNever before the first update.
   */
  TimePoint settles_by = kNever;
  /** Until then this balancer holds no tokens. */
  TimePoint settled_at = kNever;
};

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_COLD_LIMIT_BASE_H_
