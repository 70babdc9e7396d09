/** @file decision_type.h Log entries of the core: one value per decision,
 * formatted by the shell. */

#ifndef CUMINVANE_DECISION_DECISION_TYPE_H_
#define CUMINVANE_DECISION_DECISION_TYPE_H_

#include <array>
#include <cstdint>
#include <string>

#include "base/endpoint_type.h"
#include "base/ids_type.h"
#include "base/result_type.h"
#include "base/time_type.h"

namespace cuminvane {

/** Subject of a log line; each topic has its own minimum severity. */
enum class Topic : uint8_t {
  kRouting,       ///< Routing of packets of callers with tokens.
  kPlacement,     ///< Choice of backend servers for flows and requests.
  kMembership,    ///< States of the other balancers.
  kConfig,        ///< Versions of the configuration and of the
                  ///< platform's list of VMs.
  kInput,         ///< Invalid input, for example dropped datagrams.
  kProcess,       ///< The process itself, for example its start and stop.
  kFlow,          ///< Placement, reset and drop of opaque flows.
  kReachability,  ///< Reachability of backend servers.
};

/** All topics, in the order of their values. */
inline constexpr std::array kTopics = {
    Topic::kRouting, Topic::kPlacement,   Topic::kMembership,
    Topic::kConfig,  Topic::kInput,       Topic::kProcess,
    Topic::kFlow,    Topic::kReachability};

/** Severity of a log line; kOff, as a minimum, logs nothing. */
enum class Severity : uint8_t { kDebug, kInfo, kWarning, kError, kOff };

/** Minimum severity that is logged, by topic. */
struct LogLevels {
  std::array<Severity, kTopics.size()> min_severity{
      Severity::kInfo,    Severity::kInfo, Severity::kInfo, Severity::kInfo,
      Severity::kWarning, Severity::kInfo, Severity::kInfo, Severity::kInfo};

  bool operator==(const LogLevels&) const = default;
};

/** One decision; identifiers, addresses and numbers that do not apply are 0. */
struct Decision {
  Topic topic = Topic::kRouting;
  Severity severity = Severity::kInfo;
  const char* event = "";  ///< What was decided, one word, for example `relay`.
  const char* reason = "";  ///< Reason, one word; empty if there is none.
  FlowId flow;              ///< Flow concerned.
  RequestNumber number;     ///< Request concerned.
  VmId vm;                  ///< The VM chosen or concerned.
  ResultCode code = ResultCode::kOk;  ///< Error, kOk if there is none.
  ConfigVersion version;              ///< Version of the document concerned.
  Endpoint caller;                    ///< Caller of an opaque flow.
  Endpoint service;     ///< Service address at which an opaque flow arrived.
  int64_t count = 0;    ///< Number of flows concerned.
  Microseconds age{0};  ///< Age of the data on which the decision is based.
  std::string data_centre;  ///< Data centre concerned; a word.

  bool operator==(const Decision&) const = default;
};

}  // namespace cuminvane

#endif  // CUMINVANE_DECISION_DECISION_TYPE_H_
