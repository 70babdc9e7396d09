/** @file evacuation_base.cc Implementation of the evacuations of the pool. */

#include "packet/evacuation_base.h"

#include <algorithm>
#include <utility>

#include "member/member_type.h"

namespace cuminvane {
namespace {

int64_t CountFlows(const std::map<VmId, PoolMember>& members,
                   const std::string& data_centre) {
  const uint64_t id = DataCentreIdOf(data_centre);
  int64_t flows = 0;
  for (const auto& [vm, member] : members)
    flows += member.data_centre == id ? member.flows : 0;
  return flows;
}

}  // namespace

void PoolEvacuations::Sync(const VmList& list,
                           TimePoint now,
                           std::map<VmId, PoolMember>& members) {
  this->EndExpired(now);
  this->table.Sync(list, now);
  std::map<uint64_t, TimePoint> until;
  for (const auto& [name, evacuation] : this->table.All())
    until[DataCentreIdOf(name)] = evacuation.until;
  for (auto& [vm, member] : members) {
    const auto found = until.find(member.data_centre);
    member.evacuated_until = found == until.end() ? TimePoint{} : found->second;
  }
  std::erase_if(this->logged, [this](const auto& item) {
    if (this->table.All().contains(item.first))
      return false;
    this->AddEvent("evacuation_ended", "removed", Severity::kInfo, item.first);
    return true;
  });
  for (const auto& [name, evacuation] : this->table.All()) {
    const bool is_known =
        name == this->own_data_centre ||
        std::ranges::find(list.vms, name, &Vm::data_centre) != list.vms.end();
    const auto [entry, is_new] = this->logged.try_emplace(name, is_known);
    if (!is_new && entry->second >= is_known)
      continue;
    entry->second = is_known;
    if (is_known)
      this->AddEvent("evacuation_started", "operator", Severity::kInfo, name);
    else
      this->AddEvent("evacuation_unknown", "no_vm", Severity::kWarning, name);
  }
}

void PoolEvacuations::Tick(TimePoint now,
                           const std::map<VmId, PoolMember>& members,
                           Output& out) {
  this->EndExpired(now);
  for (Decision& event : this->events) {
    event.count = CountFlows(members, event.data_centre);
    out.decisions.push_back(std::move(event));
  }
  this->events.clear();
}

std::vector<EvacuatedDataCentre> PoolEvacuations::Report(
    const std::map<VmId, PoolMember>& members) const {
  std::vector<EvacuatedDataCentre> report;
  for (const auto& [name, evacuation] : this->table.All())
    report.push_back({name, evacuation, CountFlows(members, name)});
  return report;
}

void PoolEvacuations::EndExpired(TimePoint now) {
  for (const std::string& name : this->table.Expire(now)) {
    this->logged.erase(name);
    this->AddEvent("evacuation_ended", "store_restored", Severity::kWarning,
                   name);
  }
}

void PoolEvacuations::AddEvent(const char* event,
                               const char* reason,
                               Severity severity,
                               const std::string& data_centre) {
  Decision decision;
  decision.topic = Topic::kConfig;
  decision.severity = severity;
  decision.event = event;
  decision.reason = reason;
  decision.data_centre = data_centre;
  this->events.push_back(std::move(decision));
}

const char* ReasonForNone(const std::map<VmId, PoolMember>& members,
                          ServiceId service,
                          TimePoint now) {
  const bool is_evacuated =
      std::ranges::any_of(members, [service, now](const auto& item) {
        const PoolMember& member = item.second;
        return member.service == service && IsEvacuated(member, now) &&
               !MayBeStopping(member, now);
      });
  return is_evacuated ? "evacuated" : "no_backend";
}

}  // namespace cuminvane
