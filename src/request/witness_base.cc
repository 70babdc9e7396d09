/** @file witness_base.cc Intents and fences recorded by a witness. */

#include "request/witness_base.h"

#include <algorithm>

namespace cuminvane {

bool WitnessTable::RecordIntent(FlowId flow,
                                const VmInstance& owner,
                                RequestNumber number,
                                TimePoint expires_at) {
  WitnessedFlow* const witnessed_flow = this->FindOrAdd(flow, expires_at);
  if (witnessed_flow == nullptr)
    return false;
  const auto fence = witnessed_flow->fences.find(owner);
  if (fence != witnessed_flow->fences.end() &&
      number <= fence->second.highest_fenced)
    return false;
  TimePoint& intent_expires_at = witnessed_flow->intents[number];
  intent_expires_at = std::max(intent_expires_at, expires_at);
  return true;
}

DispatchStatus WitnessTable::FenceOwner(FlowId flow,
                                        const VmInstance& owner,
                                        RequestNumber number,
                                        TimePoint expires_at) {
  WitnessedFlow* const witnessed_flow = this->FindOrAdd(flow, expires_at);
  // The table is full: the fence can't be stored, so the owner could still
  // dispatch the request.
  if (witnessed_flow == nullptr)
    return DispatchStatus::kMayHaveRun;
  OwnerFence& fence = witnessed_flow->fences[owner];
  fence.highest_fenced = std::max(fence.highest_fenced, number);
  fence.expires_at = std::max(fence.expires_at, expires_at);
  return witnessed_flow->intents.contains(number)
             ? DispatchStatus::kMayHaveRun
             : DispatchStatus::kNeverDispatched;
}

RequestNumber WitnessTable::HighestIntent(FlowId flow) const {
  const auto witnessed_flow = this->flows.find(flow);
  if (witnessed_flow == this->flows.end() ||
      witnessed_flow->second.intents.empty())
    return {};
  return witnessed_flow->second.intents.rbegin()->first;
}

void WitnessTable::Tick(TimePoint now) {
  while (!this->timers.empty() && this->timers.begin()->first <= now) {
    const FlowId flow = this->timers.begin()->second;
    this->timers.erase(this->timers.begin());
    const auto item = this->flows.find(flow);
    if (item == this->flows.end())
      continue;
    WitnessedFlow& witnessed_flow = item->second;
    std::erase_if(witnessed_flow.intents,
                  [now](const auto& intent) { return intent.second <= now; });
    std::erase_if(witnessed_flow.fences, [now](const auto& fence) {
      return fence.second.expires_at <= now;
    });
    if (witnessed_flow.expires_at <= now)
      this->flows.erase(item);
  }
}

WitnessTable::WitnessedFlow* WitnessTable::FindOrAdd(FlowId flow,
                                                     TimePoint expires_at) {
  const auto existing = this->flows.find(flow);
  if (existing == this->flows.end() && this->flows.size() >= this->max_flows)
    return nullptr;
  WitnessedFlow& witnessed_flow =
      existing == this->flows.end() ? this->flows[flow] : existing->second;
  if (expires_at > witnessed_flow.expires_at) {
    witnessed_flow.expires_at = expires_at;
    this->timers.emplace(expires_at, flow);
  }
  return &witnessed_flow;
}

}  // namespace cuminvane
