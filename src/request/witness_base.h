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
enum class Testimony : uint8_t {
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
  explicit WitnessTable(size_t limit) : limit(limit) {}

  /**
   * Records that an owner is about to dispatch a request.
   * @param owner The announcing owner.
   * @param forget_at When the request's deadline has passed for certain.
   * @return Whether the owner may dispatch it.
   */
  bool Announce(FlowId flow,
                const Holder& owner,
                RequestNumber number,
                TimePoint forget_at);

  /**
   * Closes an owner up to a request and says what is known of that request.
   * @param forget_at Until when the closure must be remembered.
   * @return What the witness can say of the request.
   */
  Testimony Close(FlowId flow,
                  const Holder& owner,
                  RequestNumber number,
                  TimePoint forget_at);

  /** @return The highest number announced for the flow, none where there is
   * none. */
  RequestNumber HighestAnnounced(FlowId flow) const;

  /** Forgets what is over. */
  void Tick(TimePoint now);

  /** @return Flows remembered. */
  size_t Size() const { return this->flows.size(); }

 private:
  /** Numbers that an owner may not dispatch any more. */
  struct Closure {
    RequestNumber up_to;
    TimePoint forget_at;
  };

  /** What is known of one flow. */
  struct Entry {
    std::map<RequestNumber, TimePoint>
        intents;  ///< With when each may be forgotten.
    std::map<Holder, Closure> closed;
    TimePoint forget_at;
  };

  Entry* Find(FlowId flow, TimePoint forget_at);

  size_t limit;
  std::unordered_map<FlowId, Entry> flows;
  std::multimap<TimePoint, FlowId> timers;  ///< May hold stale ones.
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_WITNESS_BASE_H_
