/** @file work_func.h The work that stand-in callers ask for and stand-in
 * backend servers do. */

#ifndef CUMINVANE_STANDIN_WORK_FUNC_H_
#define CUMINVANE_STANDIN_WORK_FUNC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time_type.h"

namespace cuminvane {

/** What one request asks of a backend server. */
struct WorkOrder {
  std::string tag;       ///< Unique; no two requests share one.
  std::string service;   ///< Service that the caller means.
  uint32_t parts = 1;    ///< Parts of the answer.
  Microseconds busy{0};  ///< Time it takes one slot.

  bool operator==(const WorkOrder&) const = default;
};

/** @return The order as a request's payload. */
std::string FormatOrder(const WorkOrder& order);

/** @return The order, or nothing where the payload is not one. */
std::optional<WorkOrder> ParseOrder(std::string_view payload);

/**
 * @param service Service of the backend server that answers.
 * @param tag Tag of the order.
 * @param index Number of the part, from 0.
 * @param count Number of parts.
 * @return The part's bytes; they tell whose answer they belong to.
 */
std::string MakeAnswerPart(std::string_view service,
                           std::string_view tag,
                           uint32_t index,
                           uint32_t count);

/** How an answer compares with its order. */
enum class AnswerCheck : uint8_t { kWhole, kIncomplete, kMixed, kWrongService };

/** @return The answer's fault, kWhole where it has none. */
AnswerCheck CheckAnswer(const WorkOrder& order, std::string_view answer);

}  // namespace cuminvane

#endif  // CUMINVANE_STANDIN_WORK_FUNC_H_
