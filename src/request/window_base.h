/** @file window_base.h The request records of one flow. Only records of ended
 * requests are evicted or expire. */

#ifndef CUMINVANE_REQUEST_WINDOW_BASE_H_
#define CUMINVANE_REQUEST_WINDOW_BASE_H_

#include <map>
#include <optional>
#include <vector>

#include "request/request_type.h"

namespace cuminvane {

/**
 * Request records of one flow, by request number.
 *
 * If a number has no record and is not above the highest removed number, its
 * record may have been removed; the outcome of the request is then unknown. If
 * a number has no record and is above the highest removed number, this balancer
 * never accepted the request.
 */
class FlowWindow {
 public:
  /** @return The record of the request, or null if the request has no record.
   */
  RequestRecord* Find(RequestNumber number);

  /** @return Whether a number that has no record may have had one earlier. */
  bool MayHaveBeenRemoved(RequestNumber number) const {
    return number <= this->highest_removed;
  }

  /** Removes the ended record with the lowest number.
   * @return The removed record; nullopt if no request in the window has ended.
   */
  std::optional<RequestRecord> EvictOldestEnded();

  /** Adds a record; the window must not hold one with the same number.
   * @return The record in the window. */
  RequestRecord& Add(RequestRecord record);

  /** Removes the ended records that have expired.
   * @return The removed records. */
  std::vector<RequestRecord> RemoveExpired(TimePoint now);

  /** @return The highest request number ever added, or 0. */
  RequestNumber HighestNumber() const { return this->highest; }
  /** @return Number of records in the window. */
  size_t Size() const { return this->records.size(); }
  /** @return All records, by request number. */
  const std::map<RequestNumber, RequestRecord>& Records() const {
    return this->records;
  }

 private:
  /** Removes the record at the position and returns it. */
  RequestRecord Remove(
      std::map<RequestNumber, RequestRecord>::iterator position);

  std::map<RequestNumber, RequestRecord> records;  ///< By request number.
  RequestNumber highest_removed;  ///< Highest number of a removed record; 0 if
                                  ///< no record was removed.
  RequestNumber highest;          ///< Highest number ever added, or 0.
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_WINDOW_BASE_H_
