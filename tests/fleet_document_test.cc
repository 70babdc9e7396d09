/** @file fleet_document_test.cc Documents that change, and balancers that lag
 * or start, under open flows. */

#include "tests/fleet_fake.h"
#include "tests/test_text.h"

using namespace cuminvane;

TEST_GROUP(FleetDocuments){};

TEST(FleetDocuments, KeysRotateUnderOpenFlowsWhileHalfTheFleetLags) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  const std::string text = fleet.ConfigText(
      2, "[token-key 2]\nsecret = ffffffffffffffffffffffffffffffff\n");
  fleet.Cut(1, 3);
  fleet.Cut(2, 3);
  static_cast<void>(fleet.OfferConfig(1, text));
  fleet.RunFor(Milliseconds(300));
  // Balancer 3 does not hold the new key, and is known to be alive: no token is
  // made with it yet.
  LONGS_EQUAL(1, fleet.NodeOf(1).ReadBlackboard()->self.value->issue_key.value);
  fleet.HealAll();
  fleet.RunFor(Seconds(4));
  for (int balancer = 1; balancer <= 3; ++balancer)
    LONGS_EQUAL(
        2,
        fleet.NodeOf(balancer).ReadBlackboard()->self.value->issue_key.value);
  CHECK_CODE(ResultCode::kOk,
             fleet.AskAndWait(flow, "edits", fleet.Order()).code);
}

TEST(
    FleetDocuments,
    AConfigurationSeenByOneIsInForceEverywhereWithinFourSecondsAndNeverReverts) {
  FleetOptions options;
  options.balancers = 5;
  options.loss = 0.05;
  FakeFleet fleet(options);
  static_cast<void>(fleet.OfferConfig(2, fleet.ConfigText(7)));
  const auto all_have = [&](uint64_t version) {
    for (int balancer = 1; balancer <= 5; ++balancer) {
      if (fleet.NodeOf(balancer).ReadBlackboard()->config.value->version !=
          ConfigVersion{version})
        return false;
    }
    return true;
  };
  CHECK(fleet.RunUntil([&] { return all_have(7); }, Seconds(4)));
  CHECK_CODE(ResultCode::kStaleDocument,
             fleet.OfferConfig(4, fleet.ConfigText(6)).error().code);
  fleet.RunFor(Seconds(2));
  CHECK(all_have(7));
}

TEST(FleetDocuments,
     AStarterBesideAStalePlatformDoesNotServeWithAnOldDocument) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    FleetOptions options;
    options.seed = seed;
    options.jitter = Milliseconds(120);
    FakeFleet fleet(options);
    fleet.Kill(3);
    for (uint64_t version = 2; version <= 9; ++version) {
      for (int balancer = 1; balancer <= 2; ++balancer)
        static_cast<void>(
            fleet.OfferConfig(balancer, fleet.ConfigText(version)));
      fleet.RunFor(Milliseconds(500));
    }
    // Its platform still shows version 1.
    fleet.Restart(3);
    CHECK(fleet.RunUntil(
        [&] { return fleet.NodeOf(3).ReadBlackboard()->self.value->serving; },
        Seconds(12)));
    LONGS_EQUAL(9,
                fleet.NodeOf(3).ReadBlackboard()->config.value->version.value);
  }
}
