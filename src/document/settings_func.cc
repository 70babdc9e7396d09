/** @file settings_func.cc Parsing of a balancer's settings file. */

#include "document/settings_func.h"

#include <algorithm>
#include <cmath>

#include "base/ini_func.h"
#include "base/schema_func.h"
#include "decision/decision_func.h"
#include "table/settings_table.h"

namespace cuminvane {
namespace {

void ReadVmSection(const SectionReader& section, Settings& settings) {
  settings.id = VmId{static_cast<uint64_t>(section.Integer("id"))};
  settings.incarnation =
      Incarnation{static_cast<uint64_t>(section.Integer("incarnation"))};
  settings.data_centre = section.Text("data_centre");
  settings.threads = static_cast<int>(section.Integer("threads"));
  settings.shards = static_cast<int>(section.Integer("shards"));
}

void ReadListenSection(const SectionReader& section, Settings& settings) {
  settings.fabric = section.Address("fabric");
  settings.backend = section.Address("backend");
  settings.peer = section.Address("peer");
  settings.packets = section.Address("packets");
  settings.ready = section.Address("ready");
  settings.metrics = section.Address("metrics");
  settings.control_port =
      static_cast<uint16_t>(section.Integer("control_port"));
  if (settings.control_port == 0)
    settings.control_port = section.Address("control").port;
  if (settings.id == VmId{})
    settings.id = VmId{settings.peer.ip};
  settings.control_threads =
      static_cast<int>(section.Integer("control_threads"));
}

void ReadPlatformSection(const SectionReader& section, Settings& settings) {
  settings.platform = section.Address("address");
  double in_force_ms = section.Decimal("in_force_ms");
  const double evacuated_within_ms = section.Decimal("evacuated_within_ms");
  if (evacuated_within_ms > 0)
    in_force_ms = std::min(in_force_ms, evacuated_within_ms);
  settings.platform_timing = {Milliseconds(std::llround(in_force_ms)),
                              static_cast<size_t>(section.Integer("watchers")),
                              section.Millis("pause_ms"),
                              section.Millis("retry_ms")};
}

void ReadDocumentsSection(const SectionReader& section, Settings& settings) {
  settings.documents = {section.Decimal("link_mbps"),
                        static_cast<int>(section.Integer("link_percent"))};
}

void ReadLogSection(const SectionReader& section, Settings& settings) {
  for (const Topic topic : kTopics) {
    settings.log_levels.min_severity[static_cast<size_t>(topic)] =
        ParseSeverity(section.Text(ToString(topic))).value_or(Severity::kInfo);
  }
  settings.lines_per_s = static_cast<int>(section.Integer("lines_per_s"));
  settings.input_lines_per_s =
      static_cast<int>(section.Integer("input_lines_per_s"));
}

void ReadRequestsSection(const SectionReader& section, Settings& settings) {
  settings.requests = {
      section.Millis("deadline_limit_ms"),
      static_cast<size_t>(section.Integer("records_per_flow")),
      static_cast<size_t>(section.Integer("records_per_shard")),
      static_cast<size_t>(section.Integer("answer_limit_bytes")),
      section.Millis("accept_timeout_ms"),
      section.Boolean("witnessed"),
      static_cast<int>(section.Integer("retry_percent"))};
}

void ReadMembershipSection(const SectionReader& section, Settings& settings) {
  settings.membership = {section.Millis("probe_ms"),
                         section.Millis("probe_timeout_ms"),
                         section.Millis("suspicion_ms")};
  const auto port = static_cast<uint16_t>(section.Integer("peers_port"));
  for (const std::string& text : section.List("peers")) {
    const std::optional<Endpoint> peer = ParseEndpoint(text);
    if (!peer)
      continue;
    const Endpoint seed_peer{peer->ip, port == 0 ? peer->port : port};
    if (seed_peer != settings.peer)
      settings.seed_peers.push_back(seed_peer);
  }
}

void ReadFlowsSection(const SectionReader& section, Settings& settings) {
  settings.flows = ReadFlowLimits(section);
  settings.flows.shards = static_cast<size_t>(section.Integer("shards"));
  settings.flows.max_flows = static_cast<size_t>(section.Integer("remembered"));
}

/** Checks that the balancer listens for callers with tokens (fabric and
 * backend), for opaque flows (packets), or for both. */
void CheckListenAddresses(const IniDocument& document,
                          const Settings& settings,
                          IniProblems& problems) {
  const bool has_fabric = settings.fabric != Endpoint{};
  const bool has_backend = settings.backend != Endpoint{};
  if (has_fabric != has_backend)
    problems.push_back({document.file, 0, "listen", "fabric",
                        "only one of fabric and backend", "both or neither"});
  if (!has_fabric && settings.packets == Endpoint{})
    problems.push_back({document.file, 0, "listen", "packets", "nothing",
                        "packets, or fabric and backend"});
}

void ReadStopSection(const SectionReader& section, Settings& settings) {
  settings.stop_grace = section.Millis("grace_ms");
  settings.stop_linger = section.Millis("linger_ms");
}

}  // namespace

FlowLimits ReadFlowLimits(const SectionReader& section) {
  FlowLimits limits;
  limits.check_timeout = section.Millis("check_wait_ms");
  limits.min_check_interval = section.Millis("check_pause_ms");
  limits.recheck_interval = section.Millis("recheck_ms");
  limits.reinstatement_delay = section.Millis("distrust_ms");
  limits.removal_grace_period = section.Millis("vanish_grace_ms");
  limits.opening_depth_limit = section.Integer("open_depth");
  limits.retransmission_depth_limit = section.Integer("copy_depth");
  limits.adaptive_slow_start = section.Boolean("adaptive_slow_start");
  limits.cold_over = section.Decimal("cold_over");
  limits.cold_slack = section.Decimal("cold_slack");
  limits.share_load = section.Boolean("share_load");
  return limits;
}

SettingsCheck CheckSettings(const std::string& file, std::string_view text) {
  SettingsCheck check;
  const IniDocument document = ReadIni(file, text, check.problems);
  CheckSchema(document, kSettingsSchema, check.problems);
  using Reader = void (*)(const SectionReader&, Settings&);
  constexpr std::array<std::pair<std::string_view, Reader>, 9> kReaders = {{
      {"vm", ReadVmSection},
      {"listen", ReadListenSection},
      {"platform", ReadPlatformSection},
      {"documents", ReadDocumentsSection},
      {"log", ReadLogSection},
      {"requests", ReadRequestsSection},
      {"membership", ReadMembershipSection},
      {"flows", ReadFlowsSection},
      {"stop", ReadStopSection},
  }};
  for (const auto& [name, read] : kReaders) {
    // A missing section is read as one with default values.
    const IniSection absent{std::string(name), 0, {}};
    const auto found =
        std::ranges::find(document.sections, name, &IniSection::name);
    const IniSection& section =
        found == document.sections.end() ? absent : *found;
    read(SectionReader(section, kSettingsSchema), check.settings);
  }
  CheckListenAddresses(document, check.settings, check.problems);
  return check;
}

}  // namespace cuminvane
