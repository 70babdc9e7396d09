/** @file role_func.h The roles of the stand-in program. */

#ifndef CUMINVANE_STANDIN_ROLE_FUNC_H_
#define CUMINVANE_STANDIN_ROLE_FUNC_H_

#include <cxxopts.hpp>

#include "base/result_type.h"

namespace cuminvane {

/** Serves documents from files, with long-poll watches. */
ResultCode RunPlatform(const cxxopts::ParseResult& options);
/** Sprays callers' packets over the balancers of the platform's list. */
ResultCode RunFabric(const cxxopts::ParseResult& options);
/** Is one backend server. */
ResultCode RunBackend(const cxxopts::ParseResult& options);
/** Is one backend server of opaque flows. */
ResultCode RunFlowBackend(const cxxopts::ParseResult& options);
/** Computes the figures of a demo from the record files. */
ResultCode RunFigures(const cxxopts::ParseResult& options);

}  // namespace cuminvane

#endif  // CUMINVANE_STANDIN_ROLE_FUNC_H_
