/** @file watcher_base.h Watches the platform's store and passes the documents
 * that it contains to the balancer. */

#ifndef CUMINVANE_SHELL_WATCHER_BASE_H_
#define CUMINVANE_SHELL_WATCHER_BASE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

#include "base/result_type.h"
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
  /** Reports that the documents passed last were up to date at `at`. */
  std::function<void(TimePoint at)> confirm_documents;
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
  void PublishChanges();
  void OfferDocument(DocumentKind kind,
                     const platform::Translation& translation);
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
  bool reachable = true;     ///< Whether the last call to the store succeeded.
  Milliseconds retry_delay;  ///< Wait after the next failed call; doubles
                             ///< with each failure.
  platform::Translation published_config;  ///< Configuration passed last.
  /** VM list passed last, with version 0 in place of its own. */
  platform::Translation published_vms;
};

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_WATCHER_BASE_H_
