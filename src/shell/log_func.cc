/** @file log_func.cc Logging through Boost.Log with rate limits. */

#include "shell/log_func.h"

#include <array>
#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/date_time/posix_time/posix_time_types.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>
#include <iostream>

#include "decision/decision_func.h"

namespace cuminvane {
namespace {

namespace log = boost::log;

/** Maximum lines that wait to be written; further lines are dropped, so that a
 * slow reader of the log never delays packets. */
constexpr size_t kMaxQueuedLines = 4096;

using Sink = log::sinks::asynchronous_sink<
    log::sinks::text_ostream_backend,
    log::sinks::bounded_fifo_queue<kMaxQueuedLines,
                                   log::sinks::drop_on_overflow>>;

/** Minimum severity of logged lines, by topic. */
std::array<std::atomic<Severity>, kTopics.size()> min_severities;
/** Value of `process=` in every line. */
std::string process_name;

/** Limits the lines per second and counts the dropped ones. */
class LineRateLimiter {
 public:
  /** Sets the maximum lines per second. */
  void SetLimit(int lines) { this->limit = lines; }

  /** @return Whether a line may be written now; counts it as dropped if not. */
  bool TryAcquire(TimePoint now) {
    const int64_t now_second =
        std::chrono::duration_cast<Seconds>(now.time_since_epoch()).count();
    if (this->current_second.exchange(now_second) != now_second)
      this->lines = 0;
    const bool is_within_limit = this->lines++ < this->limit;
    this->dropped += is_within_limit ? 0 : 1;
    return is_within_limit;
  }

  /** @return Number of lines dropped since the last call; resets it to 0. */
  uint64_t ResetDropped() { return this->dropped.exchange(0); }

 private:
  std::atomic<int> limit = 0;               ///< Maximum lines per second.
  std::atomic<int64_t> current_second = 0;  ///< Unix time that `lines` counts.
  std::atomic<int> lines = 0;         ///< Lines requested in `current_second`.
  std::atomic<uint64_t> dropped = 0;  ///< Lines dropped since the last reset.
};

LineRateLimiter input_limiter;  // Lines about invalid input.
LineRateLimiter line_limiter;   // Lines of decisions below error severity.

/** Owns the log sink; flushes it and stops its writing thread when the process
 * ends. */
struct SinkOwner {
  boost::shared_ptr<Sink> sink;

  ~SinkOwner() {
    if (this->sink == nullptr)
      return;
    log::core::get()->remove_sink(this->sink);
    this->sink->stop();
    this->sink->flush();
  }
};

SinkOwner& GetSinkOwner() {
  static SinkOwner owner;
  return owner;
}

}  // namespace

void StartLog(const std::string& process,
              const LogLevels& levels,
              int lines_per_s,
              int input_lines_per_s) {
  process_name = process;
  line_limiter.SetLimit(lines_per_s);
  input_limiter.SetLimit(input_lines_per_s);
  for (const Topic topic : kTopics)
    SetLogLevel(topic, levels.min_severity.at(static_cast<size_t>(topic)));
  log::core::get()->add_global_attribute("TimeStamp",
                                         log::attributes::utc_clock());
  auto backend = boost::make_shared<log::sinks::text_ostream_backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
  auto sink = boost::make_shared<Sink>(backend);
  sink->set_formatter(
      log::expressions::stream
      << "time="
      << log::expressions::format_date_time<boost::posix_time::ptime>(
             "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
      << " " << log::expressions::smessage);
  log::core::get()->add_sink(sink);
  GetSinkOwner().sink = sink;
}

void SetLogLevel(Topic topic, Severity min_severity) {
  min_severities.at(static_cast<size_t>(topic)) = min_severity;
}

LogLevels CurrentLogLevels() {
  LogLevels levels;
  for (const Topic topic : kTopics)
    levels.min_severity.at(static_cast<size_t>(topic)) =
        min_severities.at(static_cast<size_t>(topic));
  return levels;
}

bool IsLogged(Topic topic, Severity severity) {
  return severity >= min_severities.at(static_cast<size_t>(topic)).load();
}

void LogDecision(TimePoint now, const Decision& decision) {
  if (!IsLogged(decision.topic, decision.severity))
    return;
  if (decision.topic == Topic::kInput && !input_limiter.TryAcquire(now))
    return;
  // Decisions of error severity are exempt from this limit, because counts are
  // derived from them. Lines about the end of the process are written by
  // LogLine, which has no limit.
  if (decision.severity < Severity::kError && !line_limiter.TryAcquire(now))
    return;
  if (const uint64_t dropped = line_limiter.ResetDropped(); dropped != 0)
    LogLine(Topic::kProcess, Severity::kWarning,
            "event=lines_dropped count=" + std::to_string(dropped));
  LogLine(decision.topic, decision.severity, FormatDecision(decision));
}

void LogLine(Topic topic, Severity severity, const std::string& pairs) {
  if (!IsLogged(topic, severity))
    return;
  static log::sources::logger_mt logger;
  BOOST_LOG(logger) << "process=" << process_name
                    << " topic=" << ToString(topic)
                    << " severity=" << ToString(severity) << " " << pairs;
}

}  // namespace cuminvane
