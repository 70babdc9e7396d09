/** @file message_test.cc Datagrams and tokens: valid ones decode unchanged,
 * invalid ones are rejected with the right result code. */

#include <random>

#include "message/message_func.h"
#include "request/token_func.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

const TokenKey kKey{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16};
const std::map<KeyNumber, TokenKey> kKeys{{KeyNumber{1}, kKey},
                                          {KeyNumber{2}, TokenKey{}}};

FlowToken SampleToken() {
  return {KeyNumber{1},     FlowId{42},
          ServiceId{7},     VmId{101},
          Incarnation{3},   {VmId{1}, Incarnation{9}},
          RequestNumber{5}, {VmId{2}, Incarnation{4}}};
}

/** @return Result code of decoding the datagram's header. */
ResultCode HeaderResultCode(const std::string& bytes) {
  const Result<DatagramHeader> header = DecodeHeader(bytes);
  return header ? ResultCode::kOk : header.error().code;
}

}  // namespace

TEST_GROUP(Messages){};

TEST(Messages, DecodedRequestEqualsEncodedWithoutCopy) {
  const std::string payload(3000, 'p');
  const Request request{
      FlowId{1}, MakeBlob("token"), RequestNumber{2}, ClassId{3}, 4,
      5,         MakeBlob(payload)};
  const std::string bytes = Encode(request);
  const Result<Request> decoded =
      Decode<Request>(bytes, DecodeHeader(bytes).value());
  CHECK(decoded.value() == request);
  // Zero copy: the decoded payload points into the datagram.
  CHECK(decoded.value().payload.ptr >= bytes.data() &&
        decoded.value().payload.ptr < bytes.data() + bytes.size());
}

/** A datagram cut off at any byte must be reported as truncated, not decoded
 * with default values. */
TEST(Messages, EveryTruncationIsReported) {
  const std::string bytes = Encode(RequestRecorded{
      FlowId{77777}, RequestNumber{88888}, {VmId{1}, Incarnation{2}}});
  for (size_t length = 0; length < bytes.size(); ++length) {
    const std::string truncated = bytes.substr(0, length);
    const Result<DatagramHeader> header = DecodeHeader(truncated);
    if (!header) {
      CHECK_CODE(ResultCode::kTruncated, header.error().code);
      continue;
    }
    CHECK_CODE(ResultCode::kTruncated,
               Decode<RequestRecorded>(truncated, header.value()).error().code);
  }
}

TEST(Messages, InvalidHeadersAreReportedByCause) {
  CHECK_CODE(ResultCode::kGarbage, HeaderResultCode("garbage"));
  CHECK_CODE(ResultCode::kGarbage,
             HeaderResultCode(std::string("\x92\xa1x\x01", 4)));
  CHECK_CODE(ResultCode::kUnknownVersion,
             HeaderResultCode(std::string("\x92\x63\x01", 3)));
  CHECK_CODE(ResultCode::kOversized,
             HeaderResultCode(std::string(kMaxDatagramBytes + 1, '\x92')));
  // An array length larger than the datagram.
  CHECK_CODE(ResultCode::kTruncated,
             HeaderResultCode(std::string("\xdd\x00\x00\x0f\xff", 5)));
  // An array length larger than any message has.
  CHECK_CODE(ResultCode::kGarbage,
             HeaderResultCode(std::string("\xdd\xff\xff\xff\xff", 5)));
}

/** Decode<Request> must accept only bytes whose header says that they are a
 * request. */
TEST(Messages, RandomBytesNeverDecodeAsAnotherMessageType) {
  std::mt19937_64 random(3);
  for (int round = 0; round < 20000; ++round) {
    std::string bytes(random() % 64, '\0');
    for (char& byte : bytes)
      byte = static_cast<char>(random());
    // The decoder must return a value or an error for any input.
    if (const Result<DatagramHeader> header = DecodeHeader(bytes)) {
      const bool decoded = Decode<Request>(bytes, header.value()).has_value();
      CHECK(!decoded || header.value().type == MessageType::kRequest);
    }
  }
}

/** During a rolling update, balancers of two releases exchange messages. A
 * newer release may append fields, and an older one may lack the last ones,
 * which then have their defaults. */
TEST(Messages, MissingAndExtraFieldsAreAccepted) {
  msgpack::sbuffer newer_message;
  internal::PackHeader(newer_message, MessageType::kRunAnswerReceived);
  msgpack::pack(newer_message,
                std::make_tuple(uint64_t{5}, std::string("a later field")));
  const std::string bytes(newer_message.data(), newer_message.size());
  LONGS_EQUAL(5, Decode<RunAnswerReceived>(bytes, DecodeHeader(bytes).value())
                     .value()
                     .run.value);
  msgpack::sbuffer older_message;
  internal::PackHeader(older_message, MessageType::kFlowOpened);
  msgpack::pack(older_message, std::make_tuple(uint64_t{9}, uint64_t{8}));
  const std::string older_bytes(older_message.data(), older_message.size());
  const Result<FlowOpened> opened =
      Decode<FlowOpened>(older_bytes, DecodeHeader(older_bytes).value());
  LONGS_EQUAL(8, opened.value().flow.value);
  LONGS_EQUAL(0, opened.value().code);
}

TEST_GROUP(Tokens){};

/** A token names the number of its key; the key must exist and must be the one
 * that sealed the token. */
TEST(Tokens, TokenOpensOnlyWithItsKey) {
  const std::string sealed = SealToken(SampleToken(), kKeys).value();
  CHECK(OpenToken(sealed, kKeys).value() == SampleToken());
  CHECK_CODE(ResultCode::kUnknownKey,
             OpenToken(sealed, {{KeyNumber{2}, kKey}}).error().code);
  CHECK_CODE(ResultCode::kBadMac,
             OpenToken(sealed, {{KeyNumber{1}, TokenKey{}}}).error().code);
}

TEST(Tokens, AnyFlippedBitIsDetected) {
  const std::string sealed = SealToken(SampleToken(), kKeys).value();
  for (size_t bit = 0; bit < sealed.size() * 8; ++bit) {
    std::string altered = sealed;
    altered[bit / 8] = static_cast<char>(altered[bit / 8] ^ (1 << (bit % 8)));
    CHECK(!OpenToken(altered, kKeys).has_value());
  }
}

/** A larger reply to an unverified sender could be used for amplification
 * attacks. All fields have their largest encoding here. */
TEST(Tokens, FlowOpenedIsNeverLargerThanFlowOpen) {
  FlowToken token = SampleToken();
  constexpr uint64_t kMaxValue = UINT64_MAX;
  token.flow = FlowId{kMaxValue};
  token.service = ServiceId{kMaxValue};
  token.backend = VmId{UINT32_MAX};
  token.backend_incarnation = Incarnation{kMaxValue};
  token.owner = {VmId{UINT32_MAX}, Incarnation{kMaxValue}};
  token.fence = RequestNumber{kMaxValue};
  token.witness = token.owner;
  const std::string sealed = SealToken(token, kKeys).value();
  const FlowOpened opened{kMaxValue,        FlowId{kMaxValue},
                          MakeBlob(sealed), INT64_MAX,
                          UINT16_MAX,       RequestNumber{kMaxValue}};
  const std::string padding(kFlowOpenPaddingBytes, '\0');
  CHECK(Encode(opened).size() <= Encode(FlowOpen{1, MakeBlob(padding)}).size());
}
