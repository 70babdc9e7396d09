/** @file report_func.cc Reports of runs. */

#include "emulate/report_func.h"

#include <json/json.h>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

#include "emulate/bound_func.h"

namespace cuminvane::emulate {
namespace {

constexpr Milliseconds kWindow{1000};

/** Requests of which the latency and the worth are summed up. */
struct Tally {
  double earned = 0;
  double owed = 0;
  std::vector<double> latencies_ms;

  double Worth() const {
    return this->owed == 0 ? 1 : this->earned / this->owed;
  }

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

constexpr double kMedian = 0.5;
constexpr double kTail = 0.99;

double Milli(Microseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

bool IsInTarget(const RequestRecord& record, const WorkKind& kind) {
  return record.end == RequestEnd::kDone &&
         record.ended_at - record.asked_at <= kind.target;
}

void Add(Tally& tally, const RequestRecord& record, const WorkKind& kind) {
  tally.owed += kind.worth;
  if (record.end != RequestEnd::kDone)
    return;
  tally.earned += IsInTarget(record, kind) ? kind.worth : kind.late_worth;
  tally.latencies_ms.push_back(Milli(record.ended_at - record.asked_at));
}

void AddEnd(KindReport& report,
            const RequestRecord& record,
            const WorkKind& kind) {
  ++report.asked;
  switch (record.end) {
    case RequestEnd::kDone:
      ++(IsInTarget(record, kind) ? report.in_target : report.late);
      break;
    case RequestEnd::kShed:
      ++report.shed;
      break;
    case RequestEnd::kCut:
      ++report.cut;
      break;
    case RequestEnd::kPending:
    case RequestEnd::kDeadline:
      ++report.deadline;
      break;
  }
}

void SummarizeImbalance(const WorldResult& result, RunReport& report) {
  struct Share {
    double most = 0;
    double sum = 0;
    int count = 0;
  };
  std::map<std::string, Share> shares;
  for (const auto& [vm, busy] : result.busy) {
    Share& share = shares[result.services.at(vm)];
    share.most = std::max(share.most, Milli(busy));
    share.sum += Milli(busy);
    ++share.count;
  }
  for (const auto& [service, share] : shares)
    report.imbalance[service] =
        share.sum == 0 ? 1 : share.most * share.count / share.sum;
}

void SummarizeOneQueue(const Experiment& experiment,
                       const WorldResult& result,
                       RunReport& report) {
  Tally tally;
  for (const RequestRecord& record : PlayOneQueue(experiment, result))
    Add(tally, record, experiment.work[record.kind].kind);
  report.one_queue_worth = tally.Worth();
  report.one_queue_p99_ms = tally.Quantile(kTail);
}

std::string Figure(const RunReport& run,
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
  json["asked"] = static_cast<Json::UInt64>(kind.asked);
  json["in_target"] = static_cast<Json::UInt64>(kind.in_target);
  json["late"] = static_cast<Json::UInt64>(kind.late);
  json["shed"] = static_cast<Json::UInt64>(kind.shed);
  json["cut"] = static_cast<Json::UInt64>(kind.cut);
  json["deadline"] = static_cast<Json::UInt64>(kind.deadline);
  json["worth"] = kind.worth;
  json["p50_ms"] = kind.p50_ms;
  json["p99_ms"] = kind.p99_ms;
  return json;
}

/** A line plot of one value of each window, for each run. */
class Plot {
 public:
  Plot(std::string title, double most) : title(std::move(title)), most(most) {}

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
          kHeight * (1 - std::min(1.0, run.windows[index].*value / this->most));
      out << x << "," << y << " ";
    }
    out << "'/><text x='4' y='14' font-size='12'>" << this->most
        << "</text></svg>";
  }

 private:
  static constexpr double kWidth = 900;
  static constexpr double kHeight = 160;

  std::string title;
  double most;
};

}  // namespace

RunReport Summarize(const Experiment& experiment,
                    const Variant& variant,
                    const WorldResult& result) {
  RunReport report;
  report.variant = variant.name;
  report.seed = experiment.seed;
  report.breaks = result.breaks;
  report.resets = result.resets;
  report.checks = result.checks;
  Tally all;
  std::map<std::string, Tally> kinds;
  std::map<int64_t, Tally> windows;
  for (const RequestRecord& record : result.requests) {
    const WorkKind& kind = experiment.work[record.kind].kind;
    Add(all, record, kind);
    Add(kinds[kind.name], record, kind);
    Add(windows[(record.asked_at - result.begun_at) / kWindow], record, kind);
    AddEnd(report.kinds[kind.name], record, kind);
  }
  report.worth = all.Worth();
  report.worst_window = 1;
  for (auto& [name, tally] : kinds) {
    report.kinds[name].worth = tally.Worth();
    report.kinds[name].p50_ms = tally.Quantile(kMedian);
    report.kinds[name].p99_ms = tally.Quantile(kTail);
  }
  for (auto& [index, tally] : windows) {
    const double from_s =
        std::chrono::duration<double>(index * kWindow).count();
    report.windows.push_back({from_s, tally.Worth(), tally.Quantile(kMedian),
                              tally.Quantile(kTail)});
    report.worst_window = std::min(report.worst_window, tally.Worth());
  }
  SummarizeImbalance(result, report);
  const double seconds =
      std::chrono::duration<double>(experiment.length).count();
  const auto balancers = static_cast<double>(experiment.data_centres.size()) *
                         experiment.balancers;
  report.peer_bytes_per_s =
      static_cast<double>(result.peer_bytes) / seconds / balancers;
  report.start_bytes = static_cast<double>(result.start_bytes) / balancers;
  SummarizeOneQueue(experiment, result, report);
  return report;
}

std::string FormatText(const std::vector<RunReport>& reports) {
  std::string text;
  for (const RunReport& run : reports) {
    text += Figure(run, "worth", run.worth, "share");
    text += Figure(run, "worst_window", run.worst_window, "share");
    text += Figure(run, "one_queue.worth", run.one_queue_worth, "share");
    text += Figure(run, "one_queue.p99", run.one_queue_p99_ms, "ms");
    for (const auto& [name, kind] : run.kinds) {
      text += Figure(run, name + ".worth", kind.worth, "share");
      text += Figure(run, name + ".asked", static_cast<double>(kind.asked),
                     "requests");
      text += Figure(run, name + ".late", static_cast<double>(kind.late),
                     "requests");
      text += Figure(run, name + ".failed",
                     static_cast<double>(kind.shed + kind.cut + kind.deadline),
                     "requests");
      text += Figure(run, name + ".p50", kind.p50_ms, "ms");
      text += Figure(run, name + ".p99", kind.p99_ms, "ms");
    }
    for (const auto& [service, ratio] : run.imbalance)
      text += Figure(run, service + ".busiest_to_mean", ratio, "ratio");
    text += Figure(run, "resets", static_cast<double>(run.resets), "resets");
    text += Figure(run, "checks", static_cast<double>(run.checks), "checks");
    text += Figure(run, "peer_bytes", run.peer_bytes_per_s, "B/s");
    text += Figure(run, "start_bytes", run.start_bytes, "B");
    text += Figure(run, "rules_broken", static_cast<double>(run.breaks.size()),
                   "breaks");
    for (const RuleBreak& broken : run.breaks)
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
    json["worth"] = run.worth;
    json["worst_window"] = run.worst_window;
    json["one_queue"]["worth"] = run.one_queue_worth;
    json["one_queue"]["p99_ms"] = run.one_queue_p99_ms;
    json["resets"] = static_cast<Json::UInt64>(run.resets);
    json["checks"] = static_cast<Json::UInt64>(run.checks);
    json["peer_bytes_per_s"] = run.peer_bytes_per_s;
    json["start_bytes"] = run.start_bytes;
    for (const auto& [name, kind] : run.kinds)
      json["kinds"][name] = KindToJson(kind);
    for (const auto& [service, ratio] : run.imbalance)
      json["busiest_to_mean"][service] = ratio;
    json["broken"] = Json::Value(Json::arrayValue);
    for (const RuleBreak& broken : run.breaks) {
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
        << fault.name << ") for " << fault.span.count() << " ms</li>";
  out << "</ul><h2>Runs</h2><table><tr><th>variant</th><th>seed</th><th>worth"
         "</th><th>worst second</th><th>one queue, no "
         "faults</th><th>resets</th><th>checks</th><th>rules "
         "broken</th></tr>"
      << std::setprecision(4);
  for (const RunReport& run : reports)
    out << "<tr><td>" << run.variant << "</td><td>" << run.seed << "</td><td>"
        << run.worth << "</td><td>" << run.worst_window << "</td><td>"
        << run.one_queue_worth << "</td><td>" << run.resets << "</td><td>"
        << run.checks << "</td><td>" << run.breaks.size() << "</td></tr>";
  out << "</table>";
  constexpr double kPlotMs = 1000;
  for (const RunReport& run : reports) {
    Plot("Worth of each second", 1).Draw(run, &WindowReport::worth, out);
    Plot("Median answer time, ms", kPlotMs / 4)
        .Draw(run, &WindowReport::p50_ms, out);
    Plot("99th percentile of answer times, ms", kPlotMs)
        .Draw(run, &WindowReport::p99_ms, out);
  }
  return out.str();
}

}  // namespace cuminvane::emulate
