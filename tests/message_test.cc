/** @file message_test.cc Datagrams and tokens: bad input is told apart and
 * never acted on. */

#include <random>

#include "message/message_func.h"
#include "request/token_func.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

const TokenKey kKey{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16};
const std::map<KeyNumber, TokenKey> kKeys{{KeyNumber{1}, kKey},
                                          {KeyNumber{2}, TokenKey{}}};

FlowToken SomeToken() {
  return {KeyNumber{1},     FlowId{42},
          ServiceId{7},     VmId{101},
          Incarnation{3},   {VmId{1}, Incarnation{9}},
          RequestNumber{5}, {VmId{2}, Incarnation{4}}};
}

ResultCode HeaderCode(const std::string& bytes) {
  const Result<DatagramHeader> header = DecodeHeader(bytes);
  return header ? ResultCode::kOk : header.error().code;
}

}  // namespace

TEST_GROUP(Messages){};

TEST(Messages, ComesBackAsItWasSent) {
  const std::string payload(3000, 'p');
  const Request request{
      FlowId{1}, MakeBlob("token"), RequestNumber{2}, ClassId{3}, 4,
      5,         MakeBlob(payload)};
  const std::string bytes = Encode(request);
  const Result<Request> decoded =
      Decode<Request>(bytes, DecodeHeader(bytes).value());
  CHECK(decoded.value() == request);
  // Zero copy: the payload still lies in the datagram.
  CHECK(decoded.value().payload.ptr >= bytes.data() &&
        decoded.value().payload.ptr < bytes.data() + bytes.size());
}

TEST(Messages, EveryTruncationIsTold) {
  const std::string bytes = Encode(RequestRecorded{
      FlowId{77777}, RequestNumber{88888}, {VmId{1}, Incarnation{2}}});
  for (size_t length = 0; length < bytes.size(); ++length) {
    const std::string cut = bytes.substr(0, length);
    const Result<DatagramHeader> header = DecodeHeader(cut);
    if (!header) {
      CHECK_CODE(ResultCode::kTruncated, header.error().code);
      continue;
    }
    CHECK_CODE(ResultCode::kTruncated,
               Decode<RequestRecorded>(cut, header.value()).error().code);
  }
}

TEST(Messages, GarbageVersionsAndSizesAreTold) {
  CHECK_CODE(ResultCode::kGarbage, HeaderCode("garbage"));
  CHECK_CODE(ResultCode::kGarbage, HeaderCode(std::string("\x92\xa1x\x01", 4)));
  CHECK_CODE(ResultCode::kUnknownVersion,
             HeaderCode(std::string("\x92\x63\x01", 3)));
  CHECK_CODE(ResultCode::kOversized,
             HeaderCode(std::string(kMaxDatagramBytes + 1, '\x92')));
  // A length that the datagram does not have.
  CHECK_CODE(ResultCode::kTruncated,
             HeaderCode(std::string("\xdd\x00\x00\x0f\xff", 5)));
  // A length that no message has.
  CHECK_CODE(ResultCode::kGarbage,
             HeaderCode(std::string("\xdd\xff\xff\xff\xff", 5)));
}

TEST(Messages, RandomBytesNeverPassAsAMessageOfAnotherType) {
  std::mt19937_64 random(3);
  for (int round = 0; round < 20000; ++round) {
    std::string bytes(random() % 64, '\0');
    for (char& byte : bytes)
      byte = static_cast<char>(random());
    // The decoder must come back with a value or an error, whatever comes.
    if (const Result<DatagramHeader> header = DecodeHeader(bytes)) {
      const bool decoded = Decode<Request>(bytes, header.value()).has_value();
      CHECK(!decoded || header.value().type == MessageType::kRequest);
    }
  }
}

TEST(Messages, OlderAndNewerFieldsAreTaken) {
  msgpack::sbuffer newer;
  internal::PackHeader(newer, MessageType::kRunAnswerReceived);
  msgpack::pack(newer,
                std::make_tuple(uint64_t{5}, std::string("a later field")));
  const std::string bytes(newer.data(), newer.size());
  LONGS_EQUAL(5, Decode<RunAnswerReceived>(bytes, DecodeHeader(bytes).value())
                     .value()
                     .run.value);
  msgpack::sbuffer older;
  internal::PackHeader(older, MessageType::kFlowOpened);
  msgpack::pack(older, std::make_tuple(uint64_t{9}, uint64_t{8}));
  const std::string short_bytes(older.data(), older.size());
  const Result<FlowOpened> opened =
      Decode<FlowOpened>(short_bytes, DecodeHeader(short_bytes).value());
  LONGS_EQUAL(8, opened.value().flow.value);
  LONGS_EQUAL(0, opened.value().code);
}

TEST_GROUP(Tokens){};

TEST(Tokens, AreOpenedWithTheirKeyOnly) {
  const std::string sealed = SealToken(SomeToken(), kKeys).value();
  CHECK(OpenToken(sealed, kKeys).value() == SomeToken());
  CHECK_CODE(ResultCode::kUnknownKey,
             OpenToken(sealed, {{KeyNumber{2}, kKey}}).error().code);
  CHECK_CODE(ResultCode::kBadMac,
             OpenToken(sealed, {{KeyNumber{1}, TokenKey{}}}).error().code);
}

TEST(Tokens, AnyChangedBitIsNoticed) {
  const std::string sealed = SealToken(SomeToken(), kKeys).value();
  for (size_t bit = 0; bit < sealed.size() * 8; ++bit) {
    std::string altered = sealed;
    altered[bit / 8] = static_cast<char>(altered[bit / 8] ^ (1 << (bit % 8)));
    CHECK(!OpenToken(altered, kKeys).has_value());
  }
}

TEST(Tokens, AnAnswerToAnOpenIsNeverLargerThanTheOpen) {
  FlowToken token = SomeToken();
  constexpr uint64_t kWide = UINT64_MAX;
  token.flow = FlowId{kWide};
  token.service = ServiceId{kWide};
  token.backend = VmId{UINT32_MAX};
  token.backend_incarnation = Incarnation{kWide};
  token.owner = {VmId{UINT32_MAX}, Incarnation{kWide}};
  token.fence = RequestNumber{kWide};
  token.witness = token.owner;
  const std::string sealed = SealToken(token, kKeys).value();
  const FlowOpened opened{kWide,     FlowId{kWide}, MakeBlob(sealed),
                          INT64_MAX, UINT16_MAX,    RequestNumber{kWide}};
  const std::string padding(kFlowOpenPaddingBytes, '\0');
  CHECK(Encode(opened).size() <= Encode(FlowOpen{1, MakeBlob(padding)}).size());
}
