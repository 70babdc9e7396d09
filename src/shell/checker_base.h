/** @file checker_base.h TCP health checks of backend servers: a connection is
 * opened and closed again. */

#ifndef CUMINVANE_SHELL_CHECKER_BASE_H_
#define CUMINVANE_SHELL_CHECKER_BASE_H_

#include <asio.hpp>
#include <functional>

#include "packet/pool_type.h"

namespace cuminvane {

/** Called once per health check with its result. */
using CheckCallback =
    std::function<void(VmId backend, HealthCheckResult result)>;

/**
 * Starts a health check; its pending operations keep it alive.
 * @param context Runs the check and the callback.
 * @param check Backend server, maximum number of connections and deadline.
 * @param now Current time.
 * @param callback Receives the result.
 */
void StartHealthCheck(asio::io_context& context,
                      const HealthCheck& check,
                      TimePoint now,
                      CheckCallback callback);

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_CHECKER_BASE_H_
