/** @file experiment_type.h An experiment: a fleet, its load, its faults, and
 * the variants that are compared. */

#ifndef CUMINVANE_EMULATE_EXPERIMENT_TYPE_H_
#define CUMINVANE_EMULATE_EXPERIMENT_TYPE_H_

#include <string>
#include <vector>

#include "document/settings_type.h"
#include "emulate/caller_model.h"

namespace cuminvane::emulate {

/** A service and its backend servers in each data centre. */
struct ServicePlan {
  std::string name;
  int backends = 4;
  int slots = 2;
  int queue_limit = 8;
  Milliseconds warm_up{2000};

  bool operator==(const ServicePlan&) const = default;
};

/** A kind of request and the service it goes to. */
struct RequestPlan {
  RequestKind kind;
  std::string service;

  bool operator==(const RequestPlan&) const = default;
};

enum class FaultKind : uint8_t {
  kBalancerKill,   ///< A balancer loses everything, and starts again after.
  kBalancerStop,   ///< A balancer stops as planned, and starts again after.
  kBalancerPause,  ///< A balancer stands still.
  kPowerOff,       ///< All balancers at once.
  kBackendCrash,   ///< Its process ends; its VM refuses packets.
  kBackendUnresponsive,  ///< Its VM is silent.
  kBackendSlow,          ///< Its work takes `factor` times as long.
  kBackendFail,          ///< It fails a share `factor` of its requests.
  kRollingRelease,  ///< Each backend server in turn drains and is replaced.
  kDataCentrePartition,  ///< A data centre is cut off from the others.
  kListEntryExpiry,      ///< The platform's list loses entries of live servers.
  kLoadBurst,            ///< `factor` times the load.
  kRouteMove,            ///< New flows of `work` go to `service`.
  kRouteRemoval,         ///< `work` has no route.
};
inline constexpr int kFaultKindCount = 14;

/** @return The word in experiment files. */
const char* ToString(FaultKind kind);

/** Something that goes wrong, or is planned. */
struct FaultPlan {
  std::string name;
  FaultKind kind = FaultKind::kBalancerKill;
  Milliseconds at{0};
  Milliseconds duration{0};
  int count = 1;  ///< Balancers or backend servers concerned.
  double factor = 1;
  std::string service;      ///< Of the backend servers; empty: any.
  std::string work;         ///< Kind of request whose route changes.
  std::string data_centre;  ///< Empty: drawn from the seed.

  bool operator==(const FaultPlan&) const = default;
};

/** One way of deciding, compared with the others under the same load. */
struct Variant {
  std::string name = "present";
  FlowLimits flows;

  bool operator==(const Variant&) const = default;
};

/** A whole experiment. */
struct Experiment {
  uint64_t seed = 1;
  Milliseconds load_duration{30000};
  std::vector<std::string> data_centres{"a", "b", "c"};
  int balancers = 1;               ///< In each data centre.
  Microseconds local_delay{100};   ///< One way in a data centre.
  Microseconds remote_delay{500};  ///< One way between data centres.
  Microseconds caller_delay{2000};
  Milliseconds max_notification_delay{
      400};               ///< ScheduleAt most; until a balancer reads a change.
  double loss_share = 0;  ///< Share of packets lost.
  std::vector<ServicePlan> services;
  std::vector<RequestPlan> work;
  std::vector<FaultPlan> faults;
  std::vector<Variant> variants{{}};

  bool operator==(const Experiment&) const = default;
};

}  // namespace cuminvane::emulate

#endif  // CUMINVANE_EMULATE_EXPERIMENT_TYPE_H_
