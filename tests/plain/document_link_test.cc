/** @file document_link_test.cc A whole fleet gets a large configuration over
 * slow links. Runs in virtual time. */

#include <map>
#include <memory>
#include <vector>

#include "document/document_base.h"
#include "document/pacer_base.h"
#include "document/settings_type.h"
#include "message/message_func.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

/** Bytes that a balancer sends in one piece, and answers that it sends at the
 * same time, as the shell does. */
constexpr size_t kPieceBytes = 4096;
constexpr int kMaxAnswers = 8;
/** Interval of a balancer's heartbeats. */
constexpr Milliseconds kHeartbeat{250};
constexpr Milliseconds kStep{5};

/** @return A configuration with that many classes of work. */
std::string ConfigOf(int version, int classes) {
  std::string text =
      "[document]\nversion = " + std::to_string(version) + "\n[service desk]\n";
  for (int number = 0; number < classes; ++number)
    text += "[class work-" + std::to_string(number * 7919 % 100003) + "-" +
            std::to_string(number) + "]\nservice = desk\naddresses = 198.18." +
            std::to_string(number / 250) + "." + std::to_string(number % 250) +
            ":443\nidempotent = yes\nrank = 1\nanswered_within_ms = " +
            std::to_string(200 + number % 90) + "\n";
  return text;
}

/** The balancers of one data centre, each behind a link of 2 Mbit/s. */
struct SlowFleet {
  struct Node {
    DocumentStore<ConfigDocument> store;
    Pacer pacer{DocumentLimits{2, 25}.BytesPerSecond()};
    int running_answers = 0;
    int64_t sent_bytes = 0;
  };

  /** The end of a fetch; the header is empty if it failed. */
  struct FetchEnd {
    size_t from = 0;
    size_t to = 0;
    std::string header;
    std::shared_ptr<const std::string> content;
  };

  explicit SlowFleet(size_t size) {
    for (size_t index = 0; index < size; ++index)
      this->nodes.push_back(std::make_unique<Node>());
  }

  /** Runs until all balancers have the version of the first one.
   * @return How long that took; `limit` if they don't get it in time. */
  Milliseconds RunUntilAllHave(Milliseconds limit) {
    for (Milliseconds elapsed{0}; elapsed < limit; elapsed += kStep) {
      this->now += kStep;
      if (elapsed % kHeartbeat == Milliseconds(0))
        this->ExchangeStamps();
      this->EndFetches();
      size_t up_to_date = 0;
      for (size_t index = 0; index < this->nodes.size(); ++index) {
        this->Tick(index);
        up_to_date += this->nodes[index]->store.Stamp() ==
                              this->nodes.front()->store.Stamp()
                          ? 1
                          : 0;
      }
      if (up_to_date == this->nodes.size())
        return elapsed;
    }
    return limit;
  }

  void ExchangeStamps() {
    for (size_t index = 0; index < this->nodes.size(); ++index) {
      const size_t other = DrawIndex(this->random, this->nodes.size());
      this->Report(index, other);
      this->Report(other, index);
    }
  }

  void Report(size_t to, size_t about) {
    this->nodes[to]->store.OnPeerStamp(
        this->now, {{static_cast<uint32_t>(about + 1), 1}, true},
        this->nodes[about]->store.Stamp(), this->random);
  }

  void Tick(size_t index) {
    Output out;
    this->nodes[index]->store.Tick(this->now, this->random, out);
    for (const PeerFetch& fetch : out.fetches)
      this->StartFetch(index, fetch);
  }

  void StartFetch(size_t to, const PeerFetch& fetch) {
    FetchEnd end{fetch.peer.ip - 1, to, "", nullptr};
    Node& asked = *this->nodes[end.from];
    const auto request = DecodeWhole<DocumentFetch>(fetch.request);
    const auto answer = asked.running_answers < kMaxAnswers
                            ? asked.store.AnswerFetch(request.value().have)
                            : std::nullopt;
    TimePoint ends_at = this->now + Milliseconds(2);
    if (answer) {
      end.header = answer->header;
      end.content = answer->content;
      ++asked.running_answers;
      for (size_t sent = 0; sent < end.content->size(); sent += kPieceBytes)
        ends_at = asked.pacer.Reserve(
            std::min(kPieceBytes, end.content->size() - sent), this->now);
      asked.sent_bytes += static_cast<int64_t>(end.content->size());
    }
    this->fetch_ends.emplace(ends_at, std::move(end));
  }

  void EndFetches() {
    while (!this->fetch_ends.empty() &&
           this->fetch_ends.begin()->first <= this->now) {
      const FetchEnd end = std::move(this->fetch_ends.begin()->second);
      this->fetch_ends.erase(this->fetch_ends.begin());
      Node& node = *this->nodes[end.to];
      if (end.header.empty()) {
        node.store.OnFetchFailed(this->now, this->random);
        continue;
      }
      --this->nodes[end.from]->running_answers;
      Output out;
      node.store.OnFetched(this->now,
                           DecodeWhole<DocumentAnswer>(end.header).value(),
                           *end.content, {}, this->random, out);
    }
  }

  std::vector<std::unique_ptr<Node>> nodes;
  std::multimap<TimePoint, FetchEnd> fetch_ends;
  RandomEngine random{1};
  TimePoint now = TimePoint(Seconds(100));
};

}  // namespace

TEST_GROUP(SlowLinks){};

/** One balancer reads 1,400 added routes; the change must be active everywhere
 * within 6 s, though links carry callers' packets as well. */
TEST(SlowLinks, LargeChangeIsActiveInTime) {
  SlowFleet fleet(23);
  Output out;
  for (const auto& node : fleet.nodes)
    CHECK(node->store.Offer(fleet.now, ConfigOf(1, 40), {}, fleet.random, out)
              .has_value());
  CHECK(fleet.nodes.front()
            ->store.Offer(fleet.now, ConfigOf(2, 1440), {}, fleet.random, out)
            .has_value());
  CHECK(fleet.RunUntilAllHave(Seconds(6)) < Seconds(6));
}

/** All balancers were lost; one of them has read 5,000 routes from the
 * platform. The others must serve within 15 s. */
TEST(SlowLinks, LostFleetGetsAHugeConfigurationInTime) {
  SlowFleet fleet(23);
  Output out;
  CHECK(fleet.nodes.front()
            ->store.Offer(fleet.now, ConfigOf(1, 5000), {}, fleet.random, out)
            .has_value());
  CHECK(fleet.RunUntilAllHave(Seconds(15)) < Seconds(15));
}

/** A balancer that many others ask at once still leaves most of its link to
 * callers' packets. */
TEST(SlowLinks, NoBalancerSendsMoreThanItsShareOfTheLink) {
  SlowFleet fleet(60);
  Output out;
  CHECK(fleet.nodes.front()
            ->store.Offer(fleet.now, ConfigOf(1, 1400), {}, fleet.random, out)
            .has_value());
  const Milliseconds took = fleet.RunUntilAllHave(Seconds(30));
  CHECK(took < Seconds(30));
  const int64_t share = DocumentLimits{2, 25}.BytesPerSecond();
  for (const auto& node : fleet.nodes)
    CHECK(node->sent_bytes <=
          share * (took + Seconds(1)) / Milliseconds(1000) + 100000);
}
