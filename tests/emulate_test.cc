/** @file emulate_test.cc Guarantees for opaque flows hold in an emulated fleet
 * under faults, and each invariant check detects a wrong packet decision. */

#include <set>

#include "base/ini_func.h"
#include "emulate/bound_func.h"
#include "emulate/experiment_func.h"
#include "emulate/report_func.h"
#include "shell/program_func.h"
#include "tests/test_text.h"

using namespace cuminvane;
using emulate::Experiment;
using emulate::FaultKind;
using emulate::FaultPlan;
using emulate::InvariantViolation;
using emulate::ModelPacket;
using emulate::World;
using emulate::WorldResult;

namespace {

/** Smallest share of the value of all requests that counts as almost all of
 * it. */
constexpr double kMinEarnedShare = 0.99;

/** Reads an experiment file, which has to be valid. */
Experiment LoadExperiment(const std::string& path) {
  const Result<std::string> text =
      ReadFile(std::string(CUMINVANE_SOURCE_DIR) + "/" + path);
  CHECK(text.has_value());
  const emulate::ParsedExperiment check =
      emulate::ParseExperiment(path, text.value());
  STRCMP_EQUAL("", FormatProblems(check.problems).c_str());
  return check.experiment;
}

/** The fleet and load of the experiment `rough-evening` without its faults. */
Experiment FaultFreeExperiment(Milliseconds length = Milliseconds(8000)) {
  Experiment experiment = LoadExperiment("etc/experiments/rough-evening.ini");
  experiment.faults.clear();
  experiment.load_duration = length;
  return experiment;
}

/** As FaultFreeExperiment, but users of `feed` are idle for about 6 s, and its
 * answers are late. */
Experiment IdleAndLateExperiment(Milliseconds length) {
  Experiment experiment = FaultFreeExperiment(length);
  emulate::RequestKind& feed = experiment.request_plans[0].kind;
  feed.requests_per_s = 20;
  feed.users = 120;
  feed.mean_work = Milliseconds(250);
  return experiment;
}

/**
 * @param kind What fails or changes.
 * @param start_ms Start, in ms after the start of the load.
 * @param duration_ms Duration in ms.
 * @param count Number of VMs that are affected.
 */
FaultPlan MakeFault(FaultKind kind,
                    int start_ms,
                    int duration_ms,
                    int count = 1) {
  FaultPlan fault;
  fault.name = emulate::ToString(kind);
  fault.kind = kind;
  fault.at = Milliseconds(start_ms);
  fault.duration = Milliseconds(duration_ms);
  fault.count = count;
  return fault;
}

/** IP address (198.18.0.3) of `proofs`, the third kind of request in the
 * experiment `rough-evening`. */
constexpr uint32_t kProofsIp = 0xc6120003;

/** A fault that moves or drops the route of `proofs`. */
FaultPlan MakeRouteFault(FaultKind kind, int start_ms, int duration_ms) {
  FaultPlan fault = MakeFault(kind, start_ms, duration_ms);
  fault.work = "proofs";
  fault.service = "desk";
  return fault;
}

/** The store is away from 9 s on, and from 10.5 s to 12.5 s it has the
 * documents of 5 s: backend servers that leave or have gone are live, their
 * replacements are missing, and a route has not moved. */
std::vector<FaultPlan> ReleaseAroundRestore() {
  FaultPlan restore = MakeFault(FaultKind::kStoreRestored, 9000, 1500);
  restore.factor = 4;
  return {MakeFault(FaultKind::kRollingRelease, 5500, 6000, 8),
          MakeRouteFault(FaultKind::kRouteMove, 7000, 13000), restore};
}

/** @return Names of the violated rules, sorted and separated by spaces. */
std::string ViolatedRules(const WorldResult& result) {
  std::set<std::string> rules;
  for (const InvariantViolation& violation : result.violations)
    rules.insert(violation.rule);
  std::string text;
  for (const std::string& rule : rules)
    text += (text.empty() ? "" : " ") + rule;
  return text;
}

double EarnedShareOf(const Experiment& experiment, const WorldResult& result) {
  return emulate::Summarize(experiment, {}, result).earned_share;
}

/** Runs the load for 12 s while packet decisions are altered. @return Names of
 * the violated rules. */
std::string RulesViolatedWith(const emulate::DecisionMutator& decision_mutator,
                              const std::vector<FaultPlan>& faults = {}) {
  Experiment experiment = FaultFreeExperiment(Milliseconds(12000));
  experiment.faults = faults;
  World world(experiment, {});
  world.SetDecisionMutator(decision_mutator);
  return ViolatedRules(world.Run());
}

}  // namespace

TEST_GROUP(Emulated){};

/** Without faults no flow is reset and almost all of the requests' value is
 * earned. */
TEST(Emulated, FaultFreeLoadIsServedCompletely) {
  const Experiment experiment = FaultFreeExperiment();
  const WorldResult result = World(experiment, {}).Run();
  STRCMP_EQUAL("", ViolatedRules(result).c_str());
  CHECK(EarnedShareOf(experiment, result) > kMinEarnedShare);
  LONGS_EQUAL(0, result.resets);
}

/** Each balancer places flows by what it sees itself. Without faults that has
 * to cost little compared with a single queue in front of all slots. */
TEST(Emulated, PlacementIsCloseToASingleQueue) {
  const Experiment experiment = FaultFreeExperiment();
  const WorldResult result = World(experiment, {}).Run();
  const emulate::RunReport report = emulate::Summarize(experiment, {}, result);
  CHECK(report.single_queue_earned_share >= report.earned_share);
  CHECK(report.earned_share >
        kMinEarnedShare * report.single_queue_earned_share);
}

/** Two requests arrive together at a single slot; the second one waits until
 * the first one ends. */
TEST(Emulated, SingleQueueServesInOrderOfArrival) {
  Experiment experiment = FaultFreeExperiment();
  experiment.data_centres = {"a"};
  experiment.services[0].backends = 1;
  experiment.services[0].slots = 1;
  WorldResult result;
  result.load_started_at = TimePoint(Seconds(10));
  emulate::RequestRecord request;
  request.issued_at = TimePoint(Seconds(11));
  request.work = Milliseconds(30);
  result.requests = {request, request};
  const std::vector<emulate::RequestRecord> ended =
      emulate::SimulateSingleQueue(experiment, result);
  CHECK(ended[1].ended_at - ended[0].ended_at == Milliseconds(30));
}

/** A failing run must be reproducible. */
TEST(Emulated, SameExperimentGivesTheSameRequests) {
  const Experiment experiment = FaultFreeExperiment(Milliseconds(3000));
  CHECK(World(experiment, {}).Run().requests ==
        World(experiment, {}).Run().requests);
}

TEST(Emulated, RoughEveningExperimentViolatesNoInvariant) {
  Experiment experiment = LoadExperiment("etc/experiments/rough-evening.ini");
  for (experiment.seed = 1; experiment.seed <= 3; ++experiment.seed)
    STRCMP_EQUAL("", ViolatedRules(World(experiment, {}).Run()).c_str());
}

/** A rolling release of backend servers and a graceful stop of balancers, each
 * by itself: no flow breaks and almost all of the requests' value is earned. */
TEST(Emulated, PlannedChangesBreakNoFlow) {
  for (const FaultPlan& fault :
       {MakeFault(FaultKind::kRollingRelease, 1000, 4000, 8),
        MakeFault(FaultKind::kBalancerStop, 1000, 1000, 2)}) {
    Experiment experiment = FaultFreeExperiment(Milliseconds(12000));
    experiment.faults = {fault};
    const WorldResult result = World(experiment, {}).Run();
    STRCMP_EQUAL("", ViolatedRules(result).c_str());
    CHECK(EarnedShareOf(experiment, result) > kMinEarnedShare);
  }
}

/** Late answers cause health checks while the listener is closed already. */
TEST(Emulated, StoppingServerThatRefusesConnectionsLosesNoFlow) {
  Experiment experiment = IdleAndLateExperiment(Milliseconds(20000));
  experiment.faults = {MakeFault(FaultKind::kRollingRelease, 7000, 4000, 8)};
  for (experiment.seed = 1; experiment.seed <= 3; ++experiment.seed)
    STRCMP_EQUAL("", ViolatedRules(World(experiment, {}).Run()).c_str());
}

TEST(Emulated, PacketLossAloneResetsNoFlow) {
  Experiment experiment = FaultFreeExperiment();
  experiment.loss_share = 0.02;
  const WorldResult result = World(experiment, {}).Run();
  STRCMP_EQUAL("", ViolatedRules(result).c_str());
  LONGS_EQUAL(0, result.resets);
}

/** Backend servers that miss a lease renewal disappear from the VM list for 300
 * ms although they are alive. */
TEST(Emulated, ExpiredListEntriesOfLiveServersBreakNoFlow) {
  Experiment experiment = FaultFreeExperiment(Milliseconds(10000));
  experiment.faults = {MakeFault(FaultKind::kListEntryExpiry, 2000, 300, 12)};
  const WorldResult result = World(experiment, {}).Run();
  STRCMP_EQUAL("", ViolatedRules(result).c_str());
  CHECK(EarnedShareOf(experiment, result) > kMinEarnedShare);
}

/** Two backend servers fall silent at 3 s. Only the windows from 3 s to 4 s may
 * lose value. */
TEST(Emulated, SilentServerIsAvoidedAfterDetection) {
  Experiment experiment = FaultFreeExperiment(Milliseconds(12000));
  experiment.faults = {
      MakeFault(FaultKind::kBackendUnresponsive, 3000, 6000, 2)};
  const WorldResult result = World(experiment, {}).Run();
  STRCMP_EQUAL("", ViolatedRules(result).c_str());
  const emulate::RunReport report = emulate::Summarize(experiment, {}, result);
  for (const emulate::WindowReport& window : report.windows) {
    if (window.from_s < 3 || window.from_s > 4)
      CHECK(window.earned_share > 0.97);
  }
}

TEST(Emulated, RestoredStoreBreaksNoFlowAndNoConfiguration) {
  Experiment experiment = FaultFreeExperiment(Milliseconds(24000));
  experiment.faults = ReleaseAroundRestore();
  for (experiment.seed = 1; experiment.seed <= 3; ++experiment.seed)
    STRCMP_EQUAL("", ViolatedRules(World(experiment, {}).Run()).c_str());
}

TEST(Emulated, StoppingServerThatRestoredListCallsLiveLosesNoFlow) {
  Experiment experiment = IdleAndLateExperiment(Milliseconds(24000));
  experiment.faults = ReleaseAroundRestore();
  for (experiment.seed = 1; experiment.seed <= 3; ++experiment.seed)
    STRCMP_EQUAL("", ViolatedRules(World(experiment, {}).Run()).c_str());
}

TEST(Emulated, EachInvariantCheckDetectsItsViolation) {
  STRCMP_EQUAL(
      "flow", RulesViolatedWith([](const ModelPacket& packet,
                                   PacketAction& action, RandomEngine& random) {
                if (!packet.opens && random() % 200 == 0)
                  action.type = PacketActionType::kReset;
              }).c_str());
  const std::string wrong_service = RulesViolatedWith(
      [&](const ModelPacket& packet, PacketAction& action, RandomEngine&) {
        static const Endpoint kFirst{0xc6120001, 443};
        static VmId other;
        if (packet.key.service != kFirst && packet.opens)
          other = action.backend;
        if (packet.key.service == kFirst && packet.opens && other != VmId{}) {
          action.backend = other;
          action.tag = FlowTag{1};
        } else if (packet.key.service == kFirst && packet.tag == FlowTag{1}) {
          action = {PacketActionType::kForward, {}, other, FlowTag{1}};
        }
      });
  CHECK_CONTAINS("route", wrong_service);
  const std::string uses_drained = RulesViolatedWith(
      [](const ModelPacket& packet, PacketAction& action, RandomEngine&) {
        static VmId only_backend;
        if (!packet.opens || action.type != PacketActionType::kForward)
          return;
        if (only_backend == VmId{})
          only_backend = action.backend;
        action.backend = only_backend;
      },
      {MakeFault(FaultKind::kRollingRelease, 500, 500, 100)});
  CHECK_CONTAINS("drain", uses_drained);
}

TEST(Emulated, AlteredPacketIsDetected) {
  STRCMP_EQUAL("unasked",
               RulesViolatedWith([](ModelPacket& packet, PacketAction&,
                                    RandomEngine& random) {
                 if (!packet.payload.empty() && random() % 500 == 0)
                   packet.payload.insert(packet.payload.rfind(' '), "9");
               }).c_str());
}

/** Happens, for example, if one buffer of a batch is used for two packets. */
TEST(Emulated, AnswerToAnotherRequestIsDetected) {
  std::string last;
  const std::string rules = RulesViolatedWith(
      [&last](ModelPacket& packet, PacketAction&, RandomEngine& random) {
        if (packet.payload.empty())
          return;
        if (packet.payload.size() == last.size() && random() % 100 == 0)
          packet.payload = last;
        last = packet.payload;
      });
  CHECK_CONTAINS("mixed", rules);
  CHECK_CONTAINS("unasked", rules);
}

TEST(Emulated, RouteMovesAndRemovalsViolateNoInvariant) {
  Experiment experiment = FaultFreeExperiment(Milliseconds(20000));
  experiment.faults = {MakeRouteFault(FaultKind::kRouteMove, 3000, 6000),
                       MakeFault(FaultKind::kBalancerKill, 6000, 1500),
                       MakeFault(FaultKind::kBalancerPause, 8500, 1500),
                       MakeRouteFault(FaultKind::kRouteRemoval, 12000, 5000)};
  for (experiment.seed = 1; experiment.seed <= 3; ++experiment.seed)
    STRCMP_EQUAL("", ViolatedRules(World(experiment, {}).Run()).c_str());
}

/** New flows still go to the backend server that they went to before the route
 * moved. */
TEST(Emulated, IgnoredRouteMoveIsDetected) {
  VmId old_backend;
  const std::string rules = RulesViolatedWith(
      [&old_backend](const ModelPacket& packet, PacketAction& action,
                     RandomEngine&) {
        if (packet.key.service.ip != kProofsIp || !packet.opens ||
            action.type != PacketActionType::kForward)
          return;
        if (old_backend == VmId{})
          old_backend = action.backend;
        action.backend = old_backend;
      },
      {MakeRouteFault(FaultKind::kRouteMove, 1000, 9000)});
  STRCMP_EQUAL("config", rules.c_str());
}

/** One worker of a balancer has the new configuration; another one sometimes
 * still uses the old one. */
TEST(Emulated, ReturnToOlderConfigurationIsDetected) {
  VmId old_backend;
  const std::string rules = RulesViolatedWith(
      [&old_backend](const ModelPacket& packet, PacketAction& action,
                     RandomEngine& random) {
        if (packet.key.service.ip != kProofsIp || !packet.opens ||
            action.type != PacketActionType::kForward)
          return;
        if (old_backend == VmId{})
          old_backend = action.backend;
        if (random() % 10 == 0)
          action.backend = old_backend;
      },
      {MakeRouteFault(FaultKind::kRouteMove, 1000, 3500)});
  STRCMP_EQUAL("config", rules.c_str());
}

/** A worker returns to the older configuration that a restored store has. */
TEST(Emulated, ReturnToRestoredConfigurationIsDetected) {
  VmId old_backend;
  FaultPlan restore = MakeFault(FaultKind::kStoreRestored, 4000, 1000);
  restore.factor = 4;
  const std::string rules = RulesViolatedWith(
      [&old_backend](const ModelPacket& packet, PacketAction& action,
                     RandomEngine& random) {
        if (packet.key.service.ip != kProofsIp || !packet.opens ||
            action.type != PacketActionType::kForward)
          return;
        if (old_backend == VmId{})
          old_backend = action.backend;
        if (random() % 10 == 0)
          action.backend = old_backend;
      },
      {MakeRouteFault(FaultKind::kRouteMove, 1000, 11000), restore});
  STRCMP_EQUAL("config", rules.c_str());
}

/** Opening packets are reset although the service has a route. */
TEST(Emulated, RefusalDespiteRouteIsDetected) {
  const std::string rules = RulesViolatedWith(
      [](const ModelPacket& packet, PacketAction& action, RandomEngine&) {
        if (packet.opens && packet.key.service.ip == kProofsIp)
          action.type = PacketActionType::kReset;
      });
  STRCMP_EQUAL("config", rules.c_str());
}

/** All packets are dropped until the end of the run. */
TEST(Emulated, MissingRecoveryIsDetected) {
  Experiment experiment = FaultFreeExperiment(Milliseconds(16000));
  World world(experiment, {});
  world.SetDecisionMutator(
      [](const ModelPacket&, PacketAction& action, RandomEngine&) {
        action.type = PacketActionType::kDrop;
      });
  STRCMP_EQUAL("recover", ViolatedRules(world.Run()).c_str());
}

TEST(Emulated, InvalidExperimentReportsAllProblems) {
  const emulate::ParsedExperiment check = emulate::ParseExperiment(
      "e",
      "[fleet]\nbalancers = 0\n[service desk]\n[work a]\nservice = "
      "files\n[fault f]\nkind = flood\nat_ms = 1\ndata_centre = x\n[fault "
      "g]\nkind = "
      "route_drop\nat_ms = 1\nwork = y\n");
  const std::string problems = FormatProblems(check.problems);
  CHECK_CONTAINS("key=balancers", problems);
  CHECK_CONTAINS("key=service", problems);
  CHECK_CONTAINS("key=kind", problems);
  CHECK_CONTAINS("key=data_centre", problems);
  CHECK_CONTAINS("key=work", problems);
}

TEST(Emulated, ReportsAreWrittenAsTextJsonAndHtml) {
  const Experiment experiment = FaultFreeExperiment(Milliseconds(2000));
  const std::vector<emulate::RunReport> reports = {
      emulate::Summarize(experiment, {}, World(experiment, {}).Run())};
  CHECK_CONTAINS("figure=worth variant=present", FormatText(reports));
  CHECK_CONTAINS("\"worst_window\"", FormatJson(reports));
  CHECK_CONTAINS("<svg", FormatHtml(experiment, reports));
}
