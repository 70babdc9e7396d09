/** @file watcher_base.h Follows the platform's store and offers its documents
 * to the balancer. */

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

/** What the watcher asks of the process around it; called from its thread. */
struct WatcherHooks {
  /** Whether this balancer should watch now. */
  std::function<bool()> should_watch;
  /** Takes a document. */
  std::function<Result<void>(DocumentKind kind, const std::string& text)>
      apply_document;
  /** The documents offered last were the newest ones at that time. */
  std::function<void(TimePoint at)> confirm_documents;
};

/** Reads all items once, then waits for changes; begins again where the store
 * has forgotten what came between. */
class StoreWatcher {
 public:
  /**
   * @param settings Address and times of the platform.
   * @param hooks Must be callable until Run returns.
   * @param stop Ends Run when it becomes true; must outlive this.
   */
  StoreWatcher(const Settings& settings,
               WatcherHooks hooks,
               const std::atomic<bool>& stop);

  /** Follows the store until it is told to stop. */
  void Run();

 private:
  void RunOnce();
  Result<void> ReadAllItems();
  Result<void> WaitForChanges();
  void ApplyChange(const platform::StoreItem& item);
  void PublishChanges();
  void OfferDocument(DocumentKind kind,
                     const platform::Translation& translation);
  void OnFailure(const Error& error);
  void OnSuccess(TimePoint at);
  void Sleep(Milliseconds time) const;

  PlatformTiming timing;
  WatcherHooks hooks;
  const std::atomic<bool>& stop;
  platform::StoreClient client;
  platform::StoreItems items;
  uint64_t revision = 0;  ///< Of the store when it held exactly `items`.
  bool complete = false;  ///< `items` are all there are.
  bool dirty = false;     ///< `items` have changed since they were published.
  TimePoint read_at;      ///< When `items` were the newest.
  bool reachable = true;
  Milliseconds retry;
  platform::Translation config;  ///< As offered last.
  platform::Translation vms;     ///< The same, without the version.
};

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_WATCHER_BASE_H_
