/** @file window_base.h The requests remembered for one flow: a bounded window
 * that never loses an open request. */

#ifndef CUMINVANE_REQUEST_WINDOW_BASE_H_
#define CUMINVANE_REQUEST_WINDOW_BASE_H_

#include <map>
#include <optional>
#include <vector>

#include "request/request_type.h"

namespace cuminvane {

/**
 * Records of one flow by number.
 *
 * A number at or below the floor without a record was forgotten: its outcome is
 * unknown. A number above the floor without a record was never taken by this
 * balancer.
 */
class FlowWindow {
 public:
  /** @return The record, null where there is none. */
  RequestRecord* Find(RequestNumber number);

  /** @return Whether a number without a record was once remembered, or may have
   * been. */
  bool MayHaveBeenRemoved(RequestNumber number) const {
    return number <= this->highest_removed;
  }

  /** @return The oldest ended record, taken out of the window; nothing where
   * all are open. */
  std::optional<RequestRecord> EvictOldestEnded();

  /** Adds a record; its number must have none. */
  RequestRecord& Add(RequestRecord record);

  /** @return The ended records whose time has come, taken out of the window. */
  std::vector<RequestRecord> RemoveExpired(TimePoint now);

  /** @return The highest number ever taken. */
  RequestNumber HighestNumber() const { return this->highest; }
  /** @return Number of records. */
  size_t Size() const { return this->records.size(); }
  /** @return The records by number. */
  const std::map<RequestNumber, RequestRecord>& Records() const {
    return this->records;
  }

 private:
  RequestRecord Remove(
      std::map<RequestNumber, RequestRecord>::iterator position);

  std::map<RequestNumber, RequestRecord> records;
  RequestNumber highest_removed;
  RequestNumber highest;
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_WINDOW_BASE_H_
