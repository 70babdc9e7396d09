/** @file target_test.cc Service-level targets are compared with measurements
 * that are merged over balancers. */

#include "shell/target_func.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

/**
 * Status of a balancer with measurements of class `edits`.
 *
 * @param data_centre Data centre of the balancer.
 * @param fast Requests answered within the target of 1000 ms.
 * @param slow Requests answered later.
 * @param unknown Requests with an unknown outcome.
 */
Json::Value BalancerStatus(const char* data_centre,
                           int fast,
                           int slow,
                           int unknown) {
  Json::Value status;
  status["data_centre"] = data_centre;
  Json::Value target;
  target["class"] = "edits";
  target["answered_within_ms"] = 1000;
  target["answered_percent"] = 99;
  status["targets"].append(target);
  Json::Value& measured = status["metrics"]["classes"]["edits"];
  measured["ends"]["ok"] = fast + slow;
  measured["ends"]["outcome_unknown"] = unknown;
  measured["ends"]["moved"] = 1000;
  Json::Value bin;
  bin["upto_ms"] = 900.5;
  bin["count"] = fast;
  measured["answered_ms"].append(bin);
  bin["upto_ms"] = 1100.5;
  bin["count"] = slow;
  measured["answered_ms"].append(bin);
  return status;
}

}  // namespace

TEST_GROUP(Targets){};

TEST(Targets, TargetsAreMergedForFleetAndEachDataCentre) {
  const std::vector<TargetReport> reports = CompareTargets(
      {BalancerStatus("a", 100, 0, 0), BalancerStatus("a", 99, 1, 0),
       BalancerStatus("b", 50, 0, 50)});
  LONGS_EQUAL(3, reports.size());
  STRCMP_EQUAL("all", reports[0].data_centre.c_str());
  LONGS_EQUAL(300, reports[0].requests);
  LONGS_EQUAL(249, reports[0].answered_in_time);
  CHECK(!reports[0].MeetsTarget());
  STRCMP_EQUAL("a", reports[1].data_centre.c_str());
  CHECK(reports[1].MeetsTarget());
  STRCMP_EQUAL("none", reports[1].MissCause().c_str());
  STRCMP_EQUAL("outcome_unknown", reports[2].MissCause().c_str());
}

TEST(Targets, LateAnswersAreReportedAsMissCause) {
  const std::vector<TargetReport> reports =
      CompareTargets({BalancerStatus("a", 90, 9, 1)});
  DOUBLES_EQUAL(90, reports[0].AnsweredInTimePercent(), 1e-9);
  STRCMP_EQUAL("late_answers", reports[0].MissCause().c_str());
  STRCMP_EQUAL(
      "class=edits data_centre=all answered_within_ms=1000 target_percent=99 "
      "measured_percent=90 requests=100 met=no cause=late_answers",
      FormatTarget(reports[0]).c_str());
}

/** VM 3 belongs to another service and must not count. */
TEST(Targets, FlowImbalanceIsReported) {
  Json::Value status = BalancerStatus("a", 100, 0, 0);
  status["targets"][0]["service"] = 7;
  status["targets"][0]["imbalance_percent"] = 25;
  for (int vm = 1; vm <= 3; ++vm) {
    Json::Value backend;
    backend["vm"] = vm;
    backend["service"] = vm == 3 ? 8 : 7;
    backend["slots"] = vm == 1 ? 2 : 1;
    backend["flows"] = vm == 3 ? 500 : 30;
    status["opaque_backends"].append(backend);
  }
  const TargetReport report = CompareTargets({status, status})[0];
  // VM 2 has 30 flows per slot and the service has 20 on average, at each of
  // two balancers: an imbalance of 50 %.
  DOUBLES_EQUAL(50, *report.imbalance, 1e-9);
  STRCMP_EQUAL("imbalance", report.MissCause().c_str());
  CHECK_CONTAINS("imbalance_percent=50 imbalance_limit=25 met=no",
                 FormatTarget(report));
  status["opaque_backends"][1]["flows"] = 15;
  CHECK(CompareTargets({status, status})[0].MeetsTarget());
}

/** With three flows, one flow more or less would look like a large imbalance.
 */
TEST(Targets, ImbalanceIsNotReportedForFewFlows) {
  Json::Value status = BalancerStatus("a", 100, 0, 0);
  status["targets"][0]["service"] = 7;
  Json::Value backend;
  backend["vm"] = 1;
  backend["service"] = 7;
  backend["flows"] = 3;
  status["opaque_backends"].append(backend);
  CHECK(!CompareTargets({status})[0].imbalance.has_value());
}

/** A percentage of no requests must not count as a missed target. */
TEST(Targets, TargetIsMetWithoutRequests) {
  CHECK(CompareTargets({BalancerStatus("a", 0, 0, 0)})[0].MeetsTarget());
}
