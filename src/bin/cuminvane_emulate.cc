/** @file cuminvane_emulate.cc The emulator: runs experiments and reports their
 * results. */

#include <fstream>
#include <iostream>

#include "base/ini_func.h"
#include "emulate/experiment_func.h"
#include "emulate/report_func.h"
#include "shell/program_func.h"

namespace cuminvane {
namespace {

using emulate::Experiment;
using emulate::RunReport;
using emulate::Variant;

/** @return One report per run and variant; each run uses the next seed. */
std::vector<RunReport> RunAll(const Experiment& experiment, int runs) {
  std::vector<RunReport> reports;
  for (int run = 0; run < runs; ++run) {
    Experiment run_experiment = experiment;
    run_experiment.seed += static_cast<uint64_t>(run);
    for (const Variant& variant : run_experiment.variants) {
      emulate::World world(run_experiment, variant);
      reports.push_back(
          emulate::Summarize(run_experiment, variant, world.Run()));
    }
  }
  return reports;
}

Result<void> WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  if (!(file << text))
    return Error{ResultCode::kFileUnreadable, path + " can't be written"};
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

ResultCode RunEmulate(const cxxopts::ParseResult& options) {
  if (options.count("experiment") == 0)
    return ReportError(
        {ResultCode::kUsage, "--experiment is required; see --help"});
  const auto path = options["experiment"].as<std::string>();
  const Result<std::string> text = ReadFile(path);
  if (!text)
    return ReportError(text.error());
  emulate::ParsedExperiment check =
      emulate::ParseExperiment(path, text.value());
  if (!check.problems.empty()) {
    std::cerr << FormatProblems(check.problems);
    return ResultCode::kInvalidDocument;
  }
  if (options.count("seed") != 0)
    check.experiment.seed = options["seed"].as<uint64_t>();
  const std::vector<RunReport> reports =
      RunAll(check.experiment, options["runs"].as<int>());
  std::cout << (options.count("json") != 0 ? emulate::FormatJson(reports)
                                           : emulate::FormatText(reports));
  if (options.count("html") != 0) {
    const Result<void> written =
        WriteFile(options["html"].as<std::string>(),
                  emulate::FormatHtml(check.experiment, reports));
    if (!written)
      return ReportError(written.error());
  }
  const bool all_guarantees_held = std::ranges::all_of(
      reports,
      [](const RunReport& report) { return report.violations.empty(); });
  return all_guarantees_held ? ResultCode::kOk : ResultCode::kTargetsNotMet;
}

}  // namespace
}  // namespace cuminvane

int main(int argc, char** argv) {
  cxxopts::Options options("cuminvane-emulate",
                           "Runs experiments in virtual time: the balancers' "
                           "decisions with emulated "
                           "callers, backend servers and faults");
  options.add_options()("experiment", "Experiment file (INI)",
                        cxxopts::value<std::string>(), "FILE")(
      "seed", "Seed of the first run, in place of the experiment's",
      cxxopts::value<uint64_t>(),
      "N")("runs", "Runs of each variant, with consecutive seeds",
           cxxopts::value<int>()->default_value("1"),
           "K")("json", "Print JSON instead of text")(
      "html", "Write an HTML page with plots to this file",
      cxxopts::value<std::string>(), "FILE");
  return cuminvane::RunProgram(argc, argv, options, cuminvane::RunEmulate);
}
