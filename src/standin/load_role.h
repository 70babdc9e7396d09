/** @file load_role.h The caller's process: one request, or a load of many flows
 * from one source address. */

#ifndef CUMINVANE_STANDIN_LOAD_ROLE_H_
#define CUMINVANE_STANDIN_LOAD_ROLE_H_

#include <string>
#include <vector>

#include "base/endpoint_type.h"
#include "base/result_type.h"
#include "base/time_type.h"

namespace cuminvane {

/** Flows of one kind. */
struct LoadMix {
  std::string service;
  Endpoint address;
  std::string work_class;
  bool idempotent = false;
  int flows = 1;
  int requests = 1;  ///< In each flow.
  uint32_t parts = 1;
  Microseconds busy{0};  ///< Mean time a request takes a slot.
  Milliseconds deadline{5000};
  bool follows = false;  ///< Each flow follows a feed as well.

  bool operator==(const LoadMix&) const = default;
};

/** A whole load. */
struct LoadOptions {
  uint64_t seed = 1;
  Seconds duration{10};
  std::string record_path;
  std::vector<LoadMix> mixes;

  bool operator==(const LoadOptions&) const = default;
};

/** One request. */
struct SingleCall {
  Endpoint service;
  std::string work_class;
  std::string text;
  Milliseconds deadline{5000};

  bool operator==(const SingleCall&) const = default;
};

/** @return The mix that the text describes, or kUsage with what is wrong. */
Result<LoadMix> ParseMix(const std::string& text);

/** Runs a load and prints what came of it. @return kOk, or kSocketFailure. */
ResultCode RunLoad(const LoadOptions& options);

/** Sends one request and prints its answer. @return How it ended. */
ResultCode CallOnce(const SingleCall& call);

}  // namespace cuminvane

#endif  // CUMINVANE_STANDIN_LOAD_ROLE_H_
