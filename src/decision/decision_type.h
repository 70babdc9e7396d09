/** @file decision_type.h What the core wants logged: one value for each
 * decision, formatted by the shell. */

#ifndef CUMINVANE_DECISION_DECISION_TYPE_H_
#define CUMINVANE_DECISION_DECISION_TYPE_H_

#include <array>
#include <cstdint>

#include "base/endpoint_type.h"
#include "base/ids_type.h"
#include "base/result_type.h"
#include "base/time_type.h"

namespace cuminvane {

/** Subject of a log line; each has its own least severity. */
enum class Topic : uint8_t {
  kRouting,
  kPlacement,
  kMembership,
  kConfig,
  kInput,
  kProcess,
  kFlow,          ///< Opaque flows: placed, reset, dropped.
  kReachability,  ///< Backend servers within reach or not.
};

inline constexpr std::array kTopics = {
    Topic::kRouting, Topic::kPlacement,   Topic::kMembership,
    Topic::kConfig,  Topic::kInput,       Topic::kProcess,
    Topic::kFlow,    Topic::kReachability};

enum class Severity : uint8_t { kDebug, kInfo, kWarning, kError, kOff };

/** Least severity logged, by topic. */
struct LogLevels {
  std::array<Severity, kTopics.size()> min_severity{
      Severity::kInfo,    Severity::kInfo, Severity::kInfo, Severity::kInfo,
      Severity::kWarning, Severity::kInfo, Severity::kInfo, Severity::kInfo};

  bool operator==(const LogLevels&) const = default;
};

/** One decision; identifiers that do not apply are zero. */
struct Decision {
  Topic topic = Topic::kRouting;
  Severity severity = Severity::kInfo;
  const char* event = "";   ///< What was decided, for example `relay`.
  const char* reason = "";  ///< Why.
  FlowId flow;
  RequestNumber number;
  VmId vm;  ///< The VM chosen or concerned.
  ResultCode code = ResultCode::kOk;
  ConfigVersion version;  ///< Of the document concerned.
  Endpoint caller;        ///< Of an opaque flow.
  Endpoint service;       ///< Of an opaque flow: the address it came in by.
  int64_t count = 0;      ///< Flows concerned.
  Microseconds age{0};    ///< Of the input that decided.

  bool operator==(const Decision&) const = default;
};

}  // namespace cuminvane

#endif  // CUMINVANE_DECISION_DECISION_TYPE_H_
