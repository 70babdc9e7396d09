/** @file history_check.cc Checks the eight guarantees on a history. */

#include "tests/history_check.h"

#include <map>
#include <set>

namespace cuminvane {
namespace {

using Kind = HistoryEvent::Kind;

/** Maximum time after which a leaving backend server accepts no new runs; the
 * requirement is "a few seconds". */
constexpr Seconds kMaxDrainDelay{3};
/** Maximum time until a published configuration is active at every balancer;
 * required by letter 1. */
constexpr Seconds kMaxConfigDelay{4};

/** Adds violations of one guarantee to a list. */
class GuaranteeChecker {
 public:
  GuaranteeChecker(const char* guarantee, std::vector<Violation>& violations)
      : guarantee(guarantee), violations(violations) {}

  /** Adds a violation if the condition does not hold. */
  void Require(bool holds, const std::string& description) {
    if (!holds)
      this->violations.push_back({this->guarantee, description});
  }

 private:
  const char* guarantee;
  std::vector<Violation>& violations;
};

/** Every flow answers again after all faults. */
void CheckFlowsSurvive(const History& history,
                       std::vector<Violation>& violations) {
  GuaranteeChecker checker("flows_survive", violations);
  for (const HistoryEvent& event : history)
    checker.Require(event.kind != Kind::kFlowBroken, event.tag);
}

/** No backend server gets a request of another service. */
void CheckServicesApart(const History& history,
                        std::vector<Violation>& violations) {
  GuaranteeChecker checker("services_apart", violations);
  for (const HistoryEvent& event : history)
    checker.Require(event.kind != Kind::kWrongService, event.tag);
}

/** Every request ends once, and an answer is complete and correct. */
void CheckWholeAnswers(const History& history,
                       std::vector<Violation>& violations) {
  GuaranteeChecker checker("whole_answers", violations);
  std::map<std::string, int> end_counts;
  for (const HistoryEvent& event : history) {
    const bool ended = event.kind == Kind::kAnswered ||
                       event.kind == Kind::kNotRun ||
                       event.kind == Kind::kOutcomeUnknown;
    if (event.kind == Kind::kInvoke)
      end_counts[event.tag] = 0;
    if (ended)
      ++end_counts[event.tag];
    if (event.kind == Kind::kAnswered)
      checker.Require(event.answer_complete,
                      event.tag + " got an incomplete or wrong answer");
  }
  for (const auto& [tag, count] : end_counts)
    checker.Require(count == 1,
                    tag + " ended " + std::to_string(count) + " times");
}

/** A request that is reported as not run was started nowhere. */
void CheckNotRunIsTrue(const History& history,
                       std::vector<Violation>& violations) {
  GuaranteeChecker checker("not_run_is_true", violations);
  std::set<std::string> started_tags;
  for (const HistoryEvent& event : history) {
    if (event.kind == Kind::kStarted)
      started_tags.insert(event.tag);
  }
  for (const HistoryEvent& event : history) {
    if (event.kind == Kind::kNotRun)
      checker.Require(!started_tags.contains(event.tag), event.tag);
  }
}

/** A request that is not idempotent is started at most once. */
void CheckAtMostOnce(const History& history,
                     std::vector<Violation>& violations) {
  GuaranteeChecker checker("at_most_once", violations);
  std::set<std::string> idempotent_tags;
  std::map<std::string, int> start_counts;
  for (const HistoryEvent& event : history) {
    if (event.kind == Kind::kInvoke && event.idempotent)
      idempotent_tags.insert(event.tag);
    if (event.kind == Kind::kStarted)
      ++start_counts[event.tag];
  }
  for (const auto& [tag, count] : start_counts)
    checker.Require(count <= 1 || idempotent_tags.contains(tag),
                    tag + " started " + std::to_string(count) + " times");
}

/** A leaving backend server accepts no run after kMaxDrainDelay. */
void CheckNoNewWork(const History& history,
                    std::vector<Violation>& violations) {
  GuaranteeChecker checker("no_new_work", violations);
  std::map<uint32_t, TimePoint> drain_started_at;
  for (const HistoryEvent& event : history) {
    if (event.kind == Kind::kDrainStarted)
      drain_started_at.emplace(event.vm, event.at);
    if (event.kind != Kind::kAccepted || !drain_started_at.contains(event.vm))
      continue;
    checker.Require(event.at <= drain_started_at.at(event.vm) + kMaxDrainDelay,
                    event.tag);
  }
}

/** In a run with planned changes only, every request is answered. */
void CheckStopsCutNothing(const History& history,
                          std::vector<Violation>& violations) {
  GuaranteeChecker checker("stops_cut_nothing", violations);
  bool only_planned = false;
  for (const HistoryEvent& event : history) {
    only_planned = only_planned || event.kind == Kind::kPlannedChangesOnly;
    const bool cut =
        event.kind == Kind::kOutcomeUnknown || event.kind == Kind::kNotRun;
    checker.Require(!only_planned || !cut, event.tag);
  }
}

/** No balancer returns to an older configuration, and after the faults the
 * newest one becomes active everywhere within kMaxConfigDelay. */
void CheckConfiguration(const History& history,
                        std::vector<Violation>& violations) {
  GuaranteeChecker checker("configuration", violations);
  std::map<uint32_t, uint64_t> active_versions;
  TimePoint faults_ended_at = kNever;
  uint64_t newest_version = 0;
  TimePoint newest_published_at;
  for (const HistoryEvent& event : history) {
    if (event.kind == Kind::kConfigActive) {
      uint64_t& active_version = active_versions[event.vm];
      checker.Require(event.version >= active_version,
                      "balancer " + std::to_string(event.vm) +
                          " returned to an older version");
      active_version = event.version;
    }
    if (event.kind == Kind::kConfigPublished &&
        event.version > newest_version) {
      newest_version = event.version;
      newest_published_at = event.at;
    }
    if (event.kind == Kind::kFaultsEnded)
      faults_ended_at = event.at;
  }
  if (history.empty() || faults_ended_at == kNever)
    return;
  const TimePoint deadline =
      std::max(newest_published_at, faults_ended_at) + kMaxConfigDelay;
  std::map<uint32_t, uint64_t> versions_at_deadline;
  for (const HistoryEvent& event : history) {
    if (event.kind == Kind::kConfigActive && event.at <= deadline)
      versions_at_deadline[event.vm] = event.version;
  }
  if (history.back().at < deadline)
    return;
  for (const auto& [vm, version] : versions_at_deadline)
    checker.Require(version == newest_version,
                    "balancer " + std::to_string(vm) + " has version " +
                        std::to_string(version) + " of " +
                        std::to_string(newest_version));
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
