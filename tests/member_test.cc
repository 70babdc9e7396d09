/** @file member_test.cc Membership: deaths are found, lives are not doubted for
 * long, cost does not grow with the fleet. */

#include <deque>
#include <map>
#include <set>

#include "member/member_base.h"
#include "message/message_func.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

/** Membership tables joined by a queue, and nothing else. */
struct Members {
  explicit Members(int count) {
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

  void Run(Microseconds time) {
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

  void Enqueue(VmId from,
               Output& out,
               std::deque<std::pair<VmId, Datagram>>& queue) {
    for (Datagram& datagram : out.datagrams) {
      this->bytes += datagram.bytes.size();
      this->largest = std::max(this->largest, datagram.bytes.size());
      queue.emplace_back(from, std::move(datagram));
    }
  }

  void Deliver(VmId from,
               const Datagram& datagram,
               std::deque<std::pair<VmId, Datagram>>& queue) {
    const VmId to{datagram.to.ip};
    if (!this->tables.contains(to) || this->paused.contains(to) ||
        this->cut.contains({from, to}))
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

  MemberState StateAt(uint32_t observer, uint32_t member) const {
    const MemberView view = this->tables.at(VmId{observer}).View();
    return FindMember(view, VmId{member})->State();
  }

  bool AllBelieve(uint32_t member, MemberState state) const {
    for (const auto& [vm, table] : this->tables) {
      if (vm.value != member && !this->paused.contains(vm) &&
          this->StateAt(vm.value, member) != state)
        return false;
    }
    return true;
  }

  std::map<VmId, MemberTable> tables;
  std::set<VmId> paused;
  std::set<std::pair<VmId, VmId>> cut;
  TimePoint now = TimePoint(Seconds(1000));
  RandomEngine random{5};
  uint64_t bytes = 0;
  size_t largest = 0;
};

}  // namespace

TEST_GROUP(Membership){};

TEST(Membership, ADeathIsKnownEverywhereInSeconds) {
  Members members(5);
  members.Run(Seconds(2));
  members.paused.insert(VmId{3});
  members.Run(Seconds(4));
  CHECK(members.AllBelieve(3, MemberState::kDead));
  CHECK(members.AllBelieve(1, MemberState::kAlive));
}

TEST(Membership, OneThatWakesIsAliveAgainEverywhere) {
  Members members(5);
  members.paused.insert(VmId{3});
  members.Run(Seconds(5));
  members.paused.clear();
  members.Run(Seconds(8));
  CHECK(members.AllBelieve(3, MemberState::kAlive));
}

TEST(Membership, ALeaveIsKnownEverywhereInSeconds) {
  Members members(5);
  members.Run(Seconds(1));
  Output out;
  std::deque<std::pair<VmId, Datagram>> queue;
  members.tables.at(VmId{2}).AnnounceLeaving(out);
  members.Enqueue(VmId{2}, out, queue);
  for (const auto& [from, datagram] : queue) {
    std::deque<std::pair<VmId, Datagram>> replies;
    members.Deliver(from, datagram, replies);
  }
  members.Run(Seconds(2));
  CHECK(members.AllBelieve(2, MemberState::kLeaving));
}

TEST(Membership, AMemberThatOneCannotReachIsNotDeclaredDead) {
  Members members(5);
  members.Run(Seconds(1));
  members.cut = {{VmId{1}, VmId{2}}, {VmId{2}, VmId{1}}};
  members.Run(Seconds(10));
  CHECK(members.AllBelieve(2, MemberState::kAlive));
  CHECK(members.AllBelieve(1, MemberState::kAlive));
}

TEST(Membership, BothSidesOfACutFindEachOtherAgain) {
  Members members(6);
  for (uint32_t left = 1; left <= 3; ++left) {
    for (uint32_t right = 4; right <= 6; ++right) {
      members.cut.insert({VmId{left}, VmId{right}});
      members.cut.insert({VmId{right}, VmId{left}});
    }
  }
  members.Run(Seconds(6));
  LONGS_EQUAL(static_cast<int>(MemberState::kDead),
              static_cast<int>(members.StateAt(1, 4)));
  LONGS_EQUAL(static_cast<int>(MemberState::kAlive),
              static_cast<int>(members.StateAt(1, 2)));
  members.cut.clear();
  members.Run(Seconds(20));
  for (uint32_t member = 1; member <= 6; ++member)
    CHECK(members.AllBelieve(member, MemberState::kAlive));
}

TEST(Membership, ARestartReplacesTheEarlierIncarnation) {
  Members members(3);
  members.Run(Seconds(1));
  members.tables.erase(VmId{2});
  const MemberInfo again =
      MakeMember({VmId{2}, Incarnation{2}}, Members::AddressOf(VmId{2}), "a");
  members.tables.emplace(VmId{2}, MemberTable(again, MembershipTiming{}));
  Output out;
  std::deque<std::pair<VmId, Datagram>> queue;
  members.tables.at(VmId{2}).PingSeedPeers({Members::AddressOf(VmId{1})}, out);
  members.Enqueue(VmId{2}, out, queue);
  members.Deliver(queue.front().first, queue.front().second, queue);
  members.Run(Seconds(4));
  for (const uint32_t observer : {1, 3}) {
    const MemberView view = members.tables.at(VmId{observer}).View();
    LONGS_EQUAL(2, FindMember(view, VmId{2})->id.incarnation.value);
    LONGS_EQUAL(static_cast<int>(MemberState::kAlive),
                static_cast<int>(members.StateAt(observer, 2)));
  }
}

TEST(Membership, BytesPerMemberDoNotGrowWithTheFleet) {
  const auto bytes_per_member = [](int count) {
    Members members(count);
    members.Run(Seconds(5));
    const uint64_t before = members.bytes;
    members.Run(Seconds(5));
    CHECK(members.largest < 1400);
    return (members.bytes - before) / static_cast<uint64_t>(count);
  };
  const uint64_t small = bytes_per_member(5);
  const uint64_t large = bytes_per_member(100);
  CHECK(large <= small * 5 / 4);
}
