/** @file explain_test.cc Explanation of a flow's fate from the log lines of the
 * balancers. */

#include "shell/explain_func.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

const char* const kLogLines =
    "time=2026-01-27T11:43:00.000001Z process=cuminvaned.1 topic=process "
    "severity=info event=started vm=1\n"
    "time=2026-01-27T11:43:05.000000Z process=cuminvaned.1 topic=flow "
    "severity=info event=flow_placed flow=77 vm=9 caller=100.64.0.7:1025 "
    "service=198.18.0.1:443 reason=near\n"
    "time=2026-01-27T11:43:06.500000Z process=cuminvaned.2 topic=config "
    "severity=warning event=platform_lost code=platform_unreachable\n"
    "time=2026-01-27T11:43:07.546144Z process=cuminvaned.1 topic=reach "
    "severity=warning event=unreachable vm=9 flows=28 age_ms=117 "
    "reason=check_silent\n"
    "time=2026-01-27T11:43:07.546158Z process=cuminvaned.1 topic=flow "
    "severity=warning event=flows_reset vm=9 flows=22 reason=backend_lost\n"
    "time=2026-01-27T11:43:08.000000Z process=cuminvaned.1 topic=flow "
    "severity=info event=flow_placed flow=78 vm=10 caller=100.64.0.7:1026 "
    "service=198.18.0.1:443 reason=near\n";

}  // namespace

TEST_GROUP(Explained){};

/** The flow can be named by its id or by its caller's endpoint. The lines that
 * concern it are its placement, the loss of VM 9 and the reset of that VM's
 * flows. */
TEST(Explained, ResetFlowIsExplainedByLostBackendServer) {
  for (const char* const id : {"77", "100.64.0.7:1025"}) {
    const Explanation explanation = ExplainFlow(kLogLines, id);
    LONGS_EQUAL(3, explanation.lines.size());
    CHECK_CONTAINS("was lost", explanation.cause);
  }
}

/** Flow 78 was placed at another backend server after the loss. */
TEST(Explained, FlowWithoutFaultIsReportedAsSuch) {
  const Explanation explanation = ExplainFlow(kLogLines, "78");
  LONGS_EQUAL(1, explanation.lines.size());
  CHECK_CONTAINS("nothing went wrong", explanation.cause);
}

TEST(Explained, UnknownFlowHasNoExplanation) {
  STRCMP_EQUAL("", ExplainFlow(kLogLines, "79").cause.c_str());
}
