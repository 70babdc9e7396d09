/** @file watcher_base.cc Following the platform's store. */

#include "shell/watcher_base.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "shell/clock_func.h"
#include "shell/log_func.h"

namespace cuminvane {
namespace {

/** Parts of the time to be in force that a wait and a failed call may take: a
 * silent connection is noticed, and a second call answered, within it. */
constexpr int kWatchWaitDivisor = 3;
constexpr int kMaxDelayDivisor = 4;
/** Sleep of a balancer that does not watch, before it looks again whether it
 * should. */
constexpr Milliseconds kIdlePollInterval{100};

void LogConfigLine(Severity severity, const std::string& pairs) {
  LogLine(Topic::kConfig, severity, pairs);
}

}  // namespace

StoreWatcher::StoreWatcher(const Settings& settings,
                           WatcherHooks hooks,
                           const std::atomic<bool>& stop)
    : timing(settings.platform_timing),
      hooks(std::move(hooks)),
      stop(stop),
      client(settings.platform,
             settings.platform_timing.in_force_within / kMaxDelayDivisor,
             stop),
      retry(settings.platform_timing.retry) {}

void StoreWatcher::Run() {
  while (!this->stop) {
    if (this->hooks.should_watch())
      this->RunOnce();
    else
      this->Sleep(kIdlePollInterval);
  }
}

void StoreWatcher::RunOnce() {
  const Result<void> done =
      this->complete ? this->WaitForChanges() : this->ReadAllItems();
  if (this->stop)
    return;
  if (!done) {
    this->OnFailure(done.error());
    return;
  }
  const bool publishes = std::exchange(this->dirty, false);
  if (publishes)
    this->PublishChanges();
  // What was read is in force by now.
  this->hooks.confirm_documents(this->read_at);
  if (publishes)
    this->Sleep(std::min(this->timing.read_pause,
                         this->timing.in_force_within / kMaxDelayDivisor));
}

Result<void> StoreWatcher::ReadAllItems() {
  platform::StoreItems read;
  std::string last;
  uint64_t first_revision = 0;
  bool has_more = true;
  const TimePoint begun = ReadClock();
  while (has_more) {
    BOOST_OUTCOME_TRY(page, this->client.ReadPage(last));
    if (first_revision == 0)
      first_revision = page.revision;
    for (platform::StoreItem& item : page.items) {
      last = item.key;
      read[item.key] = std::move(item.value);
    }
    has_more = page.has_more && !page.items.empty();
  }
  // Changes between two pages come again with the first watch.
  this->items = std::move(read);
  this->revision = first_revision;
  this->complete = true;
  this->dirty = true;
  this->OnSuccess(begun);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> StoreWatcher::WaitForChanges() {
  BOOST_OUTCOME_TRY(
      answer, this->client.Watch(this->revision, this->timing.in_force_within /
                                                     kWatchWaitDivisor));
  if (answer.compacted) {
    LogConfigLine(Severity::kInfo, "event=platform_history_lost revision=" +
                                       std::to_string(this->revision));
    this->complete = false;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  if (answer.revision < this->revision) {
    LogConfigLine(
        Severity::kError,
        "event=platform_went_back revision=" + std::to_string(this->revision) +
            " found=" + std::to_string(answer.revision));
    this->complete = false;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  for (const platform::StoreItem& item : answer.items)
    this->ApplyChange(item);
  this->revision = std::max(this->revision, answer.revision);
  this->OnSuccess(ReadClock());
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void StoreWatcher::ApplyChange(const platform::StoreItem& item) {
  if (item.removed)
    this->items.erase(item.key);
  else
    this->items[item.key] = item.value;
  this->dirty = true;
}

void StoreWatcher::PublishChanges() {
  const platform::Translation next_config =
      platform::TranslateConfig(this->items);
  if (next_config != this->config)
    this->OfferDocument(DocumentKind::kConfig, next_config);
  this->config = next_config;
  // Many revisions change nothing that the list tells.
  const platform::Translation next_vms =
      platform::TranslateVmList(this->items, 0);
  if (next_vms != this->vms)
    this->OfferDocument(DocumentKind::kVmList,
                        platform::TranslateVmList(this->items, this->revision));
  this->vms = next_vms;
}

void StoreWatcher::OfferDocument(DocumentKind kind,
                                 const platform::Translation& translation) {
  for (const std::string& problem : translation.problems)
    LogLine(Topic::kInput, Severity::kWarning,
            "event=item_ignored reason=\"" + problem + "\"");
  if (translation.text.empty())
    return;
  const Result<void> taken = this->hooks.apply_document(kind, translation.text);
  if (!taken && taken.error().code != ResultCode::kStaleDocument)
    LogConfigLine(Severity::kError,
                  std::string("event=document_refused document=") +
                      ToString(kind) + " code=" + ToString(taken.error().code) +
                      " problems=\"" + taken.error().message + "\"");
}

void StoreWatcher::OnFailure(const Error& error) {
  if (std::exchange(this->reachable, false))
    LogConfigLine(Severity::kWarning,
                  std::string("event=platform_lost code=") +
                      ToString(error.code) + " reason=\"" + error.message +
                      "\" revision=" + std::to_string(this->revision));
  this->Sleep(this->retry);
  this->retry = std::min(this->retry * 2,
                         this->timing.in_force_within / kMaxDelayDivisor);
}

void StoreWatcher::OnSuccess(TimePoint at) {
  if (!std::exchange(this->reachable, true))
    LogConfigLine(Severity::kInfo, "event=platform_regained revision=" +
                                       std::to_string(this->revision));
  this->retry = this->timing.retry;
  this->read_at = at;
}

void StoreWatcher::Sleep(Milliseconds time) const {
  std::this_thread::sleep_for(time);
}

}  // namespace cuminvane
