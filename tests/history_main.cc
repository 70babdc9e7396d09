/** @file history_main.cc Runs generated fault schedules, or a given one,
 * against a fake fleet, and prints the violated guarantees. */

#include <sodium.h>

#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <random>

#include "tests/history_check.h"
#include "tests/schedule_gen.h"
#include "tests/schedule_run.h"

namespace cuminvane {
namespace {

/**
 * Runs a schedule in the form that FormatSchedule writes.
 * @return The exit code: 0, or 9 if a guarantee was violated.
 */
int RunOne(const std::string& text) {
  const std::vector<Violation> violations =
      CheckHistory(RunSchedule(ParseSchedule(text)));
  for (const Violation& violation : violations)
    std::cout << "violation promise=" << violation.guarantee << " what=\""
              << violation.description << "\"\n";
  return violations.empty() ? 0 : 9;
}

/**
 * Runs schedules drawn from a seed and prints the violations of each guarantee.
 * @return The exit code: 0, or 9 if a guarantee was violated.
 */
int RunMany(uint64_t seed, int runs) {
  std::map<std::string, int> violation_counts{
      {"flows_survive", 0},     {"services_apart", 0}, {"whole_answers", 0},
      {"not_run_is_true", 0},   {"at_most_once", 0},   {"no_new_work", 0},
      {"stops_cut_nothing", 0}, {"configuration", 0}};
  size_t events = 0;
  size_t faults = 0;
  std::map<HistoryEvent::Kind, size_t> event_counts;
  std::mt19937_64 random(seed);
  for (int run = 0; run < runs; ++run) {
    const Schedule schedule = DrawSchedule(random);
    const History history = RunSchedule(schedule);
    events += history.size();
    faults += schedule.faults.size();
    for (const HistoryEvent& event : history)
      ++event_counts[event.kind];
    const std::vector<Violation> violations = CheckHistory(history);
    for (const Violation& violation : violations)
      ++violation_counts[violation.guarantee];
    if (!violations.empty())
      std::cout << "violation promise=" << violations.front().guarantee
                << " what=\"" << violations.front().description << "\" again=\""
                << schedule << "\"\n";
  }
  std::cout << "runs=" << runs << " events=" << events << " faults=" << faults
            << " answered=" << event_counts[HistoryEvent::Kind::kAnswered]
            << " not_run=" << event_counts[HistoryEvent::Kind::kNotRun]
            << " unknown=" << event_counts[HistoryEvent::Kind::kOutcomeUnknown]
            << "\n";
  bool no_violations = true;
  for (const auto& [guarantee, count] : violation_counts) {
    std::cout << "figure=violations_" << guarantee << " value=" << count
              << " unit=violations bound=0 held=" << (count == 0 ? "yes" : "no")
              << "\n";
    no_violations = no_violations && count == 0;
  }
  return no_violations ? 0 : 9;
}

}  // namespace
}  // namespace cuminvane

int main(int argc, char** argv) {
  if (sodium_init() < 0)
    return 1;
  cxxopts::Options options("cuminvane_history",
                           "Checks histories of generated fault schedules");
  options.add_options()("seed", "Seed of the schedules",
                        cxxopts::value<uint64_t>()->default_value("1"))(
      "runs", "Number of schedules",
      cxxopts::value<int>()->default_value("100"))(
      "schedule", "Run this one schedule",
      cxxopts::value<std::string>()->default_value(""));
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  const auto schedule = parsed["schedule"].as<std::string>();
  if (!schedule.empty())
    return cuminvane::RunOne(schedule);
  return cuminvane::RunMany(parsed["seed"].as<uint64_t>(),
                            parsed["runs"].as<int>());
}
