/** @file record_store_base.h The request records of one shard, indexed by flow,
 * by run and by timer. */

#ifndef CUMINVANE_REQUEST_RECORD_STORE_BASE_H_
#define CUMINVANE_REQUEST_RECORD_STORE_BASE_H_

#include <map>
#include <unordered_map>

#include "document/settings_type.h"
#include "request/request_type.h"
#include "request/window_base.h"

namespace cuminvane {

/** A request record and its flow. */
struct LocatedRecord {
  FlowId flow;                      ///< Flow of the record.
  RequestRecord* record = nullptr;  ///< Null if no record was found.

  bool operator==(const LocatedRecord&) const = default;
};

/** Retains request records until they expire, and counts the requests that are
 * unfinished. */
class RecordStore {
 public:
  /** @param limits Limits on the number of records. */
  explicit RecordStore(const RequestLimits& limits) : limits(limits) {}

  /** @return The record of the request, or null if the request has no record.
   */
  RequestRecord* Find(FlowId flow, RequestNumber number);
  /** @return The record with this current run; a null record if the run is
   * unknown or has been superseded by a later run. */
  LocatedRecord FindByRun(RunId run);
  /** @return The flow's window; a new window is added if the flow has none. */
  FlowWindow& WindowOf(FlowId flow) { return this->flows[flow]; }
  /** @return Highest request number accepted for the flow, or 0. */
  RequestNumber HighestNumberOf(FlowId flow) const;

  /** Evicts the oldest ended record if the window is full.
   * @return Whether the window and the shard have room for another record. */
  bool MakeRoom(FlowWindow& window);
  /** Adds the record of an open request to a window of this store. */
  RequestRecord& Add(FlowWindow& window, RequestRecord record);
  /** Replaces the record's current run. */
  void AssignRun(FlowId flow, RequestRecord& record, RunId run);
  /** Sets the record's timer to `at`; to the deadline of an open request, or
   * the expiry of an ended request, if that is earlier than `at`. */
  void Schedule(RequestRecord& record, FlowId flow, TimePoint at);
  /** Records that the caller has acknowledged the whole answer. */
  void OnDelivered(RequestRecord& record);
  /** Updates the count of unfinished requests. Must be called once, after the
   * record was set to its final state. */
  void OnEnded(const RequestRecord& record);
  /** Removes the flow's window if no request was ever added to it. */
  void RemoveIfUnused(FlowId flow);

  /**
   * Removes the next expired timer of an open request, and all expired records
   * found before it.
   * @return The open request's record; a null record if no open request has an
   * expired timer.
   */
  LocatedRecord NextDue(TimePoint now);

  /** @return Number of requests that are open, or whose answer or unknown
   * outcome may not have reached the caller yet. */
  size_t Unfinished() const { return this->unfinished; }
  /** @return Number of records in the store. */
  size_t RecordCount() const { return this->records; }
  /** @return Number of flows in the store. */
  size_t FlowCount() const { return this->flows.size(); }

 private:
  /** Identifies a record in the store. */
  struct RecordKey {
    FlowId flow;           ///< Flow of the request.
    RequestNumber number;  ///< Number of the request in its flow.
  };

  /** Updates the run index and the counters after a record was removed from its
   * window. */
  void OnRecordRemoved(const RequestRecord& record);
  /** Removes the flow's expired records, and the flow's window if no record is
   * left in it. */
  void RemoveExpired(FlowId flow, TimePoint now);

  RequestLimits limits;  ///< Limits on the number of records.
  std::unordered_map<FlowId, FlowWindow> flows;  ///< Windows by flow.
  std::unordered_map<RunId, RecordKey> runs;     ///< Records by current run.
  /** Timers of the records. Superseded timers remain here until they expire;
   * `next_timer_at` of the record decides whether a timer is still valid. */
  std::multimap<TimePoint, RecordKey> timers;
  size_t records = 0;     ///< Number of records in all windows.
  size_t unfinished = 0;  ///< Number that Unfinished() returns.
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_RECORD_STORE_BASE_H_
