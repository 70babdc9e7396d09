/** @file fault_type.h The faults that the soak test injects. */

#ifndef CUMINVANE_TESTS_SOAK_FAULT_TYPE_H_
#define CUMINVANE_TESTS_SOAK_FAULT_TYPE_H_

#include <array>
#include <cstdint>

#include "base/time_type.h"
#include "tests/soak/proxy_base.h"

namespace cuminvane::soak {

/** What a fault does. */
enum class FaultAction : uint8_t {
  kKillBalancer,
  kStopBalancer,
  kPauseBalancer,
  kKillBackendServer,
  kStopBackendServer,
  kPauseBackendServer,
  kDisturbStorePath,
  kDisturbAllStorePaths,
  kRestartStore,
  kRestoreStore,
  kPublishConfig,
  kReloadSettings,
};
/** Number of values of FaultAction. */
inline constexpr int kActionCount = 12;
inline constexpr std::array<const char*, kActionCount> kActionNames = {
    "kill_balancer", "stop_balancer", "pause_balancer", "kill_server",
    "stop_server",   "pause_server",  "disturb_store",  "disturb_all_stores",
    "restart_store", "restore_store", "publish",        "reload"};

/** A fault that the soak injects. */
struct Fault {
  FaultAction action = FaultAction::kPublishConfig;
  size_t balancer = 0;       ///< Index; its path to the store has the same one.
  size_t server = 0;         ///< Index of the backend server.
  Milliseconds duration{0};  ///< Time until the fault is undone.
  ProxyMode mode = ProxyMode::kPass;  ///< For faults of paths to the store.
};

/** A fault of the demo. */
struct PlannedFault {
  Milliseconds at{0};  ///< Time since the load started.
  Fault fault;
};

/** Faults of the demo: a balancer is killed, a backend server drains, and a
 * release replaces balancers and backend servers one after another. The last
 * server to drain is of the service whose requests have a flow each. */
inline constexpr std::array kDemoFaults = {
    PlannedFault{Milliseconds(2000),
                 {FaultAction::kKillBalancer, 0, 0, Milliseconds(1500)}},
    PlannedFault{Milliseconds(5000),
                 {FaultAction::kStopBackendServer, 0, 2, Milliseconds(1000)}},
    PlannedFault{Milliseconds(7000),
                 {FaultAction::kPublishConfig, 0, 0, Milliseconds(0)}},
    PlannedFault{Milliseconds(8000),
                 {FaultAction::kStopBalancer, 1, 0, Milliseconds(1500)}},
    PlannedFault{Milliseconds(12000),
                 {FaultAction::kStopBackendServer, 0, 6, Milliseconds(1000)}},
    PlannedFault{Milliseconds(13000),
                 {FaultAction::kStopBalancer, 2, 0, Milliseconds(1500)}}};
inline constexpr Seconds kDemoDuration{17};

}  // namespace cuminvane::soak

#endif  // CUMINVANE_TESTS_SOAK_FAULT_TYPE_H_
