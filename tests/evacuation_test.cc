/** @file evacuation_test.cc Servers of an evacuated data centre get no new
 * flows and no opening packets, and keep their open flows. */

#include <algorithm>

#include "message/message_backend_type.h"
#include "placement/placement_base.h"
#include "shell/status_func.h"
#include "tests/packet_fake.h"

using namespace cuminvane;
using namespace cuminvane::test;

namespace {

/** Two servers in data centre `a`, one in `b`, one in `c`. */
const std::vector<VmListEntry> kServers = {{1},
                                           {2},
                                           {3, "desk", "b"},
                                           {4, "desk", "c"}};
const std::set<std::string> kAll = {"a", "b", "c"};

std::string DataCentreOf(VmId vm) {
  const auto entry = std::ranges::find(kServers, vm.value, &VmListEntry::id);
  return entry == kServers.end() ? "" : entry->data_centre;
}

/** A plane with the servers and these evacuations. Its own data centre has no
 * servers by default, so that no other one is preferred. */
struct EvacuatedPlane : FakePacketPlane {
  explicit EvacuatedPlane(const std::vector<std::string>& evacuated = {},
                          const std::string& own_data_centre = "d") {
    this->settings.data_centre = own_data_centre;
    this->Restart();
    this->OfferConfig(1);
    this->OfferVmList(kServers, evacuated);
    this->RunFor(Seconds(5));
  }

  /** Lists the servers as evacuated or not. */
  void Evacuate(const std::vector<std::string>& evacuated) {
    this->OfferVmList(kServers, evacuated);
    this->RunFor(Milliseconds(200));
  }

  /** Continues with lists of the store's next era, as after a restore. */
  void RestoreStore(const std::vector<std::string>& evacuated) {
    this->list_version += kVersionsPerEra;
    this->Evacuate(evacuated);
  }

  /** @return Data centres that get new flows. Servers with fewer flows come
   * first, so one that returns to service may get all of them. */
  std::set<std::string> Placements() {
    std::set<std::string> used;
    for (int count = 0; count < 40; ++count) {
      const PacketAction action =
          this->SendOpeningPacket(KeyOfCaller(this->next_caller++));
      if (action.type == PacketActionType::kForward)
        used.insert(DataCentreOf(action.backend));
    }
    return used;
  }

  /** Establishes a flow at a server of the data centre. */
  std::pair<FlowKey, PacketAction> EstablishIn(const std::string& data_centre) {
    for (int count = 0; count < 200; ++count) {
      const FlowKey key = KeyOfCaller(this->next_caller++);
      const PacketAction opened = this->EstablishFlow(key);
      if (DataCentreOf(opened.backend) == data_centre)
        return {key, opened};
    }
    FAIL("no flow was placed there");
    return {};
  }

  /** @return The last log line of the event, or null. */
  const Decision* Logged(const std::string& event) const {
    const auto& decisions = this->out.common.decisions;
    const auto found =
        std::ranges::find(decisions.rbegin(), decisions.rend(), event,
                          [](const Decision& one) { return one.event; });
    return found == decisions.rend() ? nullptr : &*found;
  }

  uint32_t next_caller = 100;
};

}  // namespace

TEST_GROUP(Evacuation){};

TEST(Evacuation, DataCentreGetsNoNewFlowsUntilTheRequestIsRemoved) {
  EvacuatedPlane plane;
  CHECK(plane.Placements() == kAll);
  plane.Evacuate({"a"});
  CHECK(plane.Placements() == (std::set<std::string>{"b", "c"}));
  CHECK(plane.Logged("evacuation_started") != nullptr);
  STRCMP_EQUAL("a", plane.Logged("evacuation_started")->data_centre.c_str());
  CHECK(plane.Logged("evacuation_started")->count > 0);
  plane.Evacuate({});
  CHECK(plane.Placements().contains("a"));
  CHECK(plane.Logged("evacuation_ended") != nullptr);
  STRCMP_EQUAL("removed", plane.Logged("evacuation_ended")->reason);
}

/** Local servers are preferred while they have idle slots. */
TEST(Evacuation, OwnDataCentreOfTheBalancerGetsNoNewFlows) {
  EvacuatedPlane plane({}, "a");
  CHECK(plane.Placements() == std::set<std::string>{"a"});
  plane.Evacuate({"a"});
  CHECK(plane.Placements() == (std::set<std::string>{"b", "c"}));
}

TEST(Evacuation, TwoDataCentresCountSeparately) {
  EvacuatedPlane plane;
  plane.Evacuate({"b"});
  CHECK(plane.Placements() == (std::set<std::string>{"a", "c"}));
  plane.Evacuate({"a", "b"});
  CHECK(plane.Placements() == std::set<std::string>{"c"});
  plane.Evacuate({"a"});
  const std::set<std::string> after_return = plane.Placements();
  CHECK(after_return.contains("b") && !after_return.contains("a"));
  plane.Evacuate({"c"});
  const std::set<std::string> last = plane.Placements();
  CHECK(last.contains("a") && !last.contains("c"));
}

/** A service without other servers must not leave its callers waiting. */
TEST(Evacuation, NewFlowIsResetAtOnceIfAllDataCentresAreEvacuated) {
  EvacuatedPlane plane({"a", "b", "c"});
  plane.out.Clear();
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  CHECK(plane.SendOpeningPacket(key).type == PacketActionType::kReset);
  STRCMP_EQUAL("evacuated", plane.Logged("flow_reset")->reason);
  CHECK(plane.SendOpeningPacket(key, 1).type == PacketActionType::kReset);
  // A service without any server has another reason.
  CHECK(
      plane
          .SendOpeningPacket(FakePacketPlane::KeyOfCaller(2, kDownloadsAddress))
          .type == PacketActionType::kReset);
  STRCMP_EQUAL("no_backend", plane.Logged("flow_reset")->reason);
}

/** A delayed copy of the opening packet of an open flow was forwarded to the
 * flow's server whatever the server's state. */
TEST(Evacuation, RetransmittedOpeningPacketOfAnOpenFlowIsDropped) {
  EvacuatedPlane plane;
  const auto [key, opened] = plane.EstablishIn("a");
  plane.Evacuate({"a"});
  CHECK(plane.SendOpeningPacket(key, 1).type == PacketActionType::kDrop);
  // The flow itself continues.
  const PacketAction data = plane.SendData(key, opened.tag, 101, 1000, 50);
  CHECK(data.type == PacketActionType::kForward);
  CHECK(data.backend == opened.backend);
}

/** Its first copy went to a server that is evacuated meanwhile. */
TEST(Evacuation, RetransmittedOpeningPacketGoesToAnotherDataCentre) {
  for (uint32_t caller = 1; caller <= 20; ++caller) {
    EvacuatedPlane plane;
    const FlowKey key = FakePacketPlane::KeyOfCaller(caller);
    const PacketAction first = plane.SendOpeningPacket(key);
    plane.Evacuate({DataCentreOf(first.backend)});
    const PacketAction second = plane.SendOpeningPacket(key, 1);
    CHECK(second.type == PacketActionType::kForward);
    CHECK(DataCentreOf(second.backend) != DataCentreOf(first.backend));
  }
}

/** A reset would end the flow if the server has accepted it. */
TEST(Evacuation, RetransmittedOpeningPacketIsDroppedIfThereIsNoOther) {
  EvacuatedPlane plane;
  const FlowKey key = FakePacketPlane::KeyOfCaller(1);
  const PacketAction first = plane.SendOpeningPacket(key);
  plane.Evacuate({"a", "b", "c"});
  CHECK(plane.SendOpeningPacket(key, 1).type == PacketActionType::kDrop);
  const PacketAction later = plane.SendData(key, first.tag, 101, 1000, 50);
  CHECK(later.type == PacketActionType::kForward);
  CHECK(later.backend == first.backend);
}

/** An evacuated server must not count as stopping, whose refusal is no proof.
 */
TEST(Evacuation, CrashOfAnEvacuatedServerResetsItsFlows) {
  EvacuatedPlane plane;
  const auto [key, opened] = plane.EstablishIn("a");
  plane.Evacuate({"a"});
  plane.RunFor(Seconds(4));
  CHECK(!MayBeStopping(plane.PoolMemberOf(opened.backend), plane.now));
  plane.SendData(key, opened.tag, 101, 1000, 50);
  plane.out.Clear();
  plane.RunFor(Milliseconds(120));
  CHECK(!plane.out.checks.empty());
  // A single refusal may come from a full server.
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kRefused);
  RetransmitTwice(plane, key, opened);
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kRefused);
  CHECK(std::ranges::find(plane.out.resets, key, &FlowReset::key) !=
        plane.out.resets.end());
}

/** The request was lost with the restore; the operator needs time to notice. */
TEST(Evacuation, RestoredStoreWithoutTheRequestKeepsItFor30Seconds) {
  EvacuatedPlane plane;
  plane.Evacuate({"a"});
  plane.RestoreStore({});
  CHECK(plane.Placements() == (std::set<std::string>{"b", "c"}));
  plane.RunFor(Milliseconds(29'000));
  // Another list of the new era changes nothing.
  plane.Evacuate({});
  CHECK(plane.Placements() == (std::set<std::string>{"b", "c"}));
  plane.out.Clear();
  plane.RunFor(Milliseconds(1000));
  CHECK(plane.Placements().contains("a"));
  CHECK(plane.Logged("evacuation_ended") != nullptr);
  STRCMP_EQUAL("store_restored", plane.Logged("evacuation_ended")->reason);
  CHECK(plane.Logged("evacuation_ended")->severity == Severity::kWarning);
}

TEST(Evacuation, RequestThatIsWrittenAgainAfterARestoreRemainsInForce) {
  EvacuatedPlane plane;
  plane.Evacuate({"a"});
  plane.RestoreStore({});
  plane.RunFor(Seconds(20));
  plane.Evacuate({"a"});
  plane.RunFor(Seconds(20));
  CHECK(plane.Placements() == (std::set<std::string>{"b", "c"}));
  plane.Evacuate({});
  CHECK(plane.Placements().contains("a"));
}

TEST(Evacuation, UnknownDataCentreIsLoggedAndHasNoEffect) {
  EvacuatedPlane plane;
  plane.Evacuate({"zone-z"});
  CHECK(plane.Placements() == kAll);
  CHECK(plane.Logged("evacuation_started") == nullptr);
  CHECK(plane.Logged("evacuation_unknown") != nullptr);
  CHECK(plane.Logged("evacuation_unknown")->severity == Severity::kWarning);
  // A server that appears there later gets no flows.
  plane.OfferVmList({{1}, {9, "desk", "zone-z"}}, {"zone-z"});
  plane.RunFor(Milliseconds(200));
  CHECK(plane.Logged("evacuation_started") != nullptr);
  CHECK(plane.Placements() == std::set<std::string>{"a"});
}

/** A server whose entry expires meanwhile may still get flows for some time. */
TEST(Evacuation, ServerThatIsNoLongerListedGetsNoNewFlows) {
  EvacuatedPlane plane;
  const auto [key, opened] = plane.EstablishIn("b");
  plane.OfferVmList({{1}}, {"b"});
  plane.RunFor(Milliseconds(100));
  plane.SendData(key, opened.tag, 101, 2000, 0);
  CHECK(!plane.Placements().contains("b"));
}

/** Servers that return to service cold, as the same instances, were treated as
 * warm. */
TEST(Evacuation, ColdTimeOfTheSameInstanceIsAdoptedOnReturn) {
  EvacuatedPlane plane;
  const auto ends_at = [&] {
    return plane.PoolMemberOf(VmId{1}).warm_up_ends_at;
  };
  CHECK(ends_at() <= plane.now);
  plane.OfferVmList({{1, "desk", "a", 1, false, 8000}});
  const TimePoint listed_at = plane.now;
  CHECK(ends_at() == listed_at + Seconds(8));
  plane.RunFor(Seconds(3));
  // The same value again says nothing new.
  plane.OfferVmList({{1, "desk", "a", 1, false, 8000}});
  CHECK(ends_at() == listed_at + Seconds(8));
  plane.OfferVmList({{1, "desk", "a", 1, false, 2000}});
  CHECK(ends_at() == plane.now + Seconds(2));
  plane.OfferVmList({{1}});
  CHECK(ends_at() <= plane.now);
}

TEST(Evacuation, MetricsAndStatusShowOpenFlowsAndTime) {
  EvacuatedPlane plane;
  plane.EstablishIn("b");
  plane.Evacuate({"b"});
  plane.RunFor(Milliseconds(1800));
  const auto evacuations = plane.balancer->GetPacketPlane().Evacuations();
  LONGS_EQUAL(1, evacuations.size());
  LONGS_EQUAL(plane.PoolMemberOf(VmId{3}).flows, evacuations[0].flows);
  CHECK(evacuations[0].flows > 0);
  const std::string page =
      FormatMetrics(*plane.balancer->GetTokenPlane().ReadBlackboard(), 0, {},
                    evacuations, ServerLoadCounters(), Metrics(), plane.now);
  CHECK_CONTAINS("cuminvane_evacuated{data_centre=\"b\"} 1\n", page);
  CHECK_CONTAINS("cuminvane_evacuated_seconds{data_centre=\"b\"} 2\n", page);
  CHECK_CONTAINS("cuminvane_evacuated_flows{data_centre=\"b\"} " +
                     std::to_string(evacuations[0].flows) + "\n",
                 page);
  const auto& tokens = plane.balancer->GetTokenPlane();
  CHECK_CONTAINS(
      "{\"data_centre\":\"b\",\"flows\":" +
          std::to_string(evacuations[0].flows) + ",\"requested\":true",
      FormatStatus(*tokens.ReadBlackboard(), tokens.Load(), {}, {}, evacuations,
                   Metrics(), plane.settings, plane.now));
}

/** The token plane places flows by a table of its own. */
TEST(Evacuation, TokenPlaneOpensNoFlowsThereAndContinuesOpenOnes) {
  Config config;
  Service desk;
  desk.id = ServiceIdOf("desk");
  config.services.push_back(desk);
  VmList list;
  list.version = ConfigVersion{1};
  for (const VmListEntry& entry : kServers) {
    Vm vm;
    vm.id = VmId{entry.id};
    vm.incarnation = Incarnation{1};
    vm.service = desk.id;
    vm.data_centre = entry.data_centre;
    list.vms.push_back(vm);
  }
  RandomEngine random{1};
  TimePoint now = TimePoint(Seconds(1000));
  PlacementTable<LeastFlows> table;
  list.evacuated = {"a"};
  table.Sync(list, config, now);
  const auto opens = [&] {
    std::set<std::string> used;
    for (int count = 0; count < 40; ++count)
      used.insert(
          DataCentreOf(table.ChooseForFlow(desk.id, now, random).value().vm));
    return used;
  };
  CHECK(opens() == (std::set<std::string>{"b", "c"}));
  const auto next = table.ChooseForRequest(desk.id, {VmId{1}, Incarnation{1}},
                                           FlowId{7}, now);
  LONGS_EQUAL(1, next.value().vm.value);
  // The store is restored without the request.
  list.version = ConfigVersion{kVersionsPerEra + 1};
  list.evacuated = {};
  table.Sync(list, config, now);
  CHECK(opens() == (std::set<std::string>{"b", "c"}));
  now += Seconds(30);
  CHECK(opens().contains("a"));
}
