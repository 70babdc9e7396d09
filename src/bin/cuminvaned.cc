/** @file cuminvaned.cc The balancer's main program. */

#include <curl/curl.h>

#include <iostream>

#include "base/ini_func.h"
#include "document/settings_func.h"
#include "shell/clock_func.h"
#include "shell/daemon_base.h"
#include "shell/log_func.h"
#include "shell/program_func.h"

namespace cuminvane {
namespace {

/** Starts logging and runs the balancer until it stops.
 * @param settings Validated settings; without an incarnation, the time of the
 * start becomes the incarnation.
 * @param path Settings file.
 * @param text Content of the settings file.
 */
ResultCode Serve(Settings settings,
                 const std::string& path,
                 const std::string& text) {
  if (settings.incarnation == Incarnation{})
    settings.incarnation =
        Incarnation{static_cast<uint64_t>(ToUnixMicroseconds(ReadClock()))};
  StartLog("cuminvaned." + ToString(settings.id), settings.log_levels,
           settings.lines_per_s, settings.input_lines_per_s);
  // Only plain HTTP is used; initialising a TLS library would slow the start.
  curl_global_init(CURL_GLOBAL_NOTHING);
  const auto daemon = std::make_shared<Daemon>(std::move(settings), path, text);
  const Result<void> ended = daemon->Run();
  return ended ? ResultCode::kOk : ReportError(ended.error());
}

ResultCode RunDaemon(const cxxopts::ParseResult& options) {
  if (options.count("config") == 0)
    return ReportError(
        {ResultCode::kUsage, "--config is required; see --help"});
  const auto path = options["config"].as<std::string>();
  const Result<std::string> text = ReadFile(path);
  if (!text)
    return ReportError(text.error());
  SettingsCheck check = CheckSettings(path, text.value());
  if (!check.problems.empty()) {
    std::cerr << FormatProblems(check.problems);
    return ResultCode::kInvalidDocument;
  }
  if (options.count("check") != 0) {
    std::cout << path << ": ok\n";
    return ResultCode::kOk;
  }
  return Serve(std::move(check.settings), path, text.value());
}

}  // namespace
}  // namespace cuminvane

int main(int argc, char** argv) {
  cxxopts::Options options("cuminvaned",
                           "The balancer: one process on each entry VM");
  options.add_options()("config", "Settings file (INI)",
                        cxxopts::value<std::string>(),
                        "FILE")("check", "Check the settings file and exit");
  return cuminvane::RunProgram(argc, argv, options, cuminvane::RunDaemon);
}
