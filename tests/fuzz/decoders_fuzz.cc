/** @file decoders_fuzz.cc Everything that reads bytes from outside, for
 * libFuzzer; the first byte chooses the reader. Built with the preset fuzz. */

#include <cstdint>
#include <span>
#include <string>

#include "document/config_func.h"
#include "document/document_type.h"
#include "document/settings_func.h"
#include "document/vmlist_func.h"
#include "member/member_type.h"
#include "message/message_func.h"
#include "packet/pool_type.h"
#include "platform/packet_func.h"
#include "platform/record_func.h"
#include "platform/store_base.h"

using namespace cuminvane;

namespace {

void ReadPeerDatagram(const std::string& bytes) {
  const Result<Header> header = DecodeHeader(bytes);
  if (!header)
    return;
  static_cast<void>(Decode<Ping>(bytes, header.value()));
  static_cast<void>(Decode<Ack>(bytes, header.value()));
  static_cast<void>(Decode<PingRequest>(bytes, header.value()));
  static_cast<void>(Decode<DocumentDelta>(bytes, header.value()));
  static_cast<void>(Decode<DocumentPull>(bytes, header.value()));
  static_cast<void>(Decode<DocumentChunk>(bytes, header.value()));
  static_cast<void>(Decode<ReachNews>(bytes, header.value()));
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size == 0)
    return 0;
  const std::string bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % 7) {
    case 0:
      static_cast<void>(platform::ReadPacket(std::as_bytes(std::span(bytes))));
      break;
    case 1:
      static_cast<void>(platform::ReadAnswer(bytes));
      break;
    case 2: {
      const std::string text =
          platform::TranslateConfig({{"op/config", bytes}}).text;
      if (!text.empty())
        CheckConfig("fuzz", text);
      break;
    }
    case 3:
      CheckVmList("fuzz",
                  platform::TranslateVmList({{"servers/i-1", bytes}}, 1).text);
      break;
    case 4:
      CheckSettings("fuzz", bytes);
      break;
    case 5:
      ReadPeerDatagram(bytes);
      break;
    default:
      CheckConfig("fuzz", bytes);
      CheckVmList("fuzz", bytes);
      break;
  }
  return 0;
}
