/** @file bad_input_test.cc Invalid packets from callers are counted by result
 * code and not processed further. */

#include "tests/fleet_fake.h"
#include "tests/test_text.h"

using namespace cuminvane;

TEST_GROUP(BadInput) {
  FakeFleet fleet{FleetOptions{}};
  const Endpoint caller{0x0a090001, 5000};
  const Endpoint service{0x0a080001, 80};
  const Endpoint other_service{0x0a080002, 80};

  /** Delivers a packet from the caller to balancer 1. @return Its output. */
  Output DeliverPacket(const Endpoint& to, const std::string& packet) {
    Output out;
    const std::string bytes =
        Encode(FabricPacket{this->caller, to, MakeBlob(packet)});
    this->fleet.TokenPlaneOf(1).OnFabric(this->fleet.now, {0x0a070001, 1},
                                         bytes, this->fleet.random, out);
    return out;
  }

  /** @return The code under which the packet was dropped; kOk if it was not. */
  static ResultCode DropCode(const Output& out) {
    for (const Decision& decision : out.decisions) {
      if (decision.topic == Topic::kInput)
        return decision.code;
    }
    return ResultCode::kOk;
  }

  /** @return Bytes of all packets to callers in the output. Datagrams of other
   * kinds count with their whole size. */
  static size_t ReplySize(const Output& out) {
    size_t bytes = 0;
    for (const Datagram& datagram : out.datagrams) {
      const Result<FabricPacket> packet = Decode<FabricPacket>(
          datagram.bytes, DecodeHeader(datagram.bytes).value());
      bytes += packet ? packet.value().packet.size : datagram.bytes.size();
    }
    return bytes;
  }

  /** @return An encoded request on the flow with this token, due in 1 s. */
  std::string EncodeRequest(FlowId flow, const std::string& token) {
    return Encode(Request{flow, MakeBlob(token), RequestNumber{1},
                          ClassIdOf("edits"),
                          ToUnixMicroseconds(this->fleet.now + Seconds(1)), 0,
                          MakeBlob("t desk 1 0")});
  }
};

/** The result code of the drop says what is wrong with the packet. Nothing is
 * sent to a backend server or another balancer. */
TEST(BadInput, InvalidPacketsAreCountedByCodeAndNeverForwarded) {
  const FlowHandle handle = fleet.OpenFlow();
  const FlowHandle other_handle = fleet.OpenFlow();
  const FlowId flow = fleet.opened_flows[handle];
  const std::string token = fleet.caller.TokenOf(handle);
  std::string altered_token = token;
  altered_token.back() = static_cast<char>(altered_token.back() ^ 1);
  const std::string valid_request = EncodeRequest(flow, token);
  struct InvalidPacket {
    ResultCode code;
    Output out;
  };
  const InvalidPacket invalid_packets[] = {
      {ResultCode::kTruncated,
       DeliverPacket(service,
                     valid_request.substr(0, valid_request.size() / 2))},
      {ResultCode::kOversized,
       DeliverPacket(service, std::string(kMaxDatagramBytes + 1, 'x'))},
      {ResultCode::kGarbage, DeliverPacket(service, "what is this")},
      {ResultCode::kBadMac,
       DeliverPacket(service, EncodeRequest(flow, altered_token))},
      {ResultCode::kUnknownService,
       DeliverPacket(other_service, valid_request)},
      {ResultCode::kUnknownVersion,
       DeliverPacket(service, std::string("\x92\x09\x02\x90", 4))},
      {ResultCode::kWrongFlow,
       DeliverPacket(service,
                     EncodeRequest(fleet.opened_flows[other_handle], token))},
      {ResultCode::kUnexpectedType,
       DeliverPacket(service, Encode(RequestRecorded{}))},
      {ResultCode::kTruncated,
       DeliverPacket(service, EncodeRequest(flow, "short"))},
  };
  for (const InvalidPacket& invalid : invalid_packets) {
    CHECK_CODE(invalid.code, DropCode(invalid.out));
    for (const Datagram& datagram : invalid.out.datagrams)
      CHECK(datagram.channel == Channel::kFabric);
  }
}

/** Larger replies could be used for amplification attacks with forged sender
 * addresses. The packets are valid requests that are truncated and altered at
 * random. */
TEST(BadInput, ReplyToUnverifiedSenderIsNeverLargerThanItsPacket) {
  std::mt19937_64 random(11);
  const FlowHandle handle = fleet.OpenFlow();
  const std::string valid_request =
      EncodeRequest(fleet.opened_flows[handle], std::string(80, 'x'));
  for (int round = 0; round < 2000; ++round) {
    std::string packet =
        valid_request.substr(0, 1 + random() % valid_request.size());
    packet[random() % packet.size()] = static_cast<char>(random());
    CHECK(ReplySize(DeliverPacket(service, packet)) <= packet.size());
  }
  // A FlowOpen without padding gets no answer; a padded one does.
  LONGS_EQUAL(0, ReplySize(DeliverPacket(service, Encode(FlowOpen{1, {}}))));
  const std::string padding(kFlowOpenPaddingBytes, '\0');
  CHECK(ReplySize(DeliverPacket(service,
                                Encode(FlowOpen{1, MakeBlob(padding)}))) > 0);
}

/** The token was issued for service `desk` and arrives at the address of
 * service `notes`. */
TEST(BadInput, TokenOfAnotherServiceIsRefused) {
  const Endpoint notes{0x0a080003, 80};
  const FlowHandle handle = fleet.OpenFlow();
  const Output out = DeliverPacket(
      notes,
      EncodeRequest(fleet.opened_flows[handle], fleet.caller.TokenOf(handle)));
  CHECK_CODE(ResultCode::kWrongService, DropCode(out));
}

/** The valid token names an owner that is not a member any more, and no witness
 * that could replace it. The caller has to open the flow again. */
TEST(BadInput, TokenOfRemovedOwnerIsAnsweredWithOwnerLost) {
  const FlowHandle handle = fleet.OpenFlow();
  const Result<FlowToken> token =
      OpenToken(fleet.caller.TokenOf(handle),
                fleet.TokenPlaneOf(1).ReadBlackboard()->config.value->keys);
  FlowToken token_of_removed_owner = token.value();
  token_of_removed_owner.owner = {VmId{77}, Incarnation{1}};
  token_of_removed_owner.witness = {};
  const std::string sealed =
      SealToken(token_of_removed_owner,
                fleet.TokenPlaneOf(1).ReadBlackboard()->config.value->keys)
          .value();
  const Output out = DeliverPacket(
      service, EncodeRequest(token_of_removed_owner.flow, sealed));
  LONGS_EQUAL(1, out.datagrams.size());
  const Result<FabricPacket> packet = Decode<FabricPacket>(
      out.datagrams[0].bytes, DecodeHeader(out.datagrams[0].bytes).value());
  const std::string reply(AsStringView(packet.value().packet));
  const Result<RequestOutcome> outcome =
      Decode<RequestOutcome>(reply, DecodeHeader(reply).value());
  CHECK_CODE(ResultCode::kOwnerLost,
             static_cast<ResultCode>(outcome.value().code));
}

/** Two requests with different payloads and the same number would be taken for
 * retransmissions of one request, and one of them would get the other's
 * answer. */
TEST(BadInput, RequestNumberUsedTwiceIsRefused) {
  const FlowHandle handle = fleet.OpenFlow();
  const FlowId flow = fleet.opened_flows[handle];
  const std::string token = fleet.caller.TokenOf(handle);
  fleet.SprayOver({fleet.OwnerOf(handle)});
  const auto deliver_request = [&](const std::string& payload) {
    Output out;
    const std::string packet = Encode(Request{
        flow, MakeBlob(token), RequestNumber{9}, ClassIdOf("edits"),
        ToUnixMicroseconds(fleet.now + Seconds(1)), 0, MakeBlob(payload)});
    const std::string bytes =
        Encode(FabricPacket{caller, service, MakeBlob(packet)});
    fleet.TokenPlaneOf(fleet.OwnerOf(handle))
        .OnFabric(fleet.now, {0x0a070001, 1}, bytes, fleet.random, out);
    return out;
  };
  deliver_request("one desk 1 0");
  bool refused = false;
  for (const Decision& decision : deliver_request("two desk 1 0").decisions)
    refused = refused || decision.code == ResultCode::kNumberReused;
  CHECK(refused);
}
