/** @file report_func.cc Summarises runs and formats the summaries. */

#include "emulate/report_func.h"

#include <json/json.h>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

#include "emulate/bound_func.h"

namespace cuminvane::emulate {
namespace {

/** Length of the time windows that are summarised separately. */
constexpr Milliseconds kWindowDuration{1000};

/** Sums up the value and collects the latencies of requests. */
struct Tally {
  double earned_value = 0;  ///< Value of the answers.
  double max_value = 0;     ///< Value if all requests were answered in target.
  std::vector<double> latencies_ms;  ///< Answer times of the answered requests,
                                     ///< from issue to answer.

  /** @return Earned share of the value; 1 if there were no requests. */
  double EarnedShare() const {
    return this->max_value == 0 ? 1 : this->earned_value / this->max_value;
  }

  /**
   * @param share Quantile to compute, 0 to 1.
   * @return Latency in milliseconds; 0 if no request was answered.
   */
  double Quantile(double share) {
    if (this->latencies_ms.empty())
      return 0;
    const auto rank = static_cast<size_t>(
        share * static_cast<double>(this->latencies_ms.size() - 1));
    std::ranges::nth_element(
        this->latencies_ms,
        this->latencies_ms.begin() + static_cast<ptrdiff_t>(rank));
    return this->latencies_ms[rank];
  }
};

constexpr double kMedianQuantile = 0.5;
constexpr double kTailQuantile = 0.99;

double ToMilliseconds(Microseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

bool IsInTarget(const RequestRecord& record, const RequestKind& kind) {
  return record.end == RequestEnd::kDone &&
         record.ended_at - record.issued_at <= kind.target;
}

void AddToTally(Tally& tally,
                const RequestRecord& record,
                const RequestKind& kind) {
  tally.max_value += kind.on_time_value;
  if (record.end != RequestEnd::kDone)
    return;
  tally.earned_value +=
      IsInTarget(record, kind) ? kind.on_time_value : kind.late_value;
  tally.latencies_ms.push_back(
      ToMilliseconds(record.ended_at - record.issued_at));
}

void CountOutcome(KindReport& report,
                  const RequestRecord& record,
                  const RequestKind& kind) {
  ++report.requests;
  switch (record.end) {
    case RequestEnd::kDone:
      ++(IsInTarget(record, kind) ? report.in_target : report.late);
      break;
    case RequestEnd::kShed:
      ++report.shed;
      break;
    case RequestEnd::kFailed:
      ++report.failed;
      break;
    case RequestEnd::kPending:
    case RequestEnd::kDeadline:
      ++report.deadline_passed;
      break;
  }
}

void SummarizeImbalance(const WorldResult& result, RunReport& report) {
  struct ServiceLoad {
    double max_ms = 0;  ///< Slot time of the busiest backend server.
    double sum_ms = 0;  ///< Slot time of all backend servers.
    int count = 0;      ///< Number of backend servers.
  };
  std::map<std::string, ServiceLoad> loads;
  for (const auto& [vm, busy_time] : result.busy_time) {
    ServiceLoad& load = loads[result.service_by_backend.at(vm)];
    load.max_ms = std::max(load.max_ms, ToMilliseconds(busy_time));
    load.sum_ms += ToMilliseconds(busy_time);
    ++load.count;
  }
  for (const auto& [service, load] : loads)
    report.imbalance[service] =
        load.sum_ms == 0 ? 1 : load.max_ms * load.count / load.sum_ms;
}

void SummarizeSingleQueue(const Experiment& experiment,
                          const WorldResult& result,
                          RunReport& report) {
  Tally tally;
  for (const RequestRecord& record : SimulateSingleQueue(experiment, result))
    AddToTally(tally, record, experiment.request_plans[record.kind].kind);
  report.single_queue_earned_share = tally.EarnedShare();
  report.single_queue_p99_ms = tally.Quantile(kTailQuantile);
}

std::string FormatFigure(const RunReport& run,
                         const std::string& name,
                         double value,
                         const char* unit) {
  std::ostringstream out;
  out << "figure=" << name << " variant=" << run.variant << " seed=" << run.seed
      << " value=" << value << " unit=" << unit << "\n";
  return out.str();
}

Json::Value KindToJson(const KindReport& kind) {
  Json::Value json;
  json["asked"] = static_cast<Json::UInt64>(kind.requests);
  json["in_target"] = static_cast<Json::UInt64>(kind.in_target);
  json["late"] = static_cast<Json::UInt64>(kind.late);
  json["shed"] = static_cast<Json::UInt64>(kind.shed);
  json["cut"] = static_cast<Json::UInt64>(kind.failed);
  json["deadline"] = static_cast<Json::UInt64>(kind.deadline_passed);
  json["worth"] = kind.earned_share;
  json["p50_ms"] = kind.p50_ms;
  json["p99_ms"] = kind.p99_ms;
  return json;
}

/** A line plot of one value over the windows of a run. */
class Plot {
 public:
  Plot(std::string title, double y_max)
      : title(std::move(title)), y_max(y_max) {}

  void Draw(const RunReport& run,
            double WindowReport::*value,
            std::ostream& out) const {
    out << "<h3>" << this->title << ", variant " << run.variant << ", seed "
        << run.seed << "</h3><svg viewBox='0 0 " << kWidth << " " << kHeight
        << "' width='" << kWidth << "' height='" << kHeight
        << "'><rect width='100%' height='100%' fill='#f7f7f7'/><polyline "
           "fill='none' stroke='#1b5fa8' stroke-width='2' points='";
    const auto count = static_cast<double>(run.windows.size());
    for (size_t index = 0; index < run.windows.size(); ++index) {
      const double x = kWidth * static_cast<double>(index) / count;
      const double y =
          kHeight *
          (1 - std::min(1.0, run.windows[index].*value / this->y_max));
      out << x << "," << y << " ";
    }
    out << "'/><text x='4' y='14' font-size='12'>" << this->y_max
        << "</text></svg>";
  }

 private:
  /** Width and height of the plot in SVG units. */
  static constexpr double kWidth = 900;
  static constexpr double kHeight = 160;

  std::string title;
  double y_max;  ///< Largest value on the vertical axis.
};

}  // namespace

RunReport Summarize(const Experiment& experiment,
                    const Variant& variant,
                    const WorldResult& result) {
  RunReport report;
  report.variant = variant.name;
  report.seed = experiment.seed;
  report.violations = result.violations;
  report.resets = result.resets;
  report.sheds = result.sheds;
  report.checks = result.checks;
  Tally all;
  std::map<std::string, Tally> kinds;
  std::map<int64_t, Tally> windows;
  for (const RequestRecord& record : result.requests) {
    const RequestKind& kind = experiment.request_plans[record.kind].kind;
    AddToTally(all, record, kind);
    AddToTally(kinds[kind.name], record, kind);
    AddToTally(
        windows[(record.issued_at - result.load_started_at) / kWindowDuration],
        record, kind);
    CountOutcome(report.kinds[kind.name], record, kind);
  }
  report.earned_share = all.EarnedShare();
  report.worst_window_earned_share = 1;
  for (auto& [name, tally] : kinds) {
    report.kinds[name].earned_share = tally.EarnedShare();
    report.kinds[name].p50_ms = tally.Quantile(kMedianQuantile);
    report.kinds[name].p99_ms = tally.Quantile(kTailQuantile);
  }
  for (auto& [index, tally] : windows) {
    const double from_s =
        std::chrono::duration<double>(index * kWindowDuration).count();
    report.windows.push_back({from_s, tally.EarnedShare(),
                              tally.Quantile(kMedianQuantile),
                              tally.Quantile(kTailQuantile)});
    report.worst_window_earned_share =
        std::min(report.worst_window_earned_share, tally.EarnedShare());
  }
  SummarizeImbalance(result, report);
  const double seconds =
      std::chrono::duration<double>(experiment.load_duration).count();
  const auto balancers = static_cast<double>(experiment.data_centres.size()) *
                         experiment.balancers;
  report.peer_bytes_per_s =
      static_cast<double>(result.peer_bytes) / seconds / balancers;
  report.start_bytes = static_cast<double>(result.start_bytes) / balancers;
  SummarizeSingleQueue(experiment, result, report);
  return report;
}

std::string FormatText(const std::vector<RunReport>& reports) {
  std::string text;
  for (const RunReport& run : reports) {
    text += FormatFigure(run, "worth", run.earned_share, "share");
    text += FormatFigure(run, "worst_window", run.worst_window_earned_share,
                         "share");
    text += FormatFigure(run, "one_queue.worth", run.single_queue_earned_share,
                         "share");
    text += FormatFigure(run, "one_queue.p99", run.single_queue_p99_ms, "ms");
    for (const auto& [name, kind] : run.kinds) {
      text += FormatFigure(run, name + ".worth", kind.earned_share, "share");
      text += FormatFigure(run, name + ".asked",
                           static_cast<double>(kind.requests), "requests");
      text += FormatFigure(run, name + ".late", static_cast<double>(kind.late),
                           "requests");
      text += FormatFigure(
          run, name + ".failed",
          static_cast<double>(kind.shed + kind.failed + kind.deadline_passed),
          "requests");
      text += FormatFigure(run, name + ".p50", kind.p50_ms, "ms");
      text += FormatFigure(run, name + ".p99", kind.p99_ms, "ms");
    }
    for (const auto& [service, ratio] : run.imbalance)
      text += FormatFigure(run, service + ".busiest_to_mean", ratio, "ratio");
    text += FormatFigure(run, "sheds", static_cast<double>(run.sheds), "tries");
    text +=
        FormatFigure(run, "resets", static_cast<double>(run.resets), "resets");
    text +=
        FormatFigure(run, "checks", static_cast<double>(run.checks), "checks");
    text += FormatFigure(run, "peer_bytes", run.peer_bytes_per_s, "B/s");
    text += FormatFigure(run, "start_bytes", run.start_bytes, "B");
    text += FormatFigure(run, "rules_broken",
                         static_cast<double>(run.violations.size()), "breaks");
    for (const InvariantViolation& broken : run.violations)
      text += "broken rule=" + broken.rule + " what=\"" + broken.what + "\"\n";
  }
  return text;
}

std::string FormatJson(const std::vector<RunReport>& reports) {
  Json::Value list(Json::arrayValue);
  for (const RunReport& run : reports) {
    Json::Value json;
    json["variant"] = run.variant;
    json["seed"] = static_cast<Json::UInt64>(run.seed);
    json["worth"] = run.earned_share;
    json["worst_window"] = run.worst_window_earned_share;
    json["one_queue"]["worth"] = run.single_queue_earned_share;
    json["one_queue"]["p99_ms"] = run.single_queue_p99_ms;
    json["sheds"] = static_cast<Json::UInt64>(run.sheds);
    json["resets"] = static_cast<Json::UInt64>(run.resets);
    json["checks"] = static_cast<Json::UInt64>(run.checks);
    json["peer_bytes_per_s"] = run.peer_bytes_per_s;
    json["start_bytes"] = run.start_bytes;
    for (const auto& [name, kind] : run.kinds)
      json["kinds"][name] = KindToJson(kind);
    for (const auto& [service, ratio] : run.imbalance)
      json["busiest_to_mean"][service] = ratio;
    json["broken"] = Json::Value(Json::arrayValue);
    for (const InvariantViolation& broken : run.violations) {
      Json::Value entry;
      entry["rule"] = broken.rule;
      entry["what"] = broken.what;
      json["broken"].append(entry);
    }
    list.append(json);
  }
  return list.toStyledString();
}

std::string FormatHtml(const Experiment& experiment,
                       const std::vector<RunReport>& reports) {
  std::ostringstream out;
  out << "<!doctype html><meta charset='utf-8'><title>cuminvane "
         "experiment</title><style>body{font-family:sans-serif;max-width:"
         "960px;margin:auto}td,th{padding:2px 8px;text-align:right}</style>"
      << "<h1>Experiment</h1><h2>Faults</h2><ul>";
  for (const FaultPlan& fault : experiment.faults)
    out << "<li>" << fault.at.count() << " ms: " << ToString(fault.kind) << " ("
        << fault.name << ") for " << fault.duration.count() << " ms</li>";
  out << "</ul><h2>Runs</h2><table><tr><th>variant</th><th>seed</th><th>worth"
         "</th><th>worst second</th><th>one queue, no "
         "faults</th><th>resets</th><th>checks</th><th>rules "
         "broken</th></tr>"
      << std::setprecision(4);
  for (const RunReport& run : reports)
    out << "<tr><td>" << run.variant << "</td><td>" << run.seed << "</td><td>"
        << run.earned_share << "</td><td>" << run.worst_window_earned_share
        << "</td><td>" << run.single_queue_earned_share << "</td><td>"
        << run.resets << "</td><td>" << run.checks << "</td><td>"
        << run.violations.size() << "</td></tr>";
  out << "</table>";
  // Greater 99th percentiles are cut off in the plots. Medians are plotted up
  // to a quarter of this.
  constexpr double kMaxPlottedMs = 1000;
  for (const RunReport& run : reports) {
    Plot("Worth of each second", 1).Draw(run, &WindowReport::earned_share, out);
    Plot("Median answer time, ms", kMaxPlottedMs / 4)
        .Draw(run, &WindowReport::p50_ms, out);
    Plot("99th percentile of answer times, ms", kMaxPlottedMs)
        .Draw(run, &WindowReport::p99_ms, out);
  }
  return out.str();
}

}  // namespace cuminvane::emulate
