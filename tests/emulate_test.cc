/** @file emulate_test.cc The promises on opaque flows hold in an emulated fleet
 * under faults, and each check notices a broken decision. */

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
using emulate::ModelPacket;
using emulate::RuleBreak;
using emulate::World;
using emulate::WorldResult;

namespace {

constexpr double kAllButFew = 0.99;

Experiment Load(const std::string& path) {
  const Result<std::string> text =
      ReadFile(std::string(CUMINVANE_SOURCE_DIR) + "/" + path);
  CHECK(text.has_value());
  const emulate::ExperimentCheck check =
      emulate::CheckExperiment(path, text.value());
  STRCMP_EQUAL("", FormatProblems(check.problems).c_str());
  return check.experiment;
}

/** The rough evening's fleet on a quiet one. */
Experiment Quiet(Milliseconds length = Milliseconds(8000)) {
  Experiment experiment = Load("etc/experiments/rough-evening.ini");
  experiment.faults.clear();
  experiment.length = length;
  return experiment;
}

FaultPlan Fault(FaultKind kind, int at_ms, int span_ms, int count = 1) {
  FaultPlan fault;
  fault.name = emulate::ToString(kind);
  fault.kind = kind;
  fault.at = Milliseconds(at_ms);
  fault.span = Milliseconds(span_ms);
  fault.count = count;
  return fault;
}

/** The third kind of work of the rough evening. */
constexpr uint32_t kProofs = 0xc6120003;

FaultPlan RouteFault(FaultKind kind, int at_ms, int span_ms) {
  FaultPlan fault = Fault(kind, at_ms, span_ms);
  fault.work = "proofs";
  fault.service = "desk";
  return fault;
}

std::string Broken(const WorldResult& result) {
  std::set<std::string> rules;
  for (const RuleBreak& broken : result.breaks)
    rules.insert(broken.rule);
  std::string text;
  for (const std::string& rule : rules)
    text += (text.empty() ? "" : " ") + rule;
  return text;
}

double WorthOf(const Experiment& experiment, const WorldResult& result) {
  return emulate::Summarize(experiment, {}, result).worth;
}

/** Runs a quiet evening with decisions that are changed. */
std::string BrokenWith(const emulate::Sabotage& sabotage,
                       const std::vector<FaultPlan>& faults = {}) {
  Experiment experiment = Quiet(Milliseconds(12000));
  experiment.faults = faults;
  World world(experiment, {});
  world.SetSabotage(sabotage);
  return Broken(world.Run());
}

}  // namespace

TEST_GROUP(Emulated){};

TEST(Emulated, AQuietEveningIsServedWhole) {
  const Experiment experiment = Quiet();
  const WorldResult result = World(experiment, {}).Run();
  STRCMP_EQUAL("", Broken(result).c_str());
  CHECK(WorthOf(experiment, result) > kAllButFew);
  LONGS_EQUAL(0, result.resets);
}

/** Without faults, placement by what each balancer sees costs little against
 * one queue before all slots. */
TEST(Emulated, PlacementIsCloseToOneQueue) {
  const Experiment experiment = Quiet();
  const WorldResult result = World(experiment, {}).Run();
  const emulate::RunReport report = emulate::Summarize(experiment, {}, result);
  CHECK(report.one_queue_worth >= report.worth);
  CHECK(report.worth > kAllButFew * report.one_queue_worth);
}

/** Two requests at once at one slot: the second waits for the first. */
TEST(Emulated, OneQueueServesInTheOrderOfArrival) {
  Experiment experiment = Quiet();
  experiment.data_centres = {"a"};
  experiment.services[0].backends = 1;
  experiment.services[0].slots = 1;
  WorldResult result;
  result.begun_at = TimePoint(Seconds(10));
  emulate::RequestRecord request;
  request.asked_at = TimePoint(Seconds(11));
  request.work = Milliseconds(30);
  result.requests = {request, request};
  const std::vector<emulate::RequestRecord> ended =
      emulate::PlayOneQueue(experiment, result);
  CHECK(ended[1].ended_at - ended[0].ended_at == Milliseconds(30));
}

TEST(Emulated, ARunIsTheSameEachTime) {
  const Experiment experiment = Quiet(Milliseconds(3000));
  CHECK(World(experiment, {}).Run().requests ==
        World(experiment, {}).Run().requests);
}

TEST(Emulated, ARoughEveningBreaksNoRule) {
  Experiment experiment = Load("etc/experiments/rough-evening.ini");
  for (experiment.seed = 1; experiment.seed <= 3; ++experiment.seed)
    STRCMP_EQUAL("", Broken(World(experiment, {}).Run()).c_str());
}

/** Each planned change alone costs next to nothing. */
TEST(Emulated, PlannedChangesCostNoFlow) {
  for (const FaultPlan& fault :
       {Fault(FaultKind::kRelease, 1000, 4000, 8),
        Fault(FaultKind::kBalancerStop, 1000, 1000, 2)}) {
    Experiment experiment = Quiet(Milliseconds(12000));
    experiment.faults = {fault};
    const WorldResult result = World(experiment, {}).Run();
    STRCMP_EQUAL("", Broken(result).c_str());
    CHECK(WorthOf(experiment, result) > kAllButFew);
  }
}

TEST(Emulated, LossOfPacketsAloneResetsNothing) {
  Experiment experiment = Quiet();
  experiment.loss = 0.02;
  const WorldResult result = World(experiment, {}).Run();
  STRCMP_EQUAL("", Broken(result).c_str());
  LONGS_EQUAL(0, result.resets);
}

TEST(Emulated, EntriesThatLapseWhileTheirServersLiveCostNoFlow) {
  Experiment experiment = Quiet(Milliseconds(10000));
  experiment.faults = {Fault(FaultKind::kListLapse, 2000, 300, 12)};
  const WorldResult result = World(experiment, {}).Run();
  STRCMP_EQUAL("", Broken(result).c_str());
  CHECK(WorthOf(experiment, result) > kAllButFew);
}

TEST(Emulated, ADarkServerIsLeftWithinHalfASecond) {
  Experiment experiment = Quiet(Milliseconds(12000));
  experiment.faults = {Fault(FaultKind::kBackendDark, 3000, 6000, 2)};
  const WorldResult result = World(experiment, {}).Run();
  STRCMP_EQUAL("", Broken(result).c_str());
  const emulate::RunReport report = emulate::Summarize(experiment, {}, result);
  for (const emulate::WindowReport& window : report.windows) {
    if (window.from_s < 3 || window.from_s > 4)
      CHECK(window.worth > 0.97);
  }
}

TEST(Emulated, EachCheckNoticesItsRuleBroken) {
  STRCMP_EQUAL("flow",
               BrokenWith([](const ModelPacket& packet, PacketAction& action,
                             RandomEngine& random) {
                 if (!packet.opens && random() % 200 == 0)
                   action.type = PacketActionType::kReset;
               }).c_str());
  const std::string wrong_service = BrokenWith(
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
  const std::string keeps_leaving = BrokenWith(
      [](const ModelPacket& packet, PacketAction& action, RandomEngine&) {
        static VmId favourite;
        if (!packet.opens || action.type != PacketActionType::kForward)
          return;
        if (favourite == VmId{})
          favourite = action.backend;
        action.backend = favourite;
      },
      {Fault(FaultKind::kRelease, 500, 500, 100)});
  CHECK_CONTAINS("drain", keeps_leaving);
}

TEST(Emulated, APacketChangedOnItsWayIsNoticed) {
  STRCMP_EQUAL(
      "unasked",
      BrokenWith([](ModelPacket& packet, PacketAction&, RandomEngine& random) {
        if (!packet.payload.empty() && random() % 500 == 0)
          packet.payload.insert(packet.payload.rfind(' '), "9");
      }).c_str());
}

/** As where a buffer of a batch is used for two packets. */
TEST(Emulated, AnAnswerToAnothersRequestIsNoticed) {
  std::string last;
  const std::string broken = BrokenWith(
      [&last](ModelPacket& packet, PacketAction&, RandomEngine& random) {
        if (packet.payload.empty())
          return;
        if (packet.payload.size() == last.size() && random() % 100 == 0)
          packet.payload = last;
        last = packet.payload;
      });
  CHECK_CONTAINS("mixed", broken);
  CHECK_CONTAINS("unasked", broken);
}

TEST(Emulated, RoutesMoveAndComeBackWithoutHarm) {
  Experiment experiment = Quiet(Milliseconds(20000));
  experiment.faults = {RouteFault(FaultKind::kRouteMove, 3000, 6000),
                       Fault(FaultKind::kBalancerKill, 6000, 1500),
                       Fault(FaultKind::kBalancerPause, 8500, 1500),
                       RouteFault(FaultKind::kRouteDrop, 12000, 5000)};
  for (experiment.seed = 1; experiment.seed <= 3; ++experiment.seed)
    STRCMP_EQUAL("", Broken(World(experiment, {}).Run()).c_str());
}

/** The service's new flows go where they went before the move. */
TEST(Emulated, AMoveThatIsNotFollowedIsNoticed) {
  VmId former;
  const std::string broken = BrokenWith(
      [&former](const ModelPacket& packet, PacketAction& action,
                RandomEngine&) {
        if (packet.key.service.ip != kProofs || !packet.opens ||
            action.type != PacketActionType::kForward)
          return;
        if (former == VmId{})
          former = action.backend;
        action.backend = former;
      },
      {RouteFault(FaultKind::kRouteMove, 1000, 9000)});
  STRCMP_EQUAL("config", broken.c_str());
}

/** One balancer's worker has followed, the other now and then has not. */
TEST(Emulated, AReturnToAnOlderConfigurationIsNoticed) {
  VmId former;
  const std::string broken = BrokenWith(
      [&former](const ModelPacket& packet, PacketAction& action,
                RandomEngine& random) {
        if (packet.key.service.ip != kProofs || !packet.opens ||
            action.type != PacketActionType::kForward)
          return;
        if (former == VmId{})
          former = action.backend;
        if (random() % 10 == 0)
          action.backend = former;
      },
      {RouteFault(FaultKind::kRouteMove, 1000, 3500)});
  STRCMP_EQUAL("config", broken.c_str());
}

TEST(Emulated, ARefusalThoughTheRouteIsThereIsNoticed) {
  const std::string broken = BrokenWith(
      [](const ModelPacket& packet, PacketAction& action, RandomEngine&) {
        if (packet.opens && packet.key.service.ip == kProofs)
          action.type = PacketActionType::kReset;
      });
  STRCMP_EQUAL("config", broken.c_str());
}

TEST(Emulated, AServiceThatDoesNotComeBackIsNoticed) {
  Experiment experiment = Quiet(Milliseconds(16000));
  World world(experiment, {});
  world.SetSabotage(
      [](const ModelPacket&, PacketAction& action, RandomEngine&) {
        action.type = PacketActionType::kDrop;
      });
  STRCMP_EQUAL("recover", Broken(world.Run()).c_str());
}

TEST(Emulated, AWrongExperimentIsToldWhole) {
  const emulate::ExperimentCheck check = emulate::CheckExperiment(
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

TEST(Emulated, ReportsComeInThreeForms) {
  const Experiment experiment = Quiet(Milliseconds(2000));
  const std::vector<emulate::RunReport> reports = {
      emulate::Summarize(experiment, {}, World(experiment, {}).Run())};
  CHECK_CONTAINS("figure=worth variant=present", FormatText(reports));
  CHECK_CONTAINS("\"worst_window\"", FormatJson(reports));
  CHECK_CONTAINS("<svg", FormatHtml(experiment, reports));
}
