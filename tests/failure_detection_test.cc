/** @file failure_detection_test.cc Which health checks count as proof that a
 * backend server is lost. Runs in virtual time. */

#include "tests/packet_fake.h"

using namespace cuminvane;
using namespace cuminvane::test;

TEST_GROUP(FailureDetection){};

/** A server at its connection limit refuses health checks, however often, and
 * goes on to answer its flows. */
TEST(FailureDetection, FullServerThatRefusesHealthChecksKeepsItsFlows) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  plane.RunFor(Milliseconds(5000));
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction opened = OpenUnansweredFlow(plane, key);
  const FlowKey answered_key = FakePacketPlane::KeyOfCaller(2);
  uint32_t acknowledged = 1000;
  plane.SendData(answered_key, opened.tag, 101, acknowledged, 0);
  for (int check = 0; check < 4; ++check) {
    plane.EndHealthCheck(opened.backend, HealthCheckResult::kRefused);
    RetransmitTwice(plane, key, opened);
    acknowledged += 500;
    plane.SendData(answered_key, opened.tag, 101, acknowledged, 0);
    CHECK(plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(10 + check))
              .backend != opened.backend);
  }
  LONGS_EQUAL(0, plane.out.resets.size());
  // It has room again: it was full and not lost, so it is trusted at once.
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kAnswered);
  plane.OfferVmList({{opened.backend.value}});
  CHECK(plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(20)).backend ==
        opened.backend);
  CHECK(plane.PoolMemberOf(opened.backend).liveness.trusted_from <= plane.now);
}

/** Late answers and refusals are no proof in a busy service: the queue of a
 * full server is long. */
TEST(FailureDetection,
     RefusalInABusyServiceResetsNoFlowWithoutRetransmissions) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  plane.RunFor(Milliseconds(5000));
  std::map<FlowKey, PacketAction> flows;
  for (uint32_t caller = 0; caller < 20; ++caller) {
    const FlowKey key = FakePacketPlane::KeyOfCaller(caller);
    flows[key] = plane.EstablishFlow(key);
    plane.SendData(key, flows[key].tag, 101, 1000, 50);
  }
  plane.RunFor(Milliseconds(1500));
  for (int check = 0; check < 3; ++check) {
    plane.EndHealthCheck(VmId{1}, HealthCheckResult::kRefused);
    plane.RunFor(Milliseconds(600));
  }
  LONGS_EQUAL(0, plane.out.resets.size());
  for (int copy = 0; copy < 2; ++copy) {
    for (const auto& [key, opened] : flows)
      plane.SendData(key, opened.tag, 101, 1000, 50);
    plane.RunFor(Milliseconds(300));
  }
  plane.EndHealthCheck(VmId{1}, HealthCheckResult::kRefused);
  LONGS_EQUAL(10, plane.out.resets.size());
}

/** In an idle service no queue explains an overdue answer, so callers should
 * not wait for more evidence than a second refusal. */
TEST(FailureDetection, SecondRefusalInAnIdleServiceResetsFlows) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  plane.RunFor(Milliseconds(5000));
  const PacketAction opened =
      OpenUnansweredFlow(plane, FakePacketPlane::KeyOfCaller(1));
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kRefused);
  LONGS_EQUAL(0, plane.out.resets.size());
  plane.RunFor(Milliseconds(250));
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kRefused);
  LONGS_EQUAL(1, plane.out.resets.size());
}

/** A cut between data centres can refuse connections instead of dropping them;
 * the servers behind it are not full. */
TEST(FailureDetection, ServersOfADataCentreThatAllRefuseAreLost) {
  FakePacketPlane plane;
  plane.OfferVmList({{1, "desk", "b"}, {2, "desk", "b"}, {3, "desk", "b"}});
  plane.RunFor(Milliseconds(5000));
  for (uint32_t caller = 0; caller < 20; ++caller) {
    const FlowKey key = FakePacketPlane::KeyOfCaller(caller);
    plane.SendData(key, plane.EstablishFlow(key).tag, 101, 1000, 50);
  }
  plane.RunFor(Milliseconds(120));
  for (const uint64_t vm : {1, 2, 3})
    plane.EndHealthCheck(VmId{vm}, HealthCheckResult::kRefused);
  LONGS_EQUAL(0, plane.out.resets.size());
  plane.RunFor(Milliseconds(250));
  for (const uint64_t vm : {1, 2, 3})
    plane.EndHealthCheck(VmId{vm}, HealthCheckResult::kRefused);
  LONGS_EQUAL(20, plane.out.resets.size());
}

/** Peers report a server whose flows have nothing unanswered here; the check
 * that follows is lost on this balancer's own link. */
TEST(FailureDetection, SilentCheckAfterAPeersReportResetsNoFlow) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  plane.RunFor(Milliseconds(5000));
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction opened = plane.EstablishFlow(key);
  plane.RunFor(Milliseconds(200));
  plane.balancer->OnPeer(
      plane.now, kPeerAddress,
      Encode(ReachabilityUpdate{{opened.backend, Incarnation{1}}}),
      plane.random, plane.out);
  LONGS_EQUAL(1, plane.out.checks.size());
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kTimedOut);
  LONGS_EQUAL(0, plane.out.resets.size());
  CHECK(plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(2)).backend !=
        opened.backend);
  // One of its flows is answered, so another single check is no proof either.
  plane.SendData(key, opened.tag, 101, 1500, 0);
  plane.RunFor(Milliseconds(250));
  plane.balancer->OnPeer(
      plane.now, kPeerAddress,
      Encode(ReachabilityUpdate{{opened.backend, Incarnation{1}}}),
      plane.random, plane.out);
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kTimedOut);
  LONGS_EQUAL(0, plane.out.resets.size());
  CHECK(plane.SendData(key, opened.tag, 101, 1500, 50).type ==
        PacketActionType::kForward);
}

/** Callers with idle flows at a lost server should not have to find out by a
 * late answer. */
TEST(FailureDetection, SilentCheckAfterAPeersReportResetsIdleFlows) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  plane.RunFor(Milliseconds(5000));
  const PacketAction opened =
      plane.EstablishFlow(FakePacketPlane::KeyOfCaller(1));
  plane.RunFor(Milliseconds(1000));
  plane.balancer->OnPeer(
      plane.now, kPeerAddress,
      Encode(ReachabilityUpdate{{opened.backend, Incarnation{1}}}),
      plane.random, plane.out);
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kTimedOut);
  LONGS_EQUAL(1, plane.out.resets.size());
}

/** On a congested link some checks are inconclusive and others seem to prove a
 * loss. */
TEST(FailureDetection, TimeoutAfterAnInconclusiveCheckNeedsASecondOne) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  plane.RunFor(Milliseconds(5000));
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction first = OpenUnansweredFlow(plane, key);
  plane.EndHealthCheck(first.backend, HealthCheckResult::kInconclusive);
  const PacketAction second =
      OpenUnansweredFlow(plane, FakePacketPlane::KeyOfCaller(2));
  plane.EndHealthCheck(second.backend, HealthCheckResult::kTimedOut);
  LONGS_EQUAL(0, plane.out.resets.size());
  plane.EndHealthCheck(second.backend, HealthCheckResult::kTimedOut);
  LONGS_EQUAL(1, plane.out.resets.size());
}

/** Many servers that seem lost at once point to this balancer's own link, so
 * the first ones are checked again. */
TEST(FailureDetection, ManySimultaneousLossesAreConfirmedByASecondCheck) {
  FakePacketPlane plane;
  std::vector<VmListEntry> servers;
  for (uint64_t id = 1; id <= 20; ++id)
    servers.push_back({id});
  plane.OfferVmList(servers);
  plane.RunFor(Milliseconds(5000));
  std::map<FlowKey, PacketAction> flows;
  for (uint32_t caller = 0; caller < 20; ++caller) {
    const FlowKey key = FakePacketPlane::KeyOfCaller(caller);
    flows[key] = plane.EstablishFlow(key);
  }
  const auto send_data = [&](size_t count) {
    for (auto flow = flows.begin(); count > 0; ++flow, --count)
      plane.SendData(flow->first, flow->second.tag, 101, 1000, 50);
  };
  const auto end_checks = [&] {
    const std::vector<HealthCheck> checks = std::move(plane.out.checks);
    plane.out.checks.clear();
    for (const HealthCheck& check : checks)
      plane.EndHealthCheck(check.backend, HealthCheckResult::kTimedOut);
    return checks.size();
  };
  send_data(10);
  plane.RunFor(Milliseconds(220));
  CHECK(end_checks() >= 10);
  // Four conclusive checks show that the link works.
  LONGS_EQUAL(6, plane.out.resets.size());
  plane.RunFor(Milliseconds(250));
  // The other servers answer, so this balancer is not isolated.
  for (auto flow = std::next(flows.begin(), 10); flow != flows.end(); ++flow)
    plane.SendData(flow->first, flow->second.tag, 101, 1500, 0);
  plane.RunFor(Milliseconds(100));
  CHECK(end_checks() >= 4);
  LONGS_EQUAL(10, plane.out.resets.size());
}
