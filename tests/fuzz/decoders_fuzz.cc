/** @file decoders_fuzz.cc Everything that reads bytes from outside, for
 * libFuzzer; the first byte chooses the reader. Built with the preset fuzz, and
 * for the tests with corpus_main.cc in place of libFuzzer. */

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

constexpr int kReaders = 8;

/** Reads the datagram as each of the messages. */
template <class... Messages>
void ReadAs(const std::string& bytes) {
  const Result<DatagramHeader> header = DecodeHeader(bytes);
  if (header)
    (static_cast<void>(Decode<Messages>(bytes, header.value())), ...);
}

void ReadPeerDatagram(const std::string& bytes) {
  ReadAs<Ping, Ack, PingRequest, DocumentDelta, DocumentPull, DocumentChunk,
         ReachabilityUpdate, RelayedPacket, DispatchIntent,
         DispatchIntentReply>(bytes);
}

void ReadTokenPlaneDatagram(const std::string& bytes) {
  ReadAs<FabricPacket, FlowOpen, Request, MissingPartsQuery, AnswerReceived,
         CancelRequest, FlowReopen, FeedFollow, FeedUnfollow, FlowOpened,
         AnswerPart, RequestOutcome, RequestRecorded, FeedEvent, FeedFollowed>(
      bytes);
  ReadAs<StartRun, CancelRun, MissingRunPartsQuery, RunAnswerReceived,
         Subscribe, Unsubscribe, RunAccepted, RunPart, RunRefused,
         CancelRunReply, RunLost, PublishedEvent, Subscribed>(bytes);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size == 0)
    return 0;
  const std::string bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % kReaders) {
    case 0:
      static_cast<void>(platform::ParsePacket(std::as_bytes(std::span(bytes))));
      break;
    case 1:
      static_cast<void>(platform::ParseStoreAnswer(bytes));
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
    case 6:
      ReadTokenPlaneDatagram(bytes);
      break;
    default:
      CheckConfig("fuzz", bytes);
      CheckVmList("fuzz", bytes);
      break;
  }
  return 0;
}
