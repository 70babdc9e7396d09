/** @file config_type.h The operators' configuration as values: services,
 * classes, changes, keys. */

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

/** Bytes of a token key. */
inline constexpr size_t kTokenKeyBytes = 16;
using TokenKey = std::array<unsigned char, kTokenKeyBytes>;

/** A service that callers reach. */
struct Service {
  ServiceId id;
  std::string name;
  std::vector<Endpoint> addresses;
  std::vector<std::string> data_centres;

  bool operator==(const Service&) const = default;
};

/** What operators ask of a class of work. */
struct ClassTarget {
  int64_t answered_within_ms = 0;       ///< Time to the whole answer.
  double answered_percent = 0;          ///< Share answered within that time.
  double broken_flows_per_million = 0;  ///< Flows broken.
  double imbalance_percent = 0;         ///< Busiest above mean.

  bool operator==(const ClassTarget&) const = default;
};

/** A part of the new flows of a class. */
struct SplitShare {
  ServiceId service;
  int64_t weight = 0;  ///< Relative to the other parts.

  bool operator==(const SplitShare&) const = default;
};

/** A class of work. */
struct WorkClass {
  ClassId id;
  std::string name;
  ServiceId service;
  bool idempotent = false;
  int64_t rank = 0;  ///< 1 is the most important.
  ClassTarget target;
  std::vector<Endpoint> addresses;  ///< Of callers that hold no token.
  std::vector<SplitShare> split;    ///< Empty: all flows go to `service`.

  bool operator==(const WorkClass&) const = default;
};

enum class ChangeKind : uint8_t { kDrain, kStop };

/** A planned change; concerns one VM or one data centre. */
struct PlannedChange {
  std::string name;
  ChangeKind kind = ChangeKind::kDrain;
  VmId vm;                  ///< None where the data centre is named.
  std::string data_centre;  ///< Empty where the VM is named.
  TimePoint begins_at;

  bool operator==(const PlannedChange&) const = default;
};

/** One accepted configuration document. */
struct Config {
  ConfigVersion version;
  std::vector<Service> services;   ///< In ascending order of id.
  std::vector<WorkClass> classes;  ///< In ascending order of id.
  std::vector<PlannedChange> changes;
  std::map<KeyNumber, TokenKey> keys;
  Milliseconds flow_idle_timeout{15000};  ///< Opaque flows idle for longer may
                                          ///< be forgotten.

  bool operator==(const Config&) const = default;
};

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_CONFIG_TYPE_H_
