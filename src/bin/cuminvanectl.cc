/** @file cuminvanectl.cc The operators' tool. */

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

constexpr long kCallTimeoutMs = 2000;
constexpr std::chrono::seconds kWatchInterval{2};

/** One balancer's answer. */
struct BalancerStatus {
  std::string address;
  bool answered = false;
  std::string failure;
  Json::Value status;
};

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

ResultCode ReportCheck(const std::string& path, const IniProblems& problems) {
  if (!problems.empty()) {
    std::cerr << FormatProblems(problems);
    return ResultCode::kInvalidDocument;
  }
  std::cout << path << ": ok\n";
  return ResultCode::kOk;
}

ResultCode Check(const std::string& path, const std::string& sort) {
  const Result<std::string> text = ReadFile(path);
  if (!text)
    return Complain(text.error());
  if (sort == "settings")
    return ReportCheck(path, CheckSettings(path, text.value()).problems);
  if (sort == "vms")
    return ReportCheck(path, CheckVmList(path, text.value()).problems);
  return ReportCheck(path, CheckConfig(path, text.value()).problems);
}

std::vector<BalancerStatus> AskAll(const std::vector<std::string>& addresses) {
  std::vector<BalancerStatus> all;
  for (const std::string& address : addresses) {
    BalancerStatus one;
    one.address = address;
    const ControlReply reply =
        CallControl(address, "status", "{}", kCallTimeoutMs);
    one.answered = reply.ok && ParseJson(reply.text, one.status);
    one.failure = reply.ok ? "" : reply.text;
    all.push_back(one);
  }
  return all;
}

void PrintStatus(const BalancerStatus& one) {
  if (!one.answered) {
    std::cout << std::left << std::setw(22) << one.address
              << " no answer: " << one.failure << "\n";
    return;
  }
  const Json::Value& status = one.status;
  size_t alive = 0;
  for (const Json::Value& member : status["members"])
    alive += member["state"].asString() == "member_alive" ? 1 : 0;
  std::cout << std::left << std::setw(22) << one.address
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
}

ResultCode Status(const std::vector<std::string>& addresses, bool json) {
  if (addresses.empty())
    return Complain({ResultCode::kUsage, "--balancers is needed; see --help"});
  const std::vector<BalancerStatus> all = AskAll(addresses);
  Json::Value list(Json::arrayValue);
  bool complete = true;
  for (const BalancerStatus& one : all) {
    complete = complete && one.answered;
    Json::Value entry;
    entry["address"] = one.address;
    entry["answered"] = one.answered;
    entry["failure"] = one.failure;
    entry["status"] = one.status;
    list.append(entry);
    if (!json)
      PrintStatus(one);
  }
  if (json)
    std::cout << WriteJson(list) << "\n";
  return complete ? ResultCode::kOk : ResultCode::kBalancerUnreachable;
}

/** Prints each class's target beside what the balancers measured, once or again
 * and again. */
ResultCode Targets(const std::vector<std::string>& addresses, int times) {
  if (addresses.empty())
    return Complain({ResultCode::kUsage, "--balancers is needed; see --help"});
  ResultCode result = ResultCode::kOk;
  for (int time = 0; time < times; ++time) {
    if (time > 0)
      std::this_thread::sleep_for(kWatchInterval);
    result = ResultCode::kOk;
    std::vector<Json::Value> statuses;
    for (const BalancerStatus& one : AskAll(addresses)) {
      if (one.answered) {
        statuses.push_back(one.status);
        continue;
      }
      std::cout << "balancer=" << one.address << " answered=no\n";
      result = ResultCode::kBalancerUnreachable;
    }
    for (const TargetLine& line : CompareTargets(statuses)) {
      std::cout << FormatTarget(line) << "\n";
      if (!line.IsMet())
        result = ResultCode::kTargetsNotMet;
    }
    std::cout.flush();
  }
  return result;
}

ResultCode SetLevel(const std::vector<std::string>& addresses,
                    const std::string& topic,
                    const std::string& severity) {
  if (addresses.empty())
    return Complain({ResultCode::kUsage, "--balancers is needed; see --help"});
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

/** Prints the reference of documents and result codes, as the pages under docs/
 * hold it. */
ResultCode Reference(const std::string& sort) {
  if (sort == "settings") {
    std::cout << FormatSchema(kSettingsSchema);
  } else if (sort == "config") {
    std::cout << FormatSchema(kConfigSchema);
  } else if (sort == "vms") {
    std::cout << FormatSchema(kVmListSchema);
  } else if (sort == "codes") {
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
    return Complain(
        {ResultCode::kUsage, "reference takes settings, config, vms or codes"});
  }
  return ResultCode::kOk;
}

/** Tells what the logs say of one flow, and why. */
ResultCode Explain(const std::string& id,
                   const std::vector<std::string>& files) {
  std::string log;
  for (const std::string& file : files) {
    const Result<std::string> text = ReadFile(file);
    if (!text)
      return Complain(text.error());
    log += text.value();
  }
  const Explanation explanation = ExplainFlow(log, id);
  if (explanation.cause.empty())
    return Complain({ResultCode::kUnknownFlow, "no log line names " + id});
  for (const std::string& line : explanation.lines)
    std::cout << line << "\n";
  std::cout << "cause: " << explanation.cause << "\n";
  return ResultCode::kOk;
}

/** A configuration file that was checked. */
struct ReadConfig {
  Config config;
  SectionTexts sections;
};

/** @return The file's configuration; what is wrong with it has been told. */
std::optional<ReadConfig> ReadCheckedConfig(const std::string& path) {
  const Result<std::string> text = ReadFile(path);
  if (!text) {
    Complain(text.error());
    return std::nullopt;
  }
  ConfigCheck check = CheckConfig(path, text.value());
  if (!check.problems.empty()) {
    std::cerr << FormatProblems(check.problems);
    return std::nullopt;
  }
  IniProblems ignored;  // The check has found none.
  return ReadConfig{std::move(check.config),
                    Canonicalize(ReadIni(path, text.value(), ignored))};
}

/** @return Requests in progress at each backend server, over all balancers. */
std::map<VmId, int64_t> BusyOf(const std::vector<BalancerStatus>& all) {
  std::map<VmId, int64_t> busy;
  for (const BalancerStatus& one : all) {
    for (const Json::Value& backend : one.status["backends"])
      busy[VmId{backend["vm"].asUInt64()}] += backend["outstanding"].asInt64();
    for (const Json::Value& backend : one.status["opaque_backends"])
      busy[VmId{backend["vm"].asUInt64()}] += backend["waiting"].asInt64();
  }
  return busy;
}

/** Tells what moves with a change, and whether the capacity left is enough. */
ResultCode ShowPreview(const std::string& old_path,
                       const std::string& new_path,
                       const std::string& vms_path,
                       const std::vector<std::string>& addresses) {
  const std::optional<ReadConfig> before = ReadCheckedConfig(old_path);
  const std::optional<ReadConfig> after = ReadCheckedConfig(new_path);
  if (!before || !after)
    return ResultCode::kInvalidDocument;
  const Result<std::string> text = ReadFile(vms_path);
  if (!text)
    return Complain(text.error());
  const VmListCheck vms = CheckVmList(vms_path, text.value());
  if (!vms.problems.empty())
    return ReportCheck(vms_path, vms.problems);
  const std::vector<BalancerStatus> all = AskAll(addresses);
  bool complete = true;
  for (const BalancerStatus& one : all) {
    if (one.answered)
      continue;
    std::cout << "balancer=" << one.address << " answered=no\n";
    complete = false;
  }
  const Preview preview =
      PreviewChange(before->config, after->config, vms.list, BusyOf(all));
  std::cout << FormatPreview(preview);
  if (!complete)
    return ResultCode::kBalancerUnreachable;
  return HasEnoughCapacity(preview) ? ResultCode::kOk
                                    : ResultCode::kTargetsNotMet;
}

/** Tells what a change of the configuration changes, section by section. */
ResultCode Diff(const std::string& old_path, const std::string& new_path) {
  const std::optional<ReadConfig> before = ReadCheckedConfig(old_path);
  const std::optional<ReadConfig> after = ReadCheckedConfig(new_path);
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
  const auto words = options["command"].as<std::vector<std::string>>();
  const std::vector<std::string> balancers =
      SplitList(options["balancers"].as<std::string>());
  const std::string& verb = words.front();
  if (verb == "check" && words.size() == 2)
    return Check(words[1], options["as"].as<std::string>());
  if (verb == "status" && words.size() == 1)
    return Status(balancers, options.count("json") != 0);
  if (verb == "targets" && words.size() == 1)
    return Targets(balancers, 1);
  if (verb == "watch" && words.size() == 1)
    return Targets(balancers, options["times"].as<int>());
  if (verb == "log" && words.size() == 3)
    return SetLevel(balancers, words[1], words[2]);
  if (verb == "explain" && words.size() >= 3)
    return Explain(words[1], {words.begin() + 2, words.end()});
  if (verb == "diff" && words.size() == 3)
    return Diff(words[1], words[2]);
  if (verb == "preview" && words.size() == 3)
    return ShowPreview(words[1], words[2], options["vms"].as<std::string>(),
                       balancers);
  if (verb == "reference" && words.size() == 2)
    return Reference(words[1]);
  return Complain({ResultCode::kUsage,
                   "unknown command or wrong number of words; see --help"});
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
      "command", "What to do",
      cxxopts::value<std::vector<std::string>>()->default_value("status"))(
      "as", "Sort of file to check",
      cxxopts::value<std::string>()->default_value("config"),
      "SORT")("balancers", "Control addresses, parted by commas",
              cxxopts::value<std::string>()->default_value(""), "LIST")(
      "vms", "Preview: the platform's list of VMs",
      cxxopts::value<std::string>()->default_value("vms.ini"),
      "FILE")("json", "Print JSON")("times", "Watch: how often, every 2 s",
                                    cxxopts::value<int>()->default_value("30"));
  options.parse_positional({"command"});
  options.positional_help("COMMAND");
  return cuminvane::RunProgram(argc, argv, options, cuminvane::RunCommand);
}
