/** @file witness_base.h State of a witness: the requests that owners of flows
 * intended to dispatch, and the owners that are fenced. */

#ifndef CUMINVANE_REQUEST_WITNESS_BASE_H_
#define CUMINVANE_REQUEST_WITNESS_BASE_H_

#include <map>
#include <unordered_map>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "message/message_type.h"

namespace cuminvane {

/** Whether the previous owner of a flow may have dispatched a request. */
enum class DispatchStatus : uint8_t {
  kNeverDispatched,  ///< The owner did not dispatch the request and never will,
                     ///< because the owner is fenced or has stopped.
  kMayHaveRun,       ///< The owner may have dispatched the request.
};

/**
 * Intents and fences of other balancers, for the flows of one shard.
 *
 * An owner dispatches a witnessed request only after its witness has
 * acknowledged the intent. Once an owner is fenced for a flow, the witness
 * acknowledges no further intent up to the fenced number; so a request without
 * an intent at that moment was never dispatched and never will be.
 */
class WitnessTable {
 public:
  /** @param max_flows Maximum number of flows in the table; if the table is
   * full, intents of other flows are refused. */
  explicit WitnessTable(size_t max_flows) : max_flows(max_flows) {}

  /**
   * Records that an owner is about to dispatch a request.
   * @param flow Flow of the request.
   * @param owner The owner that sent the intent.
   * @param number Number of the request.
   * @param expires_at Time until which the intent is retained; must not be
   * before the request's deadline.
   * @return Whether the owner may dispatch the request: it is not fenced, and
   * the table has room for the flow.
   */
  bool RecordIntent(FlowId flow,
                    const VmInstance& owner,
                    RequestNumber number,
                    TimePoint expires_at);

  /**
   * Fences an owner of a flow: later intents of this owner for requests up to
   * `number` are refused.
   * @param flow Flow for which the owner is fenced.
   * @param owner The owner to fence.
   * @param number Highest request number that is fenced.
   * @param expires_at Time until which the fence must be retained.
   * @return Whether the owner may have dispatched request `number`.
   */
  DispatchStatus FenceOwner(FlowId flow,
                            const VmInstance& owner,
                            RequestNumber number,
                            TimePoint expires_at);

  /** @return The highest request number among the flow's intents; 0 if the
   * table has no intent of the flow. */
  RequestNumber HighestIntent(FlowId flow) const;

  /** Removes expired intents, fences and flows. */
  void Tick(TimePoint now);

  /** @return Number of flows in the table. */
  size_t Size() const { return this->flows.size(); }

 private:
  /** Fence against one owner of a flow. */
  struct OwnerFence {
    RequestNumber highest_fenced;  ///< The owner may not dispatch requests with
                                   ///< this or a lower number.
    TimePoint expires_at;          ///< When the fence may be removed.
  };

  /** Intents and fences of one flow. */
  struct WitnessedFlow {
    /** Expiry time of each intent, by request number. */
    std::map<RequestNumber, TimePoint> intents;
    std::map<VmInstance, OwnerFence> fences;  ///< By fenced owner.
    TimePoint expires_at;  ///< Latest expiry of an intent or a fence.
  };

  /** @return The flow's entry, whose expiry is extended to at least
   * `expires_at`; null if the flow is not in the table and the table is full.
   */
  WitnessedFlow* FindOrAdd(FlowId flow, TimePoint expires_at);

  size_t max_flows;  ///< Maximum number of flows in the table.
  std::unordered_map<FlowId, WitnessedFlow> flows;  ///< By flow identifier.
  /** Times at which to check a flow for expiry. A flow may have several timers,
   * and a timer may refer to a flow that has been removed. */
  std::multimap<TimePoint, FlowId> timers;
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_WITNESS_BASE_H_
