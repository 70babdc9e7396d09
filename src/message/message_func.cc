/** @file message_func.cc Encoding and decoding of datagrams with MessagePack.
 */

#include "message/message_func.h"

namespace cuminvane {
namespace {

/** Limits for array lengths and nesting. Every valid message is below them;
 * they bound the memory that a malicious datagram can make the decoder use. */
constexpr size_t kMaxItems = 4096;
constexpr size_t kMaxNestingDepth = 8;

/** Makes msgpack refer to blobs inside the datagram instead of copying them. */
bool ReferenceAlways(msgpack::type::object_type, size_t, void*) {
  return true;
}

/** @return Limits of the decoder. Messages contain no maps and no extension
 * types, whose limits are therefore 0. */
msgpack::unpack_limit Limits() {
  return {kMaxItems,         0, kMaxDatagramBytes,
          kMaxDatagramBytes, 0, kMaxNestingDepth};
}

Result<msgpack::object> UnpackAt(std::string_view datagram,
                                 size_t& offset,
                                 msgpack::zone& zone) {
  try {
    bool referenced = false;
    return msgpack::unpack(zone, datagram.data(), datagram.size(), offset,
                           referenced, ReferenceAlways, nullptr, Limits());
  } catch (const msgpack::insufficient_bytes&) {
    return Error{ResultCode::kTruncated, "datagram ends inside a message"};
  } catch (const msgpack::unpack_error&) {
    return Error{ResultCode::kGarbage, "datagram is not MessagePack"};
  }
}

}  // namespace

namespace internal {

void PackHeader(msgpack::sbuffer& buffer, MessageType type) {
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(2);
  packer.pack(kProtocolVersion);
  packer.pack(static_cast<uint8_t>(type));
}

Result<msgpack::object> UnpackBody(std::string_view datagram,
                                   size_t offset,
                                   msgpack::zone& zone) {
  BOOST_OUTCOME_TRY(object, UnpackAt(datagram, offset, zone));
  if (offset != datagram.size())
    return Error{ResultCode::kGarbage, "unexpected bytes after the message"};
  return object;
}

}  // namespace internal

Result<DatagramHeader> DecodeHeader(std::string_view datagram) {
  if (datagram.size() > kMaxDatagramBytes)
    return Error{ResultCode::kOversized,
                 "datagram is larger than the protocol allows"};
  msgpack::zone zone;
  size_t offset = 0;
  BOOST_OUTCOME_TRY(object, UnpackAt(datagram, offset, zone));
  constexpr uint32_t kFields = 2;
  if (object.type != msgpack::type::ARRAY || object.via.array.size < kFields)
    return Error{ResultCode::kGarbage, "header is not an array of two fields"};
  const msgpack::object& version = object.via.array.ptr[0];
  const msgpack::object& type = object.via.array.ptr[1];
  if (version.type != msgpack::type::POSITIVE_INTEGER ||
      type.type != msgpack::type::POSITIVE_INTEGER || type.via.u64 > UINT8_MAX)
    return Error{ResultCode::kGarbage,
                 "header fields are not unsigned integers in range"};
  if (version.via.u64 != kProtocolVersion)
    return Error{ResultCode::kUnknownVersion, "unsupported protocol version"};
  return DatagramHeader{kProtocolVersion,
                        static_cast<MessageType>(type.via.u64), offset};
}

}  // namespace cuminvane
