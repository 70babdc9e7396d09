/** @file packet_test.cc Which backend server each packet of an opaque flow goes
 * to, and the flow table. Runs in virtual time. */

#include <set>

#include "tests/packet_fake.h"

using namespace cuminvane;
using namespace cuminvane::test;

TEST_GROUP(Packets){};

/** The fabric may send packets of one flow to any balancer. The tag alone has
 * to lead a later packet to the flow's backend server. */
TEST(Packets, AnyBalancerRoutesLaterPacketsByTag) {
  FakePacketPlane first;
  FakePacketPlane second;
  const std::vector<VmListEntry> list = {{1}, {2}, {3}, {4}};
  first.OfferVmList(list);
  second.OfferVmList(list);
  for (uint32_t caller = 0; caller < 50; ++caller) {
    const PacketAction opened =
        first.SendOpeningPacket(FakePacketPlane::KeyOfCaller(caller));
    const PacketAction later = second.SendData(
        FakePacketPlane::KeyOfCaller(caller), opened.tag, 101, 1000, 10);
    CHECK(later.type == PacketActionType::kForward);
    CHECK(later.backend == opened.backend);
    CHECK(later.tag == opened.tag);
  }
}

TEST(Packets, NewFlowsSpreadEvenly) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}, {3}, {4}});
  for (uint32_t caller = 0; caller < 400; ++caller)
    plane.EstablishFlow(FakePacketPlane::KeyOfCaller(caller));
  for (uint64_t vm = 1; vm <= 4; ++vm)
    LONGS_EQUAL(100, plane.PoolMemberOf(VmId{vm}).flows);
}

TEST(Packets, NewFlowsGoOnlyToServersOfTheirService) {
  FakePacketPlane plane;
  plane.OfferVmList({{1, "desk"}, {2, "files"}, {3, "desk"}});
  for (uint32_t caller = 0; caller < 40; ++caller)
    CHECK(plane
              .SendOpeningPacket(
                  FakePacketPlane::KeyOfCaller(caller, kDownloadsAddress))
              .backend == VmId{2});
}

/** If balancers drew the split independently, retransmissions of one opening
 * packet could open the flow at two services. Here the shares are equal. */
TEST(Packets, TrafficSplitIsTheSameAtEveryBalancer) {
  FakePacketPlane first;
  FakePacketPlane second;
  const std::vector<VmListEntry> list = {{1, "desk"}, {2, "files"}};
  first.OfferVmList(list);
  second.OfferVmList(list);
  int desk_flows = 0;
  for (uint32_t caller = 0; caller < 1000; ++caller) {
    const PacketAction opened = first.SendOpeningPacket(
        FakePacketPlane::KeyOfCaller(caller, kSplitAddress));
    CHECK(opened.backend == second
                                .SendOpeningPacket(FakePacketPlane::KeyOfCaller(
                                    caller, kSplitAddress))
                                .backend);
    desk_flows += opened.backend == VmId{1} ? 1 : 0;
  }
  CHECK(desk_flows > 430 && desk_flows < 570);
}

/** The first packet may be unanswered because its backend server is
 * unreachable, so the retransmission goes to the other one. */
TEST(Packets, RetransmittedOpeningPacketGoesToAnotherServer) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  const PacketAction first =
      plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(1));
  plane.RunFor(Milliseconds(30));
  const PacketAction retransmitted =
      plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(1), 1);
  CHECK(retransmitted.backend != first.backend);
}

/** Both backend servers got an opening packet of the flow. The caller completed
 * the handshake with one of them, but its later packets can carry the tag of
 * the other, from which it heard last. The flow must not switch. */
TEST(Packets, FlowStaysWithServerNamedByFirstLaterPacket) {
  for (const bool names_first : {true, false}) {
    FakePacketPlane plane;
    plane.OfferVmList({{1}, {2}});
    const FlowKey key = FakePacketPlane::KeyOfCaller(1);
    const PacketAction first = plane.SendOpeningPacket(key);
    const PacketAction retransmitted = plane.SendOpeningPacket(key, 1);
    const PacketAction& chosen = names_first ? first : retransmitted;
    const PacketAction& other = names_first ? retransmitted : first;
    CHECK(plane.SendData(key, chosen.tag, 101, 1000, 0).backend ==
          chosen.backend);
    const PacketAction late = plane.SendData(key, other.tag, 101, 1000, 10);
    CHECK(late.backend == chosen.backend);
    CHECK(late.tag == chosen.tag);
    // A delayed retransmission of the opening packet opens no second flow.
    CHECK(plane.SendOpeningPacket(key, 2).backend == chosen.backend);
  }
}

/** Backend server 1 is listed as leaving after the flow was opened. */
TEST(Packets, DrainingServerKeepsFlowsAndGetsNoNewOnes) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}});
  const PacketAction opened =
      plane.EstablishFlow(FakePacketPlane::KeyOfCaller(1));
  plane.OfferVmList({{1, "desk", "a", 1, true}, {2}});
  for (uint32_t caller = 10; caller < 40; ++caller)
    CHECK(
        plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(caller)).backend ==
        VmId{2});
  CHECK(
      plane.SendData(FakePacketPlane::KeyOfCaller(1), opened.tag, 101, 1000, 9)
          .backend == VmId{1});
}

/** A backend server that misses a lease renewal disappears from the VM list
 * although it is alive. Recent answers on its open flows prove that; only
 * without them does it get no new flows. Its open flows are kept in either
 * case. */
TEST(Packets, ExpiredListEntryGetsNewFlowsWhileItsFlowsAreActive) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}});
  const PacketAction opened =
      plane.EstablishFlow(FakePacketPlane::KeyOfCaller(1));
  plane.RunFor(Milliseconds(100));
  plane.OfferVmList({});
  // No answer since the entry disappeared: no new flows.
  CHECK(plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(2)).type ==
        PacketActionType::kReset);
  plane.RunFor(Milliseconds(100));
  plane.SendData(FakePacketPlane::KeyOfCaller(1), opened.tag, 101, 2000, 9);
  CHECK(plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(3)).backend ==
        VmId{1});
  plane.RunFor(Milliseconds(2000));
  plane.SendData(FakePacketPlane::KeyOfCaller(1), opened.tag, 110, 3000, 9);
  CHECK(plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(4)).type ==
        PacketActionType::kReset);
  // Its open flows stay with it.
  CHECK(
      plane.SendData(FakePacketPlane::KeyOfCaller(1), opened.tag, 119, 4000, 9)
          .backend == VmId{1});
}

/** The backend server had restarted before the flow was placed, and the VM list
 * reported that only later. The flow is open at the current instance and must
 * not be reset. */
TEST(Packets, FlowPlacedBeforeRestartIsListedContinues) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}});
  const PacketAction opened =
      plane.EstablishFlow(FakePacketPlane::KeyOfCaller(1));
  plane.OfferVmList({{1, "desk", "a", 2}});
  LONGS_EQUAL(0, plane.PoolMemberOf(VmId{1}).flows);
  CHECK(
      plane.SendData(FakePacketPlane::KeyOfCaller(1), opened.tag, 101, 1000, 9)
          .backend == VmId{1});
  LONGS_EQUAL(1, plane.PoolMemberOf(VmId{1}).flows);
}

/** A route that moves to another service affects new flows only. A route that
 * is removed ends open flows as well. */
TEST(Packets, FlowSurvivesRouteMoveAndIsResetAfterRouteRemoval) {
  FakePacketPlane plane;
  plane.OfferVmList({{1, "desk"}, {2, "files"}});
  const PacketAction opened =
      plane.EstablishFlow(FakePacketPlane::KeyOfCaller(1));
  const std::string target =
      "idempotent = yes\nrank = 1\nanswered_within_ms = 200\n";
  plane.OfferConfig(2, "[class edits]\nservice = files\naddresses = " +
                           ToString(kEditsAddress) + "\n" + target);
  CHECK(
      plane.SendData(FakePacketPlane::KeyOfCaller(1), opened.tag, 101, 1000, 9)
          .backend == VmId{1});
  CHECK(plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(2)).backend ==
        VmId{2});
  // A balancer that starts after the move routes the flow by its tag too.
  FakePacketPlane later;
  later.OfferVmList({{1, "desk"}, {2, "files"}});
  later.OfferConfig(2, "[class edits]\nservice = files\naddresses = " +
                           ToString(kEditsAddress) + "\n" + target);
  CHECK(
      later.SendData(FakePacketPlane::KeyOfCaller(1), opened.tag, 101, 1000, 9)
          .backend == VmId{1});
  plane.OfferConfig(3, "[class downloads]\nservice = files\naddresses = " +
                           ToString(kDownloadsAddress) + "\n" + target);
  plane.RunFor(Milliseconds(3100));
  CHECK(
      plane.SendData(FakePacketPlane::KeyOfCaller(1), opened.tag, 110, 1000, 9)
          .type == PacketActionType::kReset);
}

/** The configuration with the route may arrive later than the first packet, so
 * only a retransmission is refused. */
TEST(Packets, AddressWithoutRouteIsResetAtFirstRetransmission) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}});
  const FlowKey key =
      FakePacketPlane::KeyOfCaller(1, *ParseEndpoint("198.18.0.9:1"));
  CHECK(plane.SendOpeningPacket(key).type == PacketActionType::kDrop);
  CHECK(plane.SendOpeningPacket(key, 1).type == PacketActionType::kReset);
}

/** A caller should learn at once that the service has no backend server,
 * instead of waiting for its time-out. */
TEST(Packets, NewFlowIsResetAtOnceWithoutBackendServer) {
  FakePacketPlane plane;
  plane.OfferVmList({});
  CHECK(plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(1)).type ==
        PacketActionType::kReset);
}

/** Tags are shorter than VM ids, so two backend servers can have the same tag.
 * Later packets would then be ambiguous; only the older backend server gets
 * new flows. */
TEST(Packets, OnlyOlderOfTwoServersWithOneTagGetsNewFlows) {
  // Searches for two VM ids with the same tag.
  uint64_t older_vm = 0;
  uint64_t younger_vm = 0;
  std::map<uint32_t, uint64_t> vm_by_tag;
  for (uint64_t vm = 1; younger_vm == 0; ++vm) {
    const auto [entry, is_new] = vm_by_tag.emplace(TagOf(VmId{vm}).value, vm);
    if (is_new)
      continue;
    older_vm = entry->second;
    younger_vm = vm;
  }
  FakePacketPlane plane;
  plane.OfferVmList({{older_vm}, {younger_vm}, {7}});
  std::set<VmId> servers_used;
  for (uint32_t caller = 0; caller < 60; ++caller)
    servers_used.insert(
        plane.EstablishFlow(FakePacketPlane::KeyOfCaller(caller)).backend);
  CHECK(servers_used == std::set<VmId>({VmId{older_vm}, VmId{7}}));
}

/** A retransmitted closing packet must not reduce the flow count twice. The
 * other flow expires after the idle time-out of 12 s. */
TEST(Packets, FlowsAreCountedOnceAndExpireWhenIdle) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}});
  const PacketAction opened =
      plane.EstablishFlow(FakePacketPlane::KeyOfCaller(1));
  plane.EstablishFlow(FakePacketPlane::KeyOfCaller(2));
  LONGS_EQUAL(2, plane.PoolMemberOf(VmId{1}).flows);
  OpaquePacket closing_packet;
  closing_packet.key = FakePacketPlane::KeyOfCaller(2);
  closing_packet.tag = opened.tag;
  closing_packet.sequence = 101;
  closing_packet.acknowledged_or_retransmission = 1000;
  closing_packet.closes = true;
  CHECK(plane.SendPacket(closing_packet).type == PacketActionType::kForward);
  CHECK(plane.SendPacket(closing_packet).type == PacketActionType::kForward);
  LONGS_EQUAL(1, plane.PoolMemberOf(VmId{1}).flows);
  plane.RunFor(Milliseconds(16000));
  LONGS_EQUAL(0, plane.PoolMemberOf(VmId{1}).flows);
  LONGS_EQUAL(0, plane.balancer->GetPacketPlane().FlowCount());
}

/** The table is full after 1024 of 5000 flows and evicts old ones. Every flow
 * is either in the table or reported as evicted. */
TEST(Packets, FlowTableIsBoundedAndEvictsIdleFlows) {
  FlowTable table(1024);
  std::vector<FlowRecord> evicted;
  TimePoint now(Seconds(1));
  for (uint32_t caller = 0; caller < 5000; ++caller) {
    now += Milliseconds(1);
    table.Add(FakePacketPlane::KeyOfCaller(caller), now, evicted);
  }
  CHECK(table.Size() <= 1024);
  LONGS_EQUAL(5000, table.Size() + evicted.size());
  LONGS_EQUAL(1024, table.Capacity());
  CHECK(table.Find(FakePacketPlane::KeyOfCaller(4999)) != nullptr);
  size_t found = 0;
  for (uint32_t caller = 0; caller < 5000; ++caller)
    found +=
        table.Find(FakePacketPlane::KeyOfCaller(caller)) != nullptr ? 1 : 0;
  LONGS_EQUAL(table.Size(), found);
}
