/** @file witness_base.cc Intents and closures. */

#include "request/witness_base.h"

#include <algorithm>

namespace cuminvane {

bool WitnessTable::Announce(FlowId flow,
                            const Holder& owner,
                            RequestNumber number,
                            TimePoint forget_at) {
  Entry* const entry = this->Find(flow, forget_at);
  if (entry == nullptr)
    return false;
  const auto closure = entry->closed.find(owner);
  if (closure != entry->closed.end() && number <= closure->second.up_to)
    return false;
  TimePoint& until = entry->intents[number];
  until = std::max(until, forget_at);
  return true;
}

Testimony WitnessTable::Close(FlowId flow,
                              const Holder& owner,
                              RequestNumber number,
                              TimePoint forget_at) {
  Entry* const entry = this->Find(flow, forget_at);
  // Without a place for the closure nothing can be promised.
  if (entry == nullptr)
    return Testimony::kMayHaveRun;
  Closure& closure = entry->closed[owner];
  closure.up_to = std::max(closure.up_to, number);
  closure.forget_at = std::max(closure.forget_at, forget_at);
  return entry->intents.contains(number) ? Testimony::kMayHaveRun
                                         : Testimony::kNeverDispatched;
}

RequestNumber WitnessTable::HighestAnnounced(FlowId flow) const {
  const auto entry = this->flows.find(flow);
  if (entry == this->flows.end() || entry->second.intents.empty())
    return {};
  return entry->second.intents.rbegin()->first;
}

void WitnessTable::Tick(TimePoint now) {
  while (!this->timers.empty() && this->timers.begin()->first <= now) {
    const FlowId flow = this->timers.begin()->second;
    this->timers.erase(this->timers.begin());
    const auto item = this->flows.find(flow);
    if (item == this->flows.end())
      continue;
    Entry& entry = item->second;
    std::erase_if(entry.intents,
                  [now](const auto& intent) { return intent.second <= now; });
    std::erase_if(entry.closed, [now](const auto& closure) {
      return closure.second.forget_at <= now;
    });
    if (entry.forget_at <= now)
      this->flows.erase(item);
  }
}

WitnessTable::Entry* WitnessTable::Find(FlowId flow, TimePoint forget_at) {
  const auto known = this->flows.find(flow);
  if (known == this->flows.end() && this->flows.size() >= this->limit)
    return nullptr;
  Entry& entry = known == this->flows.end() ? this->flows[flow] : known->second;
  if (forget_at > entry.forget_at) {
    entry.forget_at = forget_at;
    this->timers.emplace(forget_at, flow);
  }
  return &entry;
}

}  // namespace cuminvane
