/** @file figures_role.cc Computes a demo's figures from what callers and
 * backend servers recorded themselves. */

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
constexpr double kP99 = 0.99;
/** The brief: no new work after a few seconds. */
constexpr double kFewSeconds = 3;
/** A lost way is renewed within seconds; see docs/DESIGN.md on feeds. */
constexpr double kFeedHealsWithin = 10;

/** Bounds that the classes' targets set. */
struct TargetBounds {
  double within_ms = 0;
  double answered_percent = 0;
  double imbalance_percent = 0;
};

/** What the records say of one request, named by its tag. */
struct RequestFacts {
  int starts = 0;
  bool idempotent = false;
  bool told_not_run = false;
};

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

/** Prints figures and remembers whether all held. */
class FigurePrinter {
 public:
  void AtMost(const std::string& name,
              double value,
              const std::string& unit,
              double bound) {
    this->Print(name, value, unit, bound, value <= bound);
  }
  void AtLeast(const std::string& name,
               double value,
               const std::string& unit,
               double bound) {
    this->Print(name, value, unit, bound, value >= bound);
  }
  bool AllHeld() const { return this->all_held; }

 private:
  void Print(const std::string& name,
             double value,
             const std::string& unit,
             double bound,
             bool held) {
    std::cout << std::setprecision(6) << "figure=" << name << " value=" << value
              << " unit=" << unit << " bound=" << bound
              << " held=" << (held ? "yes" : "no") << "\n";
    this->all_held = this->all_held && held;
  }

  bool all_held = true;
};

/** The figures of one demo. */
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
      RequestFacts& facts = this->requests[TextOf(line, "tag")];
      facts.idempotent = TextOf(line, "idempotent") == "yes";
      facts.told_not_run = TextOf(line, "outcome") == "not_run";
    }
  }

  double CountRequests(bool (*counts)(const RequestFacts&)) const {
    return static_cast<double>(std::ranges::count_if(
        this->requests,
        [counts](const auto& item) { return counts(item.second); }));
  }

  double CountCallerLines(const std::string& key,
                          const std::string& value) const {
    return CountLines(this->caller_lines, key, value);
  }
  double CountBackendLines(const std::string& key,
                           const std::string& value) const {
    return CountLines(this->backend_lines, key, value);
  }

  /** Last work that a drained backend server took, in seconds after its drain
   * was published. */
  double NewWorkAfterDrain() const {
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

  /** Busiest backend server's busy time above the mean of its service; drained
   * ones don't count. */
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
    double worst = 0;
    for (const auto& [service, by_vm] : busy) {
      double sum = 0;
      double most = 0;
      for (const auto& [vm, time] : by_vm) {
        sum += time;
        most = std::max(most, time);
      }
      worst = std::max(
          worst,
          (most / (sum / static_cast<double>(by_vm.size())) - 1) * kPercent);
    }
    return worst;
  }

  double SumOfFeeds(const std::string& key) const {
    double sum = 0;
    for (const RecordLine& line : this->caller_lines)
      sum += TextOf(line, "event") == "feed" ? NumberOf(line, key) : 0;
    return sum;
  }

  double MaxOfFeeds(const std::string& key) const {
    double most = 0;
    for (const RecordLine& line : this->caller_lines)
      most = std::max(
          most, TextOf(line, "event") == "feed" ? NumberOf(line, key) : 0);
    return most;
  }

  double AnswerP99Ms() const {
    std::vector<double> latencies;
    for (const RecordLine& line : this->caller_lines) {
      if (TextOf(line, "event") == "request" &&
          TextOf(line, "outcome") == "answered")
        latencies.push_back(NumberOf(line, "latency_us") / kMicrosecondsPerMs);
    }
    if (latencies.empty())
      return 0;
    const auto place = latencies.begin() +
                       static_cast<ptrdiff_t>(
                           kP99 * static_cast<double>(latencies.size() - 1));
    std::ranges::nth_element(latencies, place);
    return *place;
  }

  double AnsweredPercent() const {
    const double asked = this->CountCallerLines("event", "request");
    return asked == 0
               ? 0
               : kPercent * this->CountCallerLines("outcome", "answered") /
                     asked;
  }

 private:
  static double CountLines(const std::vector<RecordLine>& lines,
                           const std::string& key,
                           const std::string& value) {
    return static_cast<double>(std::ranges::count_if(
        lines,
        [&](const RecordLine& line) { return TextOf(line, key) == value; }));
  }

  std::vector<RecordLine> backend_lines;
  std::vector<RecordLine> caller_lines;
  std::vector<RecordLine> demo_lines;
  std::map<std::string, RequestFacts> requests;
};

bool IsDoubled(const RequestFacts& facts) {
  return !facts.idempotent && facts.starts > 1;
}

bool IsFalseNotRun(const RequestFacts& facts) {
  return facts.told_not_run && facts.starts > 0;
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
  FigurePrinter print;
  print.AtMost("broken_flows_planned",
               figures.CountCallerLines("event", "flow_broken"), "flows", 0);
  print.AtMost("wrong_service_packets",
               figures.CountBackendLines("event", "wrong_service") +
                   figures.CountCallerLines("check", "wrong_service"),
               "packets", 0);
  print.AtMost("mixed_answers", figures.CountCallerLines("check", "mixed"),
               "answers", 0);
  print.AtMost("incomplete_answers",
               figures.CountCallerLines("check", "incomplete"), "answers", 0);
  print.AtMost("doubled_requests", figures.CountRequests(IsDoubled), "requests",
               0);
  print.AtMost("false_not_run", figures.CountRequests(IsFalseNotRun),
               "requests", 0);
  print.AtMost("new_work_after_drain_s", figures.NewWorkAfterDrain(), "s",
               kFewSeconds);
  print.AtMost("imbalance_percent", figures.ImbalancePercent(), "percent",
               bounds.imbalance_percent);
  print.AtMost("answer_p99_ms", figures.AnswerP99Ms(), "ms", bounds.within_ms);
  print.AtLeast("requests_answered_percent", figures.AnsweredPercent(),
                "percent", bounds.answered_percent);
  print.AtMost("feed_gaps", figures.SumOfFeeds("gaps"), "gaps", 0);
  print.AtMost("feed_longest_silence_s",
               figures.MaxOfFeeds("longest_silence_us") / kMicrosecondsPerS,
               "s", kFeedHealsWithin);
  std::cout << "requests=" << figures.CountCallerLines("event", "request")
            << " flows=" << figures.CountCallerLines("event", "flow")
            << " not_run=" << figures.CountCallerLines("outcome", "not_run")
            << " unknown=" << figures.CountCallerLines("outcome", "unknown")
            << " runs=" << figures.CountBackendLines("event", "started")
            << "\n";
  return print.AllHeld() ? ResultCode::kOk : ResultCode::kTargetsNotMet;
}

}  // namespace cuminvane
