/** @file member_test.cc Membership: deaths are detected, live members are not
 * declared dead, and the traffic per member does not grow with the fleet. Runs
 * in virtual time. */

#include <deque>
#include <map>
#include <set>

#include "member/member_base.h"
#include "message/message_func.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

/** Membership tables of a fleet whose datagrams pass through a queue in memory.
 * Every member starts with the full VM list. */
struct MembershipFixture {
  explicit MembershipFixture(int count) {
    VmList list;
    for (int number = 1; number <= count; ++number) {
      Vm vm;
      vm.id = VmId{static_cast<uint32_t>(number)};
      vm.incarnation = Incarnation{1};
      vm.role = VmRole::kBalancer;
      vm.data_centre = "a";
      vm.peer_address = AddressOf(vm.id);
      list.vms.push_back(vm);
    }
    for (const Vm& vm : list.vms) {
      const MemberInfo self =
          MakeMember({vm.id, vm.incarnation}, vm.peer_address, "a");
      this->tables.emplace(vm.id, MemberTable(self, MembershipTiming{}));
      this->tables.at(vm.id).AddFromVmList(list, this->now);
    }
  }

  static Endpoint AddressOf(VmId vm) {
    return {static_cast<uint32_t>(vm.value), 1};
  }

  /** Advances the virtual time in steps of 5 ms and delivers all datagrams
   * without delay. */
  void RunFor(Microseconds time) {
    for (const TimePoint until = this->now + time; this->now < until;
         this->now += Milliseconds(5)) {
      std::deque<std::pair<VmId, Datagram>> queue;
      for (auto& [vm, table] : this->tables) {
        if (this->paused.contains(vm))
          continue;
        Output out;
        table.Tick(this->now, this->random, out);
        this->Enqueue(vm, out, queue);
      }
      while (!queue.empty()) {
        const auto [from, datagram] = queue.front();
        queue.pop_front();
        this->Deliver(from, datagram, queue);
      }
    }
  }

  /** Counts the datagrams of the output and appends them to the queue. */
  void Enqueue(VmId from,
               Output& out,
               std::deque<std::pair<VmId, Datagram>>& queue) {
    for (Datagram& datagram : out.datagrams) {
      this->sent_bytes += datagram.bytes.size();
      this->max_datagram_bytes =
          std::max(this->max_datagram_bytes, datagram.bytes.size());
      queue.emplace_back(from, std::move(datagram));
    }
  }

  /** Hands a datagram to its receiver, unless the receiver is paused or the
   * link is blocked, and enqueues the replies. */
  void Deliver(VmId from,
               const Datagram& datagram,
               std::deque<std::pair<VmId, Datagram>>& queue) {
    const VmId to{datagram.to.ip};
    if (!this->tables.contains(to) || this->paused.contains(to) ||
        this->blocked_links.contains({from, to}))
      return;
    Output out;
    MemberTable& table = this->tables.at(to);
    const DatagramHeader header = DecodeHeader(datagram.bytes).value();
    if (const auto ping = Decode<Ping>(datagram.bytes, header))
      table.OnPing(this->now, AddressOf(from), ping.value(), out);
    if (const auto ack = Decode<Ack>(datagram.bytes, header))
      table.OnAck(this->now, ack.value(), out);
    if (const auto request = Decode<PingRequest>(datagram.bytes, header))
      table.OnPingRequest(this->now, AddressOf(from), request.value(), out);
    this->Enqueue(to, out, queue);
  }

  /** @return State of the member in the view of the observer. */
  MemberState StateAt(uint32_t observer, uint32_t member) const {
    const MemberView view = this->tables.at(VmId{observer}).View();
    return FindMember(view, VmId{member})->State();
  }

  /** @return Whether all running members but this one see it in that state. */
  bool AllOthersSee(uint32_t member, MemberState state) const {
    for (const auto& [vm, table] : this->tables) {
      if (vm.value != member && !this->paused.contains(vm) &&
          this->StateAt(vm.value, member) != state)
        return false;
    }
    return true;
  }

  std::map<VmId, MemberTable> tables;  ///< Table of each member.
  std::set<VmId> paused;  ///< Members that neither send nor receive.
  /** Pairs of sender and receiver whose datagrams are lost. */
  std::set<std::pair<VmId, VmId>> blocked_links;
  TimePoint now = TimePoint(Seconds(1000));
  RandomEngine random{5};
  uint64_t sent_bytes = 0;        ///< Sum of all datagrams sent.
  size_t max_datagram_bytes = 0;  ///< Largest datagram sent.
};

}  // namespace

TEST_GROUP(Membership){};

TEST(Membership, DeathIsKnownEverywhereWithinSeconds) {
  MembershipFixture fleet(5);
  fleet.RunFor(Seconds(2));
  fleet.paused.insert(VmId{3});
  fleet.RunFor(Seconds(4));
  CHECK(fleet.AllOthersSee(3, MemberState::kDead));
  CHECK(fleet.AllOthersSee(1, MemberState::kAlive));
}

/** A member that was paused and declared dead has to refute its death by
 * itself, without a restart. */
TEST(Membership, ResumedMemberIsAliveAgainEverywhere) {
  MembershipFixture fleet(5);
  fleet.paused.insert(VmId{3});
  fleet.RunFor(Seconds(5));
  fleet.paused.clear();
  fleet.RunFor(Seconds(8));
  CHECK(fleet.AllOthersSee(3, MemberState::kAlive));
}

/** The datagrams of the announcement are delivered once and their replies are
 * lost. Members that they did not reach learn of it by gossip. */
TEST(Membership, LeavingIsKnownEverywhereWithinSeconds) {
  MembershipFixture fleet(5);
  fleet.RunFor(Seconds(1));
  Output out;
  std::deque<std::pair<VmId, Datagram>> queue;
  fleet.tables.at(VmId{2}).AnnounceLeaving(out);
  fleet.Enqueue(VmId{2}, out, queue);
  for (const auto& [from, datagram] : queue) {
    std::deque<std::pair<VmId, Datagram>> replies;
    fleet.Deliver(from, datagram, replies);
  }
  fleet.RunFor(Seconds(2));
  CHECK(fleet.AllOthersSee(2, MemberState::kLeaving));
}

/** Only the link between members 1 and 2 is down. Indirect pings through the
 * others must prevent a false death. */
TEST(Membership, MemberUnreachableFromOnePeerIsNotDeclaredDead) {
  MembershipFixture fleet(5);
  fleet.RunFor(Seconds(1));
  fleet.blocked_links = {{VmId{1}, VmId{2}}, {VmId{2}, VmId{1}}};
  fleet.RunFor(Seconds(10));
  CHECK(fleet.AllOthersSee(2, MemberState::kAlive));
  CHECK(fleet.AllOthersSee(1, MemberState::kAlive));
}

/** Each half declares the other one dead during the partition. If dead members
 * were never pinged again, the halves would stay apart after it. */
TEST(Membership, PartitionedMembersRejoinAfterHealing) {
  MembershipFixture fleet(6);
  for (uint32_t left = 1; left <= 3; ++left) {
    for (uint32_t right = 4; right <= 6; ++right) {
      fleet.blocked_links.insert({VmId{left}, VmId{right}});
      fleet.blocked_links.insert({VmId{right}, VmId{left}});
    }
  }
  fleet.RunFor(Seconds(6));
  LONGS_EQUAL(static_cast<int>(MemberState::kDead),
              static_cast<int>(fleet.StateAt(1, 4)));
  LONGS_EQUAL(static_cast<int>(MemberState::kAlive),
              static_cast<int>(fleet.StateAt(1, 2)));
  fleet.blocked_links.clear();
  fleet.RunFor(Seconds(20));
  for (uint32_t member = 1; member <= 6; ++member)
    CHECK(fleet.AllOthersSee(member, MemberState::kAlive));
}

/** The restarted member knows only one seed peer and has a higher incarnation
 * number. The others must not keep the earlier incarnation. */
TEST(Membership, RestartReplacesEarlierIncarnation) {
  MembershipFixture fleet(3);
  fleet.RunFor(Seconds(1));
  fleet.tables.erase(VmId{2});
  const MemberInfo restarted = MakeMember(
      {VmId{2}, Incarnation{2}}, MembershipFixture::AddressOf(VmId{2}), "a");
  fleet.tables.emplace(VmId{2}, MemberTable(restarted, MembershipTiming{}));
  Output out;
  std::deque<std::pair<VmId, Datagram>> queue;
  fleet.tables.at(VmId{2}).PingSeedPeers(
      {MembershipFixture::AddressOf(VmId{1})}, out);
  fleet.Enqueue(VmId{2}, out, queue);
  fleet.Deliver(queue.front().first, queue.front().second, queue);
  fleet.RunFor(Seconds(4));
  for (const uint32_t observer : {1, 3}) {
    const MemberView view = fleet.tables.at(VmId{observer}).View();
    LONGS_EQUAL(2, FindMember(view, VmId{2})->id.incarnation.value);
    LONGS_EQUAL(static_cast<int>(MemberState::kAlive),
                static_cast<int>(fleet.StateAt(observer, 2)));
  }
}

/** The bytes per member of 100 members may exceed those of 5 by a quarter, and
 * every datagram fits into one packet. */
TEST(Membership, TrafficPerMemberDoesNotGrowWithFleetSize) {
  const auto bytes_per_member = [](int count) {
    MembershipFixture fleet(count);
    fleet.RunFor(Seconds(5));
    const uint64_t before = fleet.sent_bytes;
    fleet.RunFor(Seconds(5));
    CHECK(fleet.max_datagram_bytes < 1400);
    return (fleet.sent_bytes - before) / static_cast<uint64_t>(count);
  };
  const uint64_t small_fleet_bytes = bytes_per_member(5);
  const uint64_t large_fleet_bytes = bytes_per_member(100);
  CHECK(large_fleet_bytes <= small_fleet_bytes * 5 / 4);
}
