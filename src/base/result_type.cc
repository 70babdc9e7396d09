/** @file result_type.cc Looks up result codes in kResultCodes. */

#include "base/result_type.h"

#include <algorithm>

#include "base/result_table.h"

namespace cuminvane {
namespace {

/** Exit code for all result codes from kExitCodeLimit on. Lower result codes
 * are exit codes themselves. */
constexpr int kGenericExitCode = 1;
constexpr int kExitCodeLimit = 100;

const ResultCodeRow* FindRow(ResultCode code) {
  const auto* const row =
      std::ranges::lower_bound(kResultCodes, code, {}, &ResultCodeRow::code);
  const bool listed = row != kResultCodes.end() && row->code == code;
  return listed ? row : nullptr;
}

}  // namespace

const char* ToString(ResultCode code) {
  const ResultCodeRow* const row = FindRow(code);
  return row == nullptr ? "unlisted" : row->name;
}

Outcome OutcomeOf(ResultCode code) {
  const ResultCodeRow* const row = FindRow(code);
  return row == nullptr ? Outcome::kNone : row->outcome;
}

int ExitCodeOf(ResultCode code) {
  const int number = static_cast<int>(code);
  return number < kExitCodeLimit ? number : kGenericExitCode;
}

}  // namespace cuminvane
