/** @file experiment_type.h An experiment: the fleet, its load, its faults, and
 * the variants to compare. */

#ifndef CUMINVANE_EMULATE_EXPERIMENT_TYPE_H_
#define CUMINVANE_EMULATE_EXPERIMENT_TYPE_H_

#include <string>
#include <vector>

#include "document/settings_type.h"
#include "emulate/caller_model.h"

namespace cuminvane::emulate {

/** A service and its backend servers. */
struct ServicePlan {
  std::string name;
  int backends = 4;  ///< Backend servers in each data centre.
  int slots = 2;  ///< Maximum number of requests that one backend server runs
                  ///< at a time.
  int queue_limit = 8;  ///< Maximum number of requests that wait at one backend
                        ///< server; further requests are shed.
  Milliseconds warm_up{2000};  ///< Length of the warm-up (slow start) after a
                               ///< restart or replacement.
  std::vector<double> speeds{1};  ///< Given to the backend servers in turn.

  bool operator==(const ServicePlan&) const = default;
};

/** A kind of request and the service it is routed to. */
struct RequestPlan {
  RequestKind kind;
  std::string service;

  bool operator==(const RequestPlan&) const = default;
};

/** Faults and planned changes. */
enum class FaultKind : uint8_t {
  kBalancerKill,         ///< A balancer's process is killed and started again.
  kBalancerStop,         ///< A balancer is shut down and started again.
  kBalancerPause,        ///< A balancer's process is suspended.
  kPowerOff,             ///< All balancers are killed at once and started
                         ///< again.
  kBackendCrash,         ///< A backend server's process ends; its VM resets
                         ///< flows and refuses health checks.
  kBackendUnresponsive,  ///< A backend server's process ends, and its VM
                         ///< answers nothing at all.
  kBackendSlow,          ///< Requests take `factor` times as long.
  kBackendFail,          ///< A backend server fails a share `factor` of its
                         ///< requests.
  kRollingRelease,       ///< Backend servers drain and are replaced in turn.
  kDataCentrePartition,  ///< A data centre is partitioned from the others.
  kListEntryExpiry,      ///< Live servers are missing from the platform's list.
  kLoadBurst,            ///< The load is `factor` times as high.
  kRouteMove,            ///< New flows of `work` go to `service`.
  kRouteRemoval,         ///< `work` has no route.
  kStoreRestored,  ///< The platform's store is unavailable, and comes back
                   ///< from a copy that was `factor` seconds old when the
                   ///< fault began.
};
inline constexpr int kFaultKindCount = 15;

/** @return The name in experiment files. */
const char* ToString(FaultKind kind);

/** A fault or planned change during the load. */
struct FaultPlan {
  std::string name;
  FaultKind kind = FaultKind::kBalancerKill;
  Milliseconds at{0};        ///< Start, from the start of the load.
  Milliseconds duration{0};  ///< A crashed backend server isn't restarted if
                             ///< this is 0.
  int count = 1;             ///< Largest number of balancers or backend servers
                             ///< affected.
  double factor = 1;         ///< Strength of the fault; see FaultKind.
  std::string service;  ///< Service of the affected backend servers (any if
                        ///< empty), or new service of kRouteMove.
  std::string work;     ///< Name of the kind of request whose route changes.
  std::string data_centre;  ///< Data centre affected; empty: balancers and
                            ///< backend servers of all data centres, and, for
                            ///< kDataCentrePartition, a random data centre.

  bool operator==(const FaultPlan&) const = default;
};

/** Balancer settings to compare with others under the same load. */
struct Variant {
  std::string name = "present";  ///< Name in reports.
  FlowLimits flows;

  bool operator==(const Variant&) const = default;
};

/** A whole experiment, as read from its file. */
struct Experiment {
  uint64_t seed = 1;                  ///< Seed of all random choices.
  Milliseconds load_duration{30000};  ///< Time for which users issue requests.
  /** Start of the time for which the slots' busy time and the refusals of full
   * servers are reported, from the start of the load. */
  Milliseconds measured_from{0};
  std::vector<std::string> data_centres{"a", "b", "c"};
  int balancers = 1;                ///< Balancers in each data centre.
  Microseconds local_delay{100};    ///< One-way delay within a data centre.
  Microseconds remote_delay{500};   ///< One-way delay between data centres.
  Microseconds caller_delay{2000};  ///< One-way delay between callers and
                                    ///< balancers or backend servers.
  Milliseconds max_notification_delay{400};  ///< Longest time until a balancer
                                             ///< reads a changed document.
  double loss_share = 0;  ///< Share of packets and datagrams lost, 0 to 1.
  std::vector<ServicePlan> services;
  std::vector<RequestPlan> request_plans;
  std::vector<FaultPlan> faults;
  std::vector<Variant> variants{{}};

  bool operator==(const Experiment&) const = default;
};

}  // namespace cuminvane::emulate

#endif  // CUMINVANE_EMULATE_EXPERIMENT_TYPE_H_
