/** @file role_func.h The roles of the stand-in program. */

#ifndef CUMINVANE_STANDIN_ROLE_FUNC_H_
#define CUMINVANE_STANDIN_ROLE_FUNC_H_

#include <cxxopts.hpp>

#include "base/result_type.h"

namespace cuminvane {

/** Runs the stand-in store of the platform: serves the files of a directory
 * over HTTP, with long-poll watches. */
ResultCode RunPlatform(const cxxopts::ParseResult& options);
/** Runs the stand-in fabric: forwards each packet of a caller to a random
 * balancer of the VM list of the platform. */
ResultCode RunFabric(const cxxopts::ParseResult& options);
/** Runs one stand-in backend server for requests. */
ResultCode RunBackend(const cxxopts::ParseResult& options);
/** Runs one stand-in backend server for opaque flows. */
ResultCode RunFlowBackend(const cxxopts::ParseResult& options);
/** Computes the figures of a demo from the record files. @return kOk, or
 * kTargetsNotMet if a figure is out of its bound. */
ResultCode RunFigures(const cxxopts::ParseResult& options);

}  // namespace cuminvane

#endif  // CUMINVANE_STANDIN_ROLE_FUNC_H_
