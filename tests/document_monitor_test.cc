/** @file document_monitor_test.cc Documents that stay behind are reported. */

#include "shell/document_monitor_base.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

constexpr TimePoint kNow{Seconds(1000)};

/** @param is_fresh Whether the age is within the limit. */
SelfEvidence ConfirmedAgo(Milliseconds age, bool is_fresh) {
  SelfEvidence evidence;
  evidence.documents_confirmed_at = kNow - age;
  evidence.documents_fresh = is_fresh;
  return evidence;
}

}  // namespace

TEST_GROUP(DocumentMonitor){};

/** A list that was frozen for minutes was only one line in the log. */
TEST(DocumentMonitor, DocumentsThatStayBehindAreLoggedOnce) {
  DocumentMonitor monitor;
  CHECK(!monitor.OnEvidence(SelfEvidence{}, kNow));
  STRCMP_EQUAL("event=documents_confirmed age_ms=100",
               monitor.OnEvidence(ConfirmedAgo(Milliseconds(100), true), kNow)
                   .value_or("")
                   .c_str());
  const SelfEvidence behind = ConfirmedAgo(Milliseconds(4100), false);
  STRCMP_EQUAL("event=documents_unconfirmed age_ms=4100",
               monitor.OnEvidence(behind, kNow).value_or("").c_str());
  CHECK(!monitor.OnEvidence(behind, kNow));
  CHECK_CONTAINS("cuminvane_documents_age_ms 4100\n",
                 monitor.FormatMetrics(behind, kNow));
}

TEST(DocumentMonitor, IgnoredItemsAreCounted) {
  DocumentMonitor monitor;
  monitor.SetIgnoredItems(DocumentKind::kVmList, 3);
  const std::string text = monitor.FormatMetrics(SelfEvidence{}, kNow);
  CHECK_CONTAINS("cuminvane_ignored_items{document=\"vms\"} 3\n", text);
  CHECK_CONTAINS("cuminvane_ignored_items{document=\"config\"} 0\n", text);
}
