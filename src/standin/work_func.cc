/** @file work_func.cc Text form of work orders, and answers to them. */

#include "standin/work_func.h"

#include <sstream>

namespace cuminvane {
namespace {

/** Size of one part in bytes; large enough that an answer of many parts needs
 * many datagrams. */
constexpr size_t kPartBytes = 400;

}  // namespace

std::string FormatOrder(const WorkOrder& order) {
  std::ostringstream out;
  out << order.tag << ' ' << order.service << ' ' << order.parts << ' '
      << order.busy.count();
  return out.str();
}

std::optional<WorkOrder> ParseOrder(std::string_view payload) {
  std::istringstream in{std::string(payload)};
  WorkOrder order;
  int64_t busy = 0;
  constexpr uint32_t kMaxParts = 1024;
  if (!(in >> order.tag >> order.service >> order.parts >> busy) || busy < 0 ||
      order.parts == 0 || order.parts > kMaxParts)
    return std::nullopt;
  order.busy = Microseconds(busy);
  return order;
}

std::string MakeAnswerPart(std::string_view service,
                           std::string_view tag,
                           uint32_t index,
                           uint32_t count) {
  std::ostringstream out;
  out << '<' << service << ' ' << tag << ' ' << index << ' ' << count << ' ';
  std::string part = out.str();
  part.resize(kPartBytes - 1, '.');
  return part + '>';
}

AnswerCheck CheckAnswer(const WorkOrder& order, std::string_view answer) {
  std::string expected;
  for (uint32_t index = 0; index < order.parts; ++index)
    expected += MakeAnswerPart(order.service, order.tag, index, order.parts);
  if (answer == expected)
    return AnswerCheck::kWhole;
  for (size_t offset = 0; offset + kPartBytes <= answer.size();
       offset += kPartBytes) {
    std::istringstream in{
        std::string(answer.substr(offset + 1, kPartBytes - 1))};
    std::string service;
    std::string tag;
    in >> service >> tag;
    if (service != order.service)
      return AnswerCheck::kWrongService;
    if (tag != order.tag)
      return AnswerCheck::kMixed;
  }
  return answer.size() < expected.size() ? AnswerCheck::kIncomplete
                                         : AnswerCheck::kMixed;
}

}  // namespace cuminvane
