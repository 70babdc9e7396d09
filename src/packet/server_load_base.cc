/** @file server_load_base.cc Schedule and ranges of reports about the load of
 * backend servers. */

#include "packet/server_load_base.h"

#include <xxhash.h>

#include <algorithm>

#include "message/message_func.h"
#include "packet/server_load_func.h"

namespace cuminvane {
namespace {

/** Interval of reports in a steady state. At 150 servers a report has about 165
 * bytes, so this is 55 B/s, under a tenth of the heartbeats' 600 B/s. */
constexpr Milliseconds kReportInterval{3000};
/** Interval after a start and while answer times rise. A report reaches all of
 * 81 balancers within about seven intervals. */
constexpr Milliseconds kFastReportInterval{750};
/** Reports that may be sent at the short interval in succession: 12 s. */
constexpr double kMaxFastReports = 16;
/** Time after which one more report may be sent early; it bounds the mean rate
 * under permanent overload to 1.4 times the steady one. */
constexpr Seconds kFastReportCredit{8};
/** Answers that take this many times as long as before are a marked change. */
constexpr double kMarkedDelay = 1.5;
/** Answers that the recent delay has to rest on. */
constexpr double kMinRecentAnswers = 8;
/** Half-life of the recent delay of all servers together. */
constexpr Milliseconds kRecentHalfLife{1000};
/** Largest number of servers in one report: 1,040 bytes every 3 s, or every
 * 0.75 s for some seconds. */
constexpr size_t kMaxServersPerReport = 1024;
/** Answers that the mean of a class covers; about 15 s at 18 answers per
 * second in two classes. */
constexpr int kClassAnswers = 128;

}  // namespace

void ServerLoadExchange::SetServers(const std::map<VmId, PoolMember>& members) {
  this->servers.clear();
  std::vector<uint64_t> words;
  for (const auto& [vm, member] : members) {
    if (member.delisted_at != kNever)
      continue;
    this->servers.push_back(vm);
    words.push_back(vm.value);
    words.push_back(member.incarnation.value);
  }
  this->list_digest = static_cast<uint32_t>(
      XXH3_64bits(words.data(), words.size() * sizeof(uint64_t)));
  if (this->next_first >= this->servers.size())
    this->next_first = 0;
}

void ServerLoadExchange::OnAnswer(PoolMember& member,
                                  const Endpoint& service,
                                  Microseconds time,
                                  TimePoint now) {
  const double ms = std::chrono::duration<double, std::milli>(time).count();
  ClassMean& work = this->classes[service];
  if (work.answers != 0 && ms < kMinAnswerRatio * work.answer_ms)
    return;
  work.answers = std::min(work.answers + 1, kClassAnswers);
  work.answer_ms += (ms - work.answer_ms) / work.answers;
  if (work.answer_ms <= 0)
    return;
  const double ratio = ms / work.answer_ms;
  if (member.load.slowness.weight > 0) {
    const double delay =
        std::min(ratio, kMaxAnswerRatio) / member.load.slowness.mean;
    const double weight = WeightAt(this->recent, kRecentHalfLife, now);
    this->recent = {(this->recent.mean * weight + delay) / (weight + 1),
                    weight + 1, now};
  }
  member.load = AddAnswer(member.load, ratio, now);
}

std::string ServerLoadExchange::NextReport(
    const std::map<VmId, PoolMember>& members,
    TimePoint now,
    RandomEngine& random) {
  if (this->servers.empty() || now < this->next_report_at)
    return {};
  const size_t count =
      std::min(kMaxServersPerReport, this->servers.size() - this->next_first);
  std::string loads;
  bool any_known = false;
  for (size_t index = 0; index < count; ++index) {
    const auto member = members.find(this->servers[this->next_first + index]);
    const uint8_t byte =
        member == members.end()
            ? 0
            : EncodeServerLoad(member->second.load, now, random);
    any_known |= byte != 0;
    loads.push_back(static_cast<char>(byte));
  }
  const ServerLoadReport report{this->list_digest,
                                static_cast<uint32_t>(this->next_first),
                                MakeBlob(loads)};
  this->next_first = (this->next_first + count) % this->servers.size();
  if (!any_known) {
    this->next_report_at = now + kFastReportInterval;
    return {};
  }
  const bool is_first = this->credited_at == TimePoint{};
  this->fast_reports =
      is_first ? kMaxFastReports
               : std::min(kMaxFastReports,
                          this->fast_reports + std::chrono::duration<double>(
                                                   now - this->credited_at) /
                                                   kFastReportCredit);
  this->credited_at = now;
  const bool is_starting =
      static_cast<double>(this->counters.sent) < kMaxFastReports;
  const bool is_delayed =
      WeightAt(this->recent, kRecentHalfLife, now) >= kMinRecentAnswers &&
      this->recent.mean > kMarkedDelay;
  const bool is_fast = this->fast_reports >= 1 && (is_starting || is_delayed);
  if (is_fast)
    this->fast_reports -= 1;
  // Half of the first interval is random, so that balancers that start together
  // don't send at the same times.
  const Microseconds interval = is_fast ? kFastReportInterval : kReportInterval;
  this->next_report_at = now + interval / 2 +
                         Microseconds(static_cast<int64_t>(DrawIndex(
                             random, static_cast<size_t>(interval.count()))));
  ++this->counters.sent;
  return Encode(report);
}

bool ServerLoadExchange::OnReport(const ServerLoadReport& report,
                                  std::map<VmId, PoolMember>& members,
                                  TimePoint now) {
  ++this->counters.received;
  const std::string_view loads = AsStringView(report.loads);
  if (report.list_digest != this->list_digest ||
      report.first > this->servers.size() ||
      loads.size() > this->servers.size() - report.first) {
    ++this->counters.ignored;
    return false;
  }
  for (size_t index = 0; index < loads.size(); ++index) {
    const auto member = members.find(this->servers[report.first + index]);
    if (member != members.end())
      member->second.load = MergeServerLoad(
          member->second.load, static_cast<uint8_t>(loads[index]), now);
  }
  return true;
}

}  // namespace cuminvane
