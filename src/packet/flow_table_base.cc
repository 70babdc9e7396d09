/** @file flow_table_base.cc Bounded hash table of opaque flows. */

#include "packet/flow_table_base.h"

#include <algorithm>
#include <bit>

#include "packet/packet_func.h"

namespace cuminvane {
namespace {

/** Entries in which a flow may be stored. Their keys fill a cache line or two;
 * the window is rarely full while the table is less than three quarters full.
 */
constexpr size_t kProbeWindow = 16;
/** Entries of a new table; small, for balancers with few flows. */
constexpr size_t kInitialEntries = 1024;

}  // namespace

FlowTable::FlowTable(size_t limit)
    : limit(std::bit_ceil(std::max(limit, kProbeWindow))),
      entries(std::min(this->limit, kInitialEntries)) {}

size_t FlowTable::HomeIndexOf(const FlowKey& key) const {
  return FlowIdOf(key).value & (this->entries.size() - 1);
}

FlowRecord* FlowTable::Find(const FlowKey& key) {
  const size_t home = this->HomeIndexOf(key);
  const size_t mask = this->entries.size() - 1;
  for (size_t step = 0; step < kProbeWindow; ++step) {
    FlowRecord& entry = this->entries[(home + step) & mask];
    if (!entry.IsFree() && entry.key == key)
      return &entry;
  }
  return nullptr;
}

FlowRecord* FlowTable::FindFreeEntry(const FlowKey& key) {
  const size_t home = this->HomeIndexOf(key);
  const size_t mask = this->entries.size() - 1;
  for (size_t step = 0; step < kProbeWindow; ++step) {
    FlowRecord& entry = this->entries[(home + step) & mask];
    if (entry.IsFree())
      return &entry;
  }
  return nullptr;
}

FlowRecord& FlowTable::FindLeastRecentlyUsed(const FlowKey& key) {
  const size_t home = this->HomeIndexOf(key);
  const size_t mask = this->entries.size() - 1;
  FlowRecord* oldest = &this->entries[home];
  for (size_t step = 1; step < kProbeWindow; ++step) {
    FlowRecord& entry = this->entries[(home + step) & mask];
    if (entry.last_packet_at < oldest->last_packet_at)
      oldest = &entry;
  }
  return *oldest;
}

bool FlowTable::Grow(std::vector<FlowRecord>& evicted) {
  if (this->entries.size() >= this->limit)
    return false;
  std::vector<FlowRecord> old(this->entries.size() * 2);
  old.swap(this->entries);
  for (const FlowRecord& record : old) {
    if (record.IsFree())
      continue;
    if (FlowRecord* const entry = this->FindFreeEntry(record.key)) {
      *entry = record;
      continue;
    }
    evicted.push_back(record);
    --this->size;
  }
  return true;
}

FlowRecord& FlowTable::Add(const FlowKey& key,
                           TimePoint now,
                           std::vector<FlowRecord>& evicted) {
  FlowRecord* entry = this->FindFreeEntry(key);
  while (entry == nullptr && this->Grow(evicted))
    entry = this->FindFreeEntry(key);
  if (entry == nullptr) {
    entry = &this->FindLeastRecentlyUsed(key);
    evicted.push_back(*entry);
    --this->size;
  }
  *entry = FlowRecord{};
  entry->key = key;
  entry->last_packet_at = now;
  entry->first_packet_at = now;
  ++this->size;
  return *entry;
}

void FlowTable::Remove(FlowRecord& record) {
  record = FlowRecord{};
  --this->size;
}

void FlowTable::ForEach(const std::function<void(FlowRecord&)>& visitor) {
  for (FlowRecord& entry : this->entries) {
    if (!entry.IsFree())
      visitor(entry);
  }
}

void FlowTable::ScanNext(size_t count,
                         const std::function<void(FlowRecord&)>& visitor) {
  for (size_t step = 0; step < std::min(count, this->entries.size()); ++step) {
    this->scan_index = (this->scan_index + 1) & (this->entries.size() - 1);
    FlowRecord& entry = this->entries[this->scan_index];
    if (!entry.IsFree())
      visitor(entry);
  }
}

}  // namespace cuminvane
