/** @file window_base.cc The window of one flow. */

#include "request/window_base.h"

#include <algorithm>

namespace cuminvane {

RequestRecord* FlowWindow::Find(RequestNumber number) {
  const auto record = this->records.find(number);
  return record == this->records.end() ? nullptr : &record->second;
}

std::optional<RequestRecord> FlowWindow::ForgetOldest() {
  const auto oldest_ended = std::ranges::find_if(
      this->records,
      [](const auto& item) { return !IsOpen(item.second.state); });
  if (oldest_ended == this->records.end())
    return std::nullopt;
  return this->TakeOut(oldest_ended);
}

RequestRecord& FlowWindow::Add(RequestRecord record) {
  const RequestNumber number = record.number;
  this->highest = std::max(this->highest, number);
  return this->records.emplace(number, std::move(record)).first->second;
}

std::vector<RequestRecord> FlowWindow::Forget(TimePoint now) {
  std::vector<RequestRecord> forgotten;
  for (auto item = this->records.begin(); item != this->records.end();) {
    const auto place = item++;
    if (!IsOpen(place->second.state) && place->second.forget_at <= now)
      forgotten.push_back(this->TakeOut(place));
  }
  return forgotten;
}

RequestRecord FlowWindow::TakeOut(
    std::map<RequestNumber, RequestRecord>::iterator place) {
  this->floor = std::max(this->floor, place->first);
  RequestRecord record = std::move(place->second);
  this->records.erase(place);
  return record;
}

}  // namespace cuminvane
