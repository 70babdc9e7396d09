/** @file platform_base.h Reads and watches one key of the platform's
 * configuration service. */

#ifndef CUMINVANE_SHELL_PLATFORM_BASE_H_
#define CUMINVANE_SHELL_PLATFORM_BASE_H_

#include <atomic>
#include <cstdint>
#include <string>

#include "core/endpoint_type.h"
#include "core/result_type.h"
#include "core/time_type.h"

namespace cuminvane {

/** One answer of the platform. */
struct PlatformAnswer {
  bool changed = false;  ///< False: the wait ended without news.
  std::string text;      ///< The document, where it changed.

  bool operator==(const PlatformAnswer&) const = default;
};

/**
 * Waits for a version of a key other than the one named.
 * @param platform Address of the service.
 * @param key Name of the key.
 * @param after Version in hand, 0 for none; the platform answers at once with
 * any other version.
 * @param wait Longest wait.
 * @param stop Ends the wait when it becomes true.
 * @return The answer, or kPlatformUnreachable.
 */
Result<PlatformAnswer> WatchPlatform(const Endpoint& platform,
                                     const std::string& key,
                                     uint64_t after,
                                     Milliseconds wait,
                                     const std::atomic<bool>& stop);

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_PLATFORM_BASE_H_
