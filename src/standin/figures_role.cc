/** @file figures_role.cc The role `figures`: computes the figures of a demo
 * from the record files of the callers and backend servers. */

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/ini_func.h"
#include "document/config_func.h"
#include "shell/program_func.h"
#include "standin/record_func.h"
#include "standin/role_func.h"

namespace cuminvane {
namespace {

constexpr double kMicrosecondsPerMs = 1000;
constexpr double kMicrosecondsPerS = 1e6;
constexpr double kPercent = 100;
constexpr double kP99Quantile = 0.99;
/** The requirements allow new work on a drained backend server for a few
 * seconds after the drain is published. */
constexpr double kMaxNewWorkAfterDrainS = 3;
/** A feed whose path to the caller was lost is renewed within seconds; see
 * docs/DESIGN.md on feeds. */
constexpr double kMaxFeedSilenceS = 10;

/** The strictest targets of all classes of work. */
struct TargetBounds {
  double within_ms = 0;          ///< Maximum 99th percentile of latency.
  double answered_percent = 0;   ///< Minimum share of answered requests.
  double imbalance_percent = 0;  ///< Maximum excess of the slot time of a
                                 ///< backend server over the mean.
};

/** The recorded facts of one request, identified by its tag. */
struct RequestSummary {
  int starts = 0;  ///< Number of its runs that backend servers started.
  bool idempotent = false;
  bool reported_not_run = false;  ///< Whether the caller was told that the
                                  ///< request did not run.
};

/** @return The strictest targets; 1e9 stands for no bound. */
TargetBounds BoundsOf(const Config& config) {
  TargetBounds bounds{1e9, 100, 1e9};
  for (const WorkClass& work : config.classes) {
    bounds.within_ms = std::min(
        bounds.within_ms, static_cast<double>(work.target.answered_within_ms));
    bounds.answered_percent =
        std::min(bounds.answered_percent, work.target.answered_percent);
    bounds.imbalance_percent =
        std::min(bounds.imbalance_percent, work.target.imbalance_percent);
  }
  return bounds;
}

/** Prints figures with their bounds and keeps track of whether all figures are
 * within them. */
class FigurePrinter {
 public:
  void PrintAtMost(const std::string& name,
                   double value,
                   const std::string& unit,
                   double bound) {
    this->Print(name, value, unit, bound, value <= bound);
  }
  void PrintAtLeast(const std::string& name,
                    double value,
                    const std::string& unit,
                    double bound) {
    this->Print(name, value, unit, bound, value >= bound);
  }
  bool AllWithinBounds() const { return this->all_within_bounds; }

 private:
  void Print(const std::string& name,
             double value,
             const std::string& unit,
             double bound,
             bool within_bound) {
    std::cout << std::setprecision(6) << "figure=" << name << " value=" << value
              << " unit=" << unit << " bound=" << bound
              << " held=" << (within_bound ? "yes" : "no") << "\n";
    this->all_within_bounds = this->all_within_bounds && within_bound;
  }

  bool all_within_bounds = true;
};

/** Computes the figures of one demo from the record files in a directory. */
class Figures {
 public:
  explicit Figures(const std::string& directory)
      : backend_lines(ReadRecords(directory, "backend-")),
        caller_lines(ReadRecords(directory, "caller-")),
        demo_lines(ReadRecords(directory, "demo")) {
    for (const RecordLine& line : this->backend_lines) {
      if (TextOf(line, "event") == "started")
        ++this->requests[TextOf(line, "tag")].starts;
    }
    for (const RecordLine& line : this->caller_lines) {
      if (TextOf(line, "event") != "request")
        continue;
      RequestSummary& summary = this->requests[TextOf(line, "tag")];
      summary.idempotent = TextOf(line, "idempotent") == "yes";
      summary.reported_not_run = TextOf(line, "outcome") == "not_run";
    }
  }

  /** @return The number of requests that meet the predicate. */
  double CountRequests(bool (*predicate)(const RequestSummary&)) const {
    return static_cast<double>(std::ranges::count_if(
        this->requests,
        [predicate](const auto& item) { return predicate(item.second); }));
  }

  /** @return The number of caller lines with the value under the key. */
  double CountCallerLines(const std::string& key,
                          const std::string& value) const {
    return CountLines(this->caller_lines, key, value);
  }
  /** @return The number of backend lines with the value under the key. */
  double CountBackendLines(const std::string& key,
                           const std::string& value) const {
    return CountLines(this->backend_lines, key, value);
  }

  /** @return The longest time in seconds from the publication of a drain to a
   * run that the drained backend server accepted; 0 if it accepted none. */
  double LatestNewWorkAfterDrainS() const {
    double latest = 0;
    for (const RecordLine& drain : this->demo_lines) {
      if (TextOf(drain, "event") != "drain")
        continue;
      for (const RecordLine& line : this->backend_lines) {
        if (TextOf(line, "event") == "accepted" &&
            TextOf(line, "vm") == TextOf(drain, "vm"))
          latest =
              std::max(latest, (NumberOf(line, "at") - NumberOf(drain, "at")) /
                                   kMicrosecondsPerS);
      }
    }
    return latest;
  }

  /** @return How much the slot time of the busiest backend server exceeds the
   * mean of its service, in percent, for the worst service. Drained backend
   * servers are left out. */
  double ImbalancePercent() const {
    std::set<std::string> drained;
    for (const RecordLine& line : this->demo_lines) {
      if (TextOf(line, "event") == "drain")
        drained.insert(TextOf(line, "vm"));
    }
    std::map<std::string, std::map<std::string, double>> busy;
    for (const RecordLine& line : this->backend_lines) {
      if (TextOf(line, "event") == "finished" &&
          !drained.contains(TextOf(line, "vm")))
        busy[TextOf(line, "service")][TextOf(line, "vm")] +=
            NumberOf(line, "busy");
    }
    double max_imbalance = 0;
    for (const auto& [service, by_vm] : busy) {
      double sum = 0;
      double busiest = 0;
      for (const auto& [vm, time] : by_vm) {
        sum += time;
        busiest = std::max(busiest, time);
      }
      max_imbalance = std::max(
          max_imbalance,
          (busiest / (sum / static_cast<double>(by_vm.size())) - 1) * kPercent);
    }
    return max_imbalance;
  }

  /** @return The sum of the values under a key over the feeds of all flows. */
  double SumOverFeeds(const std::string& key) const {
    double sum = 0;
    for (const RecordLine& line : this->caller_lines)
      sum += TextOf(line, "event") == "feed" ? NumberOf(line, key) : 0;
    return sum;
  }

  /** @return The largest value under a key over the feeds of all flows. */
  double MaxOverFeeds(const std::string& key) const {
    double maximum = 0;
    for (const RecordLine& line : this->caller_lines)
      maximum = std::max(
          maximum, TextOf(line, "event") == "feed" ? NumberOf(line, key) : 0);
    return maximum;
  }

  /** @return The 99th percentile of the latency of answered requests, in
   * milliseconds; 0 if none was answered. */
  double AnswerP99Ms() const {
    std::vector<double> latencies;
    for (const RecordLine& line : this->caller_lines) {
      if (TextOf(line, "event") == "request" &&
          TextOf(line, "outcome") == "answered")
        latencies.push_back(NumberOf(line, "latency_us") / kMicrosecondsPerMs);
    }
    if (latencies.empty())
      return 0;
    const auto percentile =
        latencies.begin() +
        static_cast<ptrdiff_t>(kP99Quantile *
                               static_cast<double>(latencies.size() - 1));
    std::ranges::nth_element(latencies, percentile);
    return *percentile;
  }

  /** @return The share of answered requests in percent; 0 if no request was
   * sent. */
  double AnsweredPercent() const {
    const double request_count = this->CountCallerLines("event", "request");
    return request_count == 0
               ? 0
               : kPercent * this->CountCallerLines("outcome", "answered") /
                     request_count;
  }

 private:
  static double CountLines(const std::vector<RecordLine>& lines,
                           const std::string& key,
                           const std::string& value) {
    return static_cast<double>(std::ranges::count_if(
        lines,
        [&](const RecordLine& line) { return TextOf(line, key) == value; }));
  }

  std::vector<RecordLine> backend_lines;  ///< Records of backend servers.
  std::vector<RecordLine> caller_lines;   ///< Records of callers.
  std::vector<RecordLine> demo_lines;     ///< Record of the demo script.
  std::map<std::string, RequestSummary> requests;  ///< By tag.
};

/** @return Whether a non-idempotent request ran more than once. */
bool IsDoubled(const RequestSummary& summary) {
  return !summary.idempotent && summary.starts > 1;
}

/** @return Whether a request was reported as not run although a run of it
 * started. */
bool IsFalseNotRun(const RequestSummary& summary) {
  return summary.reported_not_run && summary.starts > 0;
}

}  // namespace

ResultCode RunFigures(const cxxopts::ParseResult& options) {
  const auto path = options["config"].as<std::string>();
  const Result<std::string> text = ReadFile(path);
  if (!text)
    return ReportError(text.error());
  const ConfigCheck check = CheckConfig(path, text.value());
  if (!check.problems.empty())
    return ReportError(
        {ResultCode::kInvalidDocument, FormatProblems(check.problems)});
  const TargetBounds bounds = BoundsOf(check.config);
  const Figures figures(options["dir"].as<std::string>());
  FigurePrinter printer;
  printer.PrintAtMost("broken_flows_planned",
                      figures.CountCallerLines("event", "flow_broken"), "flows",
                      0);
  printer.PrintAtMost("wrong_service_packets",
                      figures.CountBackendLines("event", "wrong_service") +
                          figures.CountCallerLines("check", "wrong_service"),
                      "packets", 0);
  printer.PrintAtMost("mixed_answers",
                      figures.CountCallerLines("check", "mixed"), "answers", 0);
  printer.PrintAtMost("incomplete_answers",
                      figures.CountCallerLines("check", "incomplete"),
                      "answers", 0);
  printer.PrintAtMost("doubled_requests", figures.CountRequests(IsDoubled),
                      "requests", 0);
  printer.PrintAtMost("false_not_run", figures.CountRequests(IsFalseNotRun),
                      "requests", 0);
  printer.PrintAtMost("new_work_after_drain_s",
                      figures.LatestNewWorkAfterDrainS(), "s",
                      kMaxNewWorkAfterDrainS);
  printer.PrintAtMost("imbalance_percent", figures.ImbalancePercent(),
                      "percent", bounds.imbalance_percent);
  printer.PrintAtMost("answer_p99_ms", figures.AnswerP99Ms(), "ms",
                      bounds.within_ms);
  printer.PrintAtLeast("requests_answered_percent", figures.AnsweredPercent(),
                       "percent", bounds.answered_percent);
  printer.PrintAtMost("feed_gaps", figures.SumOverFeeds("gaps"), "gaps", 0);
  printer.PrintAtMost(
      "feed_longest_silence_s",
      figures.MaxOverFeeds("longest_silence_us") / kMicrosecondsPerS, "s",
      kMaxFeedSilenceS);
  std::cout << "requests=" << figures.CountCallerLines("event", "request")
            << " flows=" << figures.CountCallerLines("event", "flow")
            << " not_run=" << figures.CountCallerLines("outcome", "not_run")
            << " unknown=" << figures.CountCallerLines("outcome", "unknown")
            << " runs=" << figures.CountBackendLines("event", "started")
            << "\n";
  return printer.AllWithinBounds() ? ResultCode::kOk
                                   : ResultCode::kTargetsNotMet;
}

}  // namespace cuminvane
