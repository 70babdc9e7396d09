/** @file settings_type.h A balancer's settings as values. */

#ifndef CUMINVANE_DOCUMENT_SETTINGS_TYPE_H_
#define CUMINVANE_DOCUMENT_SETTINGS_TYPE_H_

#include <string>
#include <vector>

#include "base/endpoint_type.h"
#include "base/ids_type.h"
#include "base/time_type.h"
#include "decision/decision_type.h"

namespace cuminvane {

/** Limits on requests. */
struct RequestLimits {
  Milliseconds deadline_limit{60000};   ///< Furthest deadline accepted.
  size_t records_per_flow = 64;         ///< Requests remembered for a flow.
  size_t records_per_shard = 65536;     ///< Requests remembered in a shard.
  size_t answer_limit_bytes = 1048576;  ///< Largest answer kept.
  Milliseconds accept_timeout{100};     ///< Wait for acceptance.
  bool witnessed = true;                ///< New flows get a witness.
  int retry_percent = 10;               ///< Retries per hundred requests.

  bool operator==(const RequestLimits&) const = default;
};

/** Timing of the heartbeats between balancers. */
struct MembershipTiming {
  Milliseconds probe_interval{250};     ///< Time between two probes.
  Milliseconds probe_timeout{60};       ///< Wait for a direct answer.
  Milliseconds suspicion_timeout{800};  ///< Time a suspect has to refute.

  bool operator==(const MembershipTiming&) const = default;
};

/** How the platform is watched. */
struct PlatformTiming {
  Milliseconds in_force_within{
      4000};                     ///< A change must be in force within this.
  size_t watchers = 3;           ///< Balancers that watch.
  Milliseconds read_pause{700};  ///< After changes were read.
  Milliseconds retry{200};       ///< After the first failed read.

  bool operator==(const PlatformTiming&) const = default;
};

/** Limits of opaque flows. */
struct FlowLimits {
  size_t shards = 4;
  size_t max_flows = 262144;             ///< Most flows.
  Milliseconds check_timeout{150};       ///< Silence that fails a check.
  Milliseconds min_check_interval{400};  ///< Least time between checks of one.
  Milliseconds recheck_interval{500};  ///< Between checks of one out of reach.
  Milliseconds reinstatement_delay{
      500};  ///< Without new flows after it is back.
  Milliseconds removal_grace_period{
      2000};  ///< An entry may be back within this.
  int64_t opening_depth_limit =
      3;  ///< Unanswered requests for each slot up to which
          ///< new flows are opened; 0: no limit.
  int64_t retransmission_depth_limit =
      1;  ///< The same for copies of opening packets, whose
          ///< callers have waited already; 0: no limit.

  bool operator==(const FlowLimits&) const = default;
};

/** Everything in a settings file. */
struct Settings {
  VmId id;
  Incarnation incarnation;  ///< 0 takes the start time.
  std::string data_centre;
  int threads = 2;
  int shards = 16;
  Endpoint fabric;
  Endpoint backend;
  Endpoint peer;
  Endpoint packets;  ///< None: no opaque flows are served.
  Endpoint ready;
  Endpoint metrics;
  uint16_t control_port = 0;  ///< 0: operators are not answered.
  int control_threads = 2;
  Endpoint platform;
  PlatformTiming platform_timing;
  LogLevels log_levels;
  int lines_per_s = 500;
  int input_lines_per_s = 10;
  RequestLimits requests;
  MembershipTiming membership;
  FlowLimits flows;
  std::vector<Endpoint> seed_peers;  ///< Asked at the start.
  Milliseconds stop_grace{30000};
  Milliseconds stop_linger{2000};

  bool operator==(const Settings&) const = default;
};

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_SETTINGS_TYPE_H_
