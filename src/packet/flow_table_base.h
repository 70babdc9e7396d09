/** @file flow_table_base.h Bounded hash table of opaque flows: open addressing
 * with a fixed probe window; it allocates memory only when it grows. */

#ifndef CUMINVANE_PACKET_FLOW_TABLE_BASE_H_
#define CUMINVANE_PACKET_FLOW_TABLE_BASE_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "packet/flow_type.h"

namespace cuminvane {

/**
 * Hash table of flow records by FlowKey.
 *
 * A flow is stored in the probe window: a fixed number of consecutive entries
 * that starts at the index given by its hash. If the window is full, the table
 * doubles in size up to its limit. At the limit the least recently used flow of
 * the window is evicted; its packets are still forwarded by their tag, and its
 * record is learned again.
 */
class FlowTable {
 public:
  /** @param limit Maximum number of entries; rounded up to a power of two. */
  explicit FlowTable(size_t limit);

  /** @return The flow's record; null if the table has none. */
  FlowRecord* Find(const FlowKey& key);

  /**
   * Adds a record for a flow that has none.
   * @param key Key of the flow.
   * @param now The current time.
   * @param evicted Receives the records that were evicted to make room.
   * @return The new record, with its key and its packet times set.
   */
  FlowRecord& Add(const FlowKey& key,
                  TimePoint now,
                  std::vector<FlowRecord>& evicted);

  /** Removes a flow. @param record A record in this table. */
  void Remove(FlowRecord& record);

  /** Calls `visitor` with every record; `visitor` may remove that record. */
  void ForEach(const std::function<void(FlowRecord&)>& visitor);

  /**
   * Continues an incremental scan of the table, which wraps around at the end.
   * @param count Number of entries to scan.
   * @param visitor Called with each record found; may remove that record.
   */
  void ScanNext(size_t count, const std::function<void(FlowRecord&)>& visitor);

  /** @return Number of flows. */
  size_t Size() const { return this->size; }
  /** @return Number of entries, used and free. */
  size_t Capacity() const { return this->entries.size(); }

 private:
  /** @return Index of the first entry of the flow's probe window. */
  size_t HomeIndexOf(const FlowKey& key) const;
  /** @return A free entry in the flow's probe window; null if it is full. */
  FlowRecord* FindFreeEntry(const FlowKey& key);
  /** @return The entry of the flow's probe window whose last packet is oldest.
   */
  FlowRecord& FindLeastRecentlyUsed(const FlowKey& key);
  /** Doubles the table. @return False if it has reached its limit.
   * @param evicted Receives the records that found no free entry. */
  bool Grow(std::vector<FlowRecord>& evicted);

  size_t limit;  ///< Maximum number of entries; a power of two.
  std::vector<FlowRecord> entries;  ///< Used and free; size is a power of two.
  size_t size = 0;                  ///< Number of entries in use.
  size_t scan_index = 0;            ///< Entry that ScanNext looked at last.
};

}  // namespace cuminvane

#endif  // CUMINVANE_PACKET_FLOW_TABLE_BASE_H_
