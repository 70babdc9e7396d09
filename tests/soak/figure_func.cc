/** @file figure_func.cc Prints the figures of a demo of the soak test. */

#include "tests/soak/figure_func.h"

#include <algorithm>
#include <iostream>

namespace cuminvane::soak {
namespace {

/** Prints the figures of one kind.
 * @param index Index of the kind in the records of the callers. */
void PrintFiguresOf(const emulate::RequestKind& kind,
                    size_t index,
                    const std::deque<emulate::CallerModel>& callers,
                    TimePoint issued_until) {
  std::vector<Milliseconds> times;
  size_t asked = 0;
  size_t in_time = 0;
  for (const emulate::CallerModel& caller : callers) {
    for (const emulate::RequestRecord& record : caller.Records()) {
      if (record.kind != index || record.issued_at > issued_until)
        continue;
      ++asked;
      if (record.end != emulate::RequestEnd::kDone)
        continue;
      times.push_back(std::chrono::duration_cast<Milliseconds>(
          record.ended_at - record.issued_at));
      in_time += times.back() <= kind.target ? 1 : 0;
    }
  }
  std::ranges::sort(times);
  const auto at = [&times](size_t percent) {
    return times.empty() ? Milliseconds(0)
                         : times[(times.size() - 1) * percent / 100];
  };
  std::cout << "figure=" << kind.name << " asked=" << asked
            << " answered=" << times.size() << " in_time=" << in_time
            << " p50_ms=" << at(50).count() << " p99_ms=" << at(99).count()
            << "\n";
}

}  // namespace

void PrintFigures(const std::vector<emulate::RequestKind>& kinds,
                  const std::deque<emulate::CallerModel>& callers,
                  TimePoint issued_until,
                  size_t violations) {
  size_t resets = 0;
  for (const emulate::CallerModel& caller : callers)
    resets += caller.Resets().size();
  std::cout << "figure=broken_promises value=" << violations
            << " unit=promises\nfigure=flows_reset value=" << resets
            << " unit=flows\n";
  for (size_t kind = 0; kind < kinds.size(); ++kind)
    PrintFiguresOf(kinds[kind], kind, callers, issued_until);
}

}  // namespace cuminvane::soak
