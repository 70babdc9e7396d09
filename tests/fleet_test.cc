/** @file fleet_test.cc The promises, through failures, in virtual time from
 * fixed seeds. */

#include "tests/fleet_fake.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

/** Whether any datagram of the message type is in the bytes. */
bool IsMessage(const std::string& bytes, MessageType type) {
  const Result<Header> header = DecodeHeader(bytes);
  return header && header.value().type == type;
}

CallerEvent::Kind Finished() {
  return CallerEvent::Kind::kFinished;
}

}  // namespace

TEST_GROUP(Fleet){};

TEST(Fleet, AnswersOfManyPartsAreWholeThroughLossCopiesAndDisorder) {
  FleetOptions options;
  options.loss = 0.05;
  options.duplicate = 0.05;
  options.jitter = Milliseconds(20);
  FakeFleet fleet(options);
  const FlowHandle flow = fleet.OpenFlow();
  for (int round = 0; round < 40; ++round) {
    const WorkOrder order = fleet.Order(20);
    const bool idempotent = round % 2 == 0;
    const CallerEvent event =
        fleet.AskAndWait(flow, idempotent ? "feed" : "edits", order);
    CHECK(event.kind == Finished());
    if (event.code == ResultCode::kOk)
      CHECK(CheckAnswer(order, event.answer) == AnswerCheck::kWhole);
    if (!idempotent) {
      CHECK(fleet.Starts(order.tag) <= 1);
      CHECK(OutcomeOf(event.code) != Outcome::kNotRun ||
            fleet.Starts(order.tag) == 0);
    }
  }
}

TEST(Fleet,
     AnOwnerThatDiesAfterTheDispatchLeavesTheOutcomeUnknownAndTheFlowWhole) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  const WorkOrder order = fleet.Order(1, Milliseconds(200));
  const RequestKey key = fleet.Ask(flow, "edits", order);
  CHECK(
      fleet.RunUntil([&] { return fleet.Starts(order.tag) == 1; }, Seconds(1)));
  const int owner = fleet.OwnerOf(flow);
  fleet.Kill(owner);
  fleet.SprayAround(owner);
  CHECK(fleet.RunUntil([&] { return fleet.ended.contains(key); }, Seconds(6)));
  CHECK(OutcomeOf(fleet.ended[key].code) == Outcome::kUnknown);
  LONGS_EQUAL(1, fleet.Starts(order.tag));
  const WorkOrder next = fleet.Order();
  CHECK_CODE(ResultCode::kOk, fleet.AskAndWait(flow, "edits", next).code);
  LONGS_EQUAL(1, fleet.Starts(next.tag));
}

TEST(
    Fleet,
    AnOwnerThatDiesBetweenPartsOfAnIdempotentAnswerIsReplacedAndPartsAreNotMixed) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  const WorkOrder order = fleet.Order(30);
  // All parts after the fifth are lost on their way out of the first holder.
  int parts = 0;
  Endpoint first_holder;
  fleet.lose = [&](const Endpoint& from, const Endpoint&,
                   const std::string& bytes) {
    if (!IsMessage(bytes, MessageType::kPart))
      return false;
    if (first_holder == Endpoint{})
      first_holder = from;
    return from == first_holder && ++parts > 5;
  };
  const RequestKey key = fleet.Ask(flow, "feed", order, Milliseconds(8000));
  CHECK(fleet.RunUntil([&] { return parts > 5; }, Seconds(1)));
  const int holder = static_cast<int>(first_holder.ip & 0xff);
  fleet.Kill(holder);
  fleet.SprayAround(holder);
  CHECK(fleet.RunUntil([&] { return fleet.ended.contains(key); }, Seconds(9)));
  CHECK_CODE(ResultCode::kOk, fleet.ended[key].code);
  CHECK(CheckAnswer(order, fleet.ended[key].answer) == AnswerCheck::kWhole);
}

TEST(Fleet, ARequestThatADeadOwnerNeverGotIsRunElsewhereOnce) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  const int owner = fleet.OwnerOf(flow);
  fleet.Kill(owner);
  fleet.SprayAround(owner);
  // Sent before anybody knows of the death.
  const WorkOrder order = fleet.Order();
  CHECK_CODE(ResultCode::kOk, fleet.AskAndWait(flow, "edits", order).code);
  LONGS_EQUAL(1, fleet.Starts(order.tag));
}

TEST(Fleet, AnOwnerThatWakesAfterItsFlowWasTakenOverDispatchesNothing) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  const int owner = fleet.OwnerOf(flow);
  fleet.Pause(owner);
  const WorkOrder order = fleet.Order();
  CHECK_CODE(ResultCode::kOk,
             fleet.AskAndWait(flow, "edits", order, Milliseconds(8000)).code);
  // The copies that waited at the owner still have time left.
  fleet.Resume(owner);
  fleet.RunFor(Seconds(4));
  LONGS_EQUAL(1, fleet.Starts(order.tag));
}

TEST(Fleet, AWitnessThatRestartsDoesNotSpeakForTheOneBeforeIt) {
  FleetOptions options;
  options.balancers = 4;
  FakeFleet fleet(options);
  const FlowHandle flow = fleet.OpenFlow();
  const int owner = fleet.OwnerOf(flow);
  const int witness = fleet.WitnessOf(flow);
  fleet.Pause(owner);
  // The witness closes the sleeping owner, and the request runs elsewhere.
  const WorkOrder order = fleet.Order();
  CHECK_CODE(ResultCode::kOk,
             fleet.AskAndWait(flow, "edits", order, Milliseconds(9000)).code);
  fleet.Kill(witness);
  fleet.Restart(witness);
  // The owner wakes with copies of the request, and asks a witness that has
  // forgotten.
  fleet.Resume(owner);
  fleet.RunFor(Seconds(3));
  LONGS_EQUAL(1, fleet.Starts(order.tag));
}

TEST(Fleet, AnOwnerOnceClosedByEveryWitnessCanOwnTheFlowAgain) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  // Each balancer in turn sleeps long enough for its flow to be taken over,
  // twice round.
  for (int round = 0; round < 6; ++round) {
    const int owner = fleet.OwnerOf(flow);
    fleet.Pause(owner);
    CHECK_CODE(
        ResultCode::kOk,
        fleet.AskAndWait(flow, "edits", fleet.Order(), Milliseconds(9000))
            .code);
    fleet.Resume(owner);
    fleet.RunFor(Seconds(3));
    CHECK_CODE(ResultCode::kOk,
               fleet.AskAndWait(flow, "edits", fleet.Order()).code);
  }
}

TEST(Fleet, AWitnessThatDiesIsReplacedAndNothingIsDoubled) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  const int witness = fleet.WitnessOf(flow);
  CHECK(witness != 0);
  fleet.Kill(witness);
  fleet.SprayAround(witness);
  const WorkOrder order = fleet.Order();
  CHECK_CODE(ResultCode::kOk, fleet.AskAndWait(flow, "edits", order).code);
  LONGS_EQUAL(1, fleet.Starts(order.tag));
  CHECK(fleet.WitnessOf(flow) != witness);
}

TEST(Fleet, OwnerAndWitnessLostTogetherLeaveTheOutcomeUnknownAndTheFlowWhole) {
  FleetOptions options;
  options.balancers = 4;
  FakeFleet fleet(options);
  const FlowHandle flow = fleet.OpenFlow();
  const int owner = fleet.OwnerOf(flow);
  const int witness = fleet.WitnessOf(flow);
  fleet.Kill(owner);
  fleet.Kill(witness);
  std::vector<int> rest;
  for (int balancer = 1; balancer <= 4; ++balancer) {
    if (balancer != owner && balancer != witness)
      rest.push_back(balancer);
  }
  fleet.SprayOver(rest);
  const WorkOrder order = fleet.Order();
  const CallerEvent event =
      fleet.AskAndWait(flow, "edits", order, Milliseconds(6000));
  CHECK(OutcomeOf(event.code) == Outcome::kUnknown);
  CHECK_CODE(ResultCode::kOk,
             fleet.AskAndWait(flow, "edits", fleet.Order()).code);
}

TEST(Fleet, TwoBalancersStoppedOneAfterTheOtherBreakNoIdleFlow) {
  FleetOptions options;
  options.balancers = 4;
  FakeFleet fleet(options);
  std::vector<FlowHandle> flows;
  for (int flow = 0; flow < 10; ++flow)
    flows.push_back(fleet.OpenFlow());
  for (const int leaving : {1, 2}) {
    Output out;
    fleet.NodeOf(leaving).BeginStop(fleet.now, out);
    fleet.SprayOver(leaving == 1 ? std::vector<int>{2, 3, 4}
                                 : std::vector<int>{3, 4});
    fleet.RunFor(Seconds(3));
    fleet.Kill(leaving);
    fleet.RunFor(Seconds(20));
  }
  for (const FlowHandle flow : flows)
    CHECK_CODE(ResultCode::kOk,
               fleet.AskAndWait(flow, "edits", fleet.Order()).code);
}

TEST(Fleet, OwnerAndWitnessStoppedAtOnceCostAnIdleFlowNothing) {
  FleetOptions options;
  options.balancers = 4;
  FakeFleet fleet(options);
  const FlowHandle flow = fleet.OpenFlow();
  const int owner = fleet.OwnerOf(flow);
  const int witness = fleet.WitnessOf(flow);
  fleet.Stop(owner);
  fleet.Stop(witness);
  fleet.RunFor(Seconds(1));
  fleet.EndStop(owner);
  fleet.EndStop(witness);
  std::vector<int> rest;
  for (int balancer = 1; balancer <= 4; ++balancer) {
    if (balancer != owner && balancer != witness)
      rest.push_back(balancer);
  }
  fleet.SprayOver(rest);
  fleet.RunFor(Milliseconds(200));
  const WorkOrder order = fleet.Order();
  CHECK_CODE(ResultCode::kOk, fleet.AskAndWait(flow, "edits", order).code);
  LONGS_EQUAL(1, fleet.Starts(order.tag));
}

TEST(Fleet, OwnersRestartedInPlaceOneAfterTheOtherCostAnIdleFlowNothing) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  for (int balancer = 1; balancer <= 3; ++balancer) {
    fleet.Stop(balancer);
    fleet.RunFor(Milliseconds(500));
    fleet.EndStop(balancer);
    fleet.RunFor(Milliseconds(50));
    fleet.Restart(balancer);
    fleet.RunFor(Seconds(2));
  }
  const WorkOrder order = fleet.Order();
  CHECK_CODE(ResultCode::kOk, fleet.AskAndWait(flow, "edits", order).code);
  LONGS_EQUAL(1, fleet.Starts(order.tag));
}

TEST(Fleet, AnOwnerThatSleptThroughTheDeadlineSendsNothing) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  const int owner = fleet.OwnerOf(flow);
  fleet.Pause(owner);
  const WorkOrder order = fleet.Order();
  const CallerEvent event =
      fleet.AskAndWait(flow, "edits", order, Milliseconds(2500));
  CHECK(OutcomeOf(event.code) != Outcome::kNotRun);
  fleet.Resume(owner);
  fleet.RunFor(Seconds(3));
  LONGS_EQUAL(0, fleet.Starts(order.tag));
  CHECK_CODE(ResultCode::kOk,
             fleet.AskAndWait(flow, "edits", fleet.Order()).code);
}

TEST(Fleet, ALateDuplicateOfARefusedRequestIsNotRun) {
  FleetOptions options;
  options.backends = 1;
  options.slots = 1;
  FakeFleet fleet(options);
  const FlowHandle flow = fleet.OpenFlow();
  // Fill the only backend server, its queue included, so that it refuses.
  for (int busy = 0; busy < 20; ++busy)
    fleet.Ask(flow, "edits", fleet.Order(1, Milliseconds(400)),
              Milliseconds(9000));
  fleet.RunFor(Milliseconds(50));
  const WorkOrder order = fleet.Order();
  std::string copy;
  Endpoint copy_to;
  fleet.lose = [&](const Endpoint&, const Endpoint& to,
                   const std::string& bytes) {
    if (IsMessage(bytes, MessageType::kFabricPacket) &&
        bytes.find(order.tag + " ") != std::string::npos) {
      copy = bytes;
      copy_to = to;
    }
    return false;
  };
  const CallerEvent event =
      fleet.AskAndWait(flow, "edits", order, Milliseconds(20000));
  CHECK(OutcomeOf(event.code) == Outcome::kNotRun);
  CHECK(!copy.empty());
  fleet.RunFor(Seconds(8));
  // By now the backend server is idle again; the copy arrives at every
  // balancer.
  for (int balancer = 1; balancer <= 3; ++balancer) {
    Output out;
    fleet.NodeOf(balancer).OnFabric(fleet.now, {0x0a070001, 1}, copy,
                                    fleet.random, out);
    for (const Datagram& datagram : out.datagrams)
      CHECK(!IsMessage(datagram.bytes, MessageType::kRun));
  }
  LONGS_EQUAL(0, fleet.Starts(order.tag));
}

TEST(Fleet, ADuplicateDeliveredToTwoBalancersAtOnceRunsOnce) {
  FleetOptions options;
  options.duplicate = 1;
  FakeFleet fleet(options);
  const FlowHandle flow = fleet.OpenFlow();
  for (int round = 0; round < 20; ++round) {
    const WorkOrder order = fleet.Order();
    CHECK_CODE(ResultCode::kOk, fleet.AskAndWait(flow, "edits", order).code);
    LONGS_EQUAL(1, fleet.Starts(order.tag));
  }
}

TEST(Fleet, ABackendServerThatRestartsAtItsAddressDoublesNothing) {
  FleetOptions options;
  options.backends = 1;
  FakeFleet fleet(options);
  const FlowHandle flow = fleet.OpenFlow();
  const WorkOrder order = fleet.Order(1, Milliseconds(100));
  const RequestKey key = fleet.Ask(flow, "edits", order);
  CHECK(
      fleet.RunUntil([&] { return fleet.Starts(order.tag) == 1; }, Seconds(1)));
  fleet.RestartBackend(1);
  CHECK(fleet.RunUntil([&] { return fleet.ended.contains(key); }, Seconds(6)));
  CHECK(OutcomeOf(fleet.ended[key].code) == Outcome::kUnknown);
  LONGS_EQUAL(1, fleet.Starts(order.tag));
  // The list still names the old incarnation; the backend server's own word is
  // enough.
  CHECK_CODE(ResultCode::kOk,
             fleet.AskAndWait(flow, "edits", fleet.Order()).code);
}

TEST(Fleet, ARunThatIsLostOnItsWayIsWithdrawnAndSentAgain) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  int runs = 0;
  fleet.lose = [&](const Endpoint&, const Endpoint&, const std::string& bytes) {
    return IsMessage(bytes, MessageType::kRun) && ++runs == 1;
  };
  const WorkOrder order = fleet.Order();
  CHECK_CODE(ResultCode::kOk, fleet.AskAndWait(flow, "edits", order).code);
  LONGS_EQUAL(2, runs);
  LONGS_EQUAL(1, fleet.Starts(order.tag));
}

TEST(Fleet, ARunThatIsLostGoesToTheOnlyBackendServerAgain) {
  FleetOptions options;
  options.backends = 1;
  FakeFleet fleet(options);
  const FlowHandle flow = fleet.OpenFlow();
  int runs = 0;
  fleet.lose = [&](const Endpoint&, const Endpoint&, const std::string& bytes) {
    return IsMessage(bytes, MessageType::kRun) && ++runs == 1;
  };
  const WorkOrder order = fleet.Order();
  CHECK_CODE(ResultCode::kOk, fleet.AskAndWait(flow, "edits", order).code);
  LONGS_EQUAL(1, fleet.Starts(order.tag));
}

TEST(Fleet, AnAcceptanceThatIsLostDoesNotRunTheRequestAgain) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  fleet.lose = [](const Endpoint&, const Endpoint&, const std::string& bytes) {
    return IsMessage(bytes, MessageType::kAccepted);
  };
  const WorkOrder order = fleet.Order(1, Milliseconds(300));
  CHECK_CODE(ResultCode::kOk, fleet.AskAndWait(flow, "edits", order).code);
  LONGS_EQUAL(1, fleet.Starts(order.tag));
}

TEST(Fleet, AStoppingBalancerFinishesAndItsFlowsGoOnElsewhere) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  const int owner = fleet.OwnerOf(flow);
  const WorkOrder running = fleet.Order(1, Milliseconds(300));
  const RequestKey key = fleet.Ask(flow, "edits", running);
  CHECK(fleet.RunUntil([&] { return fleet.Starts(running.tag) == 1; },
                       Seconds(1)));
  Output out;
  fleet.NodeOf(owner).BeginStop(fleet.now, out);
  const WorkOrder next = fleet.Order();
  CHECK_CODE(ResultCode::kOk, fleet.AskAndWait(flow, "edits", next).code);
  CHECK(fleet.RunUntil([&] { return fleet.ended.contains(key); }, Seconds(2)));
  CHECK_CODE(ResultCode::kOk, fleet.ended[key].code);
  CHECK(fleet.OwnerOf(flow) != owner);
  LONGS_EQUAL(1, fleet.Starts(running.tag));
  LONGS_EQUAL(1, fleet.Starts(next.tag));
  CHECK(fleet.RunUntil(
      [&] { return fleet.NodeOf(owner).Load().unfinished == 0; }, Seconds(6)));
}

TEST(Fleet, ADrainedBackendServerGetsNoNewWork) {
  FakeFleet fleet({});
  std::vector<FlowHandle> flows;
  for (int flow = 0; flow < 12; ++flow)
    flows.push_back(fleet.OpenFlow());
  const TimePoint drained_at = fleet.now;
  fleet.PublishConfig(
      2,
      "[change d]\nkind = drain\nvm = 101\nbegins_at = 1970-01-01T00:00:00Z\n");
  for (int round = 0; round < 5; ++round) {
    for (const FlowHandle flow : flows)
      CHECK_CODE(ResultCode::kOk,
                 fleet
                     .AskAndWait(flow, round % 2 == 0 ? "edits" : "feed",
                                 fleet.Order())
                     .code);
  }
  // The brief allows a few seconds.
  CHECK(fleet.LastAccepted(1) < drained_at + Seconds(3));
}

TEST(Fleet, AnOwnerCutOffFromItsPeersNeverSharesANumberWithItsReplacement) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  const auto owner = static_cast<uint32_t>(fleet.OwnerOf(flow));
  for (uint32_t other = 1; other <= 3; ++other) {
    if (other != owner)
      fleet.Cut(owner, other);
  }
  // The caller's packets still reach all three.
  std::vector<WorkOrder> orders;
  for (int round = 0; round < 20; ++round) {
    orders.push_back(fleet.Order());
    const CallerEvent event = fleet.AskAndWait(flow, "edits", orders.back());
    CHECK(OutcomeOf(event.code) != Outcome::kNotRun ||
          fleet.Starts(orders.back().tag) == 0);
  }
  fleet.HealAll();
  fleet.RunFor(Seconds(5));
  for (const WorkOrder& order : orders)
    CHECK(fleet.Starts(order.tag) <= 1);
  CHECK_CODE(ResultCode::kOk,
             fleet.AskAndWait(flow, "edits", fleet.Order()).code);
}

TEST(Fleet, ARestartedOwnerIsANewMember) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  const int owner = fleet.OwnerOf(flow);
  CHECK_CODE(ResultCode::kOk,
             fleet.AskAndWait(flow, "edits", fleet.Order()).code);
  fleet.Kill(owner);
  fleet.Restart(owner);
  fleet.RunFor(Seconds(2));
  const WorkOrder order = fleet.Order();
  const CallerEvent event = fleet.AskAndWait(flow, "edits", order);
  CHECK(event.code == ResultCode::kOk ||
        OutcomeOf(event.code) == Outcome::kUnknown);
  CHECK(fleet.Starts(order.tag) <= 1);
  CHECK_CODE(ResultCode::kOk,
             fleet.AskAndWait(flow, "edits", fleet.Order()).code);
}

TEST(Fleet, KeysRotateUnderOpenFlowsWhileHalfTheFleetLags) {
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
  LONGS_EQUAL(1, fleet.NodeOf(1).Beliefs()->self.value->issue_key.value);
  fleet.HealAll();
  fleet.RunFor(Seconds(4));
  for (int balancer = 1; balancer <= 3; ++balancer)
    LONGS_EQUAL(2,
                fleet.NodeOf(balancer).Beliefs()->self.value->issue_key.value);
  CHECK_CODE(ResultCode::kOk,
             fleet.AskAndWait(flow, "edits", fleet.Order()).code);
}

TEST(
    Fleet,
    AConfigurationSeenByOneIsInForceEverywhereWithinFourSecondsAndNeverReverts) {
  FleetOptions options;
  options.balancers = 5;
  options.loss = 0.05;
  FakeFleet fleet(options);
  static_cast<void>(fleet.OfferConfig(2, fleet.ConfigText(7)));
  const auto all_have = [&](uint64_t version) {
    for (int balancer = 1; balancer <= 5; ++balancer) {
      if (fleet.NodeOf(balancer).Beliefs()->config.value->version !=
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

TEST(Fleet, AStarterBesideAStalePlatformDoesNotServeWithAnOldDocument) {
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
        [&] { return fleet.NodeOf(3).Beliefs()->self.value->serving; },
        Seconds(12)));
    LONGS_EQUAL(9, fleet.NodeOf(3).Beliefs()->config.value->version.value);
  }
}

TEST_GROUP(Feeds){
    /** Every event once, in order, without a gap. */
    static void CheckContinuous(const FakeFleet& fleet, size_t least){
        constexpr int64_t kPeriodUs = 200000;
CHECK(fleet.feed_events.size() >= least);
for (size_t event = 1; event < fleet.feed_events.size(); ++event)
  LONGS_EQUAL(fleet.feed_events[event - 1].position + kPeriodUs,
              fleet.feed_events[event].position);
}

static int BackendOf(FakeFleet& fleet, FlowHandle flow) {
  const auto view = fleet.NodeOf(fleet.OwnerOf(flow)).Beliefs();
  return static_cast<int>(
             OpenToken(fleet.caller.TokenOf(flow), view->config.value->keys)
                 .value()
                 .backend.value) -
         100;
}
}
;

TEST(Feeds, EventsComeOnceInOrderThroughLossCopiesAndDisorder) {
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

TEST(Feeds, GoOnWhenTheBalancersTheyCameThroughDieOrStop) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  fleet.caller.FollowFeed(fleet.now, flow, "orders", 0);
  fleet.RunFor(Seconds(5));
  fleet.Kill(1);
  fleet.SprayAround(1);
  fleet.RunFor(Seconds(8));
  CheckContinuous(fleet, 60);
  fleet.Stop(2);
  fleet.SprayOver({3});
  fleet.RunFor(Seconds(2));
  fleet.EndStop(2);
  fleet.RunFor(Seconds(8));
  CheckContinuous(fleet, 110);
}

TEST(Feeds, GoOnWhenTheirBackendServerDrainsOrDies) {
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

TEST_GROUP(BadInput) {
  FakeFleet fleet{FleetOptions{}};
  const Endpoint caller{0x0a090001, 5000};
  const Endpoint service{0x0a080001, 80};
  const Endpoint other_service{0x0a080002, 80};

  /** Hands a caller's packet to balancer 1. */
  Output Give(const Endpoint& to, const std::string& packet) {
    Output out;
    const std::string bytes =
        Encode(FabricPacket{this->caller, to, MakeBlob(packet)});
    this->fleet.NodeOf(1).OnFabric(this->fleet.now, {0x0a070001, 1}, bytes,
                                   this->fleet.random, out);
    return out;
  }

  /** The code under which a packet was dropped. */
  static ResultCode DroppedAs(const Output& out) {
    for (const Decision& decision : out.decisions) {
      if (decision.topic == Topic::kInput)
        return decision.code;
    }
    return ResultCode::kOk;
  }

  static size_t ReplyBytes(const Output& out) {
    size_t bytes = 0;
    for (const Datagram& datagram : out.datagrams) {
      const Result<FabricPacket> packet = Decode<FabricPacket>(
          datagram.bytes, DecodeHeader(datagram.bytes).value());
      bytes += packet ? packet.value().packet.size : datagram.bytes.size();
    }
    return bytes;
  }

  std::string RequestWith(FlowId flow, const std::string& token) {
    return Encode(Request{
        flow, MakeBlob(token), RequestNumber{1}, ClassIdOf("edits"),
        ToWire(this->fleet.now + Seconds(1)), 0, MakeBlob("t desk 1 0")});
  }
};

TEST(BadInput, IsCountedByCodeAndNeverSentOn) {
  const FlowHandle handle = fleet.OpenFlow();
  const FlowHandle other = fleet.OpenFlow();
  const FlowId flow = fleet.opened[handle];
  const std::string token = fleet.caller.TokenOf(handle);
  std::string altered = token;
  altered.back() = static_cast<char>(altered.back() ^ 1);
  const std::string good = RequestWith(flow, token);
  struct Case {
    ResultCode code;
    Output out;
  };
  const Case cases[] = {
      {ResultCode::kTruncated, Give(service, good.substr(0, good.size() / 2))},
      {ResultCode::kOversized,
       Give(service, std::string(kDatagramLimit + 1, 'x'))},
      {ResultCode::kGarbage, Give(service, "what is this")},
      {ResultCode::kBadMac, Give(service, RequestWith(flow, altered))},
      {ResultCode::kUnknownService, Give(other_service, good)},
      {ResultCode::kUnknownVersion,
       Give(service, std::string("\x92\x09\x02\x90", 4))},
      {ResultCode::kWrongFlow,
       Give(service, RequestWith(fleet.opened[other], token))},
      {ResultCode::kUnexpectedType, Give(service, Encode(Receipt{}))},
      {ResultCode::kTruncated, Give(service, RequestWith(flow, "short"))},
  };
  for (const Case& one : cases) {
    CHECK_CODE(one.code, DroppedAs(one.out));
    for (const Datagram& datagram : one.out.datagrams)
      CHECK(datagram.lane == Lane::kFabric);
  }
}

TEST(BadInput, AnUnverifiedSenderNeverGetsMoreBytesThanItSent) {
  std::mt19937_64 random(11);
  const FlowHandle handle = fleet.OpenFlow();
  const std::string good =
      RequestWith(fleet.opened[handle], std::string(80, 'x'));
  for (int round = 0; round < 2000; ++round) {
    std::string packet = good.substr(0, 1 + random() % good.size());
    packet[random() % packet.size()] = static_cast<char>(random());
    CHECK(ReplyBytes(Give(service, packet)) <= packet.size());
  }
  // An open without padding gets nothing; one with padding gets its answer.
  LONGS_EQUAL(0, ReplyBytes(Give(service, Encode(Open{1, {}}))));
  const std::string padding(kOpenPadding, '\0');
  CHECK(ReplyBytes(Give(service, Encode(Open{1, MakeBlob(padding)}))) > 0);
}

TEST(BadInput, ATokenOfAnotherServiceIsRefused) {
  const Endpoint notes{0x0a080003, 80};
  const FlowHandle handle = fleet.OpenFlow();
  const Output out = Give(
      notes, RequestWith(fleet.opened[handle], fleet.caller.TokenOf(handle)));
  CHECK_CODE(ResultCode::kWrongService, DroppedAs(out));
}

TEST(BadInput, ATokenOfAGoneBalancerLeadsToAReopen) {
  const FlowHandle handle = fleet.OpenFlow();
  const Result<FlowToken> token =
      OpenToken(fleet.caller.TokenOf(handle),
                fleet.NodeOf(1).Beliefs()->config.value->keys);
  FlowToken gone = token.value();
  gone.owner = {VmId{77}, Incarnation{1}};
  gone.witness = {};
  const std::string sealed =
      SealToken(gone, fleet.NodeOf(1).Beliefs()->config.value->keys).value();
  const Output out = Give(service, RequestWith(gone.flow, sealed));
  LONGS_EQUAL(1, out.datagrams.size());
  const Result<FabricPacket> packet = Decode<FabricPacket>(
      out.datagrams[0].bytes, DecodeHeader(out.datagrams[0].bytes).value());
  const std::string reply(View(packet.value().packet));
  const Result<Verdict> verdict =
      Decode<Verdict>(reply, DecodeHeader(reply).value());
  CHECK_CODE(ResultCode::kOwnerLost,
             static_cast<ResultCode>(verdict.value().code));
}

TEST(BadInput, ANumberUsedForTwoRequestsIsRefused) {
  const FlowHandle handle = fleet.OpenFlow();
  const FlowId flow = fleet.opened[handle];
  const std::string token = fleet.caller.TokenOf(handle);
  fleet.SprayOver({fleet.OwnerOf(handle)});
  const auto give = [&](const std::string& payload) {
    Output out;
    const std::string packet = Encode(
        Request{flow, MakeBlob(token), RequestNumber{9}, ClassIdOf("edits"),
                ToWire(fleet.now + Seconds(1)), 0, MakeBlob(payload)});
    const std::string bytes =
        Encode(FabricPacket{caller, service, MakeBlob(packet)});
    fleet.NodeOf(fleet.OwnerOf(handle))
        .OnFabric(fleet.now, {0x0a070001, 1}, bytes, fleet.random, out);
    return out;
  };
  give("one desk 1 0");
  bool refused = false;
  for (const Decision& decision : give("two desk 1 0").decisions)
    refused = refused || decision.code == ResultCode::kNumberReused;
  CHECK(refused);
}
