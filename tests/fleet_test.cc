/** @file fleet_test.cc The promises, through failures, in virtual time from
 * fixed seeds. */

#include "tests/fleet_fake.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

/** Whether any datagram of the message type is in the bytes. */
bool IsMessage(const std::string& bytes, MessageType type) {
  const Result<DatagramHeader> header = DecodeHeader(bytes);
  return header && header.value().type == type;
}

CallerEvent::Kind Finished() {
  return CallerEvent::Kind::kRequestFinished;
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
    if (!IsMessage(bytes, MessageType::kAnswerPart))
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
      CHECK(!IsMessage(datagram.bytes, MessageType::kStartRun));
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
    return IsMessage(bytes, MessageType::kStartRun) && ++runs == 1;
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
    return IsMessage(bytes, MessageType::kStartRun) && ++runs == 1;
  };
  const WorkOrder order = fleet.Order();
  CHECK_CODE(ResultCode::kOk, fleet.AskAndWait(flow, "edits", order).code);
  LONGS_EQUAL(1, fleet.Starts(order.tag));
}

TEST(Fleet, AnAcceptanceThatIsLostDoesNotRunTheRequestAgain) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  fleet.lose = [](const Endpoint&, const Endpoint&, const std::string& bytes) {
    return IsMessage(bytes, MessageType::kRunAccepted);
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
