/** @file pool_test.cc Reachability of backend servers, and how full and how
 * near they are, as opaque flows are placed; in virtual time. */

#include <set>

#include "tests/packet_fake.h"

using namespace cuminvane;
using namespace cuminvane::test;

TEST_GROUP(Pool){};

TEST(Pool, ALateAnswerAloneBeginsACheckAndNothingElse) {
  World world;
  world.List({{1}});
  const FlowKey key = World::Key(1);
  const PacketAction opened = world.Establish(key);
  world.Data(key, opened.tag, 101, 1000, 50);
  world.Wait(Milliseconds(80));
  LONGS_EQUAL(0, world.out.checks.size());
  world.Wait(Milliseconds(40));
  LONGS_EQUAL(1, world.out.checks.size());
  world.EndCheck(opened.backend, HealthCheckResult::kAnswered);
  LONGS_EQUAL(0, world.out.resets.size());
  CHECK(world.Data(key, opened.tag, 101, 1000, 50).type ==
        PacketActionType::kForward);
}

TEST(Pool, ASilentServerLosesItsFlowsAtOnceAndGetsNoNewOnes) {
  World world;
  world.List({{1}, {2}});
  std::set<FlowKey> on_first;
  PacketAction opened;
  FlowKey key;
  for (uint32_t caller = 0; caller < 10; ++caller) {
    const PacketAction action = world.Establish(World::Key(caller));
    if (action.backend != VmId{1})
      continue;
    on_first.insert(World::Key(caller));
    key = World::Key(caller);
    opened = action;
  }
  Lose(world, key, opened);
  std::set<FlowKey> reset;
  for (const FlowReset& one : world.out.resets)
    reset.insert(one.key);
  CHECK(reset == on_first);
  for (uint32_t caller = 20; caller < 40; ++caller)
    CHECK(world.Open(World::Key(caller)).backend == VmId{2});
  // A flow learned afterwards is reset with its next packet.
  CHECK(world.Data(World::Key(77), opened.tag, 500, 900, 9).type ==
        PacketActionType::kReset);
}

TEST(Pool, AnAnswerOnAnyFlowDuringTheCheckClearsTheServer) {
  World world;
  world.List({{1}});
  const PacketAction opened = world.Establish(World::Key(1));
  world.Establish(World::Key(2));
  world.Data(World::Key(1), opened.tag, 101, 1000, 50);
  world.Wait(Milliseconds(120));
  LONGS_EQUAL(1, world.out.checks.size());
  world.Data(World::Key(2), opened.tag, 101, 1500, 0);
  world.EndCheck(VmId{1}, HealthCheckResult::kTimedOut);
  LONGS_EQUAL(0, world.out.resets.size());
  CHECK(world.Member(VmId{1}).liveness.reachability ==
        Reachability::kReachable);
}

TEST(Pool, ABalancerThatWasHeldUpDoesNotTrustItsOwnCheck) {
  World world;
  world.List({{1}});
  const FlowKey key = World::Key(1);
  const PacketAction opened = world.Establish(key);
  world.Data(key, opened.tag, 101, 1000, 50);
  world.Wait(Milliseconds(120));
  world.now += Milliseconds(400);
  world.balancer->Tick(world.now, world.random, world.out);
  world.EndCheck(VmId{1}, HealthCheckResult::kTimedOut);
  LONGS_EQUAL(0, world.out.resets.size());
}

TEST(Pool, AServerThatIsBackIsTrustedLaterWithEachLoss) {
  World world;
  world.List({{1}, {2}});
  FlowKey key = World::Key(0);
  PacketAction opened = world.Establish(key);
  for (uint32_t caller = 1; opened.backend != VmId{1}; ++caller) {
    key = World::Key(caller);
    opened = world.Establish(key);
  }
  Lose(world, key, opened);
  world.EndCheck(VmId{1},
                 HealthCheckResult::kAnswered);  // No check is under way.
  CHECK(world.Member(VmId{1}).liveness.reachability ==
        Reachability::kUnreachable);
  world.Wait(Milliseconds(600));
  world.EndCheck(VmId{1}, HealthCheckResult::kAnswered);
  CHECK(world.Member(VmId{1}).liveness.reachability ==
        Reachability::kReachable);
  CHECK(world.Open(World::Key(50)).backend == VmId{2});
  world.Wait(Milliseconds(600));
  std::set<VmId> used;
  for (uint32_t caller = 60; caller < 80; ++caller)
    used.insert(world.Open(World::Key(caller)).backend);
  CHECK(used.contains(VmId{1}));
}

TEST(Pool, ALossIsPassedOnAndTheReceiverChecksForItself) {
  World first;
  World second;
  first.List({{1}, {2}});
  second.List({{1}, {2}});
  FlowKey key = World::Key(0);
  const PacketAction opened = first.Establish(key);
  ReachabilityUpdate news{{opened.backend, Incarnation{1}}};
  second.out.Clear();
  second.balancer->OnPeer(second.now, *ParseEndpoint("10.0.0.2:1"),
                          Encode(news), second.random, second.out);
  LONGS_EQUAL(1, second.out.checks.size());
  LONGS_EQUAL(0, second.out.resets.size());
  // The same news again begins nothing.
  second.balancer->OnPeer(second.now, *ParseEndpoint("10.0.0.2:1"),
                          Encode(news), second.random, second.out);
  LONGS_EQUAL(1, second.out.checks.size());
}

TEST(Pool, WhereEverythingIsSilentThisBalancerIsCutOffItself) {
  World world;
  world.List({{1}, {2}, {3}, {4}});
  std::map<VmId, std::pair<FlowKey, FlowTag>> flows;
  for (uint32_t caller = 0; caller < 8; ++caller) {
    const PacketAction action = world.Establish(World::Key(caller));
    flows[action.backend] = {World::Key(caller), action.tag};
  }
  for (const auto& [vm, flow] : flows)
    world.Data(flow.first, flow.second, 101, 1000, 50);
  world.Wait(Milliseconds(200));
  CHECK(world.balancer->Packets().IsIsolated());
  world.out.Clear();
  for (uint64_t vm = 1; vm <= 4; ++vm)
    world.EndCheck(VmId{vm}, HealthCheckResult::kTimedOut);
  LONGS_EQUAL(0, world.out.resets.size());
  CHECK(!world.balancer->IsReady());
}

TEST(Pool, NewFlowsStayNearWhileThereIsRoom) {
  World world;
  world.List({{1, "desk", "a"}, {2, "desk", "b"}, {3, "desk", "a"}});
  for (uint32_t caller = 0; caller < 40; ++caller)
    CHECK(world.Establish(World::Key(caller)).backend != VmId{2});
}

TEST(Pool, NewFlowsSpreadWhereTheNearServersAreBusy) {
  World world;
  world.List({{1, "desk", "a"}, {2, "desk", "b"}});
  for (uint32_t caller = 0; caller < 8; ++caller) {
    const PacketAction opened = world.Establish(World::Key(caller));
    world.Data(World::Key(caller), opened.tag, 101, 1000, 50);
  }
  world.Wait(Milliseconds(4000));
  int far = 0;
  for (uint32_t caller = 20; caller < 60; ++caller)
    far += world.Open(World::Key(caller)).backend == VmId{2} ? 1 : 0;
  CHECK(far > 10);
}

/** Its two slots are busy and as many requests wait: a new flow comes back with
 * its copy, and is placed with the last one in any case. */
TEST(Pool, AFullServerIsOpenedWithTheLastCopy) {
  World world;
  world.settings.flows.opening_depth_limit = 2;
  world.settings.flows.retransmission_depth_limit = 2;
  world.Restart();
  world.Configure(1);
  world.List({{1}});
  for (uint32_t caller = 0; caller < 4; ++caller) {
    const PacketAction opened = world.Establish(World::Key(caller));
    world.Data(World::Key(caller), opened.tag, 101, 1000, 50);
  }
  CHECK(world.Open(World::Key(9)).type == PacketActionType::kDrop);
  CHECK(world.Open(World::Key(9), 1).type == PacketActionType::kDrop);
  CHECK(world.Open(World::Key(9), 2).type == PacketActionType::kForward);
  // An answer makes room.
  world.Data(World::Key(0), TagOf(VmId{1}), 151, 2000, 0);
  world.Data(World::Key(1), TagOf(VmId{1}), 151, 2000, 0);
  CHECK(world.Open(World::Key(10)).type == PacketActionType::kForward);
}

/** Its slots are busy: one who has waited already waits for an idle slot, a new
 * caller is still in time behind one request. */
TEST(Pool, CopiesOfOpeningPacketsWaitForAnIdleSlot) {
  World world;
  world.settings.flows.opening_depth_limit = 3;
  world.settings.flows.retransmission_depth_limit = 1;
  world.Restart();
  world.Configure(1);
  world.List({{1}});
  for (uint32_t caller = 0; caller < 2; ++caller) {
    const PacketAction opened = world.Establish(World::Key(caller));
    world.Data(World::Key(caller), opened.tag, 101, 1000, 50);
  }
  CHECK(world.Open(World::Key(8), 1).type == PacketActionType::kDrop);
  CHECK(world.Open(World::Key(9)).type == PacketActionType::kForward);
  CHECK(world.Open(World::Key(8), 2).type == PacketActionType::kForward);
}

/** Nothing else is left, so the flow is placed there; its caller's next packet
 * shows that the backend server has answered since. */
TEST(Pool, AHandshakeAfterTheLossClearsTheServer) {
  World world;
  world.List({{1}});
  const PacketAction first = world.Establish(World::Key(1));
  Lose(world, World::Key(1), first);
  CHECK(world.Member(VmId{1}).liveness.reachability ==
        Reachability::kUnreachable);
  world.Wait(Milliseconds(20));
  CHECK(world.Establish(World::Key(2)).type == PacketActionType::kForward);
  CHECK(world.Member(VmId{1}).liveness.reachability ==
        Reachability::kReachable);
}

/** The opening packet went out before the loss: its handshake proves nothing.
 */
TEST(Pool, AHandshakeFromBeforeTheLossClearsNothing) {
  World world;
  world.List({{1}});
  const PacketAction first = world.Establish(World::Key(1));
  const PacketAction opened = world.Open(World::Key(2));
  Lose(world, World::Key(1), first);
  CHECK(world.Data(World::Key(2), opened.tag, 101, 1000, 0).type ==
        PacketActionType::kReset);
  CHECK(world.Member(VmId{1}).liveness.reachability ==
        Reachability::kUnreachable);
}

/** What is unanswered at a lost server says nothing of its queue. */
TEST(Pool, AServerOutOfReachIsNotFull) {
  World world;
  world.settings.flows.opening_depth_limit = 1;
  world.settings.flows.retransmission_depth_limit = 1;
  world.Restart();
  world.Configure(1);
  world.List({{1}});
  const PacketAction first = world.Establish(World::Key(1));
  world.Data(World::Key(2), first.tag, 101, 1000, 50);
  Lose(world, World::Key(1), first);
  CHECK(world.Open(World::Key(3)).type == PacketActionType::kForward);
}

TEST(Pool, AFullNearServerLeavesFlowsToTheOthers) {
  World world;
  world.settings.flows.opening_depth_limit = 1;
  world.Restart();
  world.Configure(1);
  world.List({{1}, {2, "desk", "b"}});
  for (uint32_t caller = 0; caller < 2; ++caller) {
    const PacketAction opened = world.Establish(World::Key(caller));
    CHECK(opened.backend == VmId{1});
    world.Data(World::Key(caller), opened.tag, 101, 1000, 50);
  }
  const PacketAction third = world.Open(World::Key(9));
  CHECK(third.type == PacketActionType::kForward);
  CHECK(third.backend == VmId{2});
}
