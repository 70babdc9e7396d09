/** @file document_monitor_base.cc Implementation of the document monitor. */

#include "shell/document_monitor_base.h"

#include <utility>

namespace cuminvane {
namespace {

/** @return Milliseconds since the documents were confirmed. */
std::string FormatAge(const SelfEvidence& evidence, TimePoint now) {
  const auto age = std::chrono::duration_cast<Milliseconds>(
      now - evidence.documents_confirmed_at);
  return std::to_string(age.count());
}

}  // namespace

std::optional<std::string> DocumentMonitor::OnEvidence(
    const SelfEvidence& evidence,
    TimePoint now) {
  if (evidence.documents_confirmed_at == TimePoint{} ||
      evidence.documents_fresh == this->was_fresh)
    return std::nullopt;
  this->was_fresh = evidence.documents_fresh;
  return std::string("event=") +
         (this->was_fresh ? "documents_confirmed" : "documents_unconfirmed") +
         " age_ms=" + FormatAge(evidence, now);
}

std::string DocumentMonitor::FormatMetrics(const SelfEvidence& evidence,
                                           TimePoint now) const {
  std::string text;
  for (const DocumentKind kind :
       {DocumentKind::kConfig, DocumentKind::kVmList}) {
    const size_t count = this->ignored_items.at(static_cast<size_t>(kind));
    text += std::string("cuminvane_ignored_items{document=\"") +
            ToString(kind) + "\"} " + std::to_string(count) + "\n";
  }
  if (evidence.documents_confirmed_at != TimePoint{})
    text += "cuminvane_documents_age_ms " + FormatAge(evidence, now) + "\n";
  return text;
}

}  // namespace cuminvane
