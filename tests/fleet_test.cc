/** @file fleet_test.cc Token data plane under failures of balancers, backend
 * servers and the network. Runs in virtual time from fixed seeds. */

#include "tests/fleet_fake.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

bool IsMessage(const std::string& bytes, MessageType type) {
  const Result<DatagramHeader> header = DecodeHeader(bytes);
  return header && header.value().type == type;
}

CallerEvent::Kind RequestFinishedKind() {
  return CallerEvent::Kind::kRequestFinished;
}

}  // namespace

TEST_GROUP(Fleet){};

/** Non-idempotent requests must not run twice, nor after a kNotRun outcome. */
TEST(Fleet, MultiPartAnswersAreCompleteUnderLossDuplicationAndReordering) {
  FleetOptions options;
  options.loss = 0.05;
  options.duplicate = 0.05;
  options.jitter = Milliseconds(20);
  FakeFleet fleet(options);
  const FlowHandle flow = fleet.OpenFlow();
  for (int round = 0; round < 40; ++round) {
    const WorkOrder order = fleet.MakeOrder(20);
    const bool idempotent = round % 2 == 0;
    const CallerEvent event =
        fleet.SendRequestAndWait(flow, idempotent ? "feed" : "edits", order);
    CHECK(event.kind == RequestFinishedKind());
    if (event.code == ResultCode::kOk)
      CHECK(CheckAnswer(order, event.answer) == AnswerCheck::kWhole);
    if (!idempotent) {
      CHECK(fleet.StartCount(order.tag) <= 1);
      CHECK(OutcomeOf(event.code) != Outcome::kNotRun ||
            fleet.StartCount(order.tag) == 0);
    }
  }
}

/** A request whose dispatch intent the witness has must not be run again. */
TEST(Fleet, OwnerDeathAfterDispatchGivesUnknownOutcomeAndKeepsFlow) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  const WorkOrder order = fleet.MakeOrder(1, Milliseconds(200));
  const RequestKey key = fleet.SendRequest(flow, "edits", order);
  CHECK(fleet.RunUntil([&] { return fleet.StartCount(order.tag) == 1; },
                       Seconds(1)));
  const int owner = fleet.OwnerOf(flow);
  fleet.KillBalancer(owner);
  fleet.SprayOverAllBut(owner);
  CHECK(fleet.RunUntil([&] { return fleet.finished_requests.contains(key); },
                       Seconds(6)));
  CHECK(OutcomeOf(fleet.finished_requests[key].code) == Outcome::kUnknown);
  LONGS_EQUAL(1, fleet.StartCount(order.tag));
  const WorkOrder next = fleet.MakeOrder();
  CHECK_CODE(ResultCode::kOk,
             fleet.SendRequestAndWait(flow, "edits", next).code);
  LONGS_EQUAL(1, fleet.StartCount(next.tag));
}

/** Answer parts of the dead holder's run must not be mixed with the rerun's. */
TEST(Fleet, HolderDeathMidAnswerRerunsIdempotentRequestWithoutMixingParts) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  const WorkOrder order = fleet.MakeOrder(30);
  int parts = 0;
  Endpoint first_holder;
  fleet.should_drop = [&](const Endpoint& from, const Endpoint&,
                          const std::string& bytes) {
    if (!IsMessage(bytes, MessageType::kAnswerPart))
      return false;
    if (first_holder == Endpoint{})
      first_holder = from;
    return from == first_holder && ++parts > 5;
  };
  const RequestKey key =
      fleet.SendRequest(flow, "feed", order, Milliseconds(8000));
  CHECK(fleet.RunUntil([&] { return parts > 5; }, Seconds(1)));
  const int holder = static_cast<int>(first_holder.ip & 0xff);
  fleet.KillBalancer(holder);
  fleet.SprayOverAllBut(holder);
  CHECK(fleet.RunUntil([&] { return fleet.finished_requests.contains(key); },
                       Seconds(9)));
  CHECK_CODE(ResultCode::kOk, fleet.finished_requests[key].code);
  CHECK(CheckAnswer(order, fleet.finished_requests[key].answer) ==
        AnswerCheck::kWhole);
}

/** A request sent before the owner's death is detected must not be lost. */
TEST(Fleet, RequestNotReceivedByDeadOwnerRunsOnceElsewhere) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  const int owner = fleet.OwnerOf(flow);
  fleet.KillBalancer(owner);
  fleet.SprayOverAllBut(owner);
  const WorkOrder order = fleet.MakeOrder();
  CHECK_CODE(ResultCode::kOk,
             fleet.SendRequestAndWait(flow, "edits", order).code);
  LONGS_EQUAL(1, fleet.StartCount(order.tag));
}

/** A fenced owner must not dispatch unexpired retransmissions in its socket. */
TEST(Fleet, ResumedOwnerDispatchesNothingAfterTakeover) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  const int owner = fleet.OwnerOf(flow);
  fleet.PauseBalancer(owner);
  const WorkOrder order = fleet.MakeOrder();
  CHECK_CODE(
      ResultCode::kOk,
      fleet.SendRequestAndWait(flow, "edits", order, Milliseconds(8000)).code);
  fleet.ResumeBalancer(owner);
  fleet.RunFor(Seconds(4));
  LONGS_EQUAL(1, fleet.StartCount(order.tag));
}

/** The restarted witness lost its fence of the paused owner; it must not
 * confirm that owner's intents for retransmissions in the owner's queue. */
TEST(Fleet, RestartedWitnessDoesNotVouchForItsEarlierInstance) {
  FleetOptions options;
  options.balancers = 4;
  FakeFleet fleet(options);
  const FlowHandle flow = fleet.OpenFlow();
  const int owner = fleet.OwnerOf(flow);
  const int witness = fleet.WitnessOf(flow);
  fleet.PauseBalancer(owner);
  const WorkOrder order = fleet.MakeOrder();
  CHECK_CODE(
      ResultCode::kOk,
      fleet.SendRequestAndWait(flow, "edits", order, Milliseconds(9000)).code);
  fleet.KillBalancer(witness);
  fleet.RestartBalancer(witness);
  fleet.ResumeBalancer(owner);
  fleet.RunFor(Seconds(3));
  LONGS_EQUAL(1, fleet.StartCount(order.tag));
}

/** If fences excluded balancers for good, the flow would run out of owners. */
TEST(Fleet, OwnerFencedByEveryWitnessCanOwnTheFlowAgain) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  // Pauses each owner until its flow is taken over, twice per balancer.
  for (int round = 0; round < 6; ++round) {
    const int owner = fleet.OwnerOf(flow);
    fleet.PauseBalancer(owner);
    CHECK_CODE(ResultCode::kOk,
               fleet
                   .SendRequestAndWait(flow, "edits", fleet.MakeOrder(),
                                       Milliseconds(9000))
                   .code);
    fleet.ResumeBalancer(owner);
    fleet.RunFor(Seconds(3));
    CHECK_CODE(ResultCode::kOk,
               fleet.SendRequestAndWait(flow, "edits", fleet.MakeOrder()).code);
  }
}

/** An owner without a witness cannot dispatch. */
TEST(Fleet, DeadWitnessIsReplacedAndRequestRunsOnce) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  const int witness = fleet.WitnessOf(flow);
  CHECK(witness != 0);
  fleet.KillBalancer(witness);
  fleet.SprayOverAllBut(witness);
  const WorkOrder order = fleet.MakeOrder();
  CHECK_CODE(ResultCode::kOk,
             fleet.SendRequestAndWait(flow, "edits", order).code);
  LONGS_EQUAL(1, fleet.StartCount(order.tag));
  CHECK(fleet.WitnessOf(flow) != witness);
}

/** Without both records nobody knows whether the request was dispatched. */
TEST(Fleet, LossOfOwnerAndWitnessGivesUnknownOutcomeAndKeepsFlow) {
  FleetOptions options;
  options.balancers = 4;
  FakeFleet fleet(options);
  const FlowHandle flow = fleet.OpenFlow();
  const int owner = fleet.OwnerOf(flow);
  const int witness = fleet.WitnessOf(flow);
  fleet.KillBalancer(owner);
  fleet.KillBalancer(witness);
  std::vector<int> remaining;
  for (int balancer = 1; balancer <= 4; ++balancer) {
    if (balancer != owner && balancer != witness)
      remaining.push_back(balancer);
  }
  fleet.SprayOver(remaining);
  const WorkOrder order = fleet.MakeOrder();
  const CallerEvent event =
      fleet.SendRequestAndWait(flow, "edits", order, Milliseconds(6000));
  CHECK(OutcomeOf(event.code) == Outcome::kUnknown);
  CHECK_CODE(ResultCode::kOk,
             fleet.SendRequestAndWait(flow, "edits", fleet.MakeOrder()).code);
}

/** Callers of idle flows do not learn of new owners; tokens must stay valid. */
TEST(Fleet, StoppingTwoBalancersInTurnKeepsIdleFlows) {
  FleetOptions options;
  options.balancers = 4;
  FakeFleet fleet(options);
  std::vector<FlowHandle> flows;
  for (int flow = 0; flow < 10; ++flow)
    flows.push_back(fleet.OpenFlow());
  for (const int leaving : {1, 2}) {
    Output out;
    fleet.TokenPlaneOf(leaving).BeginStop(fleet.now, out);
    fleet.SprayOver(leaving == 1 ? std::vector<int>{2, 3, 4}
                                 : std::vector<int>{3, 4});
    fleet.RunFor(Seconds(3));
    fleet.KillBalancer(leaving);
    fleet.RunFor(Seconds(20));
  }
  for (const FlowHandle flow : flows)
    CHECK_CODE(ResultCode::kOk,
               fleet.SendRequestAndWait(flow, "edits", fleet.MakeOrder()).code);
}

/** Both balancers that the flow's token names stop together. */
TEST(Fleet, StoppingOwnerAndWitnessTogetherKeepsIdleFlow) {
  FleetOptions options;
  options.balancers = 4;
  FakeFleet fleet(options);
  const FlowHandle flow = fleet.OpenFlow();
  const int owner = fleet.OwnerOf(flow);
  const int witness = fleet.WitnessOf(flow);
  fleet.BeginBalancerStop(owner);
  fleet.BeginBalancerStop(witness);
  fleet.RunFor(Seconds(1));
  fleet.EndBalancerStop(owner);
  fleet.EndBalancerStop(witness);
  std::vector<int> remaining;
  for (int balancer = 1; balancer <= 4; ++balancer) {
    if (balancer != owner && balancer != witness)
      remaining.push_back(balancer);
  }
  fleet.SprayOver(remaining);
  fleet.RunFor(Milliseconds(200));
  const WorkOrder order = fleet.MakeOrder();
  CHECK_CODE(ResultCode::kOk,
             fleet.SendRequestAndWait(flow, "edits", order).code);
  LONGS_EQUAL(1, fleet.StartCount(order.tag));
}

/** Every balancer restarts between two requests of the flow. */
TEST(Fleet, RollingRestartOfBalancersKeepsIdleFlow) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  for (int balancer = 1; balancer <= 3; ++balancer) {
    fleet.BeginBalancerStop(balancer);
    fleet.RunFor(Milliseconds(500));
    fleet.EndBalancerStop(balancer);
    fleet.RunFor(Milliseconds(50));
    fleet.RestartBalancer(balancer);
    fleet.RunFor(Seconds(2));
  }
  const WorkOrder order = fleet.MakeOrder();
  CHECK_CODE(ResultCode::kOk,
             fleet.SendRequestAndWait(flow, "edits", order).code);
  LONGS_EQUAL(1, fleet.StartCount(order.tag));
}

/** Dispatching a queued request after its deadline contradicts its outcome. */
TEST(Fleet, OwnerResumedAfterDeadlineDispatchesNothing) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  const int owner = fleet.OwnerOf(flow);
  // Every copy of the request waits at the paused owner; another balancer would
  // take the flow over and have the request run in time.
  fleet.SprayOver({owner});
  fleet.PauseBalancer(owner);
  const WorkOrder order = fleet.MakeOrder();
  const CallerEvent event =
      fleet.SendRequestAndWait(flow, "edits", order, Milliseconds(2500));
  CHECK(OutcomeOf(event.code) != Outcome::kNotRun);
  fleet.ResumeBalancer(owner);
  fleet.RunFor(Seconds(3));
  LONGS_EQUAL(0, fleet.StartCount(order.tag));
  CHECK_CODE(ResultCode::kOk,
             fleet.SendRequestAndWait(flow, "edits", fleet.MakeOrder()).code);
}

/** A duplicate arrives seconds after the caller was told "not run". */
TEST(Fleet, LateDuplicateOfRefusedRequestIsNotRun) {
  FleetOptions options;
  options.backends = 1;
  options.slots = 1;
  FakeFleet fleet(options);
  const FlowHandle flow = fleet.OpenFlow();
  // Fill the only backend server, its queue included, so that it refuses.
  for (int busy = 0; busy < 20; ++busy)
    fleet.SendRequest(flow, "edits", fleet.MakeOrder(1, Milliseconds(400)),
                      Milliseconds(9000));
  fleet.RunFor(Milliseconds(50));
  const WorkOrder order = fleet.MakeOrder();
  std::string duplicate_bytes;
  Endpoint duplicate_destination;
  fleet.should_drop = [&](const Endpoint&, const Endpoint& to,
                          const std::string& bytes) {
    if (IsMessage(bytes, MessageType::kFabricPacket) &&
        bytes.find(order.tag + " ") != std::string::npos) {
      duplicate_bytes = bytes;
      duplicate_destination = to;
    }
    return false;
  };
  const CallerEvent event =
      fleet.SendRequestAndWait(flow, "edits", order, Milliseconds(20000));
  CHECK(OutcomeOf(event.code) == Outcome::kNotRun);
  CHECK(!duplicate_bytes.empty());
  fleet.RunFor(Seconds(8));
  // The backend server is idle again; the duplicate arrives at every balancer.
  for (int balancer = 1; balancer <= 3; ++balancer) {
    Output out;
    fleet.TokenPlaneOf(balancer).OnFabric(fleet.now, {0x0a070001, 1},
                                          duplicate_bytes, fleet.random, out);
    for (const Datagram& datagram : out.datagrams)
      CHECK(!IsMessage(datagram.bytes, MessageType::kStartRun));
  }
  LONGS_EQUAL(0, fleet.StartCount(order.tag));
}

/** The network duplicates every datagram to two balancers. */
TEST(Fleet, RequestDuplicatedToTwoBalancersRunsOnce) {
  FleetOptions options;
  options.duplicate = 1;
  FakeFleet fleet(options);
  const FlowHandle flow = fleet.OpenFlow();
  for (int round = 0; round < 20; ++round) {
    const WorkOrder order = fleet.MakeOrder();
    CHECK_CODE(ResultCode::kOk,
               fleet.SendRequestAndWait(flow, "edits", order).code);
    LONGS_EQUAL(1, fleet.StartCount(order.tag));
  }
}

/** The restarted backend server has its old address, but no record of runs. */
TEST(Fleet, BackendServerRestartDoesNotRunRequestTwice) {
  FleetOptions options;
  options.backends = 1;
  FakeFleet fleet(options);
  const FlowHandle flow = fleet.OpenFlow();
  const WorkOrder order = fleet.MakeOrder(1, Milliseconds(100));
  const RequestKey key = fleet.SendRequest(flow, "edits", order);
  CHECK(fleet.RunUntil([&] { return fleet.StartCount(order.tag) == 1; },
                       Seconds(1)));
  fleet.RestartBackend(1);
  CHECK(fleet.RunUntil([&] { return fleet.finished_requests.contains(key); },
                       Seconds(6)));
  CHECK(OutcomeOf(fleet.finished_requests[key].code) == Outcome::kUnknown);
  LONGS_EQUAL(1, fleet.StartCount(order.tag));
  // The VM list is outdated; the backend server reports its new incarnation.
  CHECK_CODE(ResultCode::kOk,
             fleet.SendRequestAndWait(flow, "edits", fleet.MakeOrder()).code);
}

/** Without the withdrawal a delayed datagram could cause a second run. */
TEST(Fleet, LostDispatchIsWithdrawnAndSentAgain) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  int dispatches = 0;
  fleet.should_drop = [&](const Endpoint&, const Endpoint&,
                          const std::string& bytes) {
    return IsMessage(bytes, MessageType::kStartRun) && ++dispatches == 1;
  };
  const WorkOrder order = fleet.MakeOrder();
  CHECK_CODE(ResultCode::kOk,
             fleet.SendRequestAndWait(flow, "edits", order).code);
  LONGS_EQUAL(2, dispatches);
  LONGS_EQUAL(1, fleet.StartCount(order.tag));
}

/** The withdrawn run has no other backend server to go to. */
TEST(Fleet, LostDispatchIsSentAgainToTheOnlyBackendServer) {
  FleetOptions options;
  options.backends = 1;
  FakeFleet fleet(options);
  const FlowHandle flow = fleet.OpenFlow();
  int dispatches = 0;
  fleet.should_drop = [&](const Endpoint&, const Endpoint&,
                          const std::string& bytes) {
    return IsMessage(bytes, MessageType::kStartRun) && ++dispatches == 1;
  };
  const WorkOrder order = fleet.MakeOrder();
  CHECK_CODE(ResultCode::kOk,
             fleet.SendRequestAndWait(flow, "edits", order).code);
  LONGS_EQUAL(1, fleet.StartCount(order.tag));
}

/** Every acceptance is lost, so the owner does not know that the run began. */
TEST(Fleet, LostAcceptanceDoesNotRunRequestAgain) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  fleet.should_drop = [](const Endpoint&, const Endpoint&,
                         const std::string& bytes) {
    return IsMessage(bytes, MessageType::kRunAccepted);
  };
  const WorkOrder order = fleet.MakeOrder(1, Milliseconds(300));
  CHECK_CODE(ResultCode::kOk,
             fleet.SendRequestAndWait(flow, "edits", order).code);
  LONGS_EQUAL(1, fleet.StartCount(order.tag));
}

/** A stopping owner must not abandon its request nor block the flow's next. */
TEST(Fleet, StoppingBalancerFinishesRequestsAndHandsOverFlows) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  const int owner = fleet.OwnerOf(flow);
  const WorkOrder running = fleet.MakeOrder(1, Milliseconds(300));
  const RequestKey key = fleet.SendRequest(flow, "edits", running);
  CHECK(fleet.RunUntil([&] { return fleet.StartCount(running.tag) == 1; },
                       Seconds(1)));
  Output out;
  fleet.TokenPlaneOf(owner).BeginStop(fleet.now, out);
  const WorkOrder next = fleet.MakeOrder();
  CHECK_CODE(ResultCode::kOk,
             fleet.SendRequestAndWait(flow, "edits", next).code);
  CHECK(fleet.RunUntil([&] { return fleet.finished_requests.contains(key); },
                       Seconds(2)));
  CHECK_CODE(ResultCode::kOk, fleet.finished_requests[key].code);
  CHECK(fleet.OwnerOf(flow) != owner);
  LONGS_EQUAL(1, fleet.StartCount(running.tag));
  LONGS_EQUAL(1, fleet.StartCount(next.tag));
  CHECK(fleet.RunUntil(
      [&] { return fleet.TokenPlaneOf(owner).Load().unfinished == 0; },
      Seconds(6)));
}

TEST(Fleet, DrainedBackendServerGetsNoNewRequests) {
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
      CHECK_CODE(
          ResultCode::kOk,
          fleet
              .SendRequestAndWait(flow, round % 2 == 0 ? "edits" : "feed",
                                  fleet.MakeOrder())
              .code);
  }
  // The requirement is that new requests stop within a few seconds.
  CHECK(fleet.LastAcceptedAt(1) < drained_at + Seconds(3));
}

/** An owner partitioned from its peers, but not from callers, is replaced; the
 * two must not both dispatch a request under one number. */
TEST(Fleet, PartitionedOwnerAndReplacementNeverRunTheSameRequest) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  const auto owner = static_cast<uint32_t>(fleet.OwnerOf(flow));
  for (uint32_t other = 1; other <= 3; ++other) {
    if (other != owner)
      fleet.CutLink(owner, other);
  }
  std::vector<WorkOrder> orders;
  for (int round = 0; round < 20; ++round) {
    orders.push_back(fleet.MakeOrder());
    const CallerEvent event =
        fleet.SendRequestAndWait(flow, "edits", orders.back());
    CHECK(OutcomeOf(event.code) != Outcome::kNotRun ||
          fleet.StartCount(orders.back().tag) == 0);
  }
  fleet.HealAllLinks();
  fleet.RunFor(Seconds(5));
  for (const WorkOrder& order : orders)
    CHECK(fleet.StartCount(order.tag) <= 1);
  CHECK_CODE(ResultCode::kOk,
             fleet.SendRequestAndWait(flow, "edits", fleet.MakeOrder()).code);
}

/** The token names an earlier instance of the restarted owner. */
TEST(Fleet, RestartedOwnerJoinsAsNewInstance) {
  FakeFleet fleet({});
  const FlowHandle flow = fleet.OpenFlow();
  const int owner = fleet.OwnerOf(flow);
  CHECK_CODE(ResultCode::kOk,
             fleet.SendRequestAndWait(flow, "edits", fleet.MakeOrder()).code);
  fleet.KillBalancer(owner);
  fleet.RestartBalancer(owner);
  fleet.RunFor(Seconds(2));
  const WorkOrder order = fleet.MakeOrder();
  const CallerEvent event = fleet.SendRequestAndWait(flow, "edits", order);
  CHECK(event.code == ResultCode::kOk ||
        OutcomeOf(event.code) == Outcome::kUnknown);
  CHECK(fleet.StartCount(order.tag) <= 1);
  CHECK_CODE(ResultCode::kOk,
             fleet.SendRequestAndWait(flow, "edits", fleet.MakeOrder()).code);
}
