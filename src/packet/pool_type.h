/** @file pool_type.h What a balancer knows of a backend server that opaque
 * flows are placed on. */

#ifndef CUMINVANE_PACKET_POOL_TYPE_H_
#define CUMINVANE_PACKET_POOL_TYPE_H_

#include <vector>

#include "base/endpoint_type.h"
#include "base/ids_type.h"
#include "base/time_type.h"
#include "decision/output_type.h"
#include "message/message_type.h"
#include "packet/packet_type.h"

namespace cuminvane {

/** Whether a backend server is believed to be within reach of this balancer. */
enum class Reachability : uint8_t {
  kReachable,
  kSuspect,      ///< Something is unanswered; a check is under way.
  kUnreachable,  ///< Neither its flows nor a check got an answer.
  kRefusing,     ///< Its VM answers, its process does not.
};

/** @return The word in logs. */
const char* ToString(Reachability reachability);

/** What raised a suspicion. */
enum class FailureSignal : uint8_t {
  kRetransmission,     ///< A caller repeats data that was not acknowledged.
  kLateAnswer,         ///< Data has waited for longer than answers take.
  kLateOpeningAnswer,  ///< An opening packet has waited for its answer.
  kPeer,               ///< Another balancer finds it out of reach.
  kDataCentre,  ///< Another backend server of its data centre is out of reach.
  kRecheck,     ///< It was out of reach and may be back.
};

/** @return The word in logs. */
const char* ToString(FailureSignal failure_signal);

/** How a check of a backend server ended. */
enum class HealthCheckResult : uint8_t { kAnswered, kRefused, kTimedOut };

/** A check that the shell makes: a connection is opened and closed again. */
struct HealthCheck {
  VmId backend;
  Endpoint address;
  int attempts = 1;  ///< Connections tried, one after the other.
  TimePoint due;     ///< Silent from then on.

  bool operator==(const HealthCheck&) const = default;
};

/** Everything that one call into the packet plane decided, besides what
 * becomes of the packet. */
struct PacketOutput {
  Output common;
  std::vector<HealthCheck> checks;
  std::vector<FlowReset> resets;

  /** Empties it; the memory stays for the next call. */
  void Clear() {
    this->common.Clear();
    this->checks.clear();
    this->resets.clear();
  }
};

/** Tells another balancer that a backend server is out of the sender's reach;
 * the receiver makes its own check. */
struct ReachabilityUpdate {
  static constexpr MessageType kType = MessageType::kReachabilityUpdate;
  VmInstance backend;

  bool operator==(const ReachabilityUpdate&) const = default;
  MSGPACK_DEFINE_ARRAY(backend)
};

/** What is believed of a backend server's reach, and why. */
struct Liveness {
  Reachability reachability = Reachability::kReachable;
  FailureSignal failure_signal =
      FailureSignal::kRetransmission;  ///< That began the last check.
  TimePoint last_alive_at;  ///< Last sign of life on any of its flows.
  TimePoint suspected_at;   ///< Begin of the present check.
  TimePoint next_check_at;  ///< No check before then.
  TimePoint trusted_from;   ///< New flows again from then on.
  TimePoint last_loss_at;   ///< Last time it went out of reach.
  int recent_losses = 0;    ///< Times it went out of reach in short succession.
  TimePoint reported_at;    ///< Last news of it that was passed on.
  bool check_pending = false;  ///< The shell has not told the result yet.

  bool operator==(const Liveness&) const = default;
};

/** A backend server as the packet plane sees it. */
struct PoolMember {
  VmId vm;
  Incarnation incarnation;
  FlowTag tag;
  Endpoint address;
  ServiceId service;
  uint64_t data_centre = 0;   ///< Hash of its name.
  bool local = false;         ///< In this balancer's data centre.
  bool leaving = false;       ///< Takes no new flows.
  bool tag_conflict = false;  ///< An older one has the same tag.
  int64_t slots = 1;
  TimePoint warm_at;               ///< Slow until then.
  TimePoint delisted_at = kNever;  ///< When it left the list.
  int flows = 0;         ///< Opaque flows seen here that are open on it.
  int waiting = 0;       ///< Of these, those with something unanswered.
  double answer_ms = 0;  ///< Moving average of answer times; 0: none yet.
  Liveness liveness;

  bool operator==(const PoolMember&) const = default;
};

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_POOL_TYPE_H_
