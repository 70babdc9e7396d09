/** @file message_func.h Encodes and decodes datagrams: a header, then one
 * message. */

#ifndef CUMINVANE_MESSAGE_MESSAGE_FUNC_H_
#define CUMINVANE_MESSAGE_MESSAGE_FUNC_H_

#include <string>
#include <string_view>

#include "base/result_type.h"
#include "message/message_backend_type.h"
#include "message/message_caller_type.h"
#include "message/message_peer_type.h"
#include "message/message_type.h"

namespace cuminvane {

/** First object of every datagram. */
struct DatagramHeader {
  uint16_t version = 0;
  MessageType type = MessageType::kFlowOpen;
  size_t body_offset = 0;  ///< Offset of the message in the datagram.

  bool operator==(const DatagramHeader&) const = default;
};

/**
 * @param datagram A whole datagram.
 * @return Its header; kOversized, kTruncated, kGarbage or kUnknownVersion.
 */
Result<DatagramHeader> DecodeHeader(std::string_view datagram);

namespace internal {

/** Packs the header of a message. */
void PackHeader(msgpack::sbuffer& buffer, MessageType type);

/** Unpacks the object at `offset`; nothing is copied out of the datagram. */
Result<msgpack::object> UnpackBody(std::string_view datagram,
                                   size_t offset,
                                   msgpack::zone& zone);

}  // namespace internal

/**
 * @param message Any message.
 * @return The datagram that carries it.
 */
template <class Message>
std::string Encode(const Message& message) {
  msgpack::sbuffer buffer;
  internal::PackHeader(buffer, Message::kType);
  msgpack::pack(buffer, message);
  return {buffer.data(), buffer.size()};
}

/**
 * Decodes the message behind a header; missing trailing fields keep their
 * defaults, further ones are ignored.
 * @param datagram The datagram; blobs of the message refer to it.
 * @param header Its header.
 * @return The message; kTruncated, kGarbage, or kUnexpectedType where the
 * header names another type.
 */
template <class Message>
Result<Message> Decode(std::string_view datagram,
                       const DatagramHeader& header) {
  if (header.type != Message::kType)
    return Error{ResultCode::kUnexpectedType, "another message type"};
  msgpack::zone zone;
  BOOST_OUTCOME_TRY(object,
                    internal::UnpackBody(datagram, header.body_offset, zone));
  try {
    return object.as<Message>();
  } catch (const msgpack::type_error&) {
    return Error{ResultCode::kGarbage, "a field of another type"};
  }
}

}  // namespace cuminvane

#endif  // CUMINVANE_MESSAGE_MESSAGE_FUNC_H_
