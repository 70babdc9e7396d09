/** @file decode_func.h Decodes messages of other balancers. */

#ifndef CUMINVANE_MEMBER_DECODE_FUNC_H_
#define CUMINVANE_MEMBER_DECODE_FUNC_H_

#include <optional>
#include <string_view>

#include "decision/drop_func.h"
#include "message/message_func.h"

namespace cuminvane {

/**
 * @param header Header of the message in `bytes`.
 * @param out Receives the report if the message is malformed.
 * @return The message; no value if it is malformed.
 */
template <class Message>
std::optional<Message> DecodePeerMessage(std::string_view bytes,
                                         const DatagramHeader& header,
                                         Output& out) {
  Result<Message> message = Decode<Message>(bytes, header);
  if (message)
    return std::move(message).value();
  ReportDrop(message.error().code, "peer", out);
  return std::nullopt;
}

}  // namespace cuminvane

#endif  // CUMINVANE_MEMBER_DECODE_FUNC_H_
