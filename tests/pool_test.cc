/** @file pool_test.cc Reachability of backend servers, and placement of new
 * opaque flows by queue depth and data centre. Runs in virtual time. */

#include <set>

#include "tests/packet_fake.h"

using namespace cuminvane;
using namespace cuminvane::test;

TEST_GROUP(Pool){};

/** An overdue answer is a reason to suspect a backend server, not to reset its
 * flows: the packet or its answer may be lost. The health check decides. */
TEST(Pool, OverdueAnswerTriggersHealthCheckButNoReset) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}});
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction opened = plane.EstablishFlow(key);
  plane.SendData(key, opened.tag, 101, 1000, 50);
  plane.RunFor(Milliseconds(80));
  LONGS_EQUAL(0, plane.out.checks.size());
  plane.RunFor(Milliseconds(40));
  LONGS_EQUAL(1, plane.out.checks.size());
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kAnswered);
  LONGS_EQUAL(0, plane.out.resets.size());
  CHECK(plane.SendData(key, opened.tag, 101, 1000, 50).type ==
        PacketActionType::kForward);
}

/** Callers of an unreachable backend server would otherwise wait until they
 * time out. All its flows are reset at once, new flows go elsewhere, and a
 * flow that the balancer did not know of is reset at its next packet. */
TEST(Pool, FailedHealthCheckResetsFlowsAndStopsNewPlacement) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  std::set<FlowKey> flows_of_server_1;
  PacketAction opened;
  FlowKey key;
  for (uint32_t caller = 0; caller < 10; ++caller) {
    const PacketAction action =
        plane.EstablishFlow(FakePacketPlane::KeyOfCaller(caller));
    if (action.backend != VmId{1})
      continue;
    flows_of_server_1.insert(FakePacketPlane::KeyOfCaller(caller));
    key = FakePacketPlane::KeyOfCaller(caller);
    opened = action;
  }
  MakeUnreachable(plane, key, opened);
  std::set<FlowKey> reset_flows;
  for (const FlowReset& flow_reset : plane.out.resets)
    reset_flows.insert(flow_reset.key);
  CHECK(reset_flows == flows_of_server_1);
  for (uint32_t caller = 20; caller < 40; ++caller)
    CHECK(
        plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(caller)).backend ==
        VmId{2});
  // The balancer has no record of this flow. The tag names the unreachable
  // backend server, so the flow is reset at its next packet.
  CHECK(
      plane.SendData(FakePacketPlane::KeyOfCaller(77), opened.tag, 500, 900, 9)
          .type == PacketActionType::kReset);
}

/** A health check can time out because its own packets are lost. An answer on
 * any flow meanwhile proves that the backend server is reachable. */
TEST(Pool, AnswerDuringHealthCheckKeepsServerReachable) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}});
  const PacketAction opened =
      plane.EstablishFlow(FakePacketPlane::KeyOfCaller(1));
  plane.EstablishFlow(FakePacketPlane::KeyOfCaller(2));
  plane.SendData(FakePacketPlane::KeyOfCaller(1), opened.tag, 101, 1000, 50);
  plane.RunFor(Milliseconds(120));
  LONGS_EQUAL(1, plane.out.checks.size());
  plane.SendData(FakePacketPlane::KeyOfCaller(2), opened.tag, 101, 1500, 0);
  plane.EndHealthCheck(VmId{1}, HealthCheckResult::kTimedOut);
  LONGS_EQUAL(0, plane.out.resets.size());
  CHECK(plane.PoolMemberOf(VmId{1}).liveness.reachability ==
        Reachability::kReachable);
}

/** A balancer that was not scheduled for 400 ms could not read the answer to
 * its health check in time. The time-out then says nothing about the backend
 * server. */
TEST(Pool, StalledBalancerIgnoresItsHealthCheckTimeout) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}});
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction opened = plane.EstablishFlow(key);
  plane.SendData(key, opened.tag, 101, 1000, 50);
  plane.RunFor(Milliseconds(120));
  plane.now += Milliseconds(400);
  plane.balancer->Tick(plane.now, plane.random, plane.out);
  plane.EndHealthCheck(VmId{1}, HealthCheckResult::kTimedOut);
  LONGS_EQUAL(0, plane.out.resets.size());
}

/** Without a backoff after a recovery, a backend server that fails again and
 * again would break new flows each time. The backoff grows with each recent
 * loss; this test has one loss. */
TEST(Pool, RecoveredServerGetsNewFlowsOnlyAfterBackoff) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  FlowKey key = FakePacketPlane::KeyOfCaller(0);
  PacketAction opened = plane.EstablishFlow(key);
  for (uint32_t caller = 1; opened.backend != VmId{1}; ++caller) {
    key = FakePacketPlane::KeyOfCaller(caller);
    opened = plane.EstablishFlow(key);
  }
  MakeUnreachable(plane, key, opened);
  plane.EndHealthCheck(
      VmId{1},
      HealthCheckResult::kAnswered);  // No check is running; ignored.
  CHECK(plane.PoolMemberOf(VmId{1}).liveness.reachability ==
        Reachability::kUnreachable);
  plane.RunFor(Milliseconds(600));
  plane.EndHealthCheck(VmId{1}, HealthCheckResult::kAnswered);
  CHECK(plane.PoolMemberOf(VmId{1}).liveness.reachability ==
        Reachability::kReachable);
  CHECK(plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(50)).backend ==
        VmId{2});
  plane.RunFor(Milliseconds(600));
  std::set<VmId> servers_used;
  for (uint32_t caller = 60; caller < 80; ++caller)
    servers_used.insert(
        plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(caller)).backend);
  CHECK(servers_used.contains(VmId{1}));
}

/** A peer may be the one that is cut off, so its update alone resets no flow. A
 * repeated update does not start a second health check. */
TEST(Pool, ReachabilityUpdateFromPeerTriggersOwnHealthCheck) {
  FakePacketPlane first;
  FakePacketPlane second;
  first.OfferVmList({{1}, {2}});
  second.OfferVmList({{1}, {2}});
  FlowKey key = FakePacketPlane::KeyOfCaller(0);
  const PacketAction opened = first.EstablishFlow(key);
  ReachabilityUpdate update{{opened.backend, Incarnation{1}}};
  second.out.Clear();
  second.balancer->OnPeer(second.now, *ParseEndpoint("10.0.0.2:1"),
                          Encode(update), second.random, second.out);
  LONGS_EQUAL(1, second.out.checks.size());
  LONGS_EQUAL(0, second.out.resets.size());
  // The same update again starts no second health check.
  second.balancer->OnPeer(second.now, *ParseEndpoint("10.0.0.2:1"),
                          Encode(update), second.random, second.out);
  LONGS_EQUAL(1, second.out.checks.size());
}

/** When all backend servers fall silent together, the balancer itself is cut
 * off. It resets no flows and reports that it is not ready. */
TEST(Pool, BalancerIsIsolatedWhenAllServersAreSilent) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}, {3}, {4}});
  std::map<VmId, std::pair<FlowKey, FlowTag>> flows;
  for (uint32_t caller = 0; caller < 8; ++caller) {
    const PacketAction action =
        plane.EstablishFlow(FakePacketPlane::KeyOfCaller(caller));
    flows[action.backend] = {FakePacketPlane::KeyOfCaller(caller), action.tag};
  }
  for (const auto& [vm, flow] : flows)
    plane.SendData(flow.first, flow.second, 101, 1000, 50);
  plane.RunFor(Milliseconds(200));
  CHECK(plane.balancer->GetPacketPlane().IsIsolated());
  plane.out.Clear();
  for (uint64_t vm = 1; vm <= 4; ++vm)
    plane.EndHealthCheck(VmId{vm}, HealthCheckResult::kTimedOut);
  LONGS_EQUAL(0, plane.out.resets.size());
  CHECK(!plane.balancer->IsReady());
}

/** Backend server 2 is in the remote data centre `b`. */
TEST(Pool, NewFlowsStayLocalWhileLocalServersHaveCapacity) {
  FakePacketPlane plane;
  plane.OfferVmList({{1, "desk", "a"}, {2, "desk", "b"}, {3, "desk", "a"}});
  for (uint32_t caller = 0; caller < 40; ++caller)
    CHECK(plane.EstablishFlow(FakePacketPlane::KeyOfCaller(caller)).backend !=
          VmId{2});
}

/** Eight unanswered requests wait at the local backend server, which has two
 * slots; the remote one is idle. */
TEST(Pool, NewFlowsSpillToRemoteServersWhenLocalOnesAreBusy) {
  FakePacketPlane plane;
  plane.OfferVmList({{1, "desk", "a"}, {2, "desk", "b"}});
  for (uint32_t caller = 0; caller < 8; ++caller) {
    const PacketAction opened =
        plane.EstablishFlow(FakePacketPlane::KeyOfCaller(caller));
    plane.SendData(FakePacketPlane::KeyOfCaller(caller), opened.tag, 101, 1000,
                   50);
  }
  plane.RunFor(Milliseconds(4000));
  int remote_flows = 0;
  for (uint32_t caller = 20; caller < 60; ++caller)
    remote_flows +=
        plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(caller)).backend ==
                VmId{2}
            ? 1
            : 0;
  CHECK(remote_flows > 10);
}

/** Both slots of the only backend server are busy and two more requests wait. A
 * new flow is dropped, so that the caller retransmits; the last retransmission
 * is forwarded regardless, since the caller gives up after it. */
TEST(Pool, FullServerGetsLastRetransmissionOfOpeningPacket) {
  FakePacketPlane plane;
  plane.settings.flows.opening_depth_limit = 2;
  plane.settings.flows.retransmission_depth_limit = 2;
  plane.Restart();
  plane.OfferConfig(1);
  plane.OfferVmList({{1}});
  for (uint32_t caller = 0; caller < 4; ++caller) {
    const PacketAction opened =
        plane.EstablishFlow(FakePacketPlane::KeyOfCaller(caller));
    plane.SendData(FakePacketPlane::KeyOfCaller(caller), opened.tag, 101, 1000,
                   50);
  }
  CHECK(plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(9)).type ==
        PacketActionType::kDrop);
  CHECK(plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(9), 1).type ==
        PacketActionType::kDrop);
  CHECK(plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(9), 2).type ==
        PacketActionType::kForward);
  // Answers on two flows leave room in the queue.
  plane.SendData(FakePacketPlane::KeyOfCaller(0), TagOf(VmId{1}), 151, 2000, 0);
  plane.SendData(FakePacketPlane::KeyOfCaller(1), TagOf(VmId{1}), 151, 2000, 0);
  CHECK(plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(10)).type ==
        PacketActionType::kForward);
}

/** Both slots are busy. A new caller is still answered in time behind one
 * queued request. A caller that retransmits has lost that time already, so its
 * flow is placed only at an idle slot or with the last retransmission. */
TEST(Pool, RetransmittedOpeningPacketWaitsForIdleSlot) {
  FakePacketPlane plane;
  plane.settings.flows.opening_depth_limit = 3;
  plane.settings.flows.retransmission_depth_limit = 1;
  plane.Restart();
  plane.OfferConfig(1);
  plane.OfferVmList({{1}});
  for (uint32_t caller = 0; caller < 2; ++caller) {
    const PacketAction opened =
        plane.EstablishFlow(FakePacketPlane::KeyOfCaller(caller));
    plane.SendData(FakePacketPlane::KeyOfCaller(caller), opened.tag, 101, 1000,
                   50);
  }
  CHECK(plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(8), 1).type ==
        PacketActionType::kDrop);
  CHECK(plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(9)).type ==
        PacketActionType::kForward);
  CHECK(plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(8), 2).type ==
        PacketActionType::kForward);
}

/** With no other backend server, a new flow is placed at the unreachable one.
 * The caller's next packet shows that the backend server has answered since
 * the loss. */
TEST(Pool, HandshakeOpenedAfterLossMakesServerReachable) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}});
  const PacketAction first =
      plane.EstablishFlow(FakePacketPlane::KeyOfCaller(1));
  MakeUnreachable(plane, FakePacketPlane::KeyOfCaller(1), first);
  CHECK(plane.PoolMemberOf(VmId{1}).liveness.reachability ==
        Reachability::kUnreachable);
  plane.RunFor(Milliseconds(20));
  CHECK(plane.EstablishFlow(FakePacketPlane::KeyOfCaller(2)).type ==
        PacketActionType::kForward);
  CHECK(plane.PoolMemberOf(VmId{1}).liveness.reachability ==
        Reachability::kReachable);
}

/** The opening packet was sent before the loss, so its handshake does not show
 * that the backend server has recovered. */
TEST(Pool, HandshakeOpenedBeforeLossLeavesServerUnreachable) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}});
  const PacketAction first =
      plane.EstablishFlow(FakePacketPlane::KeyOfCaller(1));
  const PacketAction opened =
      plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(2));
  MakeUnreachable(plane, FakePacketPlane::KeyOfCaller(1), first);
  CHECK(
      plane.SendData(FakePacketPlane::KeyOfCaller(2), opened.tag, 101, 1000, 0)
          .type == PacketActionType::kReset);
  CHECK(plane.PoolMemberOf(VmId{1}).liveness.reachability ==
        Reachability::kUnreachable);
}

/** Requests stay unanswered at an unreachable backend server because it is
 * unreachable, not because of a queue. */
TEST(Pool, UnreachableServerIsNotTreatedAsFull) {
  FakePacketPlane plane;
  plane.settings.flows.opening_depth_limit = 1;
  plane.settings.flows.retransmission_depth_limit = 1;
  plane.Restart();
  plane.OfferConfig(1);
  plane.OfferVmList({{1}});
  const PacketAction first =
      plane.EstablishFlow(FakePacketPlane::KeyOfCaller(1));
  plane.SendData(FakePacketPlane::KeyOfCaller(2), first.tag, 101, 1000, 50);
  MakeUnreachable(plane, FakePacketPlane::KeyOfCaller(1), first);
  CHECK(plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(3)).type ==
        PacketActionType::kForward);
}

/** Backend server 2 is remote and idle; the local one has reached the depth
 * limit. */
TEST(Pool, FullLocalServerLeavesNewFlowsToRemoteServer) {
  FakePacketPlane plane;
  plane.settings.flows.opening_depth_limit = 1;
  plane.Restart();
  plane.OfferConfig(1);
  plane.OfferVmList({{1}, {2, "desk", "b"}});
  for (uint32_t caller = 0; caller < 2; ++caller) {
    const PacketAction opened =
        plane.EstablishFlow(FakePacketPlane::KeyOfCaller(caller));
    CHECK(opened.backend == VmId{1});
    plane.SendData(FakePacketPlane::KeyOfCaller(caller), opened.tag, 101, 1000,
                   50);
  }
  const PacketAction third =
      plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(9));
  CHECK(third.type == PacketActionType::kForward);
  CHECK(third.backend == VmId{2});
}

/** Server 1 has one open flow with a request in progress, server 2 has many
 * idle flows. A new flow on server 1 could have to queue. */
TEST(Pool, FullServerGetsNoNewFlowWhileAnotherHasAnIdleSlot) {
  FakePacketPlane plane;
  plane.settings.flows.opening_depth_limit = 3;
  plane.Restart();
  plane.OfferConfig(1);
  plane.OfferVmList({{1}});
  std::vector<PacketAction> busy;
  for (uint32_t caller = 0; caller < 2; ++caller)
    busy.push_back(plane.EstablishFlow(FakePacketPlane::KeyOfCaller(caller)));
  plane.OfferVmList({{2}});
  for (uint32_t caller = 10; caller < 20; ++caller)
    plane.EstablishFlow(FakePacketPlane::KeyOfCaller(caller));
  plane.OfferVmList({{1}, {2}});
  LONGS_EQUAL(2, plane.PoolMemberOf(VmId{1}).flows);
  LONGS_EQUAL(10, plane.PoolMemberOf(VmId{2}).flows);
  // Both slots of server 1 are taken by requests.
  for (uint32_t caller = 0; caller < 2; ++caller)
    plane.SendData(FakePacketPlane::KeyOfCaller(caller), busy[caller].tag, 101,
                   1000, 50);
  for (uint32_t caller = 30; caller < 36; ++caller)
    CHECK(plane.EstablishFlow(FakePacketPlane::KeyOfCaller(caller)).backend ==
          VmId{2});
}
