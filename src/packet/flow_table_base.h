/** @file flow_table_base.h Bounded table of opaque flows: open addressing in
 * windows, no allocation for a packet. */

#ifndef CUMINVANE_PACKET_FLOW_TABLE_BASE_H_
#define CUMINVANE_PACKET_FLOW_TABLE_BASE_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "packet/flow_type.h"

namespace cuminvane {

/**
 * Flows by their two ends.
 *
 * A flow lies within a short window behind its hash. A full window doubles the
 * table up to its limit; at the limit the flow of the window that was silent
 * for longest is forgotten, which costs it nothing but what was learned.
 */
class FlowTable {
 public:
  /** @param limit Most places; rounded up to a power of two. */
  explicit FlowTable(size_t limit);

  /** @return The flow's record, null where there is none. */
  FlowRecord* Find(const FlowKey& key);

  /**
   * Makes room for a flow that has no record.
   * @param key The flow.
   * @param now The present time.
   * @param evicted Flows that had to be forgotten for it are added.
   * @return The new record, with its key and times set.
   */
  FlowRecord& Add(const FlowKey& key,
                  TimePoint now,
                  std::vector<FlowRecord>& evicted);

  /** Forgets a flow; the record must be one of this table's. */
  void Remove(FlowRecord& record);

  /** Calls `use` with every record; it may forget the one it is given. */
  void ForEach(const std::function<void(FlowRecord&)>& visitor);

  /**
   * Looks at the next places of the table in turn.
   * @param count How many.
   * @param use Called with each record there; it may forget it.
   */
  void ScanNext(size_t count, const std::function<void(FlowRecord&)>& visitor);

  /** @return Number of flows. */
  size_t Size() const { return this->size; }
  /** @return Number of places. */
  size_t Capacity() const { return this->entries.size(); }

 private:
  size_t HomeIndexOf(const FlowKey& key) const;
  FlowRecord* FindFreeEntry(const FlowKey& key);
  FlowRecord& FindLeastRecentlyUsed(const FlowKey& key);
  bool Grow(std::vector<FlowRecord>& evicted);

  size_t limit;
  std::vector<FlowRecord> entries;
  size_t size = 0;
  size_t scan_index = 0;
};

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_FLOW_TABLE_BASE_H_
