/** @file fleet_document_test.cc Configuration changes under open flows, with
 * balancers that lag behind or have just started. Runs in virtual time. */

#include "tests/fleet_fake.h"
#include "tests/test_text.h"

using namespace cuminvane;

TEST_GROUP(FleetDocuments){};

/** A balancer without the new key cannot open tokens that are sealed with it.
 * The fleet issues tokens with the new key only after all live balancers have
 * it. */
TEST(FleetDocuments, TokenKeyRotationWaitsForLaggingBalancerAndKeepsFlows) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  const std::string text = fleet.ConfigText(
      2, "[token-key 2]\nsecret = ffffffffffffffffffffffffffffffff\n");
  fleet.CutLink(1, 3);
  fleet.CutLink(2, 3);
  static_cast<void>(fleet.OfferConfig(1, text));
  fleet.RunFor(Milliseconds(300));
  // Balancer 3 is alive and does not have the new key, so no token is issued
  // with that key yet.
  LONGS_EQUAL(
      1, fleet.TokenPlaneOf(1).ReadBlackboard()->self.value->issue_key.value);
  fleet.HealAllLinks();
  fleet.RunFor(Seconds(4));
  for (int balancer = 1; balancer <= 3; ++balancer)
    LONGS_EQUAL(2, fleet.TokenPlaneOf(balancer)
                       .ReadBlackboard()
                       ->self.value->issue_key.value);
  CHECK_CODE(ResultCode::kOk,
             fleet.SendRequestAndWait(flow, "edits", fleet.MakeOrder()).code);
}

/** Only balancer 2 gets the new configuration from outside; 5 % of the
 * datagrams are lost. An older version that is offered later is refused. */
TEST(FleetDocuments,
     ConfigurationIsActiveEverywhereWithinFourSecondsAndNeverReverts) {
  FleetOptions options;
  options.balancers = 5;
  options.loss = 0.05;
  FakeFleet fleet(options);
  static_cast<void>(fleet.OfferConfig(2, fleet.ConfigText(7)));
  const auto all_balancers_have = [&](uint64_t version) {
    for (int balancer = 1; balancer <= 5; ++balancer) {
      if (fleet.TokenPlaneOf(balancer)
              .ReadBlackboard()
              ->config.value->version != ConfigVersion{version})
        return false;
    }
    return true;
  };
  CHECK(fleet.RunUntil([&] { return all_balancers_have(7); }, Seconds(4)));
  CHECK_CODE(ResultCode::kStaleDocument,
             fleet.OfferConfig(4, fleet.ConfigText(6)).error().code);
  fleet.RunFor(Seconds(2));
  CHECK(all_balancers_have(7));
}

/** A balancer restarts while its platform has an old configuration and
 * datagrams are delayed by up to 120 ms. It has to wait for its peers' version
 * before it serves. */
TEST(FleetDocuments,
     StartingBalancerWithStalePlatformServesOnlyWithNewestDocument) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    FleetOptions options;
    options.seed = seed;
    options.jitter = Milliseconds(120);
    FakeFleet fleet(options);
    fleet.KillBalancer(3);
    for (uint64_t version = 2; version <= 9; ++version) {
      for (int balancer = 1; balancer <= 2; ++balancer)
        static_cast<void>(
            fleet.OfferConfig(balancer, fleet.ConfigText(version)));
      fleet.RunFor(Milliseconds(500));
    }
    // The platform of balancer 3 still shows version 1.
    fleet.RestartBalancer(3);
    CHECK(fleet.RunUntil(
        [&] {
          return fleet.TokenPlaneOf(3).ReadBlackboard()->self.value->serving;
        },
        Seconds(12)));
    LONGS_EQUAL(
        9, fleet.TokenPlaneOf(3).ReadBlackboard()->config.value->version.value);
  }
}
