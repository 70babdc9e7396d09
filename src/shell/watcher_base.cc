/** @file watcher_base.cc Implementation of the store watcher. */

#include "shell/watcher_base.h"

#include <algorithm>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "shell/clock_func.h"
#include "shell/guard_func.h"
#include "shell/log_func.h"

namespace cuminvane {
namespace {

/** A watch call waits for changes for at most `in_force_within` /
 * kWatchWaitDivisor. The call fails if no byte arrives within a further
 * `in_force_within` / kMaxDelayDivisor; pauses and retry delays are limited to
 * the same time. A silent connection is therefore detected and a second call
 * answered within `in_force_within`, the time in which a change must be active.
 */
constexpr int kWatchWaitDivisor = 3;
constexpr int kMaxDelayDivisor = 4;
/** Interval at which a balancer that does not watch the store checks whether it
 * should. */
constexpr Milliseconds kIdlePollInterval{100};
/** Maximum number of lines about ignored items at once. */
constexpr size_t kMaxProblemLines = 16;
/** Version of lists of VMs that are compared. */
constexpr uint64_t kComparedVersion = 1;

/** @return The position as key=value pairs. */
std::string FormatPosition(const platform::StorePosition& position) {
  return "era=" + std::to_string(position.era) +
         " revision=" + std::to_string(position.revision);
}

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
      retry_delay(settings.platform_timing.retry) {}

void StoreWatcher::Run() {
  while (!this->stop) {
    if (!this->hooks.should_watch()) {
      this->Sleep(kIdlePollInterval);
    } else if (!RunGuarded("watcher", [this] { this->RunOnce(); })) {
      // The replica may be damaged, so everything is read again.
      this->items_complete = false;
      this->Sleep(this->retry_delay);
    }
  }
}

void StoreWatcher::RunOnce() {
  const Result<void> result =
      this->items_complete ? this->WaitForChanges() : this->ReadAllItems();
  if (this->stop)
    return;
  if (!result) {
    this->OnFailure(result.error());
    return;
  }
  if (!this->items_complete)
    return;
  const bool has_changes = std::exchange(this->items_changed, false);
  if (has_changes)
    this->TranslateItems();
  // Both documents are offered, whatever becomes of the first one.
  const bool config_is_current = this->BringIntoForce(DocumentKind::kConfig, 0);
  const bool vms_are_current = this->BringIntoForce(
      DocumentKind::kVmList, platform::VmListVersion(this->position));
  if (config_is_current && vms_are_current)
    this->hooks.confirm_documents(this->items_current_at);
  if (has_changes)
    this->Sleep(std::min(this->timing.read_pause,
                         this->timing.in_force_within / kMaxDelayDivisor));
}

Result<void> StoreWatcher::ReadAllItems() {
  platform::StoreItems new_items;
  std::string last_key;
  std::optional<platform::StorePosition> first_position;
  bool has_more = true;
  const TimePoint started_at = ReadClock();
  while (has_more) {
    BOOST_OUTCOME_TRY(page, this->client.ReadPage(last_key));
    if (!first_position)
      first_position = page.position;
    if (page.position.era != first_position->era)
      return Error{ResultCode::kPlatformUnreachable,
                   "the store was restored while its items were read: expected "
                   "era " +
                       std::to_string(first_position->era) + ", found " +
                       std::to_string(page.position.era)};
    for (platform::StoreItem& item : page.items) {
      last_key = item.key;
      new_items[item.key] = std::move(item.value);
    }
    has_more = page.has_more && !page.items.empty();
  }
  // The watch starts at the first page's revision, so it reports changes made
  // while the other pages were read.
  this->items = std::move(new_items);
  this->position = *first_position;
  this->items_complete = true;
  this->items_changed = true;
  this->OnSuccess(started_at);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> StoreWatcher::WaitForChanges() {
  BOOST_OUTCOME_TRY(answer, this->client.Watch(this->position.revision,
                                               this->timing.in_force_within /
                                                   kWatchWaitDivisor));
  if (answer.compacted) {
    LogConfigLine(Severity::kInfo, "event=platform_history_lost " +
                                       FormatPosition(this->position));
    this->items_complete = false;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  if (!this->ContinuesHistory(answer.position)) {
    this->items_complete = false;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  for (const platform::StoreItem& item : answer.items)
    this->ApplyChange(item);
  this->position = answer.position;
  this->OnSuccess(ReadClock());
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

bool StoreWatcher::ContinuesHistory(const platform::StorePosition& answered) {
  const bool restored = answered.era != this->position.era;
  if (!restored && answered.revision >= this->position.revision)
    return true;
  LogConfigLine(restored ? Severity::kWarning : Severity::kError,
                std::string("event=") +
                    (restored ? "platform_restored" : "platform_went_back") +
                    " " + FormatPosition(this->position) +
                    " found_era=" + std::to_string(answered.era) +
                    " found_revision=" + std::to_string(answered.revision));
  return false;
}

void StoreWatcher::ApplyChange(const platform::StoreItem& item) {
  if (item.removed)
    this->items.erase(item.key);
  else
    this->items[item.key] = item.value;
  this->items_changed = true;
}

void StoreWatcher::TranslateItems() {
  this->Update(DocumentKind::kConfig,
               platform::TranslateConfig(this->items, [this] {
                 return this->hooks.active_sections(DocumentKind::kConfig);
               }));
  // Many revisions don't change the list of VMs, so it is compared with the
  // same version.
  this->Update(DocumentKind::kVmList,
               platform::TranslateVmList(this->items, kComparedVersion));
}

void StoreWatcher::Update(DocumentKind kind,
                          platform::Translation translation) {
  TranslatedDocument& document =
      kind == DocumentKind::kConfig ? this->config : this->vms;
  if (translation == document.translation)
    return;
  std::vector<std::string> known = std::move(document.translation.problems);
  std::ranges::sort(known);
  size_t lines = 0;
  for (const std::string& problem : translation.problems) {
    if (!std::ranges::binary_search(known, problem) &&
        ++lines <= kMaxProblemLines)
      LogLine(Topic::kInput, Severity::kWarning,
              std::string("event=item_ignored document=") + ToString(kind) +
                  " " + problem);
  }
  if (lines > kMaxProblemLines)
    LogLine(Topic::kInput, Severity::kWarning,
            std::string("event=items_ignored document=") + ToString(kind) +
                " count=" + std::to_string(lines));
  this->hooks.report_ignored(kind, translation.problems.size());
  document = {std::move(translation), std::nullopt};
}

bool StoreWatcher::BringIntoForce(DocumentKind kind, uint64_t version) {
  const bool is_config = kind == DocumentKind::kConfig;
  TranslatedDocument& document = is_config ? this->config : this->vms;
  // Without a text the store has no such document, or one that can't be used.
  if (document.translation.text.empty())
    return document.translation.problems.empty();
  const DocumentStamp in_force = this->hooks.active_stamp(kind);
  const std::optional<Comparison>& last = document.compared;
  if (last && last->in_force == in_force &&
      (last->same_content || last->version == version))
    return last->is_current;
  // The version of a configuration is the operator's; that of a list says only
  // when it was read.
  if (!is_config && this->hooks.has_content(kind, document.translation.text)) {
    document.compared = {version, in_force, true, true};
    return true;
  }
  const Result<void> accepted = this->hooks.apply_document(
      kind, is_config ? document.translation.text
                      : platform::TranslateVmList(this->items, version).text);
  // A document that is refused as stale is older than the one in force, which
  // another balancer has read later.
  const bool is_stale =
      !accepted && accepted.error().code == ResultCode::kStaleDocument;
  if (!accepted && !is_stale && !last)
    LogConfigLine(Severity::kError,
                  std::string("event=document_refused document=") +
                      ToString(kind) +
                      " code=" + ToString(accepted.error().code) +
                      " problems=\"" + accepted.error().message + "\"");
  // An accepted list may have been replaced already, so the next call compares
  // it. A configuration is replaced by newer ones only.
  if (!accepted)
    document.compared = {version, in_force, false, is_stale};
  else if (is_config)
    document.compared = {version, this->hooks.active_stamp(kind), true, true};
  return accepted.has_value() || is_stale;
}

void StoreWatcher::OnFailure(const Error& error) {
  if (std::exchange(this->reachable, false))
    LogConfigLine(Severity::kWarning, std::string("event=platform_lost code=") +
                                          ToString(error.code) + " reason=\"" +
                                          error.message + "\" " +
                                          FormatPosition(this->position));
  this->Sleep(this->retry_delay);
  this->retry_delay = std::min(this->retry_delay * 2,
                               this->timing.in_force_within / kMaxDelayDivisor);
}

void StoreWatcher::OnSuccess(TimePoint at) {
  if (!std::exchange(this->reachable, true))
    LogConfigLine(Severity::kInfo,
                  "event=platform_regained " + FormatPosition(this->position));
  this->retry_delay = this->timing.retry;
  this->items_current_at = at;
}

void StoreWatcher::Sleep(Milliseconds time) const {
  std::this_thread::sleep_for(time);
}

}  // namespace cuminvane
