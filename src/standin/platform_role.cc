/** @file platform_role.cc The role `platform`: a stand-in for the key-value
 * store of the platform. It serves the files of a directory as items, which can
 * be read and watched by long polling over HTTP. */

#include <json/json.h>
#include <microhttpd.h>
#include <sodium.h>

#include <asio.hpp>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/endpoint_type.h"
#include "base/schema_func.h"
#include "base/time_type.h"
#include "shell/clock_func.h"
#include "shell/http_func.h"
#include "shell/program_func.h"
#include "shell/socket_base.h"
#include "shell/status_func.h"
#include "standin/role_func.h"

namespace cuminvane {
namespace {

/** Interval of scans of the directory and of checks for watched changes. */
constexpr Milliseconds kPollInterval{20};
/** Upper bound of `wait_ms` of a watch. */
constexpr int64_t kMaxWaitMs = 30000;
constexpr unsigned kMaxConnections = 512;
/** Maximum number of items in the answer to one range read. */
constexpr size_t kMaxPageItems = 500;
/** Age at which the entry of a backend server expires: three heartbeat
 * intervals of a stand-in backend server. */
constexpr Milliseconds kEntryLifetime{1200};
/** Suffix of files that are written and then renamed; they are not items. */
constexpr const char* kTemporarySuffix = ".new";
/** Suffix of the project's documents; their keys don't have it. */
constexpr const char* kDocumentSuffix = ".ini";

/** The last known state of an item, or a tombstone. */
struct FileItem {
  std::string value;      ///< Content of the file; empty if removed.
  uint64_t revision = 0;  ///< Revision of the store at the last change; 0 if
                          ///< the item is new.
  bool removed = false;   ///< Whether this is a tombstone.

  bool operator==(const FileItem&) const = default;
};

/** The items of the store, read from a directory. The key of an item is the
 * path of its file relative to the directory. Thread-safe. */
class FileStore {
 public:
  explicit FileStore(std::string directory) : directory(std::move(directory)) {}

  /** Reads the directory and gives each changed, new or removed item a new
   * revision. */
  void Refresh() {
    const std::lock_guard lock(this->mutex);
    std::map<std::string, std::string> files;
    std::error_code failure;
    std::filesystem::recursive_directory_iterator entry(this->directory,
                                                        failure);
    // Files may be removed during the scan. A failed scan is discarded; the
    // next one sees the removal.
    while (!failure && entry != std::filesystem::end(entry)) {
      this->ReadFileEntry(*entry, files);
      entry.increment(failure);
    }
    if (failure)
      return;
    for (auto& [key, item] : this->items) {
      if (!item.removed && !files.contains(key))
        item = {"", ++this->revision, true};
    }
    for (const auto& [key, value] : files) {
      FileItem& item = this->items[key];
      if (item.revision == 0 || item.removed || item.value != value)
        item = {value, ++this->revision, false};
    }
  }

  /**
   * Reads up to kMaxPageItems items.
   *
   * @param prefix Prefix of the keys to read.
   * @param after Only keys greater than this one are read; empty to start.
   * @return The answer to /kv-range.
   */
  Json::Value ReadPage(const std::string& prefix,
                       const std::string& after) const {
    const std::lock_guard lock(this->mutex);
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
      page["items"].append(ToJson(key, item));
    }
    page["current_rev"] = static_cast<Json::UInt64>(this->revision);
    return page;
  }

  /**
   * Reads changed items, with tombstones.
   *
   * @param prefix Prefix of the keys to read.
   * @param after Only changes with a greater revision are read.
   * @return The answer to /kv-watch.
   */
  Json::Value ReadChanges(const std::string& prefix, uint64_t after) const {
    const std::lock_guard lock(this->mutex);
    Json::Value changes;
    changes["events"] = Json::Value(Json::arrayValue);
    for (const auto& [key, item] : this->items) {
      if (item.revision > after && key.starts_with(prefix))
        changes["events"].append(ToJson(key, item));
    }
    changes["current_rev"] = static_cast<Json::UInt64>(this->revision);
    return changes;
  }

 private:
  /** Adds the file to `files` if it is an item. Items are the project's
   * documents (config.ini and vms.ini) and all files in subdirectories except
   * temporary files and expired server entries. Other files at the top level,
   * such as records and settings of a run, are not items. */
  void ReadFileEntry(const std::filesystem::directory_entry& entry,
                     std::map<std::string, std::string>& files) const {
    std::error_code failure;
    if (!entry.is_regular_file(failure))
      return;
    std::string key = entry.path().lexically_relative(this->directory).string();
    if (key.ends_with(kTemporarySuffix) ||
        (key.starts_with("servers/") && IsExpired(entry)))
      return;
    const bool is_document = key == "config.ini" || key == "vms.ini";
    if (!is_document && key.find('/') == std::string::npos)
      return;
    if (is_document)
      key.resize(key.size() - std::string_view(kDocumentSuffix).size());
    if (const Result<std::string> text = ReadFile(entry.path().string()))
      files[key] = text.value();
  }

  /** @return Whether a backend server has not written its entry for
   * kEntryLifetime. */
  static bool IsExpired(const std::filesystem::directory_entry& entry) {
    std::error_code failure;
    const auto written = entry.last_write_time(failure);
    return !failure && written + kEntryLifetime <
                           std::filesystem::file_time_type::clock::now();
  }

  static Json::Value ToJson(const std::string& key, const FileItem& item) {
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

  std::string directory;
  mutable std::mutex mutex;
  std::map<std::string, FileItem> items;
  /** Revision of the last change. Starts at the Unix time in milliseconds, so
   * that it also grows across a restart. */
  uint64_t revision = static_cast<uint64_t>(
      std::chrono::duration_cast<Milliseconds>(ReadClock().time_since_epoch())
          .count());
};

/** State shared by the threads of the HTTP handlers and the scan. */
struct PlatformState {
  explicit PlatformState(const std::string& directory) : store(directory) {}

  FileStore store;
  std::atomic<bool> stopping = false;  ///< Ends waiting watches and the scan.
  std::atomic<uint64_t> http_requests = 0;  ///< Number received.
};

/** @return The query argument; empty if it is missing. */
std::string QueryArgument(MHD_Connection* connection, const char* name) {
  const char* const text =
      MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
  return text == nullptr ? "" : text;
}

MHD_Result ReplyJson(MHD_Connection* connection,
                     unsigned status,
                     const Json::Value& json) {
  return ReplyText(connection, status, WriteJson(json), "application/json");
}

/** Waits in the thread of the connection until an item has changed, `wait` has
 * passed or the process stops. */
Json::Value WaitForChanges(const PlatformState& state,
                           const std::string& prefix,
                           uint64_t after,
                           Milliseconds wait) {
  const auto wait_until = std::chrono::steady_clock::now() + wait;
  Json::Value changes = state.store.ReadChanges(prefix, after);
  while (changes["events"].empty() && !state.stopping &&
         std::chrono::steady_clock::now() < wait_until) {
    std::this_thread::sleep_for(kPollInterval);
    changes = state.store.ReadChanges(prefix, after);
  }
  return changes;
}

MHD_Result OnHttpRequest(void* user,
                         MHD_Connection* connection,
                         const char* url,
                         const char* /*method*/,
                         const char* /*version*/,
                         const char* /*upload*/,
                         size_t* /*upload_size*/,
                         void** /*connection_state*/) {
  auto& state = *static_cast<PlatformState*>(user);
  ++state.http_requests;
  const std::string prefix = QueryArgument(connection, "prefix");
  const std::string after = QueryArgument(connection, "after");
  if (std::string_view(url) == "/kv-range")
    return ReplyJson(connection, MHD_HTTP_OK,
                     state.store.ReadPage(prefix, after));
  if (std::string_view(url) != "/kv-watch")
    return ReplyJson(connection, MHD_HTTP_NOT_FOUND, Json::Value());
  const int64_t wait_ms =
      ParseNumber<int64_t>(QueryArgument(connection, "wait_ms")).value_or(0);
  return ReplyJson(
      connection, MHD_HTTP_OK,
      WaitForChanges(
          state, prefix, ParseNumber<uint64_t>(after).value_or(0),
          Milliseconds(std::clamp<int64_t>(wait_ms, 0, kMaxWaitMs))));
}

}  // namespace

ResultCode RunPlatform(const cxxopts::ParseResult& options) {
  const std::optional<Endpoint> listen =
      ParseEndpoint(options["listen"].as<std::string>());
  if (!listen)
    return ReportError(
        {ResultCode::kUsage, "--listen must be an address A.B.C.D:PORT"});
  PlatformState state(options["dir"].as<std::string>());
  state.store.Refresh();
  const sockaddr_in address = ToSockaddr(*listen);
  MHD_Daemon* const server = MHD_start_daemon(
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
      listen->port, nullptr, nullptr, OnHttpRequest, &state,
      MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT,
      kMaxConnections, MHD_OPTION_END);
  if (server == nullptr)
    return ReportError(
        {ResultCode::kSocketFailure, "can't listen on " + ToString(*listen)});
  std::thread refresher([&state] {
    while (!state.stopping) {
      state.store.Refresh();
      std::this_thread::sleep_for(kPollInterval);
    }
  });
  asio::io_context context;
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([](const asio::error_code&, int) {});
  context.run();
  state.stopping = true;
  refresher.join();
  MHD_stop_daemon(server);
  std::cout << "reads=" << state.http_requests << "\n";
  return ResultCode::kOk;
}

}  // namespace cuminvane
