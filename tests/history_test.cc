/** @file history_test.cc Generated fault schedules violate no guarantee, and
 * each history checker detects a violation of its guarantee. */

#include "tests/history_check.h"
#include "tests/schedule_gen.h"
#include "tests/schedule_run.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

using Kind = HistoryEvent::Kind;

/**
 * @param second Virtual time of the event, in seconds.
 * @param kind What happened.
 * @param tag Tag of the request or name of the flow; empty if none.
 * @param vm The VM that the event concerns; 0 if none.
 * @param version Configuration version; 0 if none.
 */
HistoryEvent EventAt(int second,
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

/** @return The event, marked as a complete answer. */
HistoryEvent WithCompleteAnswer(HistoryEvent event) {
  event.answer_complete = true;
  return event;
}

/** Checks that the history violates this guarantee and no other. */
void CheckViolates(const char* guarantee, const History& history) {
  const std::vector<Violation> violations = CheckHistory(history);
  CHECK(!violations.empty());
  for (const Violation& violation : violations)
    STRCMP_EQUAL(guarantee, violation.guarantee.c_str());
}

}  // namespace

TEST_GROUP(Histories){};

/** Failing schedules are reported as text and replayed from it. */
TEST(Histories, FormattedScheduleParsesBackUnchanged) {
  std::mt19937_64 random(4);
  for (int round = 0; round < 20; ++round) {
    const Schedule schedule = DrawSchedule(random);
    CHECK(ParseSchedule(FormatSchedule(schedule)) == schedule);
  }
}

/** A failing schedule must be reproducible. */
TEST(Histories, SameScheduleGivesTheSameHistory) {
  std::mt19937_64 random(5);
  const Schedule schedule = DrawSchedule(random);
  CHECK(RunSchedule(schedule) == RunSchedule(schedule));
}

TEST(Histories, ValidHistoryHasNoViolations) {
  const History history = {
      EventAt(1, Kind::kConfigPublished, "", 0, 1),
      EventAt(1, Kind::kConfigActive, "", 1, 1),
      EventAt(2, Kind::kInvoke, "a"),
      EventAt(2, Kind::kAccepted, "a", 101),
      EventAt(2, Kind::kStarted, "a", 101),
      WithCompleteAnswer(EventAt(3, Kind::kAnswered, "a"))};
  LONGS_EQUAL(0, CheckHistory(history).size());
}

/** A balancer that had just started got the older configuration from one peer
 * and served with it before the peer with the newer one had answered. */
TEST(Histories, StartingBalancerAsksAllPeersBeforeServing) {
  const Schedule schedule = ParseSchedule(
      "207326240590674368,4,0,29;10,371,677;4,840,533;10,665,560;4,877,219;"
      "5,466,478;3,729,967;1,1107,875;0,1015,812;8,572,122;10,74,515");
  LONGS_EQUAL(0, CheckHistory(RunSchedule(schedule)).size());
}

TEST(Histories, EachCheckerDetectsItsViolation) {
  CheckViolates("flows_survive", {EventAt(1, Kind::kFlowBroken, "flow 1")});
  CheckViolates("services_apart", {EventAt(1, Kind::kWrongService, "a")});
  CheckViolates("whole_answers", {EventAt(1, Kind::kInvoke, "a"),
                                  EventAt(2, Kind::kAnswered, "a")});
  CheckViolates("whole_answers", {EventAt(1, Kind::kInvoke, "a")});
  CheckViolates("whole_answers",
                {EventAt(1, Kind::kInvoke, "a"),
                 WithCompleteAnswer(EventAt(2, Kind::kAnswered, "a")),
                 EventAt(3, Kind::kOutcomeUnknown, "a")});
  CheckViolates("not_run_is_true",
                {EventAt(1, Kind::kInvoke, "a"), EventAt(2, Kind::kNotRun, "a"),
                 EventAt(3, Kind::kStarted, "a", 101)});
  CheckViolates("at_most_once", {EventAt(1, Kind::kInvoke, "a"),
                                 EventAt(2, Kind::kStarted, "a", 101),
                                 EventAt(2, Kind::kStarted, "a", 102),
                                 EventAt(3, Kind::kOutcomeUnknown, "a")});
  CheckViolates("no_new_work", {EventAt(1, Kind::kDrainStarted, "", 101),
                                EventAt(5, Kind::kAccepted, "a", 101)});
  CheckViolates("stops_cut_nothing", {EventAt(1, Kind::kPlannedChangesOnly, ""),
                                      EventAt(1, Kind::kInvoke, "a"),
                                      EventAt(2, Kind::kOutcomeUnknown, "a")});
  CheckViolates("configuration", {EventAt(1, Kind::kConfigActive, "", 1, 2),
                                  EventAt(2, Kind::kConfigActive, "", 1, 1)});
  CheckViolates(
      "configuration",
      {EventAt(1, Kind::kConfigActive, "", 1, 1),
       EventAt(2, Kind::kConfigPublished, "", 0, 2),
       EventAt(3, Kind::kFaultsEnded, ""), EventAt(9, Kind::kInvoke, "a"),
       WithCompleteAnswer(EventAt(9, Kind::kAnswered, "a"))});
}
