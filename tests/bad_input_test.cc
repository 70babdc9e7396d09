/** @file bad_input_test.cc What is not a sound message is counted and goes no
 * further. */

#include "tests/fleet_fake.h"
#include "tests/test_text.h"

using namespace cuminvane;

TEST_GROUP(BadInput) {
  FakeFleet fleet{FleetOptions{}};
  const Endpoint caller{0x0a090001, 5000};
  const Endpoint service{0x0a080001, 80};
  const Endpoint other_service{0x0a080002, 80};

  /** Hands a caller's packet to balancer 1. */
  Output Give(const Endpoint& to, const std::string& packet) {
    Output out;
    const std::string bytes =
        Encode(FabricPacket{this->caller, to, MakeBlob(packet)});
    this->fleet.NodeOf(1).OnFabric(this->fleet.now, {0x0a070001, 1}, bytes,
                                   this->fleet.random, out);
    return out;
  }

  /** The code under which a packet was dropped. */
  static ResultCode DroppedAs(const Output& out) {
    for (const Decision& decision : out.decisions) {
      if (decision.topic == Topic::kInput)
        return decision.code;
    }
    return ResultCode::kOk;
  }

  static size_t ReplyBytes(const Output& out) {
    size_t bytes = 0;
    for (const Datagram& datagram : out.datagrams) {
      const Result<FabricPacket> packet = Decode<FabricPacket>(
          datagram.bytes, DecodeHeader(datagram.bytes).value());
      bytes += packet ? packet.value().packet.size : datagram.bytes.size();
    }
    return bytes;
  }

  std::string RequestWith(FlowId flow, const std::string& token) {
    return Encode(Request{flow, MakeBlob(token), RequestNumber{1},
                          ClassIdOf("edits"),
                          ToUnixMicroseconds(this->fleet.now + Seconds(1)), 0,
                          MakeBlob("t desk 1 0")});
  }
};

TEST(BadInput, IsCountedByCodeAndNeverSentOn) {
  const FlowHandle handle = fleet.OpenFlow();
  const FlowHandle other = fleet.OpenFlow();
  const FlowId flow = fleet.opened[handle];
  const std::string token = fleet.caller.TokenOf(handle);
  std::string altered = token;
  altered.back() = static_cast<char>(altered.back() ^ 1);
  const std::string good = RequestWith(flow, token);
  struct Case {
    ResultCode code;
    Output out;
  };
  const Case cases[] = {
      {ResultCode::kTruncated, Give(service, good.substr(0, good.size() / 2))},
      {ResultCode::kOversized,
       Give(service, std::string(kMaxDatagramBytes + 1, 'x'))},
      {ResultCode::kGarbage, Give(service, "what is this")},
      {ResultCode::kBadMac, Give(service, RequestWith(flow, altered))},
      {ResultCode::kUnknownService, Give(other_service, good)},
      {ResultCode::kUnknownVersion,
       Give(service, std::string("\x92\x09\x02\x90", 4))},
      {ResultCode::kWrongFlow,
       Give(service, RequestWith(fleet.opened[other], token))},
      {ResultCode::kUnexpectedType, Give(service, Encode(RequestRecorded{}))},
      {ResultCode::kTruncated, Give(service, RequestWith(flow, "short"))},
  };
  for (const Case& one : cases) {
    CHECK_CODE(one.code, DroppedAs(one.out));
    for (const Datagram& datagram : one.out.datagrams)
      CHECK(datagram.channel == Channel::kFabric);
  }
}

TEST(BadInput, AnUnverifiedSenderNeverGetsMoreBytesThanItSent) {
  std::mt19937_64 random(11);
  const FlowHandle handle = fleet.OpenFlow();
  const std::string good =
      RequestWith(fleet.opened[handle], std::string(80, 'x'));
  for (int round = 0; round < 2000; ++round) {
    std::string packet = good.substr(0, 1 + random() % good.size());
    packet[random() % packet.size()] = static_cast<char>(random());
    CHECK(ReplyBytes(Give(service, packet)) <= packet.size());
  }
  // An open without padding gets nothing; one with padding gets its answer.
  LONGS_EQUAL(0, ReplyBytes(Give(service, Encode(FlowOpen{1, {}}))));
  const std::string padding(kFlowOpenPaddingBytes, '\0');
  CHECK(ReplyBytes(Give(service, Encode(FlowOpen{1, MakeBlob(padding)}))) > 0);
}

TEST(BadInput, ATokenOfAnotherServiceIsRefused) {
  const Endpoint notes{0x0a080003, 80};
  const FlowHandle handle = fleet.OpenFlow();
  const Output out = Give(
      notes, RequestWith(fleet.opened[handle], fleet.caller.TokenOf(handle)));
  CHECK_CODE(ResultCode::kWrongService, DroppedAs(out));
}

TEST(BadInput, ATokenOfAGoneBalancerLeadsToAReopen) {
  const FlowHandle handle = fleet.OpenFlow();
  const Result<FlowToken> token =
      OpenToken(fleet.caller.TokenOf(handle),
                fleet.NodeOf(1).ReadBlackboard()->config.value->keys);
  FlowToken gone = token.value();
  gone.owner = {VmId{77}, Incarnation{1}};
  gone.witness = {};
  const std::string sealed =
      SealToken(gone, fleet.NodeOf(1).ReadBlackboard()->config.value->keys)
          .value();
  const Output out = Give(service, RequestWith(gone.flow, sealed));
  LONGS_EQUAL(1, out.datagrams.size());
  const Result<FabricPacket> packet = Decode<FabricPacket>(
      out.datagrams[0].bytes, DecodeHeader(out.datagrams[0].bytes).value());
  const std::string reply(AsStringView(packet.value().packet));
  const Result<RequestOutcome> verdict =
      Decode<RequestOutcome>(reply, DecodeHeader(reply).value());
  CHECK_CODE(ResultCode::kOwnerLost,
             static_cast<ResultCode>(verdict.value().code));
}

TEST(BadInput, ANumberUsedForTwoRequestsIsRefused) {
  const FlowHandle handle = fleet.OpenFlow();
  const FlowId flow = fleet.opened[handle];
  const std::string token = fleet.caller.TokenOf(handle);
  fleet.SprayOver({fleet.OwnerOf(handle)});
  const auto give = [&](const std::string& payload) {
    Output out;
    const std::string packet = Encode(Request{
        flow, MakeBlob(token), RequestNumber{9}, ClassIdOf("edits"),
        ToUnixMicroseconds(fleet.now + Seconds(1)), 0, MakeBlob(payload)});
    const std::string bytes =
        Encode(FabricPacket{caller, service, MakeBlob(packet)});
    fleet.NodeOf(fleet.OwnerOf(handle))
        .OnFabric(fleet.now, {0x0a070001, 1}, bytes, fleet.random, out);
    return out;
  };
  give("one desk 1 0");
  bool refused = false;
  for (const Decision& decision : give("two desk 1 0").decisions)
    refused = refused || decision.code == ResultCode::kNumberReused;
  CHECK(refused);
}
