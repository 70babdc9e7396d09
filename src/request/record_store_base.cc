/** @file record_store_base.cc The request records of one shard. */

#include "request/record_store_base.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace cuminvane {
namespace {

/** @return Whether the caller is still owed something after the end. */
bool IsOwed(const RequestRecord& record) {
  return (record.state == RequestState::kAnswered && !record.delivered) ||
         (record.state == RequestState::kUnknown && !record.idempotent);
}

}  // namespace

RequestRecord* RecordStore::Find(FlowId flow, RequestNumber number) {
  const auto window = this->flows.find(flow);
  return window == this->flows.end() ? nullptr : window->second.Find(number);
}

LocatedRecord RecordStore::Locate(RunId run) {
  const auto place = this->runs.find(run);
  if (place == this->runs.end())
    return {};
  RequestRecord* const record =
      this->Find(place->second.flow, place->second.number);
  const bool current = record != nullptr && record->run == run;
  return {place->second.flow, current ? record : nullptr};
}

RequestNumber RecordStore::HighestOf(FlowId flow) const {
  const auto window = this->flows.find(flow);
  return window == this->flows.end() ? RequestNumber{}
                                     : window->second.Highest();
}

bool RecordStore::MakeRoom(FlowWindow& window) {
  if (window.Size() >= this->limits.records_per_flow) {
    const std::optional<RequestRecord> oldest = window.ForgetOldest();
    if (!oldest)
      return false;
    this->OnForgotten(*oldest);
  }
  return this->records < this->limits.records_per_shard;
}

RequestRecord& RecordStore::Add(FlowWindow& window, RequestRecord record) {
  ++this->records;
  ++this->unfinished;
  return window.Add(std::move(record));
}

void RecordStore::BeginRun(FlowId flow, RequestRecord& record, RunId run) {
  this->runs.erase(record.run);
  record.run = run;
  this->runs.emplace(run, Place{flow, record.number});
}

void RecordStore::Schedule(RequestRecord& record, FlowId flow, TimePoint at) {
  record.act_at =
      std::min(at, IsOpen(record.state) ? record.deadline : record.forget_at);
  this->timers.emplace(record.act_at, Place{flow, record.number});
}

void RecordStore::OnDelivered(RequestRecord& record) {
  if (!record.delivered)
    --this->unfinished;
  record.delivered = true;
}

void RecordStore::OnEnded(const RequestRecord& record) {
  // Until the deadline something may still be owed: an answer, until the caller
  // says that it has all of it, and the word that an outcome is unknown.
  if (!IsOwed(record))
    --this->unfinished;
}

void RecordStore::DropIfUnused(FlowId flow) {
  const auto window = this->flows.find(flow);
  if (window != this->flows.end() &&
      window->second.Highest() == RequestNumber{})
    this->flows.erase(window);
}

LocatedRecord RecordStore::TakeDue(TimePoint now) {
  while (!this->timers.empty() && this->timers.begin()->first <= now) {
    const Place place = this->timers.begin()->second;
    this->timers.erase(this->timers.begin());
    RequestRecord* const record = this->Find(place.flow, place.number);
    if (record == nullptr || record->act_at > now)
      continue;
    if (IsOpen(record->state))
      return {place.flow, record};
    this->ForgetOver(place.flow, now);
  }
  return {};
}

void RecordStore::ForgetOver(FlowId flow, TimePoint now) {
  const auto window = this->flows.find(flow);
  for (const RequestRecord& forgotten : window->second.Forget(now))
    this->OnForgotten(forgotten);
  if (window->second.Size() == 0)
    this->flows.erase(window);
}

void RecordStore::OnForgotten(const RequestRecord& record) {
  this->runs.erase(record.run);
  --this->records;
  if (IsOwed(record))
    --this->unfinished;
}

}  // namespace cuminvane
