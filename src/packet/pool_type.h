/** @file pool_type.h State of the backend servers of opaque flows, health
 * checks and the output of the packet plane. */

#ifndef CUMINVANE_PACKET_POOL_TYPE_H_
#define CUMINVANE_PACKET_POOL_TYPE_H_

#include <vector>

#include "base/endpoint_type.h"
#include "base/ids_type.h"
#include "base/time_type.h"
#include "decision/output_type.h"
#include "message/message_type.h"
#include "packet/cold_limit_type.h"
#include "packet/pace_type.h"
#include "packet/packet_type.h"
#include "packet/server_load_type.h"

namespace cuminvane {

/** Whether this balancer can reach a backend server, as far as it knows. */
enum class Reachability : uint8_t {
  kReachable,    ///< No failure signal, or an answer came after it.
  kSuspect,      ///< A failure signal was seen; a health check is running.
  kUnreachable,  ///< Neither its flows nor a health check got an answer.
  kRefusing,     ///< Its VM answers, but no process accepts connections.
};

/** @return The name of the state in logs and on the status page. */
const char* ToString(Reachability reachability);

/** Why a backend server is suspected and a health check is started. */
enum class FailureSignal : uint8_t {
  kRetransmission,     ///< A caller retransmits unacknowledged data.
  kLateAnswer,         ///< Data is unanswered for late_answer_after.
  kLateOpeningAnswer,  ///< An opening packet is unanswered for too long.
  kPeer,               ///< Another balancer reported it unreachable.
  kDataCentre,         ///< Another backend server of its data centre timed out.
  kRecheck,            ///< Periodic check of an unavailable backend server.
};

/** @return The name of the failure signal in logs. */
const char* ToString(FailureSignal failure_signal);

/** Result of a health check. */
enum class HealthCheckResult : uint8_t {
  kAnswered,      ///< A connection was accepted.
  kRefused,       ///< The VM refused the connection.
  kTimedOut,      ///< No attempt was answered in time, but the control was.
  kInconclusive,  ///< The backend server did not answer, and the control left
                  ///< more than one connection unanswered.
};

/** A health check for the daemon (src/shell) to run: it opens a connection to
 * the backend server and closes it again. */
struct HealthCheck {
  VmId backend;      ///< Backend server to check.
  Endpoint address;  ///< Address to connect to.
  /** Where connections are opened to at the same times, as a control: if it
   * does not answer either, this balancer's own link may have failed.
   * Endpoint{} if there is none. */
  Endpoint control;
  int attempts = 1;  ///< Maximum number of connections tried in turn.
  TimePoint due;     ///< The check times out if unanswered at this time.

  bool operator==(const HealthCheck&) const = default;
};

/** Output of one call into the packet plane, besides the packet action. */
struct PacketOutput {
  Output common;                    ///< Log lines and datagrams to send.
  std::vector<HealthCheck> checks;  ///< Health checks to start.
  std::vector<FlowReset> resets;    ///< Resets to send to callers.

  /** Removes all contents and keeps the memory for the next call. */
  void Clear() {
    this->common.Clear();
    this->checks.clear();
    this->resets.clear();
  }
};

/** Message by which a balancer reports to another one that a backend server is
 * unreachable; the receiver runs its own health check. */
struct ReachabilityUpdate {
  static constexpr MessageType kType = MessageType::kReachabilityUpdate;
  /** VM and incarnation of the unreachable backend server. */
  VmInstance backend;

  bool operator==(const ReachabilityUpdate&) const = default;
  MSGPACK_DEFINE_ARRAY(backend)
};

/** Health of one backend server as this balancer knows it. Times are
 * TimePoint{} until they are set. */
struct Liveness {
  Reachability reachability = Reachability::kReachable;
  /** Cause of the last health check. */
  FailureSignal failure_signal = FailureSignal::kRetransmission;
  TimePoint last_alive_at;  ///< Last answer to a flow or a health check.
  TimePoint suspected_at;   ///< Start of the last health check.
  TimePoint next_check_at;  ///< Earliest start of the next health check.
  /** End of the time without trust after a recovery. Until then the backend
   * server gets new flows only if no trusted one can be chosen. */
  TimePoint trusted_from;
  TimePoint last_loss_at;  ///< When it last became unreachable or refusing.
  int recent_losses = 0;   ///< Number of successive losses, each within
                           ///< kFlapWindow after the previous one.
  TimePoint reported_at;   ///< When its loss was last reported to or by a peer.
  bool check_pending = false;  ///< A health check has not returned its result.
  /** It is unavailable, but may still serve its open flows. */
  bool flows_kept = false;
  /** Failure signals of its own flows since its last answer. */
  int unanswered_signals = 0;
  /** Those of them that were retransmissions of data. */
  int unanswered_retransmissions = 0;
  int silent_checks = 0;  ///< Successive health checks without an answer.
  /** First of the successive refusals; kNever if the last check was not
   * refused. */
  TimePoint refused_since = kNever;
  /** Its flows were answered while it refused connections: it is full. */
  bool is_full = false;

  bool operator==(const Liveness&) const = default;
};

/** State of one backend server in the packet plane. */
struct PoolMember {
  VmId vm;                   ///< VM that the backend server runs on.
  Incarnation incarnation;   ///< Number of its current instance.
  FlowTag tag;               ///< Identifies it in packets.
  Endpoint address;          ///< Address that packets are forwarded to.
  ServiceId service;         ///< Service that it belongs to.
  uint64_t data_centre = 0;  ///< Hash of its data centre's name.
  bool local = false;        ///< It is in this balancer's data centre.
  bool leaving = false;      ///< It is being drained and gets no new flows.
  /** Until when its data centre is evacuated, so that it gets no new flows:
   * kNever while that is requested, TimePoint{} if it is not evacuated. */
  TimePoint evacuated_until;
  /** kNever while it is listed as leaving, later the end of the time for which
   * it still counts as stopping. */
  TimePoint stopping_until;
  bool tag_conflict = false;  ///< An older backend server has the same tag;
                              ///< this one gets no new flows.
  int64_t slots = 1;          ///< Requests that it processes at the same time.
  TimePoint warm_up_ends_at;  ///< End of its slow start.
  /** Vm::warm_up_left of its last list entry. */
  Milliseconds listed_warm_up{0};
  TimePoint delisted_at = kNever;  ///< When it left the list of VMs; kNever
                                   ///< while it is listed.
  int flows = 0;         ///< Open flows that this balancer has seen packets of.
  int waiting = 0;       ///< Flows with unanswered data or opening packet.
  double answer_ms = 0;  ///< Moving average of its answer times in
                         ///< milliseconds; 0 means none was measured.
  Liveness liveness;     ///< Its health as this balancer knows it.
  Pace pace;             ///< Its slow start, if it is adaptive.
  ColdShare cold_share;  ///< This balancer's share of its rate limit.
  ServerLoad load;       ///< Its load; unknown unless balancers share it.
  double credit = 0;     ///< Flows that it is behind; see ChooseByCredit.
  TimePoint credited_at;  ///< Last update of `credit`; TimePoint{} if none.

  bool operator==(const PoolMember&) const = default;
};

/** @return Whether the backend server is stopping or gone according to the list
 * of VMs, or was so according to a recent one. */
inline bool MayBeStopping(const PoolMember& member, TimePoint now) {
  return member.leaving || member.stopping_until > now ||
         member.delisted_at != kNever;
}

/** @return Whether the backend server's data centre is evacuated, so that it
 * gets no opening packet; its open flows continue. */
inline bool IsEvacuated(const PoolMember& member, TimePoint now) {
  return member.evacuated_until > now;
}

/** @return Whether the backend server is unreachable or refusing. */
inline bool IsUnavailable(const PoolMember& member) {
  return member.liveness.reachability == Reachability::kUnreachable ||
         member.liveness.reachability == Reachability::kRefusing;
}

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_POOL_TYPE_H_
