/** @file window_base.cc The request records of one flow. */

#include "request/window_base.h"

#include <algorithm>

namespace cuminvane {

RequestRecord* FlowWindow::Find(RequestNumber number) {
  const auto record = this->records.find(number);
  return record == this->records.end() ? nullptr : &record->second;
}

std::optional<RequestRecord> FlowWindow::EvictOldestEnded() {
  const auto oldest_ended = std::ranges::find_if(
      this->records,
      [](const auto& item) { return !IsOpen(item.second.state); });
  if (oldest_ended == this->records.end())
    return std::nullopt;
  return this->Remove(oldest_ended);
}

RequestRecord& FlowWindow::Add(RequestRecord record) {
  const RequestNumber number = record.number;
  this->highest = std::max(this->highest, number);
  return this->records.emplace(number, std::move(record)).first->second;
}

std::vector<RequestRecord> FlowWindow::RemoveExpired(TimePoint now) {
  std::vector<RequestRecord> removed;
  for (auto item = this->records.begin(); item != this->records.end();) {
    const auto position = item++;
    if (!IsOpen(position->second.state) && position->second.expires_at <= now)
      removed.push_back(this->Remove(position));
  }
  return removed;
}

RequestRecord FlowWindow::Remove(
    std::map<RequestNumber, RequestRecord>::iterator position) {
  this->highest_removed = std::max(this->highest_removed, position->first);
  RequestRecord record = std::move(position->second);
  this->records.erase(position);
  return record;
}

}  // namespace cuminvane
