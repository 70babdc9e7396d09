/** @file document_monitor_base.h What operators should know of a balancer's
 * documents: items that were left out, and how old the documents in force are.
 */

#ifndef CUMINVANE_SHELL_DOCUMENT_MONITOR_BASE_H_
#define CUMINVANE_SHELL_DOCUMENT_MONITOR_BASE_H_

#include <array>
#include <atomic>
#include <optional>
#include <string>

#include "base/time_type.h"
#include "document/document_type.h"
#include "member/evidence_type.h"

namespace cuminvane {

/** Counts items that were left out of documents and notices documents that are
 * no longer confirmed as the newest ones. The counts are thread-safe. */
class DocumentMonitor {
 public:
  /** Sets how many items of the store are not used as they stand. */
  void SetIgnoredItems(DocumentKind kind, size_t count) {
    this->ignored_items.at(static_cast<size_t>(kind)) = count;
  }

  /** @return The line to log, as key=value pairs, if the documents were
   * confirmed in time before and are not now, or the other way round. */
  std::optional<std::string> OnEvidence(const SelfEvidence& evidence,
                                        TimePoint now);

  /** @return The metrics as text. */
  std::string FormatMetrics(const SelfEvidence& evidence, TimePoint now) const;

 private:
  std::array<std::atomic<size_t>, 2> ignored_items{};  ///< By DocumentKind.
  bool was_fresh = false;  ///< Whether the documents were confirmed in time.
};

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_DOCUMENT_MONITOR_BASE_H_
