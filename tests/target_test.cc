/** @file target_test.cc Targets beside measurements, merged over balancers. */

#include "shell/target_func.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

/** Status of a balancer whose edits ended so. */
Json::Value Status(const char* data_centre, int fast, int slow, int unknown) {
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

TEST(Targets, AreMergedForTheFleetAndEachDataCentre) {
  const std::vector<TargetReport> lines = CompareTargets(
      {Status("a", 100, 0, 0), Status("a", 99, 1, 0), Status("b", 50, 0, 50)});
  LONGS_EQUAL(3, lines.size());
  STRCMP_EQUAL("all", lines[0].data_centre.c_str());
  LONGS_EQUAL(300, lines[0].requests);
  LONGS_EQUAL(249, lines[0].answered_in_time);
  CHECK(!lines[0].MeetsTarget());
  STRCMP_EQUAL("a", lines[1].data_centre.c_str());
  CHECK(lines[1].MeetsTarget());
  STRCMP_EQUAL("none", lines[1].MissCause().c_str());
  STRCMP_EQUAL("outcome_unknown", lines[2].MissCause().c_str());
}

TEST(Targets, ThatAreMissedByLateAnswersSaySo) {
  const std::vector<TargetReport> lines =
      CompareTargets({Status("a", 90, 9, 1)});
  DOUBLES_EQUAL(90, lines[0].AnsweredInTimePercent(), 1e-9);
  STRCMP_EQUAL("late_answers", lines[0].MissCause().c_str());
  STRCMP_EQUAL(
      "class=edits data_centre=all answered_within_ms=1000 target_percent=99 "
      "measured_percent=90 requests=100 met=no cause=late_answers",
      FormatTarget(lines[0]).c_str());
}

TEST(Targets, ShowHowUnevenlyFlowsAreSpread) {
  Json::Value status = Status("a", 100, 0, 0);
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
  const TargetReport line = CompareTargets({status, status})[0];
  // 30 flows a slot beside a mean of 20, at each of two balancers.
  DOUBLES_EQUAL(50, *line.imbalance, 1e-9);
  STRCMP_EQUAL("imbalance", line.MissCause().c_str());
  CHECK_CONTAINS("imbalance_percent=50 imbalance_limit=25 met=no",
                 FormatTarget(line));
  status["opaque_backends"][1]["flows"] = 15;
  CHECK(CompareTargets({status, status})[0].MeetsTarget());
}

TEST(Targets, OfFewFlowsSayNothingOfTheirSpread) {
  Json::Value status = Status("a", 100, 0, 0);
  status["targets"][0]["service"] = 7;
  Json::Value backend;
  backend["vm"] = 1;
  backend["service"] = 7;
  backend["flows"] = 3;
  status["opaque_backends"].append(backend);
  CHECK(!CompareTargets({status})[0].imbalance.has_value());
}

TEST(Targets, WithoutRequestsAreMet) {
  CHECK(CompareTargets({Status("a", 0, 0, 0)})[0].MeetsTarget());
}
