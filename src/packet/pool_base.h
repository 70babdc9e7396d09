/** @file pool_base.h The backend servers of opaque flows: choice for new flows,
 * look-up by tag, and failure detection. */

#ifndef CUMINVANE_PACKET_POOL_BASE_H_
#define CUMINVANE_PACKET_POOL_BASE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/random_type.h"
#include "document/config_type.h"
#include "document/settings_type.h"
#include "document/vmlist_type.h"
#include "packet/cold_limit_base.h"
#include "packet/evacuation_base.h"
#include "packet/pool_type.h"
#include "packet/reset_guard_base.h"
#include "packet/server_load_base.h"

namespace cuminvane {

/** A backend server chosen for a new flow. */
struct PoolChoice {
  PoolMember* member = nullptr;  ///< Null if no backend server accepts flows.
  const char* reason = "";       ///< Why it, or none, was chosen, as logged.

  bool operator==(const PoolChoice&) const = default;
};

/**
 * The backend servers that opaque flows are placed on.
 *
 * The packets of a flow carry the tag of its backend server. If two backend
 * servers have the same tag, the younger one gets no new flows, so that the tag
 * names only one of them. A tag identifies the VM but not its instance: the
 * list of VMs can lag behind a restart, so a flow may be placed on an instance
 * that the list does not name yet. A backend server resets the flows that its
 * current instance does not have.
 */
class BackendPool {
 public:
  /**
   * @param data_centre Name of this balancer's data centre.
   * @param limits Queue depths and times of the decisions.
   */
  BackendPool(std::string_view data_centre, const FlowLimits& limits);

  /**
   * Updates the pool from the list of VMs. A backend server that has left the
   * list is kept for some time, so that its open flows go on.
   * @param config Active configuration; its planned changes drain VMs too.
   * @return Backend servers that have restarted and so lost all their flows.
   */
  std::vector<VmId> Sync(const VmList& list,
                         const Config& config,
                         TimePoint now);

  /** @return The backend server; null if it is unknown. */
  PoolMember* Find(VmId vm);
  /** @return The backend server with the tag; null if the tag is unknown. */
  PoolMember* FindByTag(FlowTag tag);

  /**
   * Chooses a backend server for a new flow: the least loaded one of those with
   * room, preferably in this data centre. It is full only if all are; callers
   * check that with IsFull.
   * @param service Service of the flow.
   * @param avoided Backend server that left the flow's opening packet
   * unanswered, chosen only if no other is healthy; 0 means none.
   * @param depth_limit Maximum number of unanswered flows per slot up to which
   * a local backend server is preferred; 0 means no limit.
   */
  PoolChoice Choose(ServiceId service,
                    VmId avoided,
                    int64_t depth_limit,
                    TimePoint now,
                    RandomEngine& random);

  /**
   * Admission control: a flow opened on a full backend server would only
   * lengthen its queue, while the caller soon retransmits its opening packet
   * and may find a shorter queue.
   * @param depth_limit Maximum number of unanswered flows per slot; 0 means no
   * limit.
   * @return Whether the backend server has reached that number. An unavailable
   * backend server is never full: flows wait there because it does not answer,
   * not because of a queue.
   */
  static bool IsFull(const PoolMember& member, int64_t depth_limit);

  /**
   * @param retransmission Number of the retransmission of an opening packet; 0
   * for the first packet.
   * @return Maximum number of unanswered flows per slot up to which the packet
   * is placed; 0 means no limit.
   */
  int64_t QueueDepthLimitFor(uint32_t retransmission) const {
    return retransmission == 0 ? this->limits.opening_depth_limit
                               : this->limits.retransmission_depth_limit;
  }

  /** Records an answer of a backend server. A suspected backend server becomes
   * reachable again. */
  void OnAlive(PoolMember& member, TimePoint now, PacketOutput& out);
  /**
   * Records that a backend server has answered an opening packet.
   * @param placed_at When the opening packet was first sent to the backend
   * server; TimePoint{} if unknown. If that was after the backend server was
   * lost, the answer proves that it has recovered.
   */
  void OnHandshake(PoolMember& member,
                   TimePoint placed_at,
                   TimePoint now,
                   PacketOutput& out);
  /** Updates the average answer time. @param time Time that an answer took. */
  static void OnAnswer(PoolMember& member, Microseconds time);
  /** @return The rate limit of cold backend servers. */
  ColdLimit& GetColdLimit() { return this->cold_limit; }
  /** Updates the slow start of a backend server that has answered a request.
   * @param time Time that the answer took. */
  void OnPacedAnswer(PoolMember& member, Microseconds time, TimePoint now);
  /** Updates the slow start of a backend server whose answer is overdue.
   * @param since When the unanswered packet was sent. */
  void OnPacedLate(PoolMember& member, TimePoint since, TimePoint now);
  /**
   * Handles a failure signal: suspects a reachable backend server and starts a
   * health check. Ignored if the backend server is not reachable, has answered
   * after `since`, was checked too recently or is not listed.
   * @param since An answer after this time refutes the signal; usually the time
   * when the unanswered packet was sent.
   */
  void OnFailureSignal(PoolMember& member,
                       FailureSignal failure_signal,
                       TimePoint since,
                       TimePoint now,
                       PacketOutput& out);
  /**
   * Handles the result of a health check.
   * @return Whether its open flows have just been lost.
   */
  bool OnHealthCheckResult(VmId vm,
                           HealthCheckResult result,
                           TimePoint now,
                           PacketOutput& out);

  /**
   * Starts due health checks, removes backend servers that left the list long
   * ago, and updates utilisation and isolation. Detects that this process has
   * stalled if the calls are too far apart.
   * @param local_balancers Number of live balancers in this data centre,
   * including this one.
   * @param evidence What this balancer knows about its own state.
   */
  void Tick(TimePoint now,
            int local_balancers,
            const SelfEvidence& evidence,
            PacketOutput& out);

  /** Records an answer for the load that balancers share; does nothing unless
   * the limits enable it.
   * @param service Address of the flow's class of work. */
  void RecordLoad(PoolMember& member,
                  const Endpoint& service,
                  Microseconds time,
                  TimePoint now) {
    if (this->limits.share_load)
      this->load_exchange.OnAnswer(member, service, time, now);
  }
  /** @return The datagram of a load report that is due; empty if none is. */
  std::string NextLoadReport(TimePoint now, RandomEngine& random) {
    return this->limits.share_load
               ? this->load_exchange.NextReport(this->members, now, random)
               : std::string();
  }
  /** Merges a load report. @return Whether it was applied. */
  bool OnLoadReport(const ServerLoadReport& report, TimePoint now) {
    return this->limits.share_load &&
           this->load_exchange.OnReport(report, this->members, now);
  }
  /** @return Counters of load reports. */
  const ServerLoadCounters& LoadCounters() const {
    return this->load_exchange.Counters();
  }

  /** @return Whether this balancer can vouch for its documents. */
  const ResetGuard& Guard() const { return this->guard; }

  /** @return Whether nearly all backend servers are suspected or unreachable,
   * which suggests that this balancer's own network has failed. */
  bool IsIsolated() const { return this->isolated; }

  /** @return The evacuated data centres, sorted by name. */
  std::vector<EvacuatedDataCentre> Evacuations() const {
    return this->evacuations.Report(this->members);
  }

  /** @return All known backend servers by VM. */
  const std::map<VmId, PoolMember>& Members() const { return this->members; }

 private:
  /** Forgets the health of a backend server's instance before, which is no
   * evidence about the flows of its new instance. */
  void ForgetInstance(PoolMember& member, TimePoint now) const;
  /** @return End of the time without trust if an unavailable backend server
   * recovers now. */
  TimePoint ReinstatedFrom(const Liveness& liveness, TimePoint now) const;
  /** Marks a backend server as reachable. If it was unavailable, it is not
   * trusted for some time, which doubles with each recent loss up to a limit.
   */
  void MarkRecovered(PoolMember& member,
                     const char* reason,
                     TimePoint now,
                     PacketOutput& out);
  /** @return Whether the backend server may get new flows according to the list
   * of VMs; its health is not considered. */
  bool AcceptsFlows(const PoolMember& member, TimePoint now) const;
  /** @return Whether the backend server is reachable and, if it has recovered
   * from a loss, has stayed so until Liveness::trusted_from. */
  bool IsTrusted(const PoolMember& member, TimePoint now) const;
  /** @return The backend servers of the service in the best available state:
   * trusted ones, else those in slow start, else suspected or avoided ones,
   * else unavailable ones.
   * @param paced Receives those in adaptive slow start.
   * @param cold_limited Set if the rate limit of a cold backend server left it
   * out. */
  std::vector<PoolMember*> Candidates(ServiceId service,
                                      VmId avoided,
                                      TimePoint now,
                                      std::vector<PoolMember*>& paced,
                                      bool& cold_limited);
  /** Begins the adaptive slow start of a backend server that has started or
   * recovered since the last call.
   * @return Whether it is in adaptive slow start. */
  bool RefreshPace(PoolMember& member, TimePoint now) const;
  /** Logs the slow starts that have begun, and ends those that are complete. */
  void UpdatePaces(TimePoint now, PacketOutput& out);
  /** Draws whether a new flow goes to a backend server in slow start.
   * @return That backend server; null if the flow is placed as usual. */
  PoolMember* DrawPaced(const std::vector<PoolMember*>& paced,
                        TimePoint now,
                        RandomEngine& random) const;
  /** @return Share of the backend server's slots that counts as its capacity.
   */
  double CapacityWeight(const PoolMember& member, TimePoint now) const;
  /** @return Mean answer time in milliseconds of the service's backend servers
   * that are not in slow start; 0 if none was measured. */
  double MeanAnswerMs(ServiceId service) const;
  /** @return What this balancer may take of the capacity of a backend server
   * in slow start.
   * @param mean_answer_ms Result of MeanAnswerMs for its service. */
  PaceShare PaceShareOf(const PoolMember& member, double mean_answer_ms) const;
  /**
   * Leaves out candidates that would queue a new flow while others would not:
   * an open flow without a request costs a backend server little, so a server
   * with many idle flows is better than a full one with few.
   * @param depth_limit Maximum number of unanswered flows per slot; 0 means no
   * limit.
   * @return The candidates with an idle slot; if there is none, those below the
   * limit; if there is none, all.
   */
  static std::vector<PoolMember*> WithRoom(
      const std::vector<PoolMember*>& candidates,
      int64_t depth_limit);
  /** @return The candidate with the lowest load. `candidates` is not empty. */
  PoolMember* LeastLoaded(const std::vector<PoolMember*>& candidates,
                          TimePoint now,
                          RandomEngine& random) const;
  /** Decides at random whether a new flow stays in this data centre; the chance
   * falls as the utilisation of the local slots rises. */
  bool PrefersLocal(ServiceId service, RandomEngine& random) const;
  /**
   * @param mean_answer_ms Mean answer time of all candidates; 0 means unknown.
   * @return The slots that the backend server offers to new flows.
   */
  double Capacity(const PoolMember& member,
                  double mean_answer_ms,
                  TimePoint now) const;
  void StartHealthCheck(PoolMember& member,
                        FailureSignal failure_signal,
                        TimePoint now,
                        PacketOutput& out);
  /** Counts failure signals of a backend server's own flows since its last
   * answer. They show whether its flows make progress. */
  void CountSignal(PoolMember& member,
                   FailureSignal failure_signal,
                   TimePoint since,
                   TimePoint now) const;
  /** Records whether a check showed that this balancer's own link works. */
  void OnLinkEvidence(bool is_conclusive, TimePoint now);
  /** @return Whether a check that timed out has to be confirmed by a second
   * one, because the backend server has just answered its flows, or because the
   * cause may be this balancer's own link. */
  bool NeedsSecondCheck(const Liveness& liveness, TimePoint now) const;
  /**
   * Marks a backend server as unavailable after a check without success.
   * @return Whether its open flows are lost. After a refusal they are kept
   * until HasCrashed, since a full server refuses checks too.
   */
  bool LosesFlows(PoolMember& member,
                  HealthCheckResult result,
                  TimePoint now,
                  PacketOutput& out);
  /** @return Whether a backend server that refuses connections may be full:
   * its service is busy, or this balancer can't tell. */
  bool MayBeFull(const PoolMember& member) const;
  /** @return Whether the path to the backend server's data centre, another than
   * this balancer's, seems cut: several of its servers refuse connections, and
   * none has answered since. */
  bool IsDataCentreCut(const PoolMember& member, TimePoint now) const;
  /** @return Whether a backend server that refuses connections has crashed or
   * is cut off: it is not stopping, and its open flows make no progress. */
  bool HasCrashed(const PoolMember& member, TimePoint now) const;
  /** Reports a failure signal for the other backend servers in the data centre
   * of an unreachable one that have not answered since its check started. */
  void SuspectDataCentre(const PoolMember& unreachable,
                         TimePoint now,
                         PacketOutput& out);
  /** @return The control of the next health check; Endpoint{} if there is none.
   */
  Endpoint NextControl();
  /** Changes the reachability and logs it. */
  void SetReachability(PoolMember& member,
                       Reachability reachability,
                       const char* reason,
                       PacketOutput& out);
  /** Logs a decision about a backend server's reachability. */
  static void LogReachability(const PoolMember& member,
                              Severity severity,
                              const char* event,
                              const char* reason,
                              PacketOutput& out);
  /** Adds a sample of the current utilisation to `local_utilisation`. */
  void UpdateLocalUtilisation(TimePoint now, int local_balancers);
  /** Updates `isolated` and `recent_failures` from the health of the listed
   * backend servers. */
  void UpdateIsolation(TimePoint now);
  /** Rebuilds `by_tag` and finds tag conflicts. */
  void IndexTags();

  uint64_t data_centre;  ///< Hash of the name of this balancer's data centre.
  FlowLimits limits;     ///< Queue depths and times of the decisions.
  /** All known backend servers, also those that left the list recently. */
  std::map<VmId, PoolMember> members;
  std::unordered_map<uint32_t, VmId> by_tag;  ///< VM by the value of its tag.
  /** Moving average, by service, of waiting flows per slot of the backend
   * servers in this data centre. */
  std::map<ServiceId, double> local_utilisation;
  ServerLoadExchange load_exchange;  ///< Unused unless limits.share_load.
  ResetGuard guard;                  ///< See Guard.
  uint64_t era = 0;  ///< Era of the list of VMs; see kVersionsPerEra.
  PoolEvacuations evacuations;  ///< See Evacuations.
  ColdLimit cold_limit;         ///< See GetColdLimit.
  /** See SelfEvidence::controls. */
  std::shared_ptr<const std::vector<Endpoint>> controls;
  size_t control_index =
      0;  ///< Index of the last control, modulo their number.
  TimePoint next_update_at;  ///< Until then Tick only detects stalls.
  TimePoint last_stall_at;   ///< When a stall was last detected; TimePoint{}
                             ///< if none.
  TimePoint last_tick_at;    ///< Last call of Tick; TimePoint{} if none.
  bool isolated = false;     ///< See IsIsolated.
  /** Backend servers whose health check failed or runs since a short time. */
  int recent_failures = 0;
  /** Successive checks with a conclusive result, within a short time. */
  int conclusive_checks = 0;
  TimePoint last_conclusive_at;    ///< Last conclusive result of a check.
  TimePoint last_inconclusive_at;  ///< Last inconclusive one; TimePoint{} if
                                   ///< none.
  int local_balancers = 1;         ///< See Tick.
  int live_balancers = 1;          ///< See SelfEvidence::live_balancers.
  /** Until then the number of balancers is uncertain, and no new flow goes to a
   * backend server in slow start while others can be chosen. */
  TimePoint settled_at = kNever;
};

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_POOL_BASE_H_
