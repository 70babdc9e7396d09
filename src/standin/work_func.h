/** @file work_func.h Work orders, which stand-in callers send as the payload of
 * requests, and the answers of stand-in backend servers to them. */

#ifndef CUMINVANE_STANDIN_WORK_FUNC_H_
#define CUMINVANE_STANDIN_WORK_FUNC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time_type.h"

namespace cuminvane {

/** The work that one request asks a backend server to do. */
struct WorkOrder {
  std::string tag;       ///< Identifies the request; unique in a demo.
  std::string service;   ///< Name of the service that must answer.
  uint32_t parts = 1;    ///< Number of parts of the answer.
  Microseconds busy{0};  ///< Time for which the work occupies a slot.

  bool operator==(const WorkOrder&) const = default;
};

/** @return The order as the payload of a request. */
std::string FormatOrder(const WorkOrder& order);

/** @return The order; nullopt if the payload is not a valid order. */
std::optional<WorkOrder> ParseOrder(std::string_view payload);

/**
 * Makes one part of an answer, of fixed size.
 *
 * @param service Name of the service of the backend server that answers.
 * @param tag Tag of the order.
 * @param index Index of the part, starting at 0.
 * @param count Number of parts of the answer.
 * @return The bytes of the part; they contain all parameters, so that parts of
 *     different answers can be told apart.
 */
std::string MakeAnswerPart(std::string_view service,
                           std::string_view tag,
                           uint32_t index,
                           uint32_t count);

/** Result of the comparison of an answer with its order. */
enum class AnswerCheck : uint8_t {
  kWhole,        ///< Equal to the expected answer.
  kIncomplete,   ///< Shorter than expected; each part belongs to the order.
  kMixed,        ///< Has a part of another order, or differs otherwise.
  kWrongService  ///< Has a part of a backend server of another service.
};

/** @return The first fault found in the answer; kWhole if there is none. */
AnswerCheck CheckAnswer(const WorkOrder& order, std::string_view answer);

}  // namespace cuminvane

#endif  // CUMINVANE_STANDIN_WORK_FUNC_H_
