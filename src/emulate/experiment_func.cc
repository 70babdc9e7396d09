/** @file experiment_func.cc Parses experiment files and checks references. */

#include "emulate/experiment_func.h"

#include <algorithm>
#include <array>
#include <cstdlib>

#include "base/ini_func.h"
#include "base/schema_func.h"
#include "document/settings_func.h"
#include "table/experiment_table.h"

namespace cuminvane::emulate {
namespace {

/** Names of the fault kinds in experiment files, in the order of FaultKind. */
constexpr std::array<const char*, kFaultKindCount> kFaultNames = {
    "balancer_kill", "balancer_stop", "balancer_pause", "power_off",
    "backend_crash", "backend_dark",  "backend_slow",   "backend_fail",
    "release",       "centre_cut",    "list_lapse",     "burst",
    "route_move",    "route_drop",    "store_restored"};
/** Base of the service addresses (198.18.0.0); the kind of request at index i
 * has the address kServiceNet + i + 1. */
constexpr uint32_t kServiceNet = 0xc6120000;
constexpr uint16_t kServicePort = 443;
constexpr double kPercent = 100;
/** Range of the speeds of backend servers. */
constexpr double kMinSpeed = 0.01;
constexpr double kMaxSpeed = 100;

void ReadFleet(const SectionReader& section, Experiment& experiment) {
  experiment.seed = static_cast<uint64_t>(section.Integer("seed"));
  experiment.load_duration = section.Millis("length_ms");
  experiment.measured_from = section.Millis("measured_from_ms");
  experiment.data_centres = section.List("data_centres");
  experiment.balancers = static_cast<int>(section.Integer("balancers"));
  experiment.local_delay = Microseconds(section.Integer("near_us"));
  experiment.remote_delay = Microseconds(section.Integer("far_us"));
  experiment.caller_delay = Microseconds(section.Integer("caller_us"));
  experiment.max_notification_delay = section.Millis("news_ms");
  experiment.loss_share = section.Decimal("loss_percent") / kPercent;
}

ServicePlan ReadService(const SectionReader& section) {
  ServicePlan plan{section.Name(),
                   static_cast<int>(section.Integer("backends")),
                   static_cast<int>(section.Integer("slots")),
                   static_cast<int>(section.Integer("queue")),
                   section.Millis("cold_ms"),
                   {}};
  for (const std::string& text : section.List("speeds"))
    plan.speeds.push_back(std::strtod(text.c_str(), nullptr));
  return plan;
}

RequestPlan ReadRequestKind(const SectionReader& section, size_t index) {
  RequestPlan plan;
  plan.service = section.Text("service");
  plan.kind.name = section.Name();
  plan.kind.address = {kServiceNet + static_cast<uint32_t>(index + 1),
                       kServicePort};
  plan.kind.idempotent = section.Boolean("idempotent");
  plan.kind.flow_per_request = section.Boolean("fresh");
  plan.kind.flow_life = section.Millis("flow_life_ms");
  plan.kind.requests_per_s = section.Decimal("per_s");
  plan.kind.users = static_cast<int>(section.Integer("users"));
  plan.kind.mean_work = std::chrono::duration_cast<Microseconds>(
      std::chrono::duration<double, std::milli>(section.Decimal("work_ms")));
  plan.kind.answer_bytes =
      static_cast<uint32_t>(section.Integer("answer_bytes"));
  plan.kind.target = section.Millis("target_ms");
  plan.kind.deadline = section.Millis("deadline_ms");
  plan.kind.on_time_value = section.Decimal("worth");
  plan.kind.late_value = section.Decimal("late_worth");
  plan.kind.max_retries = static_cast<int>(section.Integer("retries"));
  return plan;
}

FaultPlan ReadFault(const SectionReader& section) {
  const auto name = std::ranges::find(kFaultNames, section.Text("kind"));
  FaultPlan fault;
  fault.name = section.Name();
  if (name != kFaultNames.end())
    fault.kind = static_cast<FaultKind>(name - kFaultNames.begin());
  fault.at = section.Millis("at_ms");
  fault.duration = section.Millis("for_ms");
  fault.count = static_cast<int>(section.Integer("count"));
  fault.factor = section.Decimal("factor");
  fault.service = section.Text("service");
  fault.work = section.Text("work");
  fault.data_centre = section.Text("data_centre");
  return fault;
}

Variant ReadVariant(const SectionReader& section) {
  Variant variant;
  variant.name = section.Name();
  variant.flows = ReadFlowLimits(section);
  return variant;
}

void CheckReferences(const IniDocument& document, ParsedExperiment& parsed) {
  const Experiment& experiment = parsed.experiment;
  const auto has_service = [&](const std::string& name) {
    return std::ranges::find(experiment.services, name, &ServicePlan::name) !=
           experiment.services.end();
  };
  const auto has_request_kind = [&](const std::string& name) {
    return std::ranges::any_of(
        experiment.request_plans,
        [&](const RequestPlan& plan) { return plan.kind.name == name; });
  };
  for (const ServicePlan& plan : experiment.services) {
    if (plan.speeds.empty() ||
        std::ranges::any_of(plan.speeds, [](double speed) {
          return speed < kMinSpeed || speed > kMaxSpeed;
        }))
      parsed.problems.push_back({document.file, 0, "service " + plan.name,
                                 "speeds", "a speed", "numbers 0.01 to 100"});
  }
  for (const RequestPlan& plan : experiment.request_plans) {
    if (!has_service(plan.service))
      parsed.problems.push_back({document.file, 0, "work " + plan.kind.name,
                                 "service", plan.service,
                                 "a service of this file"});
  }
  for (const FaultPlan& fault : experiment.faults) {
    if (!fault.service.empty() && !has_service(fault.service))
      parsed.problems.push_back({document.file, 0, "fault " + fault.name,
                                 "service", fault.service,
                                 "a service of this file"});
    const bool moves = fault.kind == FaultKind::kRouteMove;
    const bool changes_route = moves || fault.kind == FaultKind::kRouteRemoval;
    if (changes_route && !has_request_kind(fault.work))
      parsed.problems.push_back({document.file, 0, "fault " + fault.name,
                                 "work", fault.work,
                                 "a kind of work of this file"});
    if (moves && fault.service.empty())
      parsed.problems.push_back({document.file, 0, "fault " + fault.name,
                                 "service", "", "the service it moves to"});
    if (!fault.data_centre.empty() &&
        std::ranges::find(experiment.data_centres, fault.data_centre) ==
            experiment.data_centres.end())
      parsed.problems.push_back({document.file, 0, "fault " + fault.name,
                                 "data_centre", fault.data_centre,
                                 "a data centre of this file"});
  }
}

}  // namespace

const char* ToString(FaultKind kind) {
  return kFaultNames.at(static_cast<size_t>(kind));
}

ParsedExperiment ParseExperiment(const std::string& file,
                                 std::string_view text) {
  ParsedExperiment parsed;
  const IniDocument document = ReadIni(file, text, parsed.problems);
  CheckSchema(document, kExperimentSchema, parsed.problems);
  Experiment& experiment = parsed.experiment;
  experiment.variants.clear();
  for (const IniSection& raw : document.sections) {
    const std::string_view kind = SectionKind(raw.name);
    const SectionReader section(raw, kExperimentSchema);
    if (kind == "fleet")
      ReadFleet(section, experiment);
    if (kind == "service")
      experiment.services.push_back(ReadService(section));
    if (kind == "work")
      experiment.request_plans.push_back(
          ReadRequestKind(section, experiment.request_plans.size()));
    if (kind == "fault")
      experiment.faults.push_back(ReadFault(section));
    if (kind == "variant")
      experiment.variants.push_back(ReadVariant(section));
  }
  if (experiment.variants.empty())
    experiment.variants.emplace_back();
  std::ranges::stable_sort(experiment.faults, {}, &FaultPlan::at);
  CheckReferences(document, parsed);
  return parsed;
}

}  // namespace cuminvane::emulate
