/** @file cuminvanectl.cc The operators' command-line tool. */

#include <curl/curl.h>

#include <chrono>
#include <iomanip>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <thread>

#include "base/ini_func.h"
#include "base/result_table.h"
#include "base/schema_func.h"
#include "control/control_func.h"
#include "document/config_func.h"
#include "document/document_func.h"
#include "document/preview_func.h"
#include "document/settings_func.h"
#include "document/vmlist_func.h"
#include "shell/explain_func.h"
#include "shell/program_func.h"
#include "shell/status_func.h"
#include "shell/target_func.h"
#include "table/config_table.h"
#include "table/settings_table.h"
#include "table/vmlist_table.h"

namespace cuminvane {
namespace {

/** Timeout of a call to a balancer's control port. */
constexpr long kCallTimeoutMs = 2000;
/** Time between two reports of the watch command. */
constexpr std::chrono::seconds kWatchInterval{2};

/** Result of a status call to one balancer. */
struct BalancerStatus {
  std::string address;    ///< Control address, as given by the operator.
  bool answered = false;  ///< Whether `status` was received.
  std::string failure;    ///< Why the call failed; empty if it succeeded.
  Json::Value status;     ///< The balancer's status; null without an answer.
};

/** @return The items between commas, without empty ones. */
std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream stream(text);
  std::string item;
  while (std::getline(stream, item, ',')) {
    if (!item.empty())
      items.push_back(item);
  }
  return items;
}

/** Prints the problems of a file, or that it has none. */
ResultCode ReportCheck(const std::string& path, const IniProblems& problems) {
  if (!problems.empty()) {
    std::cerr << FormatProblems(problems);
    return ResultCode::kInvalidDocument;
  }
  std::cout << path << ": ok\n";
  return ResultCode::kOk;
}

/** Validates a file.
 * @param path File to validate.
 * @param kind `settings` or `vms`; any other kind is a configuration.
 */
ResultCode CheckFile(const std::string& path, const std::string& kind) {
  const Result<std::string> text = ReadFile(path);
  if (!text)
    return ReportError(text.error());
  if (kind == "settings")
    return ReportCheck(path, CheckSettings(path, text.value()).problems);
  if (kind == "vms")
    return ReportCheck(path, CheckVmList(path, text.value()).problems);
  return ReportCheck(path, CheckConfig(path, text.value()).problems);
}

std::vector<BalancerStatus> QueryStatuses(
    const std::vector<std::string>& addresses) {
  std::vector<BalancerStatus> statuses;
  for (const std::string& address : addresses) {
    BalancerStatus balancer;
    balancer.address = address;
    const ControlReply reply =
        CallControl(address, "status", "{}", kCallTimeoutMs);
    balancer.answered = reply.ok && ParseJson(reply.text, balancer.status);
    balancer.failure = reply.ok ? "" : reply.text;
    statuses.push_back(balancer);
  }
  return statuses;
}

void PrintStatusLine(const BalancerStatus& balancer) {
  if (!balancer.answered) {
    std::cout << std::left << std::setw(22) << balancer.address
              << " no answer: " << balancer.failure << "\n";
    return;
  }
  const Json::Value& status = balancer.status;
  size_t alive = 0;
  for (const Json::Value& member : status["members"])
    alive += member["state"].asString() == "member_alive" ? 1 : 0;
  std::cout << std::left << std::setw(22) << balancer.address
            << " vm=" << status["vm"].asUInt()
            << " data_centre=" << status["data_centre"].asString() << " state="
            << (status["stopping"].asBool()  ? "stopping"
                : status["serving"].asBool() ? "serving"
                                             : "starting")
            << " config=" << status["config_version"].asUInt64()
            << " vms=" << status["vm_list_version"].asUInt64()
            << " key=" << status["issue_key"].asUInt()
            << " peers_alive=" << alive
            << " flows=" << status["flows"].asUInt64()
            << " unfinished=" << status["unfinished"].asUInt64() << "\n";
  for (const Json::Value& one : status["evacuations"]) {
    std::cout << "  evacuated data_centre=" << one["data_centre"].asString()
              << " for_s=" << static_cast<int64_t>(one["seconds"].asDouble())
              << " open_flows=" << one["flows"].asInt64()
              << (one["requested"].asBool() ? ""
                                            : " not_requested=store_restored")
              << "\n";
  }
}

/** Prints a line per balancer, or all statuses as JSON. */
ResultCode PrintStatuses(const std::vector<std::string>& addresses, bool json) {
  if (addresses.empty())
    return ReportError(
        {ResultCode::kUsage, "--balancers is required; see --help"});
  const std::vector<BalancerStatus> all = QueryStatuses(addresses);
  Json::Value list(Json::arrayValue);
  bool complete = true;
  for (const BalancerStatus& balancer : all) {
    complete = complete && balancer.answered;
    Json::Value entry;
    entry["address"] = balancer.address;
    entry["answered"] = balancer.answered;
    entry["failure"] = balancer.failure;
    entry["status"] = balancer.status;
    list.append(entry);
    if (!json)
      PrintStatusLine(balancer);
  }
  if (json)
    std::cout << WriteJson(list) << "\n";
  return complete ? ResultCode::kOk : ResultCode::kBalancerUnreachable;
}

/** Prints each class's targets and the balancers' measurements.
 * @param addresses Control addresses of the balancers.
 * @param times Number of reports, one every kWatchInterval.
 */
ResultCode PrintTargets(const std::vector<std::string>& addresses, int times) {
  if (addresses.empty())
    return ReportError(
        {ResultCode::kUsage, "--balancers is required; see --help"});
  ResultCode result = ResultCode::kOk;
  for (int time = 0; time < times; ++time) {
    if (time > 0)
      std::this_thread::sleep_for(kWatchInterval);
    result = ResultCode::kOk;
    std::vector<Json::Value> statuses;
    for (const BalancerStatus& balancer : QueryStatuses(addresses)) {
      if (balancer.answered) {
        statuses.push_back(balancer.status);
        continue;
      }
      std::cout << "balancer=" << balancer.address << " answered=no\n";
      result = ResultCode::kBalancerUnreachable;
    }
    for (const TargetReport& report : CompareTargets(statuses)) {
      std::cout << FormatTarget(report) << "\n";
      if (!report.MeetsTarget())
        result = ResultCode::kTargetsNotMet;
    }
    std::cout.flush();
  }
  return result;
}

/** Sets the minimum severity of a topic at each balancer. */
ResultCode SetLogLevels(const std::vector<std::string>& addresses,
                        const std::string& topic,
                        const std::string& severity) {
  if (addresses.empty())
    return ReportError(
        {ResultCode::kUsage, "--balancers is required; see --help"});
  Json::Value params;
  params["topic"] = topic;
  params["severity"] = severity;
  ResultCode worst = ResultCode::kOk;
  for (const std::string& address : addresses) {
    const ControlReply reply = CallControl(address, "set_log_level",
                                           WriteJson(params), kCallTimeoutMs);
    std::cout << address << " " << (reply.ok ? "ok" : reply.text) << "\n";
    if (!reply.ok)
      worst = ResultCode::kBalancerUnreachable;
  }
  return worst;
}

/** Prints the reference of a document's keys or of the result codes, as it
 * appears in the pages under docs/. */
ResultCode PrintReference(const std::string& kind) {
  if (kind == "settings") {
    std::cout << FormatSchema(kSettingsSchema);
  } else if (kind == "config") {
    std::cout << FormatSchema(kConfigSchema);
  } else if (kind == "vms") {
    std::cout << FormatSchema(kVmListSchema);
  } else if (kind == "codes") {
    constexpr std::array<const char*, 4> kOutcomes = {"-", "answered",
                                                      "not run", "unknown"};
    std::cout << "| code | name | outcome | meaning | what to do |\n| --- | "
                 "--- | --- | --- | --- |\n";
    for (const ResultCodeRow& row : kResultCodes) {
      std::cout << "| " << static_cast<int>(row.code) << " | `" << row.name
                << "` | " << kOutcomes.at(static_cast<size_t>(row.outcome))
                << " | " << row.meaning << " | " << row.action << " |\n";
    }
  } else {
    return ReportError({ResultCode::kUsage,
                        "reference must be settings, config, vms or codes"});
  }
  return ResultCode::kOk;
}

/** Prints the log lines that concern one flow and the cause of what happened.
 */
ResultCode PrintExplanation(const std::string& id,
                            const std::vector<std::string>& files) {
  std::string log;
  for (const std::string& file : files) {
    const Result<std::string> text = ReadFile(file);
    if (!text)
      return ReportError(text.error());
    log += text.value();
  }
  const Explanation explanation = ExplainFlow(log, id);
  if (explanation.cause.empty())
    return ReportError(
        {ResultCode::kUnknownFlow, "no log line names flow or caller " + id});
  for (const std::string& line : explanation.lines)
    std::cout << line << "\n";
  std::cout << "cause: " << explanation.cause << "\n";
  return ResultCode::kOk;
}

/** A configuration file without problems. */
struct CheckedConfig {
  Config config;
  SectionTexts sections;  ///< Canonical text of each section.
};

/** @return The file's configuration; nothing if it has problems, which are then
 * printed. */
std::optional<CheckedConfig> ReadConfigFile(const std::string& path) {
  const Result<std::string> text = ReadFile(path);
  if (!text) {
    ReportError(text.error());
    return std::nullopt;
  }
  ConfigCheck check = CheckConfig(path, text.value());
  if (!check.problems.empty()) {
    std::cerr << FormatProblems(check.problems);
    return std::nullopt;
  }
  IniProblems ignored;  // Stays empty, because CheckConfig found no problems.
  return CheckedConfig{std::move(check.config),
                       Canonicalize(ReadIni(path, text.value(), ignored))};
}

/** @return Requests in progress at each backend server, summed over all
 * balancers. */
std::map<VmId, int64_t> RequestsInProgress(
    const std::vector<BalancerStatus>& all) {
  std::map<VmId, int64_t> requests_by_vm;
  for (const BalancerStatus& balancer : all) {
    for (const Json::Value& backend : balancer.status["backends"])
      requests_by_vm[VmId{backend["vm"].asUInt64()}] +=
          backend["outstanding"].asInt64();
    for (const Json::Value& backend : balancer.status["opaque_backends"])
      requests_by_vm[VmId{backend["vm"].asUInt64()}] +=
          backend["waiting"].asInt64();
  }
  return requests_by_vm;
}

/** Prints which classes a new configuration moves and whether the remaining
 * capacity suffices. */
ResultCode PrintPreview(const std::string& old_path,
                        const std::string& new_path,
                        const std::string& vms_path,
                        const std::vector<std::string>& addresses) {
  const std::optional<CheckedConfig> before = ReadConfigFile(old_path);
  const std::optional<CheckedConfig> after = ReadConfigFile(new_path);
  if (!before || !after)
    return ResultCode::kInvalidDocument;
  const Result<std::string> text = ReadFile(vms_path);
  if (!text)
    return ReportError(text.error());
  const VmListCheck vms = CheckVmList(vms_path, text.value());
  if (!vms.problems.empty())
    return ReportCheck(vms_path, vms.problems);
  const std::vector<BalancerStatus> all = QueryStatuses(addresses);
  bool complete = true;
  for (const BalancerStatus& balancer : all) {
    if (balancer.answered)
      continue;
    std::cout << "balancer=" << balancer.address << " answered=no\n";
    complete = false;
  }
  const Preview preview = PreviewChange(before->config, after->config, vms.list,
                                        RequestsInProgress(all));
  std::cout << FormatPreview(preview);
  if (!complete)
    return ResultCode::kBalancerUnreachable;
  return HasEnoughCapacity(preview) ? ResultCode::kOk
                                    : ResultCode::kTargetsNotMet;
}

/** Prints the differences between two configurations by section. */
ResultCode PrintDiff(const std::string& old_path, const std::string& new_path) {
  const std::optional<CheckedConfig> before = ReadConfigFile(old_path);
  const std::optional<CheckedConfig> after = ReadConfigFile(new_path);
  if (!before || !after)
    return ResultCode::kInvalidDocument;
  const DocumentDelta delta = MakeDelta(before->sections, after->sections);
  for (const std::string& name : delta.removed)
    std::cout << "removed [" << name << "]\n";
  for (const SectionText& section : delta.changed)
    std::cout << (before->sections.contains(section.name) ? "changed ["
                                                          : "added [")
              << section.name << "]\n"
              << section.body;
  return ResultCode::kOk;
}

ResultCode RunCommand(const cxxopts::ParseResult& options) {
  const auto arguments = options["command"].as<std::vector<std::string>>();
  const std::vector<std::string> balancers =
      SplitList(options["balancers"].as<std::string>());
  const std::string& command = arguments.front();
  if (command == "check" && arguments.size() == 2)
    return CheckFile(arguments[1], options["as"].as<std::string>());
  if (command == "status" && arguments.size() == 1)
    return PrintStatuses(balancers, options.count("json") != 0);
  if (command == "targets" && arguments.size() == 1)
    return PrintTargets(balancers, 1);
  if (command == "watch" && arguments.size() == 1)
    return PrintTargets(balancers, options["times"].as<int>());
  if (command == "log" && arguments.size() == 3)
    return SetLogLevels(balancers, arguments[1], arguments[2]);
  if (command == "explain" && arguments.size() >= 3)
    return PrintExplanation(arguments[1],
                            {arguments.begin() + 2, arguments.end()});
  if (command == "diff" && arguments.size() == 3)
    return PrintDiff(arguments[1], arguments[2]);
  if (command == "preview" && arguments.size() == 3)
    return PrintPreview(arguments[1], arguments[2],
                        options["vms"].as<std::string>(), balancers);
  if (command == "reference" && arguments.size() == 2)
    return PrintReference(arguments[1]);
  return ReportError(
      {ResultCode::kUsage,
       "unknown command or wrong number of arguments; see --help"});
}

}  // namespace
}  // namespace cuminvane

int main(int argc, char** argv) {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  cxxopts::Options options(
      "cuminvanectl",
      "The operators' tool\n\n"
      "  cuminvanectl check FILE [--as config|settings|vms]\n"
      "  cuminvanectl status --balancers A.B.C.D:PORT,... [--json]\n"
      "  cuminvanectl targets --balancers A.B.C.D:PORT,...\n"
      "  cuminvanectl watch --balancers A.B.C.D:PORT,... [--times N]\n"
      "  cuminvanectl log TOPIC SEVERITY --balancers A.B.C.D:PORT,...\n"
      "  cuminvanectl diff OLD NEW\n"
      "  cuminvanectl preview OLD NEW --vms FILE [--balancers ...]\n"
      "  cuminvanectl explain FLOW|CALLER LOG...\n"
      "  cuminvanectl reference config|settings|vms|codes\n");
  options.add_options()(
      "command", "Command and its arguments",
      cxxopts::value<std::vector<std::string>>()->default_value("status"))(
      "as", "Kind of file to check",
      cxxopts::value<std::string>()->default_value("config"),
      "SORT")("balancers", "Control addresses, separated by commas",
              cxxopts::value<std::string>()->default_value(""), "LIST")(
      "vms", "Preview: file of the platform's VM list",
      cxxopts::value<std::string>()->default_value("vms.ini"), "FILE")(
      "json", "Print JSON")("times", "Watch: number of reports, one every 2 s",
                            cxxopts::value<int>()->default_value("30"));
  options.parse_positional({"command"});
  options.positional_help("COMMAND");
  return cuminvane::RunProgram(argc, argv, options, cuminvane::RunCommand);
}
