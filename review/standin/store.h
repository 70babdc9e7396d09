/** @file store.h Stand-in for the platform's store: PROTOCOL.md, "The
 * platform's metadata store". Each balancer has an address of its own, so that
 * its calls can be told apart. */

#ifndef REVIEW_STANDIN_STORE_H_
#define REVIEW_STANDIN_STORE_H_

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "net.h"

namespace review {

class Store {
 public:
  /** A change of an item; kept for `history_s`. */
  struct Event {
    uint64_t revision;
    std::string key;
    std::string json;
    int64_t at;
  };

  /** What a balancer asked for last. */
  struct Calls {
    int64_t watch_answered_at = -1;  ///< Last answer to a watch.
    int waiting_watches = 0;         ///< Watches that wait for a change.
    int answers = 0;
  };

  /** Writes an item. @return When the store acknowledged it. */
  int64_t Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(this->mutex);
    const uint64_t revision = ++this->revision;
    Item& item = this->items[key];
    if (item.created == 0)
      item.created = revision;
    item.value_bytes = value.size();
    item.json = "{\"key\":\"" + key + "\",\"value\":\"" + Base64(value) +
                "\",\"revision\":" + std::to_string(revision) +
                ",\"create_revision\":" + std::to_string(item.created) +
                ",\"lease\":0}";
    const int64_t now = NowMs();
    this->events.push_back({revision, key, item.json, now});
    this->changed.notify_all();
    return now;
  }

  /** Removes an item. */
  int64_t Remove(const std::string& key) {
    const std::lock_guard lock(this->mutex);
    const uint64_t revision = ++this->revision;
    this->items.erase(key);
    const int64_t now = NowMs();
    this->events.push_back({revision, key,
                            "{\"key\":\"" + key + "\",\"revision\":" +
                                std::to_string(revision) + ",\"removed\":true}",
                            now});
    this->changed.notify_all();
    return now;
  }

  /** Answers at an address. */
  void Listen(const Address& address) {
    const int fd = Bind(address, SOCK_STREAM);
    std::thread([this, fd, address] {
      for (;;) {
        const int peer = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (peer < 0)
          return;
        const int on = 1;
        setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        auto silent = std::make_shared<std::atomic<bool>>(false);
        {
          const std::lock_guard lock(this->mutex);
          this->connections.push_back(silent);
        }
        std::thread([this, peer, address, silent] {
          this->Serve(peer, address, *silent);
          close(peer);
        }).detach();
      }
    }).detach();
  }

  /** Makes all connections that are open now silent for good: nothing is sent
   * on them any more, and they are not reset. New ones work. */
  void SilenceOpenConnections() {
    const std::lock_guard lock(this->mutex);
    for (const auto& silent : this->connections)
      *silent = true;
  }

  Calls CallsOf(const Address& address) {
    const std::lock_guard lock(this->mutex);
    return this->calls[address];
  }

  static constexpr int64_t kHistoryMs = 20000;

 private:
  struct Item {
    std::string json;
    uint64_t created = 0;
    size_t value_bytes = 0;
  };

  static std::string Parameter(const std::string& query,
                               const std::string& name) {
    const size_t at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos)
      return "";
    const size_t begin = at + name.size() + 1;
    std::string raw = query.substr(begin, query.find('&', begin) - begin);
    std::string text;
    for (size_t index = 0; index < raw.size(); ++index) {
      if (raw[index] == '%' && index + 2 < raw.size()) {
        text +=
            static_cast<char>(std::stoi(raw.substr(index + 1, 2), nullptr, 16));
        index += 2;
      } else {
        text += raw[index];
      }
    }
    return text;
  }

  static std::string Answer(int status, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) +
           (status == 200 ? " OK" : " Other") +
           "\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  void Serve(int fd, const Address& address, std::atomic<bool>& silent) {
    std::string buffer;
    while (const std::optional<std::string> head = ReadHead(fd, buffer)) {
      const size_t begin = head->find(' ') + 1;
      const std::string target =
          head->substr(begin, head->find(' ', begin) - begin);
      const size_t mark = target.find('?');
      const std::string path = target.substr(0, mark);
      const std::string query =
          mark == std::string::npos ? "" : target.substr(mark + 1);
      std::string answer;
      if (path == "/kv-range")
        answer =
            this->Range(Parameter(query, "prefix"), Parameter(query, "after"));
      else if (path == "/kv-watch")
        answer = this->Watch(address, Parameter(query, "prefix"),
                             std::stoull("0" + Parameter(query, "after")),
                             std::stoll("0" + Parameter(query, "wait_ms")));
      else
        answer = Answer(404, "{}");
      if (silent) {
        // Nothing follows on this connection, and it isn't closed.
        char bytes[4096];
        while (recv(fd, bytes, sizeof(bytes), 0) > 0) {
        }
        return;
      }
      if (!SendAll(fd, answer))
        return;
      const std::lock_guard lock(this->mutex);
      ++this->calls[address].answers;
      if (path == "/kv-watch")
        this->calls[address].watch_answered_at = NowMs();
    }
  }

  std::string Range(const std::string& prefix, const std::string& after) {
    const std::lock_guard lock(this->mutex);
    std::string list;
    size_t bytes = 0;
    int count = 0;
    bool has_more = false;
    for (auto item = after.empty() ? this->items.lower_bound(prefix)
                                   : this->items.upper_bound(after);
         item != this->items.end() && item->first.starts_with(prefix); ++item) {
      if (count == 500 ||
          (count > 0 && bytes + item->second.value_bytes > 1024 * 1024)) {
        has_more = true;
        break;
      }
      list += (count++ == 0 ? "" : ",") + item->second.json;
      bytes += item->second.value_bytes;
    }
    return Answer(
        200, "{\"items\":[" + list +
                 "],\"has_more\":" + (has_more ? "true" : "false") +
                 ",\"current_rev\":" + std::to_string(this->revision) + "}");
  }

  std::string Watch(const Address& address,
                    const std::string& prefix,
                    uint64_t after,
                    int64_t wait_ms) {
    std::unique_lock lock(this->mutex);
    const int64_t until = NowMs() + std::min<int64_t>(wait_ms, 30000);
    ++this->calls[address].waiting_watches;
    std::string list;
    for (;;) {
      while (!this->events.empty() &&
             this->events.front().at + kHistoryMs < NowMs()) {
        this->dropped = this->events.front().revision;
        this->events.pop_front();
      }
      if (after < this->dropped) {
        --this->calls[address].waiting_watches;
        return Answer(410, "{}");
      }
      for (const Event& event : this->events) {
        if (event.revision > after && event.key.starts_with(prefix))
          list += (list.empty() ? "" : ",") + event.json;
      }
      if (!list.empty() || NowMs() >= until)
        break;
      this->changed.wait_for(lock, std::chrono::milliseconds(20));
    }
    --this->calls[address].waiting_watches;
    return Answer(200, "{\"events\":[" + list + "],\"current_rev\":" +
                           std::to_string(this->revision) + "}");
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::deque<Event> events;
  uint64_t revision = 100;
  uint64_t dropped = 0;  ///< Revision of the last change that was dropped.
  std::map<Address, Calls> calls;
  std::vector<std::shared_ptr<std::atomic<bool>>> connections;
};

}  // namespace review

#endif  // REVIEW_STANDIN_STORE_H_
