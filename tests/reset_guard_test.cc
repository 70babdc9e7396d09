/** @file reset_guard_test.cc A balancer resets flows only if it can vouch for
 * its own documents and its own link. */

#include "tests/packet_fake.h"

using namespace cuminvane;
using namespace cuminvane::test;

namespace {

const FlowTag kUnknownTag{4711};
const Endpoint kPeerAddress = *ParseEndpoint("10.0.0.2:1");

PacketAction SendWithUnknownTag(FakePacketPlane& plane) {
  return plane.SendData(FakePacketPlane::KeyOfCaller(1), kUnknownTag, 101, 1000,
                        9);
}

/** Another balancer introduces itself, so that it is probed. */
void IntroducePeer(FakePacketPlane& plane) {
  Ping ping;
  ping.sequence = 1;
  ping.from = MakeMember({VmId{2}, Incarnation{1}}, kPeerAddress, "a");
  plane.balancer->OnPeer(plane.now, kPeerAddress, Encode(ping), plane.random,
                         plane.out);
  plane.out.Clear();
}

/** Runs the balancer; the other balancer answers each probe after `delay`. */
void RunWithPeer(FakePacketPlane& plane,
                 Milliseconds time,
                 Milliseconds delay) {
  std::multimap<TimePoint, uint64_t> due;
  for (Milliseconds elapsed{0}; elapsed < time; elapsed += Milliseconds(10)) {
    plane.RunFor(Milliseconds(10));
    for (const Datagram& datagram : plane.out.common.datagrams) {
      const auto header = DecodeHeader(datagram.bytes);
      if (header.value().type == MessageType::kPing)
        due.emplace(
            plane.now + delay,
            Decode<Ping>(datagram.bytes, header.value()).value().sequence);
    }
    plane.out.common.datagrams.clear();
    while (!due.empty() && due.begin()->first <= plane.now) {
      Ack ack;
      ack.sequence = due.begin()->second;
      ack.from = MakeMember({VmId{2}, Incarnation{1}}, kPeerAddress, "a");
      due.erase(due.begin());
      plane.balancer->OnPeer(plane.now, kPeerAddress, Encode(ack), plane.random,
                             plane.out);
    }
  }
}

}  // namespace

TEST_GROUP(ResetGuard){};

/** A tag can be unknown because the list that names its backend server has not
 * arrived yet. A flow that this balancer's documents would cover is reset. */
TEST(ResetGuard, UnknownTagIsResetOnlyOnceDocumentsCoverTheFlow) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}});
  plane.RunFor(Milliseconds(5000));
  CHECK(SendWithUnknownTag(plane).type == PacketActionType::kDrop);
  plane.RunFor(Milliseconds(2900));
  CHECK(SendWithUnknownTag(plane).type == PacketActionType::kDrop);
  plane.RunFor(Milliseconds(200));
  CHECK(SendWithUnknownTag(plane).type == PacketActionType::kReset);
}

/** A release changes the list many times a second. A balancer that is behind
 * does not know new backend servers, however long ago it saw their flows. */
TEST(ResetGuard, BalancerBehindInDocumentsResetsNoUnknownTag) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}});
  plane.RunFor(Milliseconds(5000));
  plane.documents_confirmed = false;
  plane.RunFor(Milliseconds(200));
  CHECK(SendWithUnknownTag(plane).type == PacketActionType::kDrop);
  plane.RunFor(Milliseconds(8000));
  CHECK(SendWithUnknownTag(plane).type == PacketActionType::kDrop);
}

/** Entries that expired while the store was away are back two seconds after its
 * return; until then a living backend server may be missing from the list. */
TEST(ResetGuard, StoreThatHasJustReturnedIsNoProof) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}});
  plane.RunFor(Milliseconds(5000));
  CHECK(SendWithUnknownTag(plane).type == PacketActionType::kDrop);
  plane.documents_confirmed = false;
  plane.RunFor(Milliseconds(8000));
  plane.documents_confirmed = true;
  plane.RunFor(Milliseconds(2000));
  CHECK(SendWithUnknownTag(plane).type == PacketActionType::kDrop);
  plane.RunFor(Milliseconds(1100));
  CHECK(SendWithUnknownTag(plane).type == PacketActionType::kReset);
}

/** The balancer's link is congested: other balancers answer late too. A check
 * that times out then says nothing about the backend server. */
TEST(ResetGuard, TimeoutOnCongestedLinkResetsNoFlow) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  IntroducePeer(plane);
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction opened = plane.EstablishFlow(key);
  RunWithPeer(plane, Milliseconds(1000), Milliseconds(200));
  plane.SendData(key, opened.tag, 101, 1000, 50);
  RunWithPeer(plane, Milliseconds(260), Milliseconds(200));
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kTimedOut);
  LONGS_EQUAL(0, plane.out.resets.size());
  CHECK(plane.SendData(key, opened.tag, 101, 1000, 50).type ==
        PacketActionType::kForward);
  // New flows go elsewhere all the same.
  for (uint32_t caller = 10; caller < 20; ++caller)
    CHECK(
        plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(caller)).backend !=
        opened.backend);
}

TEST(ResetGuard, TimeoutOnWorkingLinkResetsFlows) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  IntroducePeer(plane);
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction opened = plane.EstablishFlow(key);
  RunWithPeer(plane, Milliseconds(1000), Milliseconds(10));
  plane.SendData(key, opened.tag, 101, 1000, 50);
  RunWithPeer(plane, Milliseconds(260), Milliseconds(10));
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kTimedOut);
  LONGS_EQUAL(1, plane.out.resets.size());
}

/** The check is repeated, so that a backend server that is really lost is found
 * as soon as the link works again. */
TEST(ResetGuard, PostponedVerdictIsMadeUpWhenTheLinkRecovers) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  IntroducePeer(plane);
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction opened = plane.EstablishFlow(key);
  RunWithPeer(plane, Milliseconds(1000), Milliseconds(200));
  plane.SendData(key, opened.tag, 101, 1000, 50);
  RunWithPeer(plane, Milliseconds(260), Milliseconds(200));
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kTimedOut);
  plane.out.checks.clear();
  RunWithPeer(plane, Milliseconds(700), Milliseconds(10));
  LONGS_EQUAL(1, plane.out.checks.size());
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kTimedOut);
  LONGS_EQUAL(1, plane.out.resets.size());
}
