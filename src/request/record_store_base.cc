/** @file record_store_base.cc The request records of one shard. */

#include "request/record_store_base.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace cuminvane {
namespace {

/** @return Whether the answer or the unknown outcome of an ended request may
 * not have reached the caller yet. */
bool MayBeUndelivered(const RequestRecord& record) {
  return (record.state == RequestState::kAnswered && !record.delivered) ||
         (record.state == RequestState::kUnknown && !record.idempotent);
}

}  // namespace

RequestRecord* RecordStore::Find(FlowId flow, RequestNumber number) {
  const auto window = this->flows.find(flow);
  return window == this->flows.end() ? nullptr : window->second.Find(number);
}

LocatedRecord RecordStore::FindByRun(RunId run) {
  const auto item = this->runs.find(run);
  if (item == this->runs.end())
    return {};
  RequestRecord* const record =
      this->Find(item->second.flow, item->second.number);
  const bool current = record != nullptr && record->run == run;
  return {item->second.flow, current ? record : nullptr};
}

RequestNumber RecordStore::HighestNumberOf(FlowId flow) const {
  const auto window = this->flows.find(flow);
  return window == this->flows.end() ? RequestNumber{}
                                     : window->second.HighestNumber();
}

bool RecordStore::MakeRoom(FlowWindow& window) {
  if (window.Size() >= this->limits.records_per_flow) {
    const std::optional<RequestRecord> oldest = window.EvictOldestEnded();
    if (!oldest)
      return false;
    this->OnRecordRemoved(*oldest);
  }
  return this->records < this->limits.records_per_shard;
}

RequestRecord& RecordStore::Add(FlowWindow& window, RequestRecord record) {
  ++this->records;
  ++this->unfinished;
  return window.Add(std::move(record));
}

void RecordStore::AssignRun(FlowId flow, RequestRecord& record, RunId run) {
  this->runs.erase(record.run);
  record.run = run;
  this->runs.emplace(run, RecordKey{flow, record.number});
}

void RecordStore::Schedule(RequestRecord& record, FlowId flow, TimePoint at) {
  record.next_timer_at =
      std::min(at, IsOpen(record.state) ? record.deadline : record.expires_at);
  this->timers.emplace(record.next_timer_at, RecordKey{flow, record.number});
}

void RecordStore::OnDelivered(RequestRecord& record) {
  if (!record.delivered)
    --this->unfinished;
  record.delivered = true;
}

void RecordStore::OnEnded(const RequestRecord& record) {
  // The caller may have missed the last packet. An answer therefore counts as
  // unfinished until the caller acknowledges it; an unknown outcome, which
  // callers do not acknowledge, until its record is removed.
  if (!MayBeUndelivered(record))
    --this->unfinished;
}

void RecordStore::RemoveIfUnused(FlowId flow) {
  const auto window = this->flows.find(flow);
  if (window != this->flows.end() &&
      window->second.HighestNumber() == RequestNumber{})
    this->flows.erase(window);
}

LocatedRecord RecordStore::NextDue(TimePoint now) {
  while (!this->timers.empty() && this->timers.begin()->first <= now) {
    const RecordKey key = this->timers.begin()->second;
    this->timers.erase(this->timers.begin());
    RequestRecord* const record = this->Find(key.flow, key.number);
    if (record == nullptr || record->next_timer_at > now)
      continue;
    if (IsOpen(record->state))
      return {key.flow, record};
    this->RemoveExpired(key.flow, now);
  }
  return {};
}

void RecordStore::RemoveExpired(FlowId flow, TimePoint now) {
  const auto window = this->flows.find(flow);
  for (const RequestRecord& removed : window->second.RemoveExpired(now))
    this->OnRecordRemoved(removed);
  if (window->second.Size() == 0)
    this->flows.erase(window);
}

void RecordStore::OnRecordRemoved(const RequestRecord& record) {
  this->runs.erase(record.run);
  --this->records;
  if (MayBeUndelivered(record))
    --this->unfinished;
}

}  // namespace cuminvane
