/** @file world_check.cc The emulated fleet: checks the product's guarantees
 * against what callers and backend servers recorded. */

#include <algorithm>
#include <map>
#include <set>

#include "emulate/world_base.h"

namespace cuminvane::emulate {
namespace {

/** Checks of a balancer or backend server start this long after its last
 * disturbance (see last_disturbed_at). The limits of the time in which changes
 * come into force hold this long after a disturbance of the store. */
constexpr Milliseconds kSettlingTime{4000};
/** New flows may reach a backend server for this long after it has started to
 * drain. */
constexpr Milliseconds kDrainLimit{3000};
/** Requests issued this long after the last fault must be answered again. */
constexpr Milliseconds kRecoveryLimit{12000};
/** Smallest share of the requests issued after kRecoveryLimit that must be
 * answered. */
constexpr double kRecoveredShare = 0.25;
/** Every balancer must use a new configuration within this time after its
 * publication. */
constexpr Milliseconds kActivationLimit{4000};
/** Packets handled by the older configuration may be in transit for this long
 * after a balancer has used a new one. */
constexpr Milliseconds kInFlightSlack{500};

}  // namespace

void World::RecordViolation(const char* rule, const std::string& what) {
  this->result.violations.push_back({rule, what, this->now});
}

void World::VerifyChecksum(const ModelPacket& packet, const char* rule) {
  if (packet.checksum != ChecksumOf(packet))
    this->RecordViolation(rule, "a packet was changed on its way");
}

size_t World::KindIndexOf(const FlowKey& key) const {
  for (size_t kind = 0; kind < this->kinds.size(); ++kind) {
    if (this->kinds[kind].address == key.service)
      return kind;
  }
  return this->kinds.size();
}

bool World::WasRoutedTo(size_t kind,
                        const std::string& service,
                        TimePoint since) const {
  const std::vector<RouteChange>& changes = this->routes[kind];
  for (size_t index = 0; index < changes.size(); ++index) {
    const bool ended =
        index + 1 < changes.size() && changes[index + 1].at < since;
    if (changes[index].service == service && !ended)
      return true;
  }
  return false;
}

bool World::IsStoreStable(TimePoint at) const {
  return std::ranges::none_of(
      this->store_disturbances, [at](const StoreDisturbance& disturbance) {
        return disturbance.from <= at && at < disturbance.until + kSettlingTime;
      });
}

void World::CheckOpening(BalancerNode& node,
                         const FlowKey& key,
                         const std::string& service) {
  const size_t kind = this->KindIndexOf(key);
  if (kind == this->kinds.size() ||
      node.last_disturbed_at + kSettlingTime > this->now)
    return;
  if (this->IsStoreStable(this->now) &&
      !this->WasRoutedTo(kind, service, this->now - kActivationLimit))
    this->RecordViolation("config", "balancer " + ToString(node.vm) +
                                        " did not follow the configuration");
  uint64_t oldest = 0;
  uint64_t newest = 0;
  const std::vector<RouteChange>& changes = this->routes[kind];
  for (size_t index = 0; index < changes.size(); ++index) {
    if (changes[index].service != service)
      continue;
    oldest = oldest == 0 ? changes[index].version : oldest;
    newest = index + 1 < changes.size() ? changes[index + 1].version - 1
                                        : this->config_version;
  }
  if (newest < node.observed_version &&
      node.observed_version_at + kInFlightSlack < this->now)
    this->RecordViolation("config", "balancer " + ToString(node.vm) +
                                        " went back to an older configuration");
  if (oldest > node.observed_version) {
    node.observed_version = oldest;
    node.observed_version_at = this->now;
  }
}

void World::SendReset(BalancerNode& node, const FlowReset& reset) {
  ++this->result.resets;
  const bool is_undisturbed =
      node.last_disturbed_at + kSettlingTime <= this->now;
  for (const auto& [vm, server] : this->servers) {
    const bool is_healthy =
        server.model != nullptr && !server.unresponsive &&
        server.model->HasOpenFlow(reset.key) &&
        server.last_disturbed_at + kSettlingTime <= this->now &&
        !this->IsPartitioned(node.centre, server.centre);
    const size_t kind = this->KindIndexOf(reset.key);
    const bool routed =
        kind == this->kinds.size() ||
        !this->WasRoutedTo(kind, "", this->now - kActivationLimit);
    if (is_healthy && is_undisturbed && routed)
      this->RecordViolation("flow", "balancer " + ToString(node.vm) +
                                        " reset a flow that is open at " +
                                        ToString(vm));
  }
  Delivery delivery;
  delivery.kind = Delivery::Kind::kToCaller;
  delivery.node = reset.key.caller.ip >> 16 & 0x3f;
  delivery.packet.key = reset.key;
  delivery.packet.from_caller = false;
  delivery.packet.resets = true;
  delivery.packet.sequence = reset.sequence;
  delivery.packet.checksum = ChecksumOf(delivery.packet);
  this->Send(this->experiment.caller_delay, std::move(delivery));
}

void World::CheckRequests(WorldResult& outcome) const {
  std::map<uint64_t, std::vector<VmId>> runs;
  std::set<uint64_t> attempted;
  for (const auto& [vm, server] : this->servers) {
    for (const RunRecord& run : server.runs)
      runs[run.request_id].push_back(vm);
  }
  const auto add_violation = [&outcome](const char* rule,
                                        const RequestRecord& record) {
    outcome.violations.push_back(
        {rule, "request " + std::to_string(record.id), record.issued_at});
  };
  for (const RequestRecord& record : outcome.requests) {
    const RequestPlan& plan = this->experiment.request_plans[record.kind];
    attempted.insert(record.attempts.begin(), record.attempts.end());
    if (record.has_wrong_answer)
      add_violation("mixed", record);
    size_t count = 0;
    for (const uint64_t attempt : record.attempts) {
      const auto found = runs.find(attempt);
      if (attempt == 0 || found == runs.end())
        continue;
      count += found->second.size();
      for (const VmId vm : found->second) {
        if (!this->WasRoutedTo(record.kind,
                               this->servers.at(vm).options.service,
                               this->load_started_at))
          add_violation("route", record);
      }
    }
    if (!plan.kind.idempotent && count > 1)
      add_violation("doubled", record);
  }
  for (const auto& [request, vms] : runs) {
    if (!attempted.contains(request))
      outcome.violations.push_back(
          {"unasked", "no caller sent request " + std::to_string(request),
           outcome.load_started_at});
  }
}

void World::CheckDrains(WorldResult& outcome) const {
  for (const auto& [vm, server] : this->servers) {
    if (server.draining_since == kNever)
      continue;
    for (const AcceptedFlow& flow : server.accepted_flows) {
      if (flow.at > server.draining_since + kDrainLimit &&
          this->IsStoreStable(flow.at))
        outcome.violations.push_back(
            {"drain", "a flow opened at leaving " + ToString(vm), flow.at});
    }
  }
}

void World::CheckRecovery(WorldResult& outcome) const {
  const TimePoint due = this->faults_end_at + kRecoveryLimit;
  size_t issued = 0;
  size_t answered = 0;
  for (const RequestRecord& record : outcome.requests) {
    if (record.issued_at < due)
      continue;
    ++issued;
    answered += record.end == RequestEnd::kDone ? 1 : 0;
  }
  if (static_cast<double>(answered) <
      kRecoveredShare * static_cast<double>(issued))
    outcome.violations.push_back(
        {"recover",
         std::to_string(answered) + " of " + std::to_string(issued) + " served",
         due});
}

}  // namespace cuminvane::emulate
