/** @file file_store_test.cc The stand-in store goes back to an older copy. Time
 * is a parameter. */

#include "standin/file_store_base.h"

#include <unistd.h>

#include <fstream>

#include "shell/clock_func.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

/** A store of an empty directory, which is removed at the end. */
struct StoreFixture {
  StoreFixture() {
    std::filesystem::remove_all(this->directory);
    std::filesystem::create_directories(this->directory + "/op");
    std::filesystem::create_directories(this->directory + "/servers");
  }
  ~StoreFixture() { std::filesystem::remove_all(this->directory); }

  void Write(const std::string& key, const std::string& value) const {
    std::ofstream(this->directory + "/" + key) << value;
  }
  /** Lets time pass; the store reads the directory at the end of it. */
  void Pass(Milliseconds time) {
    this->now += time;
    this->store.Refresh(this->now);
  }
  uint64_t Revision() const {
    return this->store.ReadPage("", "").body["current_rev"].asUInt64();
  }
  size_t ItemCount() const {
    return this->store.ReadPage("", "").body["items"].size();
  }

  std::string directory = (std::filesystem::temp_directory_path() /
                           ("file_store_test-" + std::to_string(getpid())))
                              .string();
  TimePoint now = ReadClock();
  FileStore store{this->directory};
};

constexpr Milliseconds kStep{20};

/** Writes an item, and a second one after the time that a copy of the first one
 * needs; then restores the store. */
void RestoreWithoutSecondItem(StoreFixture& fixture) {
  fixture.Write("op/config", "old");
  fixture.Pass(kStep);
  fixture.Pass(kRestoredCopyAge);
  fixture.Write("op/extra", "new");
  fixture.Pass(kStep);
  fixture.store.BeginRestore(fixture.now);
}

}  // namespace

TEST_GROUP(FileStore){};

TEST(FileStore, StoreIsAwayDuringARestore) {
  StoreFixture fixture;
  RestoreWithoutSecondItem(fixture);
  fixture.Pass(kRestoreOutage - kStep);
  LONGS_EQUAL(503, fixture.store.ReadPage("", "").status);
  LONGS_EQUAL(503, fixture.store.ReadChanges("", 0).status);
  fixture.Pass(kStep);
  LONGS_EQUAL(200, fixture.store.ReadPage("", "").status);
}

TEST(FileStore, RestoreLosesTheLastChangesAndBeginsAnEra) {
  StoreFixture fixture;
  RestoreWithoutSecondItem(fixture);
  LONGS_EQUAL(1, fixture.store.ReadPage("", "").era);
  fixture.Pass(kRestoreOutage);
  LONGS_EQUAL(1, fixture.ItemCount());
  LONGS_EQUAL(2, fixture.store.ReadPage("", "").era);
}

TEST(FileStore, RevisionsAreGivenOutAgainAfterARestore) {
  StoreFixture fixture;
  fixture.Write("op/config", "old");
  fixture.Pass(kStep);
  const uint64_t copied = fixture.Revision();
  fixture.Pass(kRestoredCopyAge);
  fixture.Write("op/extra", "new");
  fixture.Pass(kStep);
  LONGS_EQUAL(copied + 1, fixture.Revision());
  fixture.store.BeginRestore(fixture.now);
  fixture.Pass(kRestoreOutage);
  LONGS_EQUAL(copied, fixture.Revision());
  LONGS_EQUAL(410, fixture.store.ReadChanges("", copied + 1).status);
  LONGS_EQUAL(200, fixture.store.ReadChanges("", copied).status);
  fixture.Pass(kRestoredCopyLifetime - kStep);
  LONGS_EQUAL(1, fixture.ItemCount());
  fixture.Pass(kStep);
  LONGS_EQUAL(2, fixture.ItemCount());
  LONGS_EQUAL(copied + 1, fixture.Revision());
}

TEST(FileStore, RestartKeepsTheEra) {
  StoreFixture fixture;
  RestoreWithoutSecondItem(fixture);
  fixture.Pass(kRestoreOutage);
  LONGS_EQUAL(2, FileStore(fixture.directory).ReadPage("", "").era);
}

TEST(FileStore, HeartbeatsDontChangeAnEntry) {
  StoreFixture fixture;
  fixture.Write("servers/i-1", R"({"state":"ready","seq":1})");
  fixture.Pass(kStep);
  const uint64_t before = fixture.Revision();
  fixture.Write("servers/i-1", R"({"state":"ready","seq":2})");
  fixture.Pass(kStep);
  LONGS_EQUAL(before, fixture.Revision());
  fixture.Write("servers/i-1", R"({"state":"draining","seq":3})");
  fixture.Pass(kStep);
  LONGS_EQUAL(before + 1, fixture.Revision());
}
