/** @file guard_func.cc Reports of unexpected errors. */

#include "shell/guard_func.h"

#include <atomic>

#include "shell/clock_func.h"
#include "shell/log_func.h"

namespace cuminvane {
namespace {

std::atomic<uint64_t> error_count = 0;
std::atomic<int64_t> last_logged_second = 0;

}  // namespace

void ReportUnexpectedError(const char* handler, const std::string& what) {
  const uint64_t count = ++error_count;
  const int64_t second =
      std::chrono::duration_cast<Seconds>(ReadClock().time_since_epoch())
          .count();
  if (last_logged_second.exchange(second) == second)
    return;
  LogLine(Topic::kProcess, Severity::kError,
          std::string("event=unexpected_error handler=") + handler +
              " count=" + std::to_string(count) + " reason=\"" + what + "\"");
}

uint64_t UnexpectedErrors() {
  return error_count;
}

}  // namespace cuminvane
