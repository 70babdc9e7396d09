/** @file status_func.cc Formatting of a balancer's status and metrics. */

#include "shell/status_func.h"

#include <memory>
#include <sstream>

#include "decision/decision_func.h"
#include "packet/pace_func.h"
#include "packet/server_load_func.h"
#include "shell/log_func.h"

namespace cuminvane {
namespace {

Json::Value ToJsonNumber(uint64_t number) {
  return static_cast<Json::UInt64>(number);
}

double SecondsSince(TimePoint since, TimePoint now) {
  return std::chrono::duration<double>(now - since).count();
}

Json::Value MembersToJson(const MemberView& view) {
  Json::Value members(Json::arrayValue);
  for (const MemberInfo& member : view.members) {
    Json::Value entry;
    entry["vm"] = member.id.vm.value;
    entry["incarnation"] = ToJsonNumber(member.id.incarnation.value);
    entry["state"] = ToString(member.State());
    entry["peer_address"] = ToString(member.peer);
    members.append(entry);
  }
  return members;
}

Json::Value BackendsToJson(const std::map<VmId, BackendState>& backends,
                           TimePoint now) {
  Json::Value list(Json::arrayValue);
  for (const auto& [vm, state] : backends) {
    Json::Value entry;
    entry["vm"] = vm.value;
    entry["incarnation"] = ToJsonNumber(state.incarnation.value);
    entry["leaving"] = state.leaving;
    entry["draining"] = state.draining_until > now;
    entry["avoided"] = state.ejected_until > now;
    entry["cold"] = state.warm_up_ends_at > now;
    entry["service"] = ToJsonNumber(state.service.value);
    entry["outstanding"] = state.outstanding;
    entry["flows_placed"] = state.placed_flows;
    list.append(entry);
  }
  return list;
}

Json::Value OpaqueBackendsToJson(const std::map<VmId, PoolMember>& backends,
                                 TimePoint now) {
  Json::Value list(Json::arrayValue);
  for (const auto& [vm, member] : backends) {
    Json::Value entry;
    entry["vm"] = ToJsonNumber(vm.value);
    entry["reach"] = ToString(member.liveness.reachability);
    entry["leaving"] = member.leaving;
    entry["listed"] = member.delisted_at == kNever;
    entry["cold"] = member.warm_up_ends_at > now;
    entry["service"] = ToJsonNumber(member.service.value);
    entry["slots"] = static_cast<Json::Int64>(member.slots);
    entry["flows"] = member.flows;
    entry["waiting"] = member.waiting;
    entry["answer_ms"] = member.answer_ms;
    entry["pace"] = WeightAt(member.pace, now);
    entry["speed"] = SpeedOf(member.load, now);
    entry["delay"] = DelayOf(member.load, now);
    list.append(entry);
  }
  return list;
}

Json::Value EvacuationsToJson(
    const std::vector<EvacuatedDataCentre>& evacuations,
    TimePoint now) {
  Json::Value list(Json::arrayValue);
  for (const EvacuatedDataCentre& one : evacuations) {
    Json::Value entry;
    entry["data_centre"] = one.name;
    entry["seconds"] = SecondsSince(one.evacuation.since, now);
    entry["requested"] = one.evacuation.until == kNever;
    entry["flows"] = static_cast<Json::Int64>(one.flows);
    list.append(entry);
  }
  return list;
}

Json::Value TargetsToJson(const Config& config) {
  Json::Value list(Json::arrayValue);
  for (const WorkClass& work : config.classes) {
    Json::Value entry;
    entry["class"] = work.name;
    entry["answered_within_ms"] =
        static_cast<Json::Int64>(work.target.answered_within_ms);
    entry["answered_percent"] = work.target.answered_percent;
    entry["service"] = ToJsonNumber(work.service.value);
    entry["imbalance_percent"] = work.target.imbalance_percent;
    list.append(entry);
  }
  return list;
}

}  // namespace

std::string FormatStatus(const BlackboardView& blackboard,
                         const TokenPlaneLoad& load,
                         const std::map<VmId, BackendState>& backends,
                         const std::map<VmId, PoolMember>& opaque_backends,
                         const std::vector<EvacuatedDataCentre>& evacuations,
                         const Metrics& metrics,
                         const Settings& settings,
                         TimePoint now) {
  const SelfState& self = *blackboard.self.value;
  Json::Value json;
  json["vm"] = self.id.vm.value;
  json["incarnation"] = ToJsonNumber(self.id.incarnation.value);
  json["data_centre"] = settings.data_centre;
  json["serving"] = self.serving;
  json["stopping"] = self.stopping;
  json["issue_key"] = self.issue_key.value;
  json["config_version"] = ToJsonNumber(blackboard.config.value->version.value);
  json["vm_list_version"] = ToJsonNumber(blackboard.vms.value->version.value);
  json["flows"] = ToJsonNumber(load.flows);
  json["records"] = ToJsonNumber(load.records);
  json["unfinished"] = ToJsonNumber(load.unfinished);
  json["members"] = MembersToJson(*blackboard.members.value);
  json["backends"] = BackendsToJson(backends, now);
  json["opaque_backends"] = OpaqueBackendsToJson(opaque_backends, now);
  json["evacuations"] = EvacuationsToJson(evacuations, now);
  json["targets"] = TargetsToJson(*blackboard.config.value);
  json["metrics"] = metrics.ToJson(*blackboard.config.value);
  const LogLevels levels = CurrentLogLevels();
  for (const Topic topic : kTopics)
    json["log"][ToString(topic)] =
        ToString(levels.min_severity.at(static_cast<size_t>(topic)));
  return WriteJson(json);
}

std::string FormatMetrics(const BlackboardView& blackboard,
                          size_t flows,
                          const std::map<VmId, PoolMember>& backends,
                          const std::vector<EvacuatedDataCentre>& evacuations,
                          const ServerLoadCounters& load_reports,
                          const Metrics& metrics,
                          TimePoint now) {
  std::ostringstream out;
  out << "cuminvane_config_version "
      << ToString(blackboard.config.value->version)
      << "\ncuminvane_vm_list_version "
      << ToString(blackboard.vms.value->version) << "\ncuminvane_members "
      << blackboard.members.value->members.size() << "\ncuminvane_opaque_flows "
      << flows << "\ncuminvane_load_reports_sent_total " << load_reports.sent
      << "\ncuminvane_load_reports_received_total " << load_reports.received
      << "\ncuminvane_load_reports_ignored_total " << load_reports.ignored
      << "\n";
  for (const auto& [vm, member] : backends) {
    const std::string labels = "{vm=\"" + ToString(vm) + "\"} ";
    out << "cuminvane_backend_flows" << labels << member.flows << "\n"
        << "cuminvane_backend_waiting" << labels << member.waiting << "\n"
        << "cuminvane_backend_answer_ms" << labels << member.answer_ms << "\n"
        << "cuminvane_backend_speed" << labels << SpeedOf(member.load, now)
        << "\n"
        << "cuminvane_backend_delay" << labels << DelayOf(member.load, now)
        << "\n"
        << "cuminvane_backend_reachable" << labels
        << (member.liveness.reachability <= Reachability::kSuspect ? 1 : 0)
        << "\n"
        << "cuminvane_backend_pace" << labels << WeightAt(member.pace, now)
        << "\n"
        << "cuminvane_backend_listed" << labels
        << (member.delisted_at == kNever ? 1 : 0) << "\n"
        << "cuminvane_backend_leaving" << labels << (member.leaving ? 1 : 0)
        << "\n"
        << "cuminvane_backend_incarnation" << labels << member.incarnation.value
        << "\n";
  }
  for (const EvacuatedDataCentre& one : evacuations) {
    const std::string labels = "{data_centre=\"" + one.name + "\"} ";
    out << "cuminvane_evacuated" << labels << "1\n"
        << "cuminvane_evacuated_seconds" << labels
        << SecondsSince(one.evacuation.since, now) << "\n"
        << "cuminvane_evacuated_flows" << labels << one.flows << "\n";
  }
  metrics.WriteText(*blackboard.config.value, out);
  return out.str();
}

bool ParseJson(const std::string& text, Json::Value& value) {
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  return reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
}

std::string WriteJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

}  // namespace cuminvane
