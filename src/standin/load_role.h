/** @file load_role.h The process of a caller: sends a single request, or a load
 * of many flows from one source address. */

#ifndef CUMINVANE_STANDIN_LOAD_ROLE_H_
#define CUMINVANE_STANDIN_LOAD_ROLE_H_

#include <string>
#include <vector>

#include "base/endpoint_type.h"
#include "base/result_type.h"
#include "base/time_type.h"

namespace cuminvane {

/** Flows of a load that have the same parameters. */
struct LoadMix {
  std::string service;      ///< Name of the service.
  Endpoint address;         ///< Address of the service.
  std::string work_class;   ///< Name of the class of the requests.
  bool idempotent = false;  ///< Recorded with each request.
  int flows = 1;            ///< Number of flows.
  int requests = 1;         ///< Number of requests in each flow.
  uint32_t parts = 1;       ///< Number of parts of each answer.
  Microseconds busy{0};     ///< Mean time for which a request occupies a slot.
  Milliseconds deadline{5000};  ///< Time from sending to the deadline.
  bool follows = false;  ///< Whether each flow also subscribes to a feed.

  bool operator==(const LoadMix&) const = default;
};

/** A load of several mixes. */
struct LoadOptions {
  uint64_t seed = 1;        ///< Seed of the random choices.
  Seconds duration{10};     ///< Time over which openings and requests are
                            ///< spread.
  std::string record_path;  ///< File that the record is appended to.
  std::vector<LoadMix> mixes;

  bool operator==(const LoadOptions&) const = default;
};

/** A single request in a flow of its own. */
struct SingleCall {
  Endpoint service;             ///< Address of the service.
  std::string work_class;       ///< Name of the class of the request.
  std::string text;             ///< Payload of the request.
  Milliseconds deadline{5000};  ///< Time from sending to the deadline.

  bool operator==(const SingleCall&) const = default;
};

/**
 * Parses the value of `--mix`.
 *
 * @param text `key=value` pairs, separated by semicolons.
 * @return The mix; kUsage if a pair is invalid, or service, address or class is
 *     missing.
 */
Result<LoadMix> ParseMix(const std::string& text);

/** Runs a load and prints the number of flows, and of requests by result.
 * @return kOk, or kSocketFailure. */
ResultCode RunLoad(const LoadOptions& options);

/** Sends one request and prints its answer. @return The result of the request.
 */
ResultCode CallOnce(const SingleCall& call);

}  // namespace cuminvane

#endif  // CUMINVANE_STANDIN_LOAD_ROLE_H_
