/** @file watcher_base.h Watches the platform's store and passes the documents
 * that it contains to the balancer. */

#ifndef CUMINVANE_SHELL_WATCHER_BASE_H_
#define CUMINVANE_SHELL_WATCHER_BASE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/result_type.h"
#include "document/document_func.h"
#include "document/document_type.h"
#include "document/settings_type.h"
#include "platform/record_func.h"
#include "platform/store_base.h"

namespace cuminvane {

/** Callbacks of a store watcher; called from the watcher's thread. */
struct WatcherHooks {
  /** @return Whether this process should watch the store now. */
  std::function<bool()> should_watch;
  /** Passes a document to the balancer. @return Its error if it is refused. */
  std::function<Result<void>(DocumentKind kind, const std::string& text)>
      apply_document;
  /** @return Stamp of the document in force; DocumentStamp{} if none. */
  std::function<DocumentStamp(DocumentKind kind)> active_stamp;
  /** @return Whether the document in force has the content of the text,
   * whatever its version. */
  std::function<bool(DocumentKind kind, const std::string& text)> has_content;
  /** @return Sections of the document in force; none if there is none. */
  std::function<SectionTexts(DocumentKind kind)> active_sections;
  /** Reports how many items of a document are not used as they stand. */
  std::function<void(DocumentKind kind, size_t items)> report_ignored;
  /** Reports that the documents in force were up to date at `at`. */
  std::function<void(TimePoint at)> confirm_documents;
};

/** Result of comparing a document with the one in force. */
struct Comparison {
  uint64_t version = 0;       ///< Version that it would have been offered with.
  DocumentStamp in_force;     ///< Stamp of the document in force.
  bool same_content = false;  ///< Whether that one has the same content.
  bool is_current = false;    ///< Whether that one is as current.

  bool operator==(const Comparison&) const = default;
};

/** A document translated from the items of the store. */
struct TranslatedDocument {
  platform::Translation translation;
  /** Last comparison with the document in force; no value if there was none. */
  std::optional<Comparison> compared;

  bool operator==(const TranslatedDocument&) const = default;
};

/** Reads all items of the store once, then waits for changes. Reads all items
 * again if the store no longer has the history since the last known revision,
 * if it was restored from an older copy, or if its revision went back. */
class StoreWatcher {
 public:
  /**
   * @param settings Contains the store's address and the watch's timing.
   * @param hooks Callbacks; must be callable until Run returns.
   * @param stop Ends Run when it becomes true; must outlive the watcher.
   */
  StoreWatcher(const Settings& settings,
               WatcherHooks hooks,
               const std::atomic<bool>& stop);

  /** Watches the store until `stop` becomes true. */
  void Run();

 private:
  void RunOnce();
  Result<void> ReadAllItems();
  Result<void> WaitForChanges();
  void ApplyChange(const platform::StoreItem& item);
  /** Translates `items` into documents. */
  void TranslateItems();
  /** Takes a translation of `items` and logs what is new among its problems. */
  void Update(DocumentKind kind, platform::Translation translation);
  /**
   * Offers a document to the balancer unless it is in force already. Another
   * balancer may have brought a document into force that was read from the
   * store at another time, so what counts is the document in force, not the one
   * offered last.
   * @param version Version of the document if it is offered.
   * @return Whether the document in force is as current as `items`.
   */
  bool BringIntoForce(DocumentKind kind, uint64_t version);
  /** @return Whether the answer continues the history that `items` come from.
   * If not, all items are read again. */
  bool ContinuesHistory(const platform::StorePosition& answered);
  void OnFailure(const Error& error);
  void OnSuccess(TimePoint at);
  void Sleep(Milliseconds time) const;

  PlatformTiming timing;
  WatcherHooks hooks;
  const std::atomic<bool>& stop;
  platform::StoreClient client;
  platform::StoreItems items;        ///< Local replica of the store's items.
  platform::StorePosition position;  ///< Position that `items` match.
  bool items_complete = false;  ///< Whether `items` contain all items; false
                                ///< makes the next cycle read them all.
  bool items_changed = false;   ///< `items` changed since the last publication.
  TimePoint items_current_at;   ///< Last time `items` were known to be current.
  bool reachable = true;      ///< Whether the last call to the store succeeded.
  Milliseconds retry_delay;   ///< Wait after the next failed call; doubles
                              ///< with each failure.
  TranslatedDocument config;  ///< Configuration in `items`.
  /** List of VMs in `items`, with the same version whatever its own. */
  TranslatedDocument vms;
};

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_WATCHER_BASE_H_
