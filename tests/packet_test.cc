/** @file packet_test.cc Which backend server a packet of an opaque flow goes
 * to, one by one, in virtual time. */

#include <set>

#include "tests/packet_fake.h"

using namespace cuminvane;
using namespace cuminvane::test;

TEST_GROUP(Packets){};

TEST(Packets, ALaterPacketIsRoutedByItsTagAtAnyBalancer) {
  World first;
  World second;
  const std::vector<ListedVm> list = {{1}, {2}, {3}, {4}};
  first.List(list);
  second.List(list);
  for (uint32_t caller = 0; caller < 50; ++caller) {
    const PacketAction opened = first.Open(World::Key(caller));
    const PacketAction later =
        second.Data(World::Key(caller), opened.tag, 101, 1000, 10);
    CHECK(later.type == PacketActionType::kForward);
    CHECK(later.backend == opened.backend);
    CHECK(later.tag == opened.tag);
  }
}

TEST(Packets, NewFlowsSpreadEvenly) {
  World world;
  world.List({{1}, {2}, {3}, {4}});
  for (uint32_t caller = 0; caller < 400; ++caller)
    world.Establish(World::Key(caller));
  for (uint64_t vm = 1; vm <= 4; ++vm)
    LONGS_EQUAL(100, world.Member(VmId{vm}).flows);
}

TEST(Packets, AFlowGoesToItsOwnServiceOnly) {
  World world;
  world.List({{1, "desk"}, {2, "files"}, {3, "desk"}});
  for (uint32_t caller = 0; caller < 40; ++caller)
    CHECK(world.Open(World::Key(caller, kDownloads)).backend == VmId{2});
}

TEST(Packets, ASplitIsTheSameAtEveryBalancer) {
  World first;
  World second;
  const std::vector<ListedVm> list = {{1, "desk"}, {2, "files"}};
  first.List(list);
  second.List(list);
  int desks = 0;
  for (uint32_t caller = 0; caller < 1000; ++caller) {
    const PacketAction one = first.Open(World::Key(caller, kSplit));
    CHECK(one.backend == second.Open(World::Key(caller, kSplit)).backend);
    desks += one.backend == VmId{1} ? 1 : 0;
  }
  CHECK(desks > 430 && desks < 570);
}

TEST(Packets, ACopyOfAnOpeningPacketGoesElsewhere) {
  World world;
  world.List({{1}, {2}});
  const PacketAction first = world.Open(World::Key(1));
  world.Wait(Milliseconds(30));
  const PacketAction copy = world.Open(World::Key(1), 1);
  CHECK(copy.backend != first.backend);
}

/** Both backend servers took a copy; the caller opened with one of them, and
 * its later packets carry the tag of whichever it heard last. */
TEST(Packets, AFlowStaysWithTheServerItsFirstPacketNames) {
  for (const bool names_first : {true, false}) {
    World world;
    world.List({{1}, {2}});
    const FlowKey key = World::Key(1);
    const PacketAction first = world.Open(key);
    const PacketAction copy = world.Open(key, 1);
    const PacketAction& chosen = names_first ? first : copy;
    const PacketAction& other = names_first ? copy : first;
    CHECK(world.Data(key, chosen.tag, 101, 1000, 0).backend == chosen.backend);
    const PacketAction late = world.Data(key, other.tag, 101, 1000, 10);
    CHECK(late.backend == chosen.backend);
    CHECK(late.tag == chosen.tag);
    // A copy of the opening packet that comes late opens nothing new.
    CHECK(world.Open(key, 2).backend == chosen.backend);
  }
}

TEST(Packets, ADrainingServerKeepsItsFlowsAndGetsNoNewOnes) {
  World world;
  world.List({{1}});
  const PacketAction opened = world.Establish(World::Key(1));
  world.List({{1, "desk", "a", 1, true}, {2}});
  for (uint32_t caller = 10; caller < 40; ++caller)
    CHECK(world.Open(World::Key(caller)).backend == VmId{2});
  CHECK(world.Data(World::Key(1), opened.tag, 101, 1000, 9).backend == VmId{1});
}

TEST(Packets, AnEntryThatLapsedTakesFlowsWhileItsOwnGoOn) {
  World world;
  world.List({{1}});
  const PacketAction opened = world.Establish(World::Key(1));
  world.Wait(Milliseconds(100));
  world.List({});
  // Nothing tells that it lives: no new flows.
  CHECK(world.Open(World::Key(2)).type == PacketActionType::kReset);
  world.Wait(Milliseconds(100));
  world.Data(World::Key(1), opened.tag, 101, 2000, 9);
  CHECK(world.Open(World::Key(3)).backend == VmId{1});
  world.Wait(Milliseconds(2000));
  world.Data(World::Key(1), opened.tag, 110, 3000, 9);
  CHECK(world.Open(World::Key(4)).type == PacketActionType::kReset);
  // Its open flows stay where they are all the same.
  CHECK(world.Data(World::Key(1), opened.tag, 119, 4000, 9).backend == VmId{1});
}

/** The flow was placed after the server had started again and before the list
 * told so: it is open on the present start. */
TEST(Packets, AFlowPlacedBeforeTheNewsOfARestartGoesOn) {
  World world;
  world.List({{1}});
  const PacketAction opened = world.Establish(World::Key(1));
  world.List({{1, "desk", "a", 2}});
  LONGS_EQUAL(0, world.Member(VmId{1}).flows);
  CHECK(world.Data(World::Key(1), opened.tag, 101, 1000, 9).backend == VmId{1});
  LONGS_EQUAL(1, world.Member(VmId{1}).flows);
}

TEST(Packets, AnUnknownTagWaitsForNewsBeforeTheFlowIsReset) {
  World world;
  world.List({{1}});
  const FlowTag tag{4711};
  CHECK(world.Data(World::Key(1), tag, 101, 1000, 9).type ==
        PacketActionType::kDrop);
  world.Wait(Milliseconds(1100));
  CHECK(world.Data(World::Key(1), tag, 101, 1000, 9).type ==
        PacketActionType::kReset);
}

TEST(Packets, AFlowStaysWhenItsRouteMovesAndEndsWhenItsRouteGoes) {
  World world;
  world.List({{1, "desk"}, {2, "files"}});
  const PacketAction opened = world.Establish(World::Key(1));
  const std::string target =
      "idempotent = yes\nrank = 1\nanswered_within_ms = 200\n";
  world.Configure(2, "[class edits]\nservice = files\naddresses = " +
                         ToString(kEdits) + "\n" + target);
  CHECK(world.Data(World::Key(1), opened.tag, 101, 1000, 9).backend == VmId{1});
  CHECK(world.Open(World::Key(2)).backend == VmId{2});
  // A balancer that starts afterwards carries it as well.
  World later;
  later.List({{1, "desk"}, {2, "files"}});
  later.Configure(2, "[class edits]\nservice = files\naddresses = " +
                         ToString(kEdits) + "\n" + target);
  CHECK(later.Data(World::Key(1), opened.tag, 101, 1000, 9).backend == VmId{1});
  world.Configure(3, "[class downloads]\nservice = files\naddresses = " +
                         ToString(kDownloads) + "\n" + target);
  world.Wait(Milliseconds(1100));
  CHECK(world.Data(World::Key(1), opened.tag, 110, 1000, 9).type ==
        PacketActionType::kReset);
}

TEST(Packets, AnAddressWithoutARouteIsRefusedAtTheSecondCopy) {
  World world;
  world.List({{1}});
  const FlowKey key = World::Key(1, *ParseEndpoint("198.18.0.9:1"));
  CHECK(world.Open(key).type == PacketActionType::kDrop);
  CHECK(world.Open(key, 1).type == PacketActionType::kReset);
}

TEST(Packets, NoServerForANewFlowIsToldAtOnce) {
  World world;
  world.List({});
  CHECK(world.Open(World::Key(1)).type == PacketActionType::kReset);
}

/** Of two starts with one tag only the older is given flows. */
TEST(Packets, ATagNamesOneStartOnly) {
  // Found by search: these two ids have the same tag.
  uint64_t one = 0;
  uint64_t other = 0;
  std::map<uint32_t, uint64_t> seen;
  for (uint64_t vm = 1; other == 0; ++vm) {
    const auto [place, is_new] = seen.emplace(TagOf(VmId{vm}).value, vm);
    if (is_new)
      continue;
    one = place->second;
    other = vm;
  }
  World world;
  world.List({{one}, {other}, {7}});
  std::set<VmId> used;
  for (uint32_t caller = 0; caller < 60; ++caller)
    used.insert(world.Establish(World::Key(caller)).backend);
  CHECK(used == std::set<VmId>({VmId{one}, VmId{7}}));
}

TEST(Packets, FlowsAreCountedOnceAndForgottenWhenIdle) {
  World world;
  world.List({{1}});
  const PacketAction opened = world.Establish(World::Key(1));
  world.Establish(World::Key(2));
  LONGS_EQUAL(2, world.Member(VmId{1}).flows);
  OpaquePacket end;
  end.key = World::Key(2);
  end.tag = opened.tag;
  end.sequence = 101;
  end.acknowledged = 1000;
  end.closes = true;
  CHECK(world.Send(end).type == PacketActionType::kForward);
  CHECK(world.Send(end).type == PacketActionType::kForward);
  LONGS_EQUAL(1, world.Member(VmId{1}).flows);
  world.Wait(Milliseconds(16000));
  LONGS_EQUAL(0, world.Member(VmId{1}).flows);
  LONGS_EQUAL(0, world.balancer->Packets().Flows());
}

TEST(Packets, TheTableIsBoundedAndForgetsTheSilentOnes) {
  FlowTable table(1024);
  std::vector<FlowRecord> evicted;
  TimePoint now(Seconds(1));
  for (uint32_t caller = 0; caller < 5000; ++caller) {
    now += Milliseconds(1);
    table.Add(World::Key(caller), now, evicted);
  }
  CHECK(table.Size() <= 1024);
  LONGS_EQUAL(5000, table.Size() + evicted.size());
  LONGS_EQUAL(1024, table.Capacity());
  CHECK(table.Find(World::Key(4999)) != nullptr);
  size_t found = 0;
  for (uint32_t caller = 0; caller < 5000; ++caller)
    found += table.Find(World::Key(caller)) != nullptr ? 1 : 0;
  LONGS_EQUAL(table.Size(), found);
}
