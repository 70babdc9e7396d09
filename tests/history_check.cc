/** @file history_check.cc Checkers of the promises. */

#include "tests/history_check.h"

#include <map>
#include <set>

namespace cuminvane {
namespace {

using Kind = HistoryEvent::Kind;

/** The brief: a leaving backend server gets no new work after a few seconds. */
constexpr Seconds kFewSeconds{3};
/** Letter 1: a configuration is in force everywhere within this. */
constexpr Seconds kInForceWithin{4};

/** Collects violations of one promise. */
class Checker {
 public:
  Checker(const char* promise, std::vector<Violation>& violations)
      : promise(promise), violations(violations) {}

  void Require(bool holds, const std::string& what) {
    if (!holds)
      this->violations.push_back({this->promise, what});
  }

 private:
  const char* promise;
  std::vector<Violation>& violations;
};

void CheckFlowsSurvive(const History& history,
                       std::vector<Violation>& violations) {
  Checker checker("flows_survive", violations);
  for (const HistoryEvent& event : history)
    checker.Require(event.kind != Kind::kFlowBroken, event.tag);
}

void CheckServicesApart(const History& history,
                        std::vector<Violation>& violations) {
  Checker checker("services_apart", violations);
  for (const HistoryEvent& event : history)
    checker.Require(event.kind != Kind::kWrongService, event.tag);
}

void CheckWholeAnswers(const History& history,
                       std::vector<Violation>& violations) {
  Checker checker("whole_answers", violations);
  std::map<std::string, int> ends;
  for (const HistoryEvent& event : history) {
    const bool ended = event.kind == Kind::kAnswered ||
                       event.kind == Kind::kNotRun ||
                       event.kind == Kind::kOutcomeUnknown;
    if (event.kind == Kind::kInvoke)
      ends[event.tag] = 0;
    if (ended)
      ++ends[event.tag];
    if (event.kind == Kind::kAnswered)
      checker.Require(event.answer_complete, event.tag + " got a wrong answer");
  }
  for (const auto& [tag, count] : ends)
    checker.Require(count == 1,
                    tag + " ended " + std::to_string(count) + " times");
}

void CheckNotRunIsTrue(const History& history,
                       std::vector<Violation>& violations) {
  Checker checker("not_run_is_true", violations);
  std::set<std::string> started;
  for (const HistoryEvent& event : history) {
    if (event.kind == Kind::kStarted)
      started.insert(event.tag);
  }
  for (const HistoryEvent& event : history) {
    if (event.kind == Kind::kNotRun)
      checker.Require(!started.contains(event.tag), event.tag);
  }
}

void CheckAtMostOnce(const History& history,
                     std::vector<Violation>& violations) {
  Checker checker("at_most_once", violations);
  std::set<std::string> idempotent;
  std::map<std::string, int> starts;
  for (const HistoryEvent& event : history) {
    if (event.kind == Kind::kInvoke && event.idempotent)
      idempotent.insert(event.tag);
    if (event.kind == Kind::kStarted)
      ++starts[event.tag];
  }
  for (const auto& [tag, count] : starts)
    checker.Require(count <= 1 || idempotent.contains(tag),
                    tag + " started " + std::to_string(count) + " times");
}

void CheckNoNewWork(const History& history,
                    std::vector<Violation>& violations) {
  Checker checker("no_new_work", violations);
  std::map<uint32_t, TimePoint> drained;
  for (const HistoryEvent& event : history) {
    if (event.kind == Kind::kDrainStarted)
      drained.emplace(event.vm, event.at);
    if (event.kind != Kind::kAccepted || !drained.contains(event.vm))
      continue;
    checker.Require(event.at <= drained.at(event.vm) + kFewSeconds, event.tag);
  }
}

/** Where nothing fails, planned changes cost no request its answer. */
void CheckStopsCutNothing(const History& history,
                          std::vector<Violation>& violations) {
  Checker checker("stops_cut_nothing", violations);
  bool only_planned = false;
  for (const HistoryEvent& event : history) {
    only_planned = only_planned || event.kind == Kind::kPlannedChangesOnly;
    const bool cut =
        event.kind == Kind::kOutcomeUnknown || event.kind == Kind::kNotRun;
    checker.Require(!only_planned || !cut, event.tag);
  }
}

void CheckConfiguration(const History& history,
                        std::vector<Violation>& violations) {
  Checker checker("configuration", violations);
  std::map<uint32_t, uint64_t> in_force;
  TimePoint faults_over = kNever;
  uint64_t newest = 0;
  TimePoint newest_at;
  for (const HistoryEvent& event : history) {
    if (event.kind == Kind::kConfigActive) {
      uint64_t& known = in_force[event.vm];
      checker.Require(event.version >= known,
                      "balancer " + std::to_string(event.vm) + " went back");
      known = event.version;
    }
    if (event.kind == Kind::kConfigPublished && event.version > newest) {
      newest = event.version;
      newest_at = event.at;
    }
    if (event.kind == Kind::kFaultsEnded)
      faults_over = event.at;
  }
  if (history.empty() || faults_over == kNever)
    return;
  const TimePoint due = std::max(newest_at, faults_over) + kInForceWithin;
  std::map<uint32_t, uint64_t> at_due;
  for (const HistoryEvent& event : history) {
    if (event.kind == Kind::kConfigActive && event.at <= due)
      at_due[event.vm] = event.version;
  }
  if (history.back().at < due)
    return;
  for (const auto& [vm, version] : at_due)
    checker.Require(version == newest, "balancer " + std::to_string(vm) +
                                           " has version " +
                                           std::to_string(version) + " of " +
                                           std::to_string(newest));
}

}  // namespace

std::vector<Violation> CheckHistory(const History& history) {
  std::vector<Violation> violations;
  CheckFlowsSurvive(history, violations);
  CheckServicesApart(history, violations);
  CheckWholeAnswers(history, violations);
  CheckNotRunIsTrue(history, violations);
  CheckAtMostOnce(history, violations);
  CheckNoNewWork(history, violations);
  CheckStopsCutNothing(history, violations);
  CheckConfiguration(history, violations);
  return violations;
}

}  // namespace cuminvane
