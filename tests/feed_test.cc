/** @file feed_test.cc Feeds over a fleet under faults, in virtual time. */

#include "tests/fleet_fake.h"
#include "tests/test_text.h"

using namespace cuminvane;

TEST_GROUP(Feeds){
    /** Checks that at least `min_events` events arrived, each once, in
     * order and without a gap. */
    static void CheckContinuous(const FakeFleet& fleet, size_t min_events){
        constexpr int64_t kEventPeriodUs = 200000;
CHECK(fleet.feed_events.size() >= min_events);
for (size_t event = 1; event < fleet.feed_events.size(); ++event)
  LONGS_EQUAL(fleet.feed_events[event - 1].position + kEventPeriodUs,
              fleet.feed_events[event].position);
}

/** @return Number of the backend server that the flow's token names. */
static int BackendOf(FakeFleet& fleet, FlowHandle flow) {
  const auto view = fleet.TokenPlaneOf(fleet.OwnerOf(flow)).ReadBlackboard();
  return static_cast<int>(
             OpenToken(fleet.caller.TokenOf(flow), view->config.value->keys)
                 .value()
                 .backend.value) -
         100;
}
}
;

/** 10 % of the datagrams are lost, 10 % duplicated, and delays differ by up to
 * 300 ms, more than the time between two events. */
TEST(Feeds, EventsArriveOnceInOrderUnderLossDuplicationAndReordering) {
  FleetOptions options;
  options.loss = 0.1;
  options.duplicate = 0.1;
  options.jitter = Milliseconds(300);
  FakeFleet fleet(options);
  const FlowHandle flow = fleet.OpenFlow();
  fleet.caller.FollowFeed(fleet.now, flow, "orders", 0);
  fleet.RunFor(Seconds(30));
  CheckContinuous(fleet, 130);
}

/** Balancer 1 dies and balancer 2 stops gracefully; the feed has to continue
 * through the remaining ones. */
TEST(Feeds, FeedContinuesWhenBalancersDieOrStop) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  fleet.caller.FollowFeed(fleet.now, flow, "orders", 0);
  fleet.RunFor(Seconds(5));
  fleet.KillBalancer(1);
  fleet.SprayOverAllBut(1);
  fleet.RunFor(Seconds(8));
  CheckContinuous(fleet, 60);
  fleet.BeginBalancerStop(2);
  fleet.SprayOver({3});
  fleet.RunFor(Seconds(2));
  fleet.EndBalancerStop(2);
  fleet.RunFor(Seconds(8));
  CheckContinuous(fleet, 110);
}

/** The feed has to continue from another backend server, first during a drain
 * and then after a death. */
TEST(Feeds, FeedContinuesWhenBackendServerDrainsOrDies) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  const int backend = BackendOf(fleet, flow);
  fleet.caller.FollowFeed(fleet.now, flow, "orders", 0);
  fleet.RunFor(Seconds(5));
  fleet.PublishConfig(
      2, "[change d]\nkind = drain\nvm = " + std::to_string(100 + backend) +
             "\nbegins_at = 1970-01-01T00:00:00Z\n");
  fleet.RunFor(Seconds(8));
  CheckContinuous(fleet, 60);
  fleet.PublishConfig(3);
  fleet.RunFor(Seconds(5));
  fleet.KillBackend(backend);
  fleet.RunFor(Seconds(10));
  CheckContinuous(fleet, 130);
}
