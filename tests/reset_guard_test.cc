/** @file reset_guard_test.cc A balancer resets flows only if it can vouch for
 * its own documents and its own link. */

#include "tests/packet_fake.h"

using namespace cuminvane;
using namespace cuminvane::test;

namespace {

const FlowTag kUnknownTag{4711};

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

/** A health check is run together with a connection to a live balancer. */
TEST(ResetGuard, HealthCheckHasALiveBalancerAsControl) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  OpenUnansweredFlow(plane, FakePacketPlane::KeyOfCaller(1));
  CHECK(plane.out.checks.front().control == Endpoint{});
  plane.out.Clear();
  // The peer does not answer probes, and is soon suspected itself.
  IntroducePeer(plane);
  plane.RunFor(Milliseconds(20));
  OpenUnansweredFlow(plane, FakePacketPlane::KeyOfCaller(2));
  CHECK(plane.out.checks.front().control == kPeerAddress);
}

/** On a congested link the peers look dead as well. */
TEST(ResetGuard, HealthCheckWithoutLiveBalancersHasTheStoreAsControl) {
  FakePacketPlane plane;
  plane.settings.platform = *ParseEndpoint("10.0.0.9:1");
  plane.Restart();
  plane.OfferConfig(1);
  plane.OfferVmList({{1}, {2}});
  OpenUnansweredFlow(plane, FakePacketPlane::KeyOfCaller(1));
  CHECK(plane.out.checks.front().control == plane.settings.platform);
}

/** Neither the backend server nor the control answered: the balancer's own link
 * may be congested, as after a large change of the configuration. */
TEST(ResetGuard, CheckWithoutAnswerOfTheControlResetsNoFlow) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction opened = OpenUnansweredFlow(plane, key);
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kInconclusive);
  LONGS_EQUAL(0, plane.out.resets.size());
  CHECK(plane.SendData(key, opened.tag, 101, 1000, 50).type ==
        PacketActionType::kForward);
  // New flows go elsewhere all the same.
  for (uint32_t caller = 10; caller < 20; ++caller)
    CHECK(
        plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(caller)).backend !=
        opened.backend);
}

/** A backend server that is really lost is found as soon as the link works. */
TEST(ResetGuard, InconclusiveCheckIsRepeatedSoon) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction opened = OpenUnansweredFlow(plane, key);
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kInconclusive);
  plane.out.checks.clear();
  plane.RunFor(Milliseconds(250));
  LONGS_EQUAL(1, plane.out.checks.size());
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kTimedOut);
  LONGS_EQUAL(1, plane.out.resets.size());
}

/** A backend server counts as lost; then this balancer's own link fails, so
 * that it can't know whether the backend server is back. */
TEST(ResetGuard, LossIsForgottenWhileTheOwnLinkIsSilent) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction opened = OpenUnansweredFlow(plane, key);
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kTimedOut);
  plane.RunFor(Milliseconds(60));
  CHECK(plane.SendData(key, opened.tag, 101, 1000, 50).type ==
        PacketActionType::kReset);
  plane.RunFor(Milliseconds(600));
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kInconclusive);
  plane.RunFor(Milliseconds(60));
  CHECK(plane.SendData(key, opened.tag, 101, 1000, 50).type ==
        PacketActionType::kForward);
}

/** A backend server closes its listener before its last requests end. */
TEST(ResetGuard, LeavingServerThatRefusesConnectionsKeepsItsOpenFlows) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  plane.RunFor(Milliseconds(5000));
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction opened = OpenUnansweredFlow(plane, key);
  plane.OfferVmList({{1, "desk", "a", 1, opened.backend == VmId{1}},
                     {2, "desk", "a", 1, opened.backend == VmId{2}}});
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kRefused);
  LONGS_EQUAL(0, plane.out.resets.size());
  CHECK(plane.SendData(key, opened.tag, 101, 1000, 50).type ==
        PacketActionType::kForward);
}

TEST(ResetGuard, RefusalWhileDocumentsAreBehindResetsNoFlow) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  plane.RunFor(Milliseconds(5000));
  plane.documents_confirmed = false;
  plane.RunFor(Milliseconds(5000));
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction opened = OpenUnansweredFlow(plane, key);
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kRefused);
  RetransmitTwice(plane, key, opened);
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kRefused);
  LONGS_EQUAL(0, plane.out.resets.size());
  // The documents arrive, and the server is not leaving: it has crashed.
  plane.documents_confirmed = true;
  plane.RunFor(Milliseconds(4000));
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kRefused);
  LONGS_EQUAL(1, plane.out.resets.size());
}

TEST(ResetGuard, FlowsKeptAtARefusingServerAreResetOnceItIsSilent) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  plane.RunFor(Milliseconds(5000));
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction opened = OpenUnansweredFlow(plane, key);
  plane.OfferVmList({{3 - opened.backend.value}});
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kRefused);
  LONGS_EQUAL(0, plane.out.resets.size());
  plane.out.checks.clear();
  plane.RunFor(Milliseconds(700));
  LONGS_EQUAL(1, plane.out.checks.size());
  LONGS_EQUAL(3, plane.out.checks.front().attempts);
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kTimedOut);
  LONGS_EQUAL(1, plane.out.resets.size());
}

TEST(ResetGuard, CrashedServerThatRefusesConnectionsHasItsFlowsReset) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  plane.RunFor(Milliseconds(5000));
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction opened = OpenUnansweredFlow(plane, key);
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kRefused);
  RetransmitTwice(plane, key, opened);
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kRefused);
  LONGS_EQUAL(1, plane.out.resets.size());
}

/** The list shows that a lost backend server has started again. */
TEST(ResetGuard, NewInstanceOfALostServerKeepsItsFlows) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction opened = OpenUnansweredFlow(plane, key);
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kTimedOut);
  plane.OfferVmList({{opened.backend.value, "desk", "a", 2}});
  // Another balancer has placed this flow at the new instance.
  CHECK(
      plane.SendData(FakePacketPlane::KeyOfCaller(2), opened.tag, 101, 1000, 50)
          .type == PacketActionType::kForward);
}

TEST(ResetGuard, HealthCheckOfTheInstanceBeforeIsNoProof) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction opened = OpenUnansweredFlow(plane, key);
  plane.OfferVmList({{opened.backend.value, "desk", "a", 2}});
  // Another balancer has placed this flow at the new instance.
  const FlowKey later_key = FakePacketPlane::KeyOfCaller(2);
  plane.SendData(later_key, opened.tag, 101, 1000, 0);
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kTimedOut);
  LONGS_EQUAL(0, plane.out.resets.size());
  CHECK(plane.SendData(later_key, opened.tag, 101, 1000, 50).type ==
        PacketActionType::kForward);
}

/** Only this balancer does not reach the backend server. */
TEST(ResetGuard, FlowWithNewAnswersOfALostServerIsNotReset) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction opened = OpenUnansweredFlow(plane, key);
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kTimedOut);
  const FlowKey other_key = FakePacketPlane::KeyOfCaller(2);
  plane.SendData(other_key, opened.tag, 101, 1000, 0);
  plane.RunFor(Milliseconds(60));
  CHECK(plane.SendData(other_key, opened.tag, 101, 1600, 0).type ==
        PacketActionType::kForward);
  plane.RunFor(Milliseconds(60));
  CHECK(plane.SendData(other_key, opened.tag, 101, 1600, 50).type ==
        PacketActionType::kReset);
}

TEST(ResetGuard, KeptFlowsThatAreAnsweredSurviveASilentCheck) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  plane.RunFor(Milliseconds(5000));
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction opened = OpenUnansweredFlow(plane, key);
  plane.OfferVmList({{3 - opened.backend.value}});
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kRefused);
  plane.RunFor(Milliseconds(700));
  plane.SendData(key, opened.tag, 151, 1600, 0);
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kTimedOut);
  LONGS_EQUAL(0, plane.out.resets.size());
}

/** In a release the servers that stay are not checked for each that goes. */
TEST(ResetGuard, ServerThatHasLeftRaisesNoSuspicionOfOthers) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  plane.RunFor(Milliseconds(5000));
  for (uint32_t caller = 10; caller < 20; ++caller)
    plane.EstablishFlow(FakePacketPlane::KeyOfCaller(caller));
  IntroducePeer(plane);
  const PacketAction opened =
      OpenUnansweredFlow(plane, FakePacketPlane::KeyOfCaller(1));
  plane.OfferVmList({{3 - opened.backend.value}});
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kRefused);
  plane.RunFor(Milliseconds(700));
  plane.out.Clear();
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kTimedOut);
  CHECK(!plane.out.resets.empty());
  CHECK(plane.out.checks.empty());
  CHECK(plane.out.common.datagrams.empty());
}

/** The store came back from a copy from before the stop was announced. */
TEST(ResetGuard, LeavingServerThatAnOlderCopyListsAsLiveKeepsItsOpenFlows) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  plane.RunFor(Milliseconds(5000));
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction opened = plane.EstablishFlow(key);
  plane.OfferVmList({{1, "desk", "a", 1, opened.backend == VmId{1}},
                     {2, "desk", "a", 1, opened.backend == VmId{2}}});
  plane.RunFor(Milliseconds(1000));
  plane.OfferVmList({{1}, {2}});
  for (uint32_t caller = 10; caller < 20; ++caller)
    CHECK(
        plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(caller)).backend !=
        opened.backend);
  plane.SendData(key, opened.tag, 101, 1000, 50);
  plane.RunFor(Milliseconds(120));
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kRefused);
  LONGS_EQUAL(0, plane.out.resets.size());
  // The server has not written its entry again: the stop was called off.
  plane.RunFor(Milliseconds(700));
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kAnswered);
  plane.RunFor(Milliseconds(6000));
  bool used = false;
  for (uint32_t caller = 20; caller < 40; ++caller)
    used |=
        plane.SendOpeningPacket(FakePacketPlane::KeyOfCaller(caller)).backend ==
        opened.backend;
  CHECK(used);
}

/** This balancer has not heard of the stop before the restore took it back. */
TEST(ResetGuard, ListThatWasJustRestoredIsNoProof) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  plane.RunFor(Milliseconds(5000));
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction opened = OpenUnansweredFlow(plane, key);
  plane.list_version += kVersionsPerEra;
  plane.OfferVmList({{1}, {2}});
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kRefused);
  RetransmitTwice(plane, key, opened);
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kRefused);
  LONGS_EQUAL(0, plane.out.resets.size());
  plane.RunFor(Milliseconds(4000));
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kRefused);
  LONGS_EQUAL(1, plane.out.resets.size());
}

/** The platform's store rejects the server's entry, but the server lives. */
TEST(ResetGuard, ServerThatAnswersItsFlowsIsNotForgottenWhenItIsNotListed) {
  FakePacketPlane plane;
  plane.OfferVmList({{1}, {2}});
  plane.RunFor(Milliseconds(5000));
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction opened = plane.EstablishFlow(key);
  plane.OfferVmList({{3 - opened.backend.value}});
  uint32_t acknowledged = 1000;
  for (int round = 0; round < 14; ++round) {
    plane.RunFor(Milliseconds(5000));
    acknowledged += 100;
    CHECK(plane.SendData(key, opened.tag, 101, acknowledged, 0).type ==
          PacketActionType::kForward);
  }
}
