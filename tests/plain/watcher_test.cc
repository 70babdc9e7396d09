/** @file watcher_test.cc The watcher of the platform's store, against a fake
 * store on this machine that is restored from an older copy. */

#include <sodium.h>

#include <asio.hpp>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include "base/schema_func.h"
#include "document/document_base.h"
#include "shell/clock_func.h"
#include "shell/watcher_base.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

constexpr uint32_t kLoopback = 0x7f000001;
constexpr Milliseconds kPollInterval{2};

std::string Base64(const std::string& text) {
  std::string result(
      sodium_base64_encoded_len(text.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(result.data(), result.size(),
                    reinterpret_cast<const unsigned char*>(text.data()),
                    text.size(), sodium_base64_VARIANT_ORIGINAL);
  return result.c_str();
}

/** Entry of a backend server. */
std::string Entry(const std::string& state) {
  return R"({"service":"desk","address":"10.128.0.9:8080","zone":"a",)"
         R"("version":"v1","slots":3,"cold_remaining_ms":0,"seq":1,)"
         R"("born":1700000000000,"state":")" +
         state + "\"}";
}

/** @return A configuration that differs from others in its version only. */
std::string ConfigText(int version) {
  return "[document]\nversion = " + std::to_string(version) +
         "\n[service desk]\n[class edits]\nservice = desk\naddresses = "
         "198.18.0.1:443\nidempotent = yes\nrank = 1\n"
         "answered_within_ms = 200\n";
}

/** A store that serves one connection at a time. */
class FakeStore {
 public:
  /** One state of the store: values and revisions of the items by key; an empty
   * value is a removal. */
  struct State {
    std::map<std::string, std::pair<std::string, uint64_t>> items;
    uint64_t era = 1;
    uint64_t revision = 0;
  };

  FakeStore() : acceptor(context, {asio::ip::address_v4(kLoopback), 0}) {
    this->thread = std::thread([this] { this->Serve(); });
  }

  ~FakeStore() {
    this->stopping = true;
    asio::io_context waker;
    asio::ip::tcp::socket socket(waker);
    asio::error_code ignored;
    socket.connect(this->acceptor.local_endpoint(), ignored);
    this->thread.join();
  }

  FakeStore(const FakeStore&) = delete;
  FakeStore& operator=(const FakeStore&) = delete;

  Endpoint Address() const {
    return {kLoopback, this->acceptor.local_endpoint().port()};
  }

  /** Writes an item; an empty value removes it. */
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard hold(this->mutex);
    PutInto(this->state, key, value);
  }

  /** Writes an item that is of no interest to a balancer. */
  void PutOther(int times) {
    const std::lock_guard hold(this->mutex);
    for (int time = 0; time < times; ++time)
      PutInto(this->state, "other", std::to_string(this->state.revision));
  }

  State Copy() const {
    const std::lock_guard hold(this->mutex);
    return this->state;
  }

  /** Continues from an older copy in the next era.
   * @param later_changes Changes of other items before anyone reads. */
  void Restore(const State& copy, int later_changes) {
    const std::lock_guard hold(this->mutex);
    const uint64_t next_era = this->state.era + 1;
    this->state = copy;
    this->state.era = next_era;
    for (int time = 0; time < later_changes; ++time)
      PutInto(this->state, "other", std::to_string(time));
  }

  /** Restores the store after the next page that it answers. */
  void RestoreAfterNextPage(const State& copy) {
    const std::lock_guard hold(this->mutex);
    this->restored_after_page = copy;
  }

  size_t page_items = 100;  ///< Items of one page; set before the first read.

 private:
  static void PutInto(State& state,
                      const std::string& key,
                      const std::string& value) {
    state.items[key] = {value, ++state.revision};
  }

  void Serve() {
    while (!this->stopping) {
      asio::error_code failure;
      asio::ip::tcp::socket socket(this->context);
      this->acceptor.accept(socket, failure);
      asio::streambuf buffer;
      while (!failure && !this->stopping)
        this->ServeRequest(socket, buffer, failure);
    }
  }

  void ServeRequest(asio::ip::tcp::socket& socket,
                    asio::streambuf& buffer,
                    asio::error_code& failure) {
    const size_t bytes = asio::read_until(socket, buffer, "\r\n\r\n", failure);
    if (failure)
      return;
    const std::string request(asio::buffers_begin(buffer.data()),
                              asio::buffers_begin(buffer.data()) +
                                  static_cast<std::ptrdiff_t>(bytes));
    buffer.consume(bytes);
    const std::string answer =
        request.find("/kv-range") != std::string::npos
            ? this->AnswerPage(Argument(request, "after="))
            : this->AnswerWatch(std::stoull("0" + Argument(request, "after=")),
                                Milliseconds(std::stoll(
                                    "0" + Argument(request, "wait_ms="))));
    asio::write(socket, asio::buffer(answer), failure);
  }

  /** @return The value of a query argument; keys contain no escapes but "%2F".
   */
  static std::string Argument(const std::string& request,
                              const std::string& name) {
    const size_t at = request.find("&" + name);
    if (at == std::string::npos)
      return "";
    const size_t begin = at + 1 + name.size();
    std::string value =
        request.substr(begin, request.find_first_of("& ", begin) - begin);
    const size_t slash = value.find("%2F");
    return slash == std::string::npos ? value : value.replace(slash, 3, "/");
  }

  static std::string Http(const State& state, int status, std::string body) {
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nStore-Era: " + std::to_string(state.era) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }

  static std::string ItemJson(const std::string& key,
                              const std::pair<std::string, uint64_t>& item) {
    return R"({"key":")" + key + R"(","revision":)" +
           std::to_string(item.second) +
           (item.first.empty() ? R"(,"removed":true})"
                               : R"(,"value":")" + Base64(item.first) + "\"}");
  }

  std::string AnswerPage(const std::string& after) {
    const std::lock_guard hold(this->mutex);
    std::string items;
    size_t count = 0;
    bool has_more = false;
    for (const auto& [key, item] : this->state.items) {
      if (key <= after || item.first.empty())
        continue;
      has_more = count++ == this->page_items;
      if (has_more)
        break;
      items += (items.empty() ? "" : ",") + ItemJson(key, item);
    }
    const std::string answer =
        Http(this->state, 200,
             R"({"items":[)" + items + R"(],"has_more":)" +
                 (has_more ? "true" : "false") + R"(,"current_rev":)" +
                 std::to_string(this->state.revision) + "}");
    if (this->restored_after_page) {
      const uint64_t next_era = this->state.era + 1;
      this->state = *std::exchange(this->restored_after_page, std::nullopt);
      this->state.era = next_era;
    }
    return answer;
  }

  std::string AnswerWatch(uint64_t after, Milliseconds wait) {
    const TimePoint due = ReadClock() + wait;
    for (;;) {
      const State now = this->Copy();
      if (after > now.revision)
        return Http(now, 410, "{}");
      if (after < now.revision || ReadClock() >= due || this->stopping) {
        std::string events;
        for (const auto& [key, item] : now.items) {
          if (item.second > after)
            events += (events.empty() ? "" : ",") + ItemJson(key, item);
        }
        return Http(now, 200,
                    R"({"events":[)" + events + R"(],"current_rev":)" +
                        std::to_string(now.revision) + "}");
      }
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  asio::io_context context;
  asio::ip::tcp::acceptor acceptor;
  mutable std::mutex mutex;
  State state;
  std::optional<State> restored_after_page;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

/** A watcher whose documents go to the document stores of a balancer. */
class WatchedDocuments {
 public:
  explicit WatchedDocuments(const FakeStore& store) {
    this->settings.platform = store.Address();
    this->settings.platform_timing.in_force_within = Milliseconds(1500);
    this->settings.platform_timing.read_pause = Milliseconds(10);
    WatcherHooks hooks;
    hooks.should_watch = [] { return true; };
    hooks.apply_document = [this](DocumentKind kind, const std::string& text) {
      const std::lock_guard hold(this->mutex);
      Output out;
      return kind == DocumentKind::kVmList
                 ? this->list.Offer(ReadClock(), text, {}, this->random, out)
                 : this->config.Offer(ReadClock(), text, {}, this->random, out);
    };
    hooks.active_stamp = [this](DocumentKind kind) {
      const std::lock_guard hold(this->mutex);
      return kind == DocumentKind::kVmList ? this->list.Stamp()
                                           : this->config.Stamp();
    };
    hooks.has_content = [this](DocumentKind kind, const std::string& text) {
      const std::lock_guard hold(this->mutex);
      return kind == DocumentKind::kVmList ? this->list.HasContent(text)
                                           : this->config.HasContent(text);
    };
    hooks.active_sections = [this](DocumentKind kind) {
      const std::lock_guard hold(this->mutex);
      return kind == DocumentKind::kVmList ? this->list.Sections()
                                           : this->config.Sections();
    };
    hooks.report_ignored = [this](DocumentKind, size_t items) {
      this->ignored_items = items;
    };
    hooks.confirm_documents = [this](TimePoint) { ++this->confirmations; };
    this->thread = std::thread([this, hooks] {
      StoreWatcher(this->settings, hooks, this->stop).Run();
    });
  }

  ~WatchedDocuments() {
    this->stop = true;
    this->thread.join();
  }

  WatchedDocuments(const WatchedDocuments&) = delete;
  WatchedDocuments& operator=(const WatchedDocuments&) = delete;

  /** Offers a list as another balancer's watcher does. */
  void OfferFromElsewhere(const std::string& text) {
    const std::lock_guard hold(this->mutex);
    Output out;
    CHECK(
        this->list.Offer(ReadClock(), text, {}, this->random, out).has_value());
  }

  /** @return How many items of the document reported last are not used. */
  size_t IgnoredItems() const { return this->ignored_items; }
  /** @return How often the documents were confirmed as current. */
  int Confirmations() const { return this->confirmations; }

  /** @return Whether the active list has exactly these backend servers within
   * the time in which a change must be in force.
   * @param leaving Whether each server, by its id, is leaving. */
  bool Becomes(const std::map<uint64_t, bool>& leaving) const {
    return this->InTime([&] { return this->Listed() == leaving; });
  }

  /** @return Whether the active list has exactly these evacuations in time. */
  bool Evacuates(const std::vector<std::string>& data_centres) const {
    return this->InTime([&] {
      const std::lock_guard hold(this->mutex);
      return this->list.Current() != nullptr &&
             this->list.Current()->evacuated == data_centres;
    });
  }

  /** @return Whether the version of the configuration is active in time. */
  bool HasConfig(uint64_t version) const {
    return this->InTime([&] {
      const std::lock_guard hold(this->mutex);
      return this->config.Stamp().version.value == version;
    });
  }

 private:
  template <class Condition>
  bool InTime(Condition condition) const {
    const TimePoint due =
        ReadClock() + this->settings.platform_timing.in_force_within;
    while (ReadClock() < due) {
      if (condition())
        return true;
      std::this_thread::sleep_for(kPollInterval);
    }
    return false;
  }

  std::map<uint64_t, bool> Listed() const {
    const std::lock_guard hold(this->mutex);
    std::map<uint64_t, bool> listed;
    if (this->list.Current() == nullptr)
      return listed;
    for (const Vm& vm : this->list.Current()->vms)
      listed[vm.id.value] = vm.leaving;
    return listed;
  }

  Settings settings;
  mutable std::mutex mutex;
  DocumentStore<VmListDocument> list;
  DocumentStore<ConfigDocument> config;
  RandomEngine random{1};
  std::atomic<int> confirmations = 0;
  std::atomic<size_t> ignored_items = 0;  ///< Of the document reported last.
  std::atomic<bool> stop = false;
  std::thread thread;
};

}  // namespace

TEST_GROUP(Watcher){};

/** Many revisions before the restore, few after it. */
TEST(Watcher, ServerThatLeavesAfterARestoreIsListedAsLeaving) {
  FakeStore store;
  store.Put("servers/i-1", Entry("ready"));
  const FakeStore::State copy = store.Copy();
  store.PutOther(100);
  store.Put("servers/i-2", Entry("ready"));
  const WatchedDocuments watched(store);
  CHECK(watched.Becomes({{1, false}, {2, false}}));
  store.Restore(copy, 0);
  CHECK(watched.Becomes({{1, false}}));
  store.Put("servers/i-1", Entry("draining"));
  CHECK(watched.Becomes({{1, true}}));
}

/** The revision is higher than before when the watcher reads again. */
TEST(Watcher, RestoreWithAHigherRevisionIsNoticed) {
  FakeStore store;
  store.Put("servers/i-1", Entry("ready"));
  const FakeStore::State copy = store.Copy();
  store.Put("servers/i-2", Entry("ready"));
  const WatchedDocuments watched(store);
  CHECK(watched.Becomes({{1, false}, {2, false}}));
  store.Restore(copy, 10);
  CHECK(watched.Becomes({{1, false}}));
}

TEST(Watcher, PagesFromBeforeAndAfterARestoreAreNotMixed) {
  FakeStore store;
  store.page_items = 1;
  store.Put("servers/i-2", Entry("ready"));
  const FakeStore::State copy = store.Copy();
  store.Put("servers/i-1", Entry("ready"));
  store.RestoreAfterNextPage(copy);
  const WatchedDocuments watched(store);
  CHECK(watched.Becomes({{2, false}}));
}

/** Another watcher read the store while the entry of a server was missing. */
TEST(Watcher, ListThatDiffersFromTheStoreDoesNotStayActive) {
  FakeStore store;
  store.Put("servers/i-1", Entry("ready"));
  store.Put("servers/i-2", Entry("ready"));
  WatchedDocuments watched(store);
  CHECK(watched.Becomes({{1, false}, {2, false}}));
  watched.OfferFromElsewhere(
      platform::TranslateVmList({{"servers/i-1", Entry("ready")}},
                                platform::VmListVersion({1, 5}))
          .text);
  CHECK(watched.Becomes({{1, false}}));
  store.PutOther(10);
  CHECK(watched.Becomes({{1, false}, {2, false}}));
}

/** The list was frozen by an entry that another program had written. */
TEST(Watcher, ServerThatLeavesAfterAnOddEntryIsListedAsLeaving) {
  FakeStore store;
  store.Put("servers/i-1", Entry("ready"));
  WatchedDocuments watched(store);
  CHECK(watched.Becomes({{1, false}}));
  std::string odd = Entry("ready");
  odd.replace(odd.find("desk"), 4, std::string(2000, 's'));
  store.Put("servers/i-2", odd);
  store.Put("servers/i-1", Entry("draining"));
  CHECK(watched.Becomes({{1, true}}));
  LONGS_EQUAL(1, watched.IgnoredItems());
  const int confirmations = watched.Confirmations();
  std::this_thread::sleep_for(Milliseconds(800));
  CHECK(watched.Confirmations() > confirmations);
}

/** The request and its removal are the only changes in the store; an odd one
 * beside it must not delay them. */
TEST(Watcher, EvacuationIsListedUntilItsItemIsRemoved) {
  FakeStore store;
  store.Put("servers/i-1", Entry("ready"));
  store.Put("op/evacuate/a b", "{}");
  const WatchedDocuments watched(store);
  CHECK(watched.Becomes({{1, false}}));
  LONGS_EQUAL(1, watched.IgnoredItems());
  store.Put("op/evacuate/zone-a", "{}");
  CHECK(watched.Evacuates({"zone-a"}));
  store.Put("op/evacuate/zone-b", "{}");
  CHECK(watched.Evacuates({"zone-a", "zone-b"}));
  store.Put("op/evacuate/zone-a", "");
  CHECK(watched.Evacuates({"zone-b"}));
  CHECK(watched.Becomes({{1, false}}));
}

TEST(Watcher, InvalidListIsNotConfirmed) {
  FakeStore store;
  store.Put("vms", "[list]\nversion = none\n");
  const WatchedDocuments watched(store);
  std::this_thread::sleep_for(Milliseconds(300));
  LONGS_EQUAL(0, watched.Confirmations());
  store.Put("vms", "[list]\nversion = 7\n");
  CHECK(watched.Becomes({}));
  std::this_thread::sleep_for(Milliseconds(300));
  CHECK(watched.Confirmations() > 0);
}

/** The newest configuration is not in force. */
TEST(Watcher, UnreadableConfigurationIsNotConfirmed) {
  FakeStore store;
  store.Put("servers/i-1", Entry("ready"));
  store.Put("op/config", "{\"version\":");
  const WatchedDocuments watched(store);
  CHECK(watched.Becomes({{1, false}}));
  std::this_thread::sleep_for(Milliseconds(300));
  LONGS_EQUAL(0, watched.Confirmations());
}

TEST(Watcher, NewVersionOfAConfigurationIsActiveWithoutAnyChange) {
  FakeStore store;
  store.Put("config", ConfigText(7));
  const WatchedDocuments watched(store);
  CHECK(watched.HasConfig(7));
  store.Put("config", ConfigText(8));
  CHECK(watched.HasConfig(8));
}
