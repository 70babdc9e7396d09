/** @file pool_base.h The backend servers of opaque flows: which one takes a new
 * flow, which one a tag names, which ones are out of reach. */

#ifndef CUMINVANE_PACKET_POOL_BASE_H_
#define CUMINVANE_PACKET_POOL_BASE_H_

#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/random_type.h"
#include "document/config_type.h"
#include "document/settings_type.h"
#include "document/vmlist_type.h"
#include "packet/pool_type.h"

namespace cuminvane {

/** A backend server chosen for a new flow. */
struct PoolChoice {
  PoolMember* member = nullptr;  ///< Null: none takes flows.
  const char* reason = "";

  bool operator==(const PoolChoice&) const = default;
};

/**
 * Backend servers as opaque flows need them.
 *
 * A flow carries the tag of its backend server. One whose tag an older one
 * already has gets no new flows, so a tag names one of them only. The tag does
 * not tell one start from the next: where the list lags, flows are placed on a
 * start that it does not name yet, and a start resets the flows that it does
 * not hold itself.
 */
class BackendPool {
 public:
  /**
   * @param data_centre This balancer's.
   * @param limits Times of the decisions.
   */
  BackendPool(std::string_view data_centre, const FlowLimits& limits);

  /**
   * Takes over the platform's list; those that are not in it any more are kept
   * for the flows that they have.
   * @return Those that have started again, with none of their flows.
   */
  std::vector<VmId> Sync(const VmList& list,
                         const Config& config,
                         TimePoint now);

  /** @return The backend server, null where it is not known. */
  PoolMember* Find(VmId vm);
  /** @return The one that the tag names, null where none is known. */
  PoolMember* FindByTag(FlowTag tag);

  /**
   * Chooses for a new flow.
   * @param service The flow's service.
   * @param avoided One that did not answer the flow's opening packet; none.
   * @param depth As IsFull.
   */
  PoolChoice Choose(ServiceId service,
                    VmId avoided,
                    int64_t depth,
                    TimePoint now,
                    RandomEngine& random);

  /**
   * @param depth Unanswered requests for each slot; 0: no limit.
   * @return Whether so much is unanswered at the backend server that a flow
   * opened now would only lengthen its queue. The caller's copy of the opening
   * packet comes soon, when the queue is shorter. What waits at one out of
   * reach says nothing of its queue.
   */
  static bool IsFull(const PoolMember& member, int64_t depth);

  /** @return The depth up to which an opening packet is placed.
   * @param copy 0 for the first, 1 for the first copy of it, and so on. */
  int64_t QueueDepthFor(uint32_t retransmission) const {
    return retransmission == 0 ? this->limits.opening_depth_limit
                               : this->limits.retransmission_depth_limit;
  }

  /** Takes note that a backend server has answered something. */
  void OnAlive(PoolMember& member, TimePoint now, PacketOutput& out);
  /**
   * Takes note that a caller has had an answer to its opening packet.
   * @param placed_at When the opening packet was first sent there; after a loss
   * it proves that the backend server is back.
   */
  void OnHandshake(PoolMember& member,
                   TimePoint placed_at,
                   TimePoint now,
                   PacketOutput& out);
  /** Takes note of how long an answer took. */
  static void OnAnswer(PoolMember& member, Microseconds time);
  /**
   * Takes note of something unanswered; begins a check.
   * @param since When what is unanswered was sent.
   */
  void OnFailureSignal(PoolMember& member,
                       FailureSignal failure_signal,
                       TimePoint since,
                       TimePoint now,
                       PacketOutput& out);
  /**
   * Takes the result of a check.
   * @return Whether the backend server has just gone out of reach.
   */
  bool OnHealthCheckResult(VmId vm,
                           HealthCheckResult result,
                           TimePoint now,
                           PacketOutput& out);

  /**
   * Begins due checks, forgets starts that are long gone, follows the load.
   * @param local_balancers Live balancers of this data centre, with this one.
   */
  void Tick(TimePoint now, int local_balancers, PacketOutput& out);

  /** @return Whether most of the backend servers have gone silent at once,
   * which says more of this balancer than of them. */
  bool IsIsolated() const { return this->isolated; }

  /** @return All that are known, by VM. */
  const std::map<VmId, PoolMember>& Members() const { return this->members; }

 private:
  /** It is within reach again, and trusted the later the more often it was
   * lost. */
  void MarkRecovered(PoolMember& member,
                     const char* reason,
                     TimePoint now,
                     PacketOutput& out);
  bool AcceptsFlows(const PoolMember& member, TimePoint now) const;
  bool IsTrusted(const PoolMember& member, TimePoint now) const;
  std::vector<PoolMember*> Candidates(ServiceId service,
                                      VmId avoided,
                                      TimePoint now);
  PoolMember* LeastLoaded(const std::vector<PoolMember*>& candidates,
                          TimePoint now,
                          RandomEngine& random) const;
  bool PrefersLocal(ServiceId service, RandomEngine& random) const;
  double Load(const PoolMember& member,
              double mean_answer_ms,
              TimePoint now) const;
  void StartHealthCheck(PoolMember& member,
                        FailureSignal failure_signal,
                        TimePoint now,
                        PacketOutput& out);
  void SuspectDataCentre(const PoolMember& lost,
                         TimePoint now,
                         PacketOutput& out);
  void SetReachability(PoolMember& member,
                       Reachability reachability,
                       const char* reason,
                       PacketOutput& out);
  void UpdateLocalUtilisation(TimePoint now, int local_balancers);
  void UpdateIsolation();
  void IndexTags();

  uint64_t data_centre;
  FlowLimits limits;
  std::map<VmId, PoolMember> members;
  std::unordered_map<uint32_t, VmId> by_tag;
  std::map<ServiceId, double> local_utilisation;  ///< Busy share of near slots.
  TimePoint next_update_at;
  TimePoint last_stall_at;  ///< Last time that this process was held up.
  TimePoint last_tick_at;
  bool isolated = false;
};

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_POOL_BASE_H_
