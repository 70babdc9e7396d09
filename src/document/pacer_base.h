/** @file pacer_base.h Spreads the pieces of large transfers over time, so that
 * they leave room on the link for callers' packets and heartbeats. */

#ifndef CUMINVANE_DOCUMENT_PACER_BASE_H_
#define CUMINVANE_DOCUMENT_PACER_BASE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "base/time_type.h"

namespace cuminvane {

/** Limits the total rate of all transfers that share it. */
class Pacer {
 public:
  /** @param bytes_per_s Rate in bytes per second; 0 means no limit. */
  explicit Pacer(int64_t bytes_per_s) : bytes_per_s(bytes_per_s) {}

  /** Reserves the next free time for a piece.
   * @return When the piece may be sent. */
  TimePoint Reserve(size_t bytes, TimePoint now) {
    const TimePoint send_at = std::max(now, this->free_at);
    if (this->bytes_per_s > 0)
      this->free_at = send_at + Microseconds(static_cast<int64_t>(bytes) *
                                             1'000'000 / this->bytes_per_s);
    return send_at;
  }

 private:
  int64_t bytes_per_s;
  TimePoint free_at;  ///< When everything reserved so far has been sent.
};

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_PACER_BASE_H_
