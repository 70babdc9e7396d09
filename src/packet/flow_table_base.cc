/** @file flow_table_base.cc Bounded table of opaque flows. */

#include "packet/flow_table_base.h"

#include <algorithm>
#include <bit>

#include "packet/packet_func.h"

namespace cuminvane {
namespace {

/** Places a flow may lie in; a cache line or two of keys, and rarely full
 * below three quarters of the table. */
constexpr size_t kWindow = 16;
/** Places at the start, for a balancer with few flows. */
constexpr size_t kFirstPlaces = 1024;

}  // namespace

FlowTable::FlowTable(size_t limit)
    : limit(std::bit_ceil(std::max(limit, kWindow))),
      places(std::min(this->limit, kFirstPlaces)) {}

size_t FlowTable::HomeOf(const FlowKey& key) const {
  return FlowIdOf(key).value & (this->places.size() - 1);
}

FlowRecord* FlowTable::Find(const FlowKey& key) {
  const size_t home = this->HomeOf(key);
  const size_t mask = this->places.size() - 1;
  for (size_t step = 0; step < kWindow; ++step) {
    FlowRecord& place = this->places[(home + step) & mask];
    if (!place.IsFree() && place.key == key)
      return &place;
  }
  return nullptr;
}

FlowRecord* FlowTable::FreePlace(const FlowKey& key) {
  const size_t home = this->HomeOf(key);
  const size_t mask = this->places.size() - 1;
  for (size_t step = 0; step < kWindow; ++step) {
    FlowRecord& place = this->places[(home + step) & mask];
    if (place.IsFree())
      return &place;
  }
  return nullptr;
}

FlowRecord& FlowTable::OldestOf(const FlowKey& key) {
  const size_t home = this->HomeOf(key);
  const size_t mask = this->places.size() - 1;
  FlowRecord* oldest = &this->places[home];
  for (size_t step = 1; step < kWindow; ++step) {
    FlowRecord& place = this->places[(home + step) & mask];
    if (place.seen_at < oldest->seen_at)
      oldest = &place;
  }
  return *oldest;
}

bool FlowTable::Grow(std::vector<FlowRecord>& evicted) {
  if (this->places.size() >= this->limit)
    return false;
  std::vector<FlowRecord> old(this->places.size() * 2);
  old.swap(this->places);
  for (const FlowRecord& record : old) {
    if (record.IsFree())
      continue;
    if (FlowRecord* const place = this->FreePlace(record.key)) {
      *place = record;
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
  FlowRecord* place = this->FreePlace(key);
  while (place == nullptr && this->Grow(evicted))
    place = this->FreePlace(key);
  if (place == nullptr) {
    place = &this->OldestOf(key);
    evicted.push_back(*place);
    --this->size;
  }
  *place = FlowRecord{};
  place->key = key;
  place->seen_at = now;
  place->opened_at = now;
  ++this->size;
  return *place;
}

void FlowTable::Forget(FlowRecord& record) {
  record = FlowRecord{};
  --this->size;
}

void FlowTable::ForEach(const std::function<void(FlowRecord&)>& use) {
  for (FlowRecord& place : this->places) {
    if (!place.IsFree())
      use(place);
  }
}

void FlowTable::Visit(size_t count,
                      const std::function<void(FlowRecord&)>& use) {
  for (size_t step = 0; step < std::min(count, this->places.size()); ++step) {
    this->next_visit = (this->next_visit + 1) & (this->places.size() - 1);
    FlowRecord& place = this->places[this->next_visit];
    if (!place.IsFree())
      use(place);
  }
}

}  // namespace cuminvane
