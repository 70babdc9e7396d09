/** @file world_check.cc The emulated fleet: the promises, checked from what
 * callers and backend servers saw. */

#include <algorithm>
#include <map>

#include "emulate/world_base.h"

namespace cuminvane::emulate {
namespace {

/** A machine or path counts as calm after this long without a disturbance. */
constexpr Milliseconds kCalm{4000};
/** A leaving backend server gets no new flows after this. */
constexpr Milliseconds kDrainLimit{3000};
/** Service is back within this after the last fault. */
constexpr Milliseconds kRecoveryLimit{12000};
constexpr double kRecoveredShare = 0.25;

}  // namespace

void World::Note(const char* rule, const std::string& what) {
  this->result.breaks.push_back({rule, what, this->now});
}

/** Sends a reset, and judges whether it cuts a flow that is sound. */
void World::SendReset(Node& node, const FlowReset& reset) {
  ++this->result.resets;
  const bool calm_node = node.disturbed_at + kCalm <= this->now;
  for (const auto& [vm, server] : this->servers) {
    const bool sound = server.model != nullptr && !server.dark &&
                       server.model->Holds(reset.key) &&
                       server.disturbed_at + kCalm <= this->now &&
                       !this->IsCut(node.centre, server.centre);
    if (sound && calm_node)
      this->Note("flow", "balancer " + ToString(node.vm) +
                             " reset a flow that is open at " + ToString(vm));
  }
  Flight flight;
  flight.kind = Flight::Kind::kToCaller;
  flight.node = reset.key.caller.ip >> 16 & 0x3f;
  flight.packet.key = reset.key;
  flight.packet.from_caller = false;
  flight.packet.resets = true;
  flight.packet.sequence = reset.sequence;
  this->Send(this->experiment.caller_delay, std::move(flight));
}

void World::CheckRequests(WorldResult& outcome) const {
  std::map<uint64_t, std::vector<VmId>> runs;
  for (const auto& [vm, server] : this->servers) {
    for (const RunRecord& run : server.runs)
      runs[run.request].push_back(vm);
  }
  const auto add = [&outcome](const char* rule, const RequestRecord& record) {
    outcome.breaks.push_back(
        {rule, "request " + std::to_string(record.id), record.asked_at});
  };
  for (const RequestRecord& record : outcome.requests) {
    const WorkPlan& work = this->experiment.work[record.kind];
    if (record.mixed)
      add("mixed", record);
    size_t count = 0;
    for (const uint64_t attempt : record.attempts) {
      const auto found = runs.find(attempt);
      if (attempt == 0 || found == runs.end())
        continue;
      count += found->second.size();
      for (const VmId vm : found->second) {
        if (this->servers.at(vm).options.service != work.service)
          add("route", record);
      }
    }
    if (!work.kind.idempotent && count > 1)
      add("doubled", record);
  }
}

void World::CheckOpens(WorldResult& outcome) const {
  for (const auto& [vm, server] : this->servers) {
    if (server.draining_since == kNever)
      continue;
    for (const OpenRecord& open : server.opens) {
      if (open.at > server.draining_since + kDrainLimit)
        outcome.breaks.push_back(
            {"drain", "a flow opened at leaving " + ToString(vm), open.at});
    }
  }
}

void World::CheckRecovery(WorldResult& outcome) const {
  const TimePoint due = this->faults_over + kRecoveryLimit;
  size_t asked = 0;
  size_t served = 0;
  for (const RequestRecord& record : outcome.requests) {
    if (record.asked_at < due)
      continue;
    ++asked;
    served += record.end == RequestEnd::kDone ? 1 : 0;
  }
  if (static_cast<double>(served) <
      kRecoveredShare * static_cast<double>(asked))
    outcome.breaks.push_back(
        {"recover",
         std::to_string(served) + " of " + std::to_string(asked) + " served",
         due});
}

}  // namespace cuminvane::emulate
