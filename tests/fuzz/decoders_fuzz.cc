/** @file decoders_fuzz.cc Fuzz target for all decoders of untrusted input; the
 * first byte selects the decoder. Built with libFuzzer by the preset fuzz, and
 * with corpus_main.cc in place of libFuzzer for the tests. */

#include <cstdint>
#include <cstdlib>
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

constexpr int kDecoderCount = 8;

/** Decodes the datagram as each of the message types. */
template <class... Messages>
void DecodeAs(const std::string& bytes) {
  const Result<DatagramHeader> header = DecodeHeader(bytes);
  if (header)
    (static_cast<void>(Decode<Messages>(bytes, header.value())), ...);
}

/** Decodes the datagram as each message between balancers. */
void DecodePeerDatagram(const std::string& bytes) {
  DecodeAs<Ping, Ack, PingRequest, DocumentPush, DocumentFetch, DocumentAnswer,
           ReachabilityUpdate, ServerLoadReport, RelayedPacket, DispatchIntent,
           DispatchIntentReply>(bytes);
}

/** Decodes the datagram as each message of the fabric, callers and backend
 * servers. */
void DecodeTokenPlaneDatagram(const std::string& bytes) {
  DecodeAs<FabricPacket, FlowOpen, Request, MissingPartsQuery, AnswerReceived,
           CancelRequest, FlowReopen, FeedFollow, FeedUnfollow, FlowOpened,
           AnswerPart, RequestOutcome, RequestRecorded, FeedEvent,
           FeedFollowed>(bytes);
  DecodeAs<StartRun, CancelRun, MissingRunPartsQuery, RunAnswerReceived,
           Subscribe, Unsubscribe, RunAccepted, RunPart, RunRefused,
           CancelRunReply, RunLost, PublishedEvent, Subscribed>(bytes);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size == 0)
    return 0;
  const std::string bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % kDecoderCount) {
    case 0:
      static_cast<void>(platform::ParsePacket(std::as_bytes(std::span(bytes))));
      break;
    case 1:
      static_cast<void>(platform::ParseStoreAnswer(bytes));
      break;
    case 2: {
      const std::string text =
          platform::TranslateConfig({{"op/config", bytes}}).text;
      if (!text.empty() && !CheckConfig("fuzz", text).problems.empty())
        std::abort();  // What is translated must be valid.
      break;
    }
    case 3: {
      const std::string text =
          platform::TranslateVmList({{"servers/i-1", bytes}}, 1).text;
      if (!CheckVmList("fuzz", text).problems.empty())
        std::abort();
      break;
    }
    case 4:
      CheckSettings("fuzz", bytes);
      break;
    case 5:
      DecodePeerDatagram(bytes);
      break;
    case 6:
      DecodeTokenPlaneDatagram(bytes);
      break;
    default:
      CheckConfig("fuzz", bytes);
      CheckVmList("fuzz", bytes);
      break;
  }
  return 0;
}
