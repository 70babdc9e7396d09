/** @file record_store_base.h The request records of one shard: by flow, by run,
 * and by the time at which to look at them again. */

#ifndef CUMINVANE_REQUEST_RECORD_STORE_BASE_H_
#define CUMINVANE_REQUEST_RECORD_STORE_BASE_H_

#include <map>
#include <unordered_map>

#include "document/settings_type.h"
#include "request/request_type.h"
#include "request/window_base.h"

namespace cuminvane {

/** A record and the flow it belongs to. */
struct LocatedRecord {
  FlowId flow;
  RequestRecord* record = nullptr;  ///< Null: there is none.

  bool operator==(const LocatedRecord&) const = default;
};

/** Keeps records until their time is over; counts what is still owed. */
class RecordStore {
 public:
  /** @param limits Bounds on the records held. */
  explicit RecordStore(const RequestLimits& limits) : limits(limits) {}

  /** @return The record, null where there is none. */
  RequestRecord* Find(FlowId flow, RequestNumber number);
  /** @return The record whose present run this is. */
  LocatedRecord FindByRun(RunId run);
  /** @return The flow's window; a new one where it has none. */
  FlowWindow& WindowOf(FlowId flow) { return this->flows[flow]; }
  /** @return HighestNumber number taken of the flow, 0 where none was. */
  RequestNumber HighestNumberOf(FlowId flow) const;

  /** Forgets an ended record of a full window.
   * @return Whether there is room for one more. */
  bool MakeRoom(FlowWindow& window);
  /** Adds an open record. */
  RequestRecord& Add(FlowWindow& window, RequestRecord record);
  /** Gives the record another run in place of its present one. */
  void AssignRun(FlowId flow, RequestRecord& record, RunId run);
  /** Looks at the record again at that time, or at its deadline, or when it is
   * to be forgotten. */
  void Schedule(RequestRecord& record, FlowId flow, TimePoint at);
  /** Takes note that the caller has the whole answer. */
  void OnDelivered(RequestRecord& record);
  /** Takes note that an open record has ended. */
  void OnEnded(const RequestRecord& record);
  /** Drops the window of a flow that never took a request. */
  void RemoveIfUnused(FlowId flow);

  /**
   * Takes the next open record whose time has come; forgets ended ones on the
   * way.
   * @return It, without a record where nothing is due.
   */
  LocatedRecord NextDue(TimePoint now);

  /** @return Requests whose outcome or delivery is still owed to a caller. */
  size_t Unfinished() const { return this->unfinished; }
  /** @return RecordCount held. */
  size_t RecordCount() const { return this->records; }
  /** @return FlowCount held. */
  size_t FlowCount() const { return this->flows.size(); }

 private:
  /** Where a record is. */
  struct RecordKey {
    FlowId flow;
    RequestNumber number;
  };

  void OnRecordRemoved(const RequestRecord& record);
  void RemoveExpired(FlowId flow, TimePoint now);

  RequestLimits limits;
  std::unordered_map<FlowId, FlowWindow> flows;
  std::unordered_map<RunId, RecordKey> runs;
  std::multimap<TimePoint, RecordKey>
      timers;  ///< May hold stale ones; the record's own time decides.
  size_t records = 0;
  size_t unfinished = 0;
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_RECORD_STORE_BASE_H_
