/** @file history_test.cc Generated fault schedules keep the promises, and each
 * checker notices a broken one. */

#include "tests/history_check.h"
#include "tests/schedule_gen.h"
#include "tests/schedule_run.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

using Kind = HistoryEvent::Kind;

HistoryEvent At(int second,
                Kind kind,
                const std::string& tag,
                uint32_t vm = 0,
                uint64_t version = 0) {
  HistoryEvent event;
  event.at = TimePoint(Seconds(second));
  event.kind = kind;
  event.tag = tag;
  event.vm = vm;
  event.version = version;
  return event;
}

HistoryEvent Whole(HistoryEvent event) {
  event.whole = true;
  return event;
}

/** Checks that a history breaks one promise and no other. */
void CheckBreaks(const char* promise, const History& history) {
  const std::vector<Violation> violations = CheckHistory(history);
  CHECK(!violations.empty());
  for (const Violation& violation : violations)
    STRCMP_EQUAL(promise, violation.promise.c_str());
}

}  // namespace

TEST_GROUP(Histories){};

TEST(Histories, AScheduleReadsAsItWasWritten) {
  std::mt19937_64 random(4);
  for (int round = 0; round < 20; ++round) {
    const Schedule schedule = DrawSchedule(random);
    CHECK(ParseSchedule(FormatSchedule(schedule)) == schedule);
  }
}

TEST(Histories, ARunIsTheSameEachTime) {
  std::mt19937_64 random(5);
  const Schedule schedule = DrawSchedule(random);
  CHECK(RunSchedule(schedule) == RunSchedule(schedule));
}

TEST(Histories, ASoundHistoryBreaksNothing) {
  const History history = {At(1, Kind::kConfigOffered, "", 0, 1),
                           At(1, Kind::kConfigInForce, "", 1, 1),
                           At(2, Kind::kInvoke, "a"),
                           At(2, Kind::kAccepted, "a", 101),
                           At(2, Kind::kStarted, "a", 101),
                           Whole(At(3, Kind::kAnswered, "a"))};
  LONGS_EQUAL(0, CheckHistory(history).size());
}

/** A starter heard one peer, which had the older configuration, and served
 * before the answer of the one that had the newer. */
TEST(Histories, AStarterHearsAllPeersBeforeItServes) {
  const Schedule schedule = ParseSchedule(
      "207326240590674368,4,0,29;10,371,677;4,840,533;10,665,560;4,877,219;"
      "5,466,478;3,729,967;1,1107,875;0,1015,812;8,572,122;10,74,515");
  LONGS_EQUAL(0, CheckHistory(RunSchedule(schedule)).size());
}

TEST(Histories, EachCheckerNoticesItsPromiseBroken) {
  CheckBreaks("flows_survive", {At(1, Kind::kFlowBroken, "flow 1")});
  CheckBreaks("services_apart", {At(1, Kind::kWrongService, "a")});
  CheckBreaks("whole_answers",
              {At(1, Kind::kInvoke, "a"), At(2, Kind::kAnswered, "a")});
  CheckBreaks("whole_answers", {At(1, Kind::kInvoke, "a")});
  CheckBreaks("whole_answers",
              {At(1, Kind::kInvoke, "a"), Whole(At(2, Kind::kAnswered, "a")),
               At(3, Kind::kUnknown, "a")});
  CheckBreaks("not_run_is_true",
              {At(1, Kind::kInvoke, "a"), At(2, Kind::kNotRun, "a"),
               At(3, Kind::kStarted, "a", 101)});
  CheckBreaks("at_most_once",
              {At(1, Kind::kInvoke, "a"), At(2, Kind::kStarted, "a", 101),
               At(2, Kind::kStarted, "a", 102), At(3, Kind::kUnknown, "a")});
  CheckBreaks("no_new_work", {At(1, Kind::kDrainBegun, "", 101),
                              At(5, Kind::kAccepted, "a", 101)});
  CheckBreaks("stops_cut_nothing",
              {At(1, Kind::kOnlyPlanned, ""), At(1, Kind::kInvoke, "a"),
               At(2, Kind::kUnknown, "a")});
  CheckBreaks("configuration", {At(1, Kind::kConfigInForce, "", 1, 2),
                                At(2, Kind::kConfigInForce, "", 1, 1)});
  CheckBreaks(
      "configuration",
      {At(1, Kind::kConfigInForce, "", 1, 1),
       At(2, Kind::kConfigOffered, "", 0, 2), At(3, Kind::kFaultsOver, ""),
       At(9, Kind::kInvoke, "a"), Whole(At(9, Kind::kAnswered, "a"))});
}
