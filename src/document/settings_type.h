/** @file settings_type.h Values of a balancer's settings. */

#ifndef CUMINVANE_DOCUMENT_SETTINGS_TYPE_H_
#define CUMINVANE_DOCUMENT_SETTINGS_TYPE_H_

#include <string>
#include <vector>

#include "base/endpoint_type.h"
#include "base/ids_type.h"
#include "base/time_type.h"
#include "decision/decision_type.h"

namespace cuminvane {

/** Limits of requests and their records. */
struct RequestLimits {
  /** Furthest accepted deadline of a request, as time from its arrival. */
  Milliseconds deadline_limit{60000};
  /** Maximum number of request records per flow. */
  size_t records_per_flow = 64;
  /** Maximum number of request records per shard. */
  size_t records_per_shard = 65536;
  size_t answer_limit_bytes = 1048576;  ///< Maximum size of an answer, bytes.
  /** Time in which a backend server must accept a run. */
  Milliseconds accept_timeout{100};
  /** Whether new flows get a witness, which is notified of each non-idempotent
   * request before it is sent, so that few outcomes are unknown after a
   * balancer's death. */
  bool witnessed = true;
  /** Retry budget: maximum retries per hundred requests. */
  int retry_percent = 10;

  bool operator==(const RequestLimits&) const = default;
};

/** Timing of the membership probes between balancers. */
struct MembershipTiming {
  Milliseconds probe_interval{250};  ///< Time between two direct probes.
  Milliseconds probe_timeout{60};  ///< Time without a direct answer after which
                                   ///< indirect probes are requested.
  /** Time in which a suspected member can refute the suspicion before it counts
   * as dead. */
  Milliseconds suspicion_timeout{800};

  bool operator==(const MembershipTiming&) const = default;
};

/** Timing of the watch on the platform's documents. */
struct PlatformTiming {
  Milliseconds in_force_within{4000};  ///< Maximum time from a change at the
                                       ///< platform until it is active here.
  /** Number of balancers that watch the platform; see DocumentGroup. */
  size_t watchers = 2;
  /** Pause after changes were read, so that further changes arrive in one
   * answer; limited to a quarter of `in_force_within`. */
  Milliseconds read_pause{700};
  /** Backoff after the first failed read; doubles with each further one up to
   * a quarter of `in_force_within`. */
  Milliseconds retry{200};

  bool operator==(const PlatformTiming&) const = default;
};

/** Limits and timing of opaque flows and of the health checks of their backend
 * servers. */
struct FlowLimits {
  /** Shards of the state of opaque flows, each with its own lock. */
  size_t shards = 4;
  size_t max_flows = 262144;  ///< Maximum number of flows in all shards.
  /** Time without an answer after which a health check fails. */
  Milliseconds check_timeout{150};
  /** Minimum time between two health checks of one backend server. */
  Milliseconds min_check_interval{400};
  /** Time between health checks of an unreachable backend server. */
  Milliseconds recheck_interval{500};
  /** Time for which a backend server is not trusted after it has become
   * reachable again. It gets new flows only if its service has no trusted
   * backend server. Doubled for each further recent loss of reachability, up to
   * a limit. */
  Milliseconds reinstatement_delay{500};
  /** Grace period in which a backend server that has left the platform's list
   * may return; meanwhile it gets new flows if it has answered since it left
   * the list. */
  Milliseconds removal_grace_period{2000};
  /** Unanswered flows per slot of a backend server up to which opening
   * packets are placed on it; 0 means no limit. */
  int64_t opening_depth_limit = 3;
  /** Like `opening_depth_limit`, for retransmissions of opening packets. It is
   * lower because callers that retransmit have waited already, and flows whose
   * answer can still be in time have priority. 0 means no limit. */
  int64_t retransmission_depth_limit = 1;
  /** Whether the answers of a backend server that has started or recovered
   * decide how many new flows it gets (slow start), instead of a fixed share of
   * its slots and a fixed delay. */
  bool adaptive_slow_start = false;
  /** In any second a cold backend server gets less than Service::cold_per_s
   * times `cold_over` plus `cold_slack` requests from all balancers. */
  double cold_over = 1;
  double cold_slack = 0;
  /** Whether balancers report the load of backend servers to each other and
   * place new flows by it. */
  bool share_load = false;

  bool operator==(const FlowLimits&) const = default;
};

/** Limits of the documents that a balancer sends to others. */
struct DocumentLimits {
  /** Rate of this VM's network link in megabits per second; 0 means unknown,
   * and transfers are not limited. */
  double link_mbps = 0;
  /** Maximum share of the link for documents, in percent. */
  int link_percent = 25;

  bool operator==(const DocumentLimits&) const = default;

  /** @return Maximum bytes per second of all transfers; 0 means no limit. */
  int64_t BytesPerSecond() const {
    constexpr double kBytesPerMegabit = 125000;
    return static_cast<int64_t>(this->link_mbps * kBytesPerMegabit *
                                this->link_percent / 100);
  }
};

/** All settings of a balancer. */
struct Settings {
  VmId id;                  ///< VM of this balancer.
  Incarnation incarnation;  ///< 0 means that the start time is used.
  std::string data_centre;  ///< Data centre of this balancer.
  int threads = 2;          ///< Threads that handle packets.
  int shards = 16;  ///< Shards of the state of flows with tokens, each with its
                    ///< own lock.
  Endpoint fabric;  ///< Address for packets of callers with tokens.
  Endpoint backend;  ///< Address for messages of backend servers.
  Endpoint peer;     ///< Address for messages of other balancers.
  Endpoint packets;  ///< Address for packets of opaque flows; Endpoint{} means
                     ///< that opaque flows are not served.
  Endpoint ready;    ///< HTTP address of the readiness check, GET /ready.
  Endpoint metrics;  ///< HTTP address of the metrics, GET /metrics.
  /** Port for operators; 0 means that operators are not
   * served. */
  uint16_t control_port = 0;
  int control_threads = 2;  ///< Threads that serve operators.
  Endpoint platform;  ///< HTTP address of the platform's configuration service.
  PlatformTiming platform_timing;
  DocumentLimits documents;
  LogLevels log_levels;   ///< Minimum severities by topic.
  int lines_per_s = 500;  ///< Maximum log lines per second.
  /** Maximum log lines per second about invalid input. */
  int input_lines_per_s = 10;
  RequestLimits requests;
  MembershipTiming membership;
  FlowLimits flows;
  /** Addresses of balancers to ping at the start. */
  std::vector<Endpoint> seed_peers;
  /** Maximum duration of a graceful stop; requests still open then are
   * abandoned. */
  Milliseconds stop_grace{30000};
  /** Minimum duration of a graceful stop, in which packets of moved flows are
   * still answered. */
  Milliseconds stop_linger{2000};

  bool operator==(const Settings&) const = default;
};

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_SETTINGS_TYPE_H_
