/** @file checker_base.h Checks whether backend servers are within reach: opens
 * a connection and closes it again. */

#ifndef CUMINVANE_SHELL_CHECKER_BASE_H_
#define CUMINVANE_SHELL_CHECKER_BASE_H_

#include <asio.hpp>
#include <functional>

#include "packet/pool_type.h"

namespace cuminvane {

/** Told once for each check. */
using CheckCallback =
    std::function<void(VmId backend, HealthCheckResult result)>;

/**
 * Makes one check; its pending operations keep it alive.
 * @param context Context of the thread that is told.
 * @param check What to check, until when.
 * @param now The present time.
 * @param done Told of the result.
 */
void StartHealthCheck(asio::io_context& context,
                      const HealthCheck& check,
                      TimePoint now,
                      CheckCallback callback);

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_CHECKER_BASE_H_
