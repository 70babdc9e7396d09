/** @file message_func.h Encodes and decodes datagrams. A datagram consists of a
 * header and one message, both in MessagePack. */

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

/** The header at the start of every datagram. */
struct DatagramHeader {
  uint16_t version = 0;  ///< Protocol version, see kProtocolVersion.
  MessageType type = MessageType::kFlowOpen;
  size_t body_offset = 0;  ///< Offset of the message in the datagram, in bytes.

  bool operator==(const DatagramHeader&) const = default;
};

/**
 * @param datagram A whole datagram.
 * @return The header, or kOversized, kTruncated, kGarbage or kUnknownVersion.
 */
Result<DatagramHeader> DecodeHeader(std::string_view datagram);

namespace internal {

/** Appends the header for a message of the given type to the buffer. */
void PackHeader(msgpack::sbuffer& buffer, MessageType type);

/**
 * Unpacks the message behind a header.
 * @param datagram A whole datagram; the returned object refers to it.
 * @param offset Offset of the message, in bytes.
 * @param zone Memory for the object's arrays; must outlive the object.
 * @return The object, or kTruncated or kGarbage.
 */
Result<msgpack::object> UnpackBody(std::string_view datagram,
                                   size_t offset,
                                   msgpack::zone& zone);

}  // namespace internal

/**
 * @param message Any message.
 * @return The datagram with the header and the message.
 */
template <class Message>
std::string Encode(const Message& message) {
  msgpack::sbuffer buffer;
  internal::PackHeader(buffer, Message::kType);
  msgpack::pack(buffer, message);
  return {buffer.data(), buffer.size()};
}

/**
 * Decodes the message behind a header. Trailing fields that the sender's
 * version doesn't have keep their defaults; unknown trailing fields are
 * ignored.
 * @param datagram The datagram; blobs of the message refer to it.
 * @param header The datagram's header.
 * @return The message, or kTruncated, kGarbage, or kUnexpectedType if the
 * header carries another message type.
 */
template <class Message>
Result<Message> Decode(std::string_view datagram,
                       const DatagramHeader& header) {
  if (header.type != Message::kType)
    return Error{ResultCode::kUnexpectedType,
                 "unexpected message type in the header"};
  msgpack::zone zone;
  BOOST_OUTCOME_TRY(object,
                    internal::UnpackBody(datagram, header.body_offset, zone));
  try {
    return object.as<Message>();
  } catch (const msgpack::type_error&) {
    return Error{ResultCode::kGarbage, "a message field has the wrong type"};
  }
}

/** Decodes the header and the message behind it. @return The message, or an
 * error of DecodeHeader() or Decode(). */
template <class Message>
Result<Message> DecodeWhole(std::string_view datagram) {
  BOOST_OUTCOME_TRY(header, DecodeHeader(datagram));
  return Decode<Message>(datagram, header);
}

}  // namespace cuminvane

#endif  // CUMINVANE_MESSAGE_MESSAGE_FUNC_H_
