/** @file file_store_base.cc Implementation of the items of the stand-in store.
 */

#include "standin/file_store_base.h"

#include <microhttpd.h>
#include <sodium.h>

#include <fstream>
#include <utility>

#include "base/schema_func.h"
#include "platform/json_func.h"
#include "shell/clock_func.h"
#include "shell/program_func.h"

namespace cuminvane {
namespace {

/** Maximum number of items in the answer to one range read. */
constexpr size_t kMaxPageItems = 500;
/** Age at which the entry of a backend server expires: three heartbeat
 * intervals of a stand-in backend server. */
constexpr Milliseconds kEntryLifetime{1200};
/** Suffix of files that are written and then renamed; they are not items. */
constexpr const char* kTemporarySuffix = ".new";
/** Suffix of the project's documents; their keys don't have it. */
constexpr const char* kDocumentSuffix = ".ini";
/** Key prefix of the entries of backend servers. */
constexpr const char* kServerKeyPrefix = "servers/";
/** File with the number of the era. */
constexpr const char* kEraFile = "/store-era";

/** @return Whether both values are the same, or are entries of a backend server
 * that differ only in the number of the heartbeat. Such an entry is not changed
 * in the store. */
bool IsUnchanged(const std::string& key,
                 const std::string& before,
                 const std::string& after) {
  if (before == after)
    return true;
  if (!key.starts_with(kServerKeyPrefix))
    return false;
  std::optional<Json::Value> old_entry = platform::ParseObject(before);
  std::optional<Json::Value> new_entry = platform::ParseObject(after);
  if (!old_entry || !new_entry)
    return false;
  old_entry->removeMember("seq");
  new_entry->removeMember("seq");
  return *old_entry == *new_entry;
}

Json::Value ItemToJson(const std::string& key, const FileItem& item) {
  Json::Value json;
  json["key"] = key;
  json["revision"] = static_cast<Json::UInt64>(item.revision);
  if (item.removed) {
    json["removed"] = true;
    return json;
  }
  std::string text(sodium_base64_encoded_len(item.value.size(),
                                             sodium_base64_VARIANT_ORIGINAL),
                   '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(item.value.data()),
                    item.value.size(), sodium_base64_VARIANT_ORIGINAL);
  json["value"] = text.c_str();
  json["create_revision"] = json["revision"];
  json["lease"] = 0;
  return json;
}

}  // namespace

FileStore::FileStore(std::string directory)
    : directory(std::move(directory)),
      revision(static_cast<uint64_t>(std::chrono::duration_cast<Milliseconds>(
                                         ReadClock().time_since_epoch())
                                         .count())) {
  if (const Result<std::string> text = ReadFile(this->directory + kEraFile))
    this->era = ParseNumber<uint64_t>(text.value()).value_or(1);
}

void FileStore::Refresh(TimePoint now) {
  const std::lock_guard lock(this->mutex);
  if (now >= this->back_at)
    this->EndRestore(now);
  if (this->back_at != kNever || now < this->scans_from)
    return;
  std::map<std::string, std::string> files;
  if (!this->ReadFiles(files))
    return;
  const uint64_t revision_before = this->revision;
  for (auto& [key, item] : this->items) {
    if (!item.removed && !files.contains(key))
      item = {"", ++this->revision, true};
  }
  for (const auto& [key, value] : files) {
    FileItem& item = this->items[key];
    if (item.revision == 0 || item.removed ||
        !IsUnchanged(key, item.value, value))
      item = {value, ++this->revision, false};
  }
  if (this->revision != revision_before || this->copies.empty())
    this->KeepCopy(now);
}

void FileStore::BeginRestore(TimePoint now) {
  const std::lock_guard lock(this->mutex);
  if (this->back_at != kNever)
    return;
  this->copy_from = now - kRestoredCopyAge;
  this->back_at = now + kRestoreOutage;
}

FileStoreReply FileStore::ReadPage(const std::string& prefix,
                                   const std::string& after) const {
  const std::lock_guard lock(this->mutex);
  if (this->back_at != kNever)
    return {MHD_HTTP_SERVICE_UNAVAILABLE, this->era, {}};
  Json::Value page;
  page["items"] = Json::Value(Json::arrayValue);
  page["has_more"] = false;
  for (const auto& [key, item] : this->items) {
    if (item.removed || key <= after || !key.starts_with(prefix))
      continue;
    if (page["items"].size() == kMaxPageItems) {
      page["has_more"] = true;
      break;
    }
    page["items"].append(ItemToJson(key, item));
  }
  page["current_rev"] = static_cast<Json::UInt64>(this->revision);
  return {MHD_HTTP_OK, this->era, page};
}

FileStoreReply FileStore::ReadChanges(const std::string& prefix,
                                      uint64_t after) const {
  const std::lock_guard lock(this->mutex);
  if (this->back_at != kNever)
    return {MHD_HTTP_SERVICE_UNAVAILABLE, this->era, {}};
  Json::Value changes;
  changes["current_rev"] = static_cast<Json::UInt64>(this->revision);
  if (after > this->revision)
    return {MHD_HTTP_GONE, this->era, changes};
  changes["events"] = Json::Value(Json::arrayValue);
  for (const auto& [key, item] : this->items) {
    if (item.revision > after && key.starts_with(prefix))
      changes["events"].append(ItemToJson(key, item));
  }
  return {MHD_HTTP_OK, this->era, changes};
}

void FileStore::ReadFileEntry(const std::filesystem::directory_entry& entry,
                              std::map<std::string, std::string>& files) const {
  std::error_code failure;
  if (!entry.is_regular_file(failure))
    return;
  std::string key = entry.path().lexically_relative(this->directory).string();
  if (key.ends_with(kTemporarySuffix) ||
      (key.starts_with(kServerKeyPrefix) && IsExpired(entry)))
    return;
  const bool is_document = key == "config.ini" || key == "vms.ini";
  if (!is_document && key.find('/') == std::string::npos)
    return;
  if (is_document)
    key.resize(key.size() - std::string_view(kDocumentSuffix).size());
  if (const Result<std::string> text = ReadFile(entry.path().string()))
    files[key] = text.value();
}

bool FileStore::ReadFiles(std::map<std::string, std::string>& files) const {
  std::error_code failure;
  std::filesystem::recursive_directory_iterator entry(this->directory, failure);
  while (!failure && entry != std::filesystem::end(entry)) {
    this->ReadFileEntry(*entry, files);
    entry.increment(failure);
  }
  return !failure;
}

bool FileStore::IsExpired(const std::filesystem::directory_entry& entry) {
  std::error_code failure;
  const auto written = entry.last_write_time(failure);
  return !failure && written + kEntryLifetime <
                         std::filesystem::file_time_type::clock::now();
}

void FileStore::EndRestore(TimePoint now) {
  while (this->copies.size() > 1 && this->copies.back().at > this->copy_from)
    this->copies.pop_back();
  if (!this->copies.empty()) {
    this->items = this->copies.back().items;
    this->revision = this->copies.back().revision;
  }
  ++this->era;
  std::ofstream(this->directory + kEraFile) << this->era;
  this->back_at = kNever;
  this->scans_from = now + kRestoredCopyLifetime;
  this->KeepCopy(now);
}

void FileStore::KeepCopy(TimePoint now) {
  this->copies.push_back({now, this->items, this->revision});
  while (this->copies.size() > 1 &&
         this->copies[1].at <= now - kRestoredCopyAge)
    this->copies.pop_front();
}

}  // namespace cuminvane
