// The platform's metadata store, as PROTOCOL.md has it: /kv-key, /kv-range and
// /kv-watch over HTTP/1.1, linearizable, with a history of `history_s`.
#ifndef REVIEW_STANDIN_2_STORE_H_
#define REVIEW_STANDIN_2_STORE_H_

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "net.h"

namespace review {

class Store {
 public:
  Store(const Address& address, int64_t history_ms) : history_ms(history_ms) {
    this->Listen(address);
  }

  /** Listens at one more address, behind a link of its own. @return The link's
   * index; the first address has 0. */
  size_t Listen(const Address& address) {
    const int listener = BindOrThrow(SOCK_STREAM, address);
    const std::lock_guard lock(this->mutex);
    const size_t link = this->links.size();
    this->links.emplace_back();
    std::thread([this, listener, link] {
      this->Accept(listener, link);
    }).detach();
    return link;
  }

  /** The connections that are open over the link go silent for good; new ones
   * work. */
  void SilenceOpenConnections(size_t link) {
    const std::lock_guard lock(this->mutex);
    for (const auto& connection : this->connections)
      connection->silent = connection->silent || connection->link == link;
  }

  /** Cuts the link off: nothing that is sent over it is answered. */
  void Cut(size_t link, bool cut) {
    const std::lock_guard lock(this->mutex);
    this->links[link].cut = cut;
    for (const auto& connection : this->connections) {
      if (cut && connection->link == link)
        connection->silent = true;
    }
  }

  /** @return When the last watch came over the link; -1: never. */
  int64_t LastWatchAt(size_t link) {
    const std::lock_guard lock(this->mutex);
    return this->links[link].last_watch_at;
  }

  /** Writes an item. @return Its revision; the return is the acknowledgement.
   */
  uint64_t Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(this->mutex);
    Item& item = this->items[key];
    item.revision = ++this->revision;
    if (item.created == 0)
      item.created = item.revision;
    item.json = "{\"key\":\"" + key + "\",\"value\":\"" + Base64(value) +
                "\",\"revision\":" + std::to_string(item.revision) +
                ",\"create_revision\":" + std::to_string(item.created) +
                ",\"lease\":0}";
    this->AddEvent(key, item.json);
    return item.revision;
  }

  void Remove(const std::string& key) {
    const std::lock_guard lock(this->mutex);
    if (this->items.erase(key) == 0)
      return;
    ++this->revision;
    this->AddEvent(key, "{\"key\":\"" + key + "\",\"revision\":" +
                            std::to_string(this->revision) +
                            ",\"removed\":true}");
  }

  /** Length of the longest answer to a watch, in bytes. */
  size_t LongestWatch() const { return this->longest_watch; }
  int CountOf(int status) {
    const std::lock_guard lock(this->mutex);
    return this->counts[status];
  }

 private:
  struct Item {
    std::string json;
    uint64_t revision = 0;
    uint64_t created = 0;
  };
  struct Event {
    int64_t at_ms;
    uint64_t revision;
    std::string key;
    std::string json;
  };

  struct Link {
    bool cut = false;
    int64_t last_watch_at = -1;
  };
  struct Connection {
    size_t link = 0;
    std::atomic<bool> silent = false;
  };

  /** Maximum items and bytes of one page. */
  static constexpr size_t kPageItems = 500;
  static constexpr size_t kPageBytes = 1 << 20;

  void AddEvent(const std::string& key, const std::string& json) {
    const int64_t now = NowMs();
    this->history.push_back({now, this->revision, key, json});
    while (this->history.front().at_ms + this->history_ms < now) {
      this->dropped = this->history.front().revision;
      this->history.pop_front();
    }
    this->changed.notify_all();
  }

  void Accept(int listener, size_t link) {
    for (;;) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const auto connection = std::make_shared<Connection>();
      connection->link = link;
      {
        const std::lock_guard lock(this->mutex);
        connection->silent = this->links[link].cut;
        this->connections.push_back(connection);
      }
      std::thread([this, fd, connection] {
        this->Serve(fd, *connection);
        const std::lock_guard lock(this->mutex);
        std::erase(this->connections, connection);
      }).detach();
    }
  }

  void Serve(int fd, Connection& connection) {
    std::string buffer;
    std::string head;
    while (ReadHead(fd, buffer, head)) {
      const std::string target = head.substr(4, head.find(' ', 4) - 4);
      if (connection.silent)
        continue;
      if (target.starts_with("/kv-watch")) {
        const std::lock_guard lock(this->mutex);
        this->links[connection.link].last_watch_at = NowMs();
      }
      int status = 200;
      std::string body = this->Answer(target, status);
      const std::string reply =
          "HTTP/1.1 " + std::to_string(status) +
          (status == 200   ? " OK"
           : status == 410 ? " Gone"
                           : " Not Found") +
          "\r\nContent-Type: application/json\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body;
      if (!connection.silent && !WriteAll(fd, reply))
        break;
    }
    close(fd);
  }

  static std::string Argument(const std::string& target,
                              const std::string& name) {
    for (const char* const before : {"?", "&"}) {
      const size_t at = target.find(before + name + "=");
      if (at == std::string::npos)
        continue;
      const size_t from = at + name.size() + 2;
      const std::string raw =
          target.substr(from, target.find('&', from) - from);
      std::string text;
      for (size_t index = 0; index < raw.size(); ++index) {
        if (raw[index] == '%' && index + 2 < raw.size()) {
          text += static_cast<char>(
              strtol(raw.substr(index + 1, 2).c_str(), nullptr, 16));
          index += 2;
        } else {
          text += raw[index];
        }
      }
      return text;
    }
    return "";
  }

  std::string Answer(const std::string& target, int& status) {
    const std::string path = target.substr(0, target.find('?'));
    std::string body = "{}";
    if (path == "/kv-range")
      body = this->Range(Argument(target, "prefix"), Argument(target, "after"));
    else if (path == "/kv-watch")
      body =
          this->Watch(Argument(target, "prefix"),
                      strtoull(Argument(target, "after").c_str(), nullptr, 10),
                      atoll(Argument(target, "wait_ms").c_str()), status);
    else if (path == "/kv-key")
      body = this->Key(Argument(target, "key"), status);
    else
      status = 404;
    const std::lock_guard lock(this->mutex);
    ++this->counts[status];
    return body;
  }

  std::string Key(const std::string& key, int& status) {
    const std::lock_guard lock(this->mutex);
    const auto item = this->items.find(key);
    if (item == this->items.end()) {
      status = 404;
      return "{\"current_rev\":" + std::to_string(this->revision) + "}";
    }
    return item->second.json;
  }

  std::string Range(const std::string& prefix, const std::string& after) {
    const std::lock_guard lock(this->mutex);
    std::string body = "{\"items\":[";
    size_t count = 0;
    bool more = false;
    auto item = after.empty() ? this->items.lower_bound(prefix)
                              : this->items.upper_bound(after);
    for (; item != this->items.end() && item->first.starts_with(prefix);
         ++item) {
      if (count == kPageItems ||
          (count > 0 && body.size() + item->second.json.size() > kPageBytes)) {
        more = true;
        break;
      }
      body += (count++ == 0 ? "" : ",") + item->second.json;
    }
    return body + "],\"has_more\":" + (more ? "true" : "false") +
           ",\"current_rev\":" + std::to_string(this->revision) + "}";
  }

  std::string Watch(const std::string& prefix,
                    uint64_t after,
                    int64_t wait_ms,
                    int& status) {
    std::unique_lock lock(this->mutex);
    const auto deadline =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
    for (;;) {
      if (after < this->dropped) {
        status = 410;
        return "{\"error\":\"compacted\"}";
      }
      std::string body = "{\"events\":[";
      bool any = false;
      for (const Event& event : this->history) {
        if (event.revision <= after || !event.key.starts_with(prefix))
          continue;
        body += (any ? "," : "") + event.json;
        any = true;
      }
      if (any || std::chrono::steady_clock::now() >= deadline) {
        this->longest_watch = std::max(this->longest_watch.load(), body.size());
        return body + "],\"current_rev\":" + std::to_string(this->revision) +
               "}";
      }
      this->changed.wait_until(lock, deadline);
    }
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::deque<Event> history;
  uint64_t revision = 100;
  uint64_t dropped = 0;  ///< Newest revision that the history has lost.
  int64_t history_ms;
  std::map<int, int> counts;
  std::atomic<size_t> longest_watch = 0;
  std::deque<Link> links;
  std::vector<std::shared_ptr<Connection>> connections;
};

}  // namespace review

#endif  // REVIEW_STANDIN_2_STORE_H_
