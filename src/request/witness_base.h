/** @file witness_base.h What a witness knows: which requests an owner meant to
 * dispatch, and which owners are closed. */

#ifndef CUMINVANE_REQUEST_WITNESS_BASE_H_
#define CUMINVANE_REQUEST_WITNESS_BASE_H_

#include <map>
#include <unordered_map>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "message/message_type.h"

namespace cuminvane {

/** What a witness can say of a request whose owner is out of reach. */
enum class DispatchStatus : uint8_t {
  kNeverDispatched,  ///< The owner did not dispatch it and can't any more.
  kMayHaveRun,  ///< The owner announced it; whether it was dispatched is not
                ///< known.
};

/**
 * Intents of other owners, for the flows of one shard.
 *
 * An owner dispatches a witnessed request only after its witness has
 * acknowledged the intent. Once an owner is closed for a flow, no further
 * intent of it is acknowledged; so what was not announced by then was never
 * dispatched.
 */
class WitnessTable {
 public:
  /** @param limit Most flows remembered; beyond it intents are not
   * acknowledged. */
  explicit WitnessTable(size_t max_flows) : max_flows(max_flows) {}

  /**
   * Records that an owner is about to dispatch a request.
   * @param owner The announcing owner.
   * @param expires_at When the request's deadline has passed for certain.
   * @return Whether the owner may dispatch it.
   */
  bool RecordIntent(FlowId flow,
                    const VmInstance& owner,
                    RequestNumber number,
                    TimePoint expires_at);

  /**
   * Closes an owner up to a request and says what is known of that request.
   * @param expires_at Until when the closure must be remembered.
   * @return What the witness can say of the request.
   */
  DispatchStatus FenceOwner(FlowId flow,
                            const VmInstance& owner,
                            RequestNumber number,
                            TimePoint expires_at);

  /** @return The highest number announced for the flow, none where there is
   * none. */
  RequestNumber HighestIntent(FlowId flow) const;

  /** Forgets what is over. */
  void Tick(TimePoint now);

  /** @return Flows remembered. */
  size_t Size() const { return this->flows.size(); }

 private:
  /** Numbers that an owner may not dispatch any more. */
  struct OwnerFence {
    RequestNumber highest_fenced;
    TimePoint expires_at;
  };

  /** What is known of one flow. */
  struct WitnessedFlow {
    std::map<RequestNumber, TimePoint>
        intents;  ///< With when each may be forgotten.
    std::map<VmInstance, OwnerFence> fences;
    TimePoint expires_at;
  };

  WitnessedFlow* FindOrAdd(FlowId flow, TimePoint expires_at);

  size_t max_flows;
  std::unordered_map<FlowId, WitnessedFlow> flows;
  std::multimap<TimePoint, FlowId> timers;  ///< May hold stale ones.
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_WITNESS_BASE_H_
