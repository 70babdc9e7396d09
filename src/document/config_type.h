/** @file config_type.h Values of the operators' configuration: services,
 * classes, planned changes, token keys. */

#ifndef CUMINVANE_DOCUMENT_CONFIG_TYPE_H_
#define CUMINVANE_DOCUMENT_CONFIG_TYPE_H_

#include <array>
#include <map>
#include <string>
#include <vector>

#include "base/endpoint_type.h"
#include "base/ids_type.h"
#include "base/time_type.h"

namespace cuminvane {

/** Size of a token key, in bytes. */
inline constexpr size_t kTokenKeyBytes = 16;
using TokenKey = std::array<unsigned char, kTokenKeyBytes>;

/** A service that callers use. */
struct Service {
  ServiceId id;
  std::string name;
  std::vector<Endpoint> addresses;  ///< Addresses for callers.
  /** Data centres whose backend servers run the service; empty means all. */
  std::vector<std::string> data_centres;
  Milliseconds cold_time{0};  ///< How long after a start a server is cold.
  double cold_per_s = 0;  ///< Requests per second that a cold server can take;
                          ///< 0 means no limit.

  bool operator==(const Service&) const = default;
};

/** Service level targets of a class of work. */
struct ClassTarget {
  /** Maximum time to the whole answer, in milliseconds. */
  int64_t answered_within_ms = 0;
  double answered_percent = 0;  ///< Minimum percentage of requests answered
                                ///< within `answered_within_ms`.
  /** Maximum number of broken flows per million flows. */
  double broken_flows_per_million = 0;
  /** Maximum excess of the busiest backend server's busy time over the mean, in
   * percent. */
  double imbalance_percent = 0;

  bool operator==(const ClassTarget&) const = default;
};

/** Share of the new flows of a class that goes to one service. */
struct SplitShare {
  ServiceId service;   ///< Service that gets the share.
  int64_t weight = 0;  ///< The share is `weight` divided by the sum of all
                       ///< weights of the split.

  bool operator==(const SplitShare&) const = default;
};

/** A class of work. */
struct WorkClass {
  ClassId id;
  std::string name;
  ServiceId service;        ///< Service to which the class belongs.
  bool idempotent = false;  ///< Whether its requests may run more than once.
  int64_t rank = 0;         ///< Priority; 1 is the highest.
  ClassTarget target;
  std::vector<Endpoint> addresses;  ///< Addresses at which callers without
                                    ///< tokens reach the class.
  std::vector<SplitShare> split;    ///< If empty, all flows go to `service`.

  bool operator==(const WorkClass&) const = default;
};

/** Effect of a planned change: kDrain takes no new work; kStop also finishes
 * the open work and leaves the fleet. */
enum class ChangeKind : uint8_t { kDrain, kStop };

/** A planned change of one VM or one data centre. */
struct PlannedChange {
  std::string name;
  ChangeKind kind = ChangeKind::kDrain;
  VmId vm;                  ///< VmId{} if `data_centre` is set.
  std::string data_centre;  ///< Empty if `vm` is set.
  TimePoint begins_at;      ///< Time from which the change is active.

  bool operator==(const PlannedChange&) const = default;
};

/** One valid configuration document. */
struct Config {
  ConfigVersion version;
  std::vector<Service> services;   ///< Sorted by id.
  std::vector<WorkClass> classes;  ///< Sorted by id.
  std::vector<PlannedChange> changes;
  /** Token keys by number; the highest is the newest. */
  std::map<KeyNumber, TokenKey> keys;
  /** Time without packets after which an opaque flow may be evicted. */
  Milliseconds flow_idle_timeout{15000};

  bool operator==(const Config&) const = default;
};

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_CONFIG_TYPE_H_
