/** @file document_group_test.cc Which balancers share documents and watch the
 * platform, and how many are contacted elsewhere, at different fleet sizes. */

#include <set>

#include "member/document_group_func.h"
#include "member/member_base.h"
#include "member/startup_func.h"
#include "message/message_func.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

/** @return A fleet with that many members in data centres a, b and so on. */
MemberView FleetOf(const std::vector<int>& sizes) {
  MemberView view;
  uint32_t number = 0;
  std::string name = "a";
  for (const int size : sizes) {
    for (int index = 0; index < size; ++index) {
      const VmId vm{++number};
      view.members.push_back(
          MakeMember({vm, Incarnation{1}}, {number, 1}, name));
    }
    ++name.front();
  }
  return view;
}

/** @return The fleet as one of its members sees it: without itself. */
MemberView Without(MemberView view, VmId vm) {
  std::erase_if(view.members,
                [vm](const MemberInfo& member) { return member.id.vm == vm; });
  return view;
}

/** @return The members that watch the platform. */
std::vector<MemberInfo> WatchersOf(const MemberView& fleet, size_t watchers) {
  std::vector<MemberInfo> found;
  for (const MemberInfo& member : fleet.members) {
    if (IsWatcher(Without(fleet, member.id.vm), member.data_centre,
                  member.id.vm, watchers))
      found.push_back(member);
  }
  return found;
}

}  // namespace

TEST_GROUP(DocumentGroups){};

/** Each watcher costs calls to the platform, so small data centres share. */
TEST(DocumentGroups, SmallDataCentresShareTheirWatchers) {
  LONGS_EQUAL(2, WatchersOf(FleetOf({2, 1, 1, 1}), 2).size());
  LONGS_EQUAL(2, WatchersOf(FleetOf({7, 7, 7, 6}), 2).size());
}

/** Documents then need not cross the border of a data centre. */
TEST(DocumentGroups, EachLargeDataCentreHasAWatcherOfItsOwn) {
  const std::vector<MemberInfo> watchers =
      WatchersOf(FleetOf({20, 20, 20, 20, 20, 20}), 2);
  std::set<uint64_t> data_centres;
  for (const MemberInfo& watcher : watchers)
    data_centres.insert(watcher.data_centre);
  LONGS_EQUAL(6, watchers.size());
  LONGS_EQUAL(6, data_centres.size());
}

TEST(DocumentGroups, SingleDataCentreKeepsTheConfiguredWatchers) {
  LONGS_EQUAL(3, WatchersOf(FleetOf({50}), 3).size());
}

/** Large and small data centres side by side: nobody is left without. */
TEST(DocumentGroups, EveryMemberHasAWatcherInItsGroup) {
  const MemberView fleet = FleetOf({20, 3, 12, 2});
  const std::vector<MemberInfo> watchers = WatchersOf(fleet, 2);
  for (const MemberInfo& member : fleet.members) {
    const DocumentGroup group =
        FindDocumentGroup(Without(fleet, member.id.vm), member.data_centre);
    CHECK(std::ranges::any_of(watchers, [&](const MemberInfo& watcher) {
      return group.Contains(watcher.data_centre);
    }));
  }
}

/** A partition makes members look dead. If that changed the groups, documents
 * would take other ways just when links are scarce. */
TEST(DocumentGroups, DeadMembersDoNotChangeTheGroups) {
  MemberView fleet = FleetOf({20, 20});
  const uint64_t own = fleet.members.front().data_centre;
  const DocumentGroup before = FindDocumentGroup(fleet, own);
  for (MemberInfo& member : fleet.members)
    member.state = static_cast<uint8_t>(MemberState::kDead);
  CHECK(FindDocumentGroup(fleet, own) == before);
}

/** A dead watcher is replaced by the next one of its group. */
TEST(DocumentGroups, DeadWatcherIsReplaced) {
  MemberView fleet = FleetOf({20, 20});
  const VmId watcher = WatchersOf(fleet, 2).front().id.vm;
  for (MemberInfo& member : fleet.members) {
    if (member.id.vm == watcher)
      member.state = static_cast<uint8_t>(MemberState::kDead);
  }
  size_t live = 0;
  for (const MemberInfo& found : WatchersOf(fleet, 2))
    live += found.id.vm != watcher ? 1 : 0;
  LONGS_EQUAL(2, live);
}

/** A rolling stop of a large fleet would otherwise cost the square of its size.
 */
TEST(DocumentGroups, StopIsAnnouncedToAFewMembersOfEachDataCentre) {
  const MemberView fleet = FleetOf({50, 50, 50, 50, 50, 50});
  const MemberInfo& self = fleet.members.front();
  VmList list;
  std::string name;
  for (const MemberInfo& member : fleet.members) {
    Vm vm;
    vm.id = member.id.vm;
    vm.incarnation = Incarnation{1};
    vm.role = VmRole::kBalancer;
    vm.data_centre =
        std::string(1, static_cast<char>('a' + (member.id.vm.value - 1) / 50));
    vm.peer_address = member.peer;
    list.vms.push_back(vm);
  }
  MemberTable table(self, MembershipTiming{});
  table.AddFromVmList(list, TimePoint(Seconds(1)));
  Output out;
  table.AnnounceLeaving(out);
  std::map<uint64_t, size_t> contacted;
  for (const Datagram& datagram : out.datagrams)
    ++contacted[(datagram.to.ip - 1) / 50];
  LONGS_EQUAL(6, contacted.size());
  LONGS_EQUAL(16, contacted[0]);
  for (uint64_t data_centre = 1; data_centre < 6; ++data_centre)
    LONGS_EQUAL(2, contacted[data_centre]);
}

TEST(DocumentGroups, StartingBalancerWaitsLongestForANewerDocument) {
  CHECK(StartupDelay({false, false, false}) == Milliseconds(0));
  CHECK(StartupDelay({true, false, true}) < StartupDelay({true, false, false}));
  CHECK(StartupDelay({true, false, false}) < StartupDelay({true, true, true}));
}
