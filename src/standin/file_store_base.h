/** @file file_store_base.h The items of the stand-in store, read from a
 * directory, with restores from an older copy. */

#ifndef CUMINVANE_STANDIN_FILE_STORE_BASE_H_
#define CUMINVANE_STANDIN_FILE_STORE_BASE_H_

#include <json/json.h>

#include <deque>
#include <filesystem>
#include <map>
#include <mutex>
#include <string>

#include "base/time_type.h"

namespace cuminvane {

/** Time that the store answers nothing before it comes back from a copy. */
inline constexpr Milliseconds kRestoreOutage{1000};
/** Age of the copy when the restore begins. */
inline constexpr Milliseconds kRestoredCopyAge{5000};
/** Time after a restore in which the directory is not read, so that the old
 * copy can be seen. */
inline constexpr Milliseconds kRestoredCopyLifetime{1000};

/** The last known state of an item, or a tombstone. */
struct FileItem {
  std::string value;      ///< Content of the file; empty if removed.
  uint64_t revision = 0;  ///< Revision of the store at the last change; 0 if
                          ///< the item is new.
  bool removed = false;   ///< Whether this is a tombstone.

  bool operator==(const FileItem&) const = default;
};

/** An answer of the store. */
struct FileStoreReply {
  unsigned status = 0;  ///< HTTP status: 200; 410 if a watch starts at a
                        ///< revision that the store doesn't have; 503 while the
                        ///< store is away.
  uint64_t era = 0;     ///< Number of restores before the answer, plus 1.
  Json::Value body;
};

/** The items of the store, read from a directory. The key of an item is the
 * path of its file relative to the directory. Thread-safe. */
class FileStore {
 public:
  /** The era is kept in a file of the directory, so that a restart doesn't
   * lower it. */
  explicit FileStore(std::string directory);

  /** Ends a restore that is due. Reads the directory, unless a restore prevents
   * it, and gives each changed, new or removed item a new revision. */
  void Refresh(TimePoint now);
  /** The store is away for kRestoreOutage, then comes back as it was
   * kRestoredCopyAge before `now`, or as it was first if it is younger. Does
   * nothing while the store is away. */
  void BeginRestore(TimePoint now);

  /**
   * Reads one page of items.
   *
   * @param prefix Prefix of the keys to read.
   * @param after Only keys greater than this one are read; empty to start.
   * @return The answer to /kv-range.
   */
  FileStoreReply ReadPage(const std::string& prefix,
                          const std::string& after) const;
  /**
   * Reads changed items, with tombstones.
   *
   * @param prefix Prefix of the keys to read.
   * @param after Only changes with a greater revision are read.
   * @return The answer to /kv-watch.
   */
  FileStoreReply ReadChanges(const std::string& prefix, uint64_t after) const;

  /** @return Whether the entry of a backend server has expired: it has not been
   * written for three heartbeat intervals of a stand-in backend server. */
  static bool IsExpired(const std::filesystem::directory_entry& entry);

 private:
  /** What a restore brings back. */
  struct Copy {
    TimePoint at;  ///< When the store became like this.
    std::map<std::string, FileItem> items;
    uint64_t revision = 0;
  };

  /** Adds the file to `files` if it is an item. Items are the project's
   * documents (config.ini and vms.ini) and all files in subdirectories except
   * temporary files and expired server entries. Other files at the top level,
   * such as records and settings of a run, are not items. */
  void ReadFileEntry(const std::filesystem::directory_entry& entry,
                     std::map<std::string, std::string>& files) const;
  /** Reads the directory. @return Whether the scan was complete; files may be
   * removed during it. */
  bool ReadFiles(std::map<std::string, std::string>& files) const;
  /** Takes the newest copy that is old enough, and begins the next era. */
  void EndRestore(TimePoint now);
  /** Keeps a copy, and drops those that no restore needs any more. */
  void KeepCopy(TimePoint now);

  std::string directory;
  mutable std::mutex mutex;
  std::map<std::string, FileItem> items;
  std::deque<Copy> copies;  ///< Oldest first.
  /** Revision of the last change. Starts at the Unix time in milliseconds, so
   * that it also grows across a restart. */
  uint64_t revision = 0;
  uint64_t era = 1;            ///< Number of restores, plus 1.
  TimePoint back_at = kNever;  ///< End of the outage; kNever unless away.
  TimePoint copy_from;         ///< Time that a running restore goes back to.
  TimePoint scans_from;        ///< Until then the directory is not read.
};

}  // namespace cuminvane

#endif  // CUMINVANE_STANDIN_FILE_STORE_BASE_H_
