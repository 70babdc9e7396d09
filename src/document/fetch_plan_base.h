/** @file fetch_plan_base.h Decides when and from which balancer a newer
 * document is fetched. */

#ifndef CUMINVANE_DOCUMENT_FETCH_PLAN_BASE_H_
#define CUMINVANE_DOCUMENT_FETCH_PLAN_BASE_H_

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "base/endpoint_type.h"
#include "base/random_type.h"
#include "base/time_type.h"
#include "document/document_type.h"

namespace cuminvane {

/** A balancer that documents can be fetched from. */
struct DocumentSource {
  Endpoint peer;       ///< Its address for other balancers.
  bool local = false;  ///< It is in this balancer's document group.

  auto operator<=>(const DocumentSource&) const = default;
};

/**
 * Schedules the fetches of one document.
 *
 * Answers the load of a whole fleet that is behind at once, after a restart or
 * while a release changes the list of VMs many times a second: one fetch at a
 * time, from a random balancer of the own document group that has the newest
 * version, with a growing delay after a failure. Others are asked only if this
 * balancer makes no progress, since links between data centres are dear and
 * each group has its own watcher of the platform.
 */
class FetchPlan {
 public:
  /** A balancer reported a version newer than the active one. */
  void OnNewerVersion(const DocumentSource& source,
                      const DocumentStamp& stamp,
                      bool has_document,
                      TimePoint now,
                      RandomEngine& random) {
    if (this->sources.empty()) {
      // A push of this version is usually on its way.
      this->next_attempt_at = std::max(this->next_attempt_at,
                                       has_document ? now + kPushGrace : now);
      this->remote_from =
          now + Jitter(has_document ? kRemoteDelay : kStartRemoteDelay, random);
    }
    if (this->sources.size() < kMaxSources ||
        this->sources.contains(source.peer))
      this->sources[source.peer] = {source.local, stamp};
  }

  /** The active version has become newer: forgets the sources that have
   * nothing newer than that. */
  void OnProgress(const DocumentStamp& active,
                  TimePoint now,
                  RandomEngine& random) {
    std::erase_if(this->sources, [&](const auto& item) {
      return item.second.stamp <= active;
    });
    this->failures = 0;
    this->remote_from = now + Jitter(kRemoteDelay, random);
    if (!this->running)
      this->next_attempt_at = now + kPushGrace;
  }

  /** @return The balancer to fetch from now; no value if no fetch is due. The
   * fetch runs until OnEnded, or for kMaxFetchTime. */
  std::optional<Endpoint> StartDue(TimePoint now, RandomEngine& random) {
    if (this->running && this->gives_up_at <= now)
      this->OnEnded(false, now, random);
    if (this->running || this->sources.empty() || now < this->next_attempt_at)
      return std::nullopt;
    const bool use_local = std::ranges::any_of(
        this->sources, [](const auto& item) { return item.second.local; });
    if (!use_local && now < this->remote_from)
      return std::nullopt;
    std::vector<Endpoint> newest;
    DocumentStamp newest_stamp;
    for (const auto& [peer, source] : this->sources) {
      if (source.local != use_local || source.stamp < newest_stamp)
        continue;
      if (source.stamp > newest_stamp)
        newest.clear();
      newest_stamp = source.stamp;
      newest.push_back(peer);
    }
    this->running = newest[DrawIndex(random, newest.size())];
    this->gives_up_at = now + kMaxFetchTime;
    return this->running;
  }

  /** The running fetch has ended.
   * @param succeeded Whether it brought a newer version. */
  void OnEnded(bool succeeded, TimePoint now, RandomEngine& random) {
    if (!this->running)
      return;
    if (!succeeded) {
      // The source is used again once it reports its version again.
      this->sources.erase(*this->running);
      this->next_attempt_at =
          now + Jitter(kFirstRetryDelay * (1 << this->failures), random);
      this->failures = std::min(this->failures + 1, kMaxDoublings);
    }
    this->running.reset();
  }

  /** @return Whether a fetch is running. */
  bool IsRunning() const { return this->running.has_value(); }

 private:
  /** Time for a pushed delta to arrive, before a balancer that has an older
   * version fetches. */
  static constexpr Milliseconds kPushGrace{150};
  /** Time without progress after which other data centres are asked. A watcher
   * of the own data centre reads the platform more often. */
  static constexpr Milliseconds kRemoteDelay{1200};
  /** As kRemoteDelay, for a starting balancer without a document, which reads
   * the platform itself meanwhile. */
  static constexpr Milliseconds kStartRemoteDelay{400};
  static constexpr Milliseconds kFirstRetryDelay{100};
  /** Maximum number of doublings of kFirstRetryDelay. */
  static constexpr int kMaxDoublings = 5;
  /** A fetch whose end is not reported within this time counts as failed, so
   * that an error in its handling does not end all fetches. */
  static constexpr Seconds kMaxFetchTime{60};
  /** Maximum number of sources that are remembered. */
  static constexpr size_t kMaxSources = 32;

  /** What a source reported. */
  struct SourceState {
    bool local = false;
    DocumentStamp stamp;
  };

  /** @return The delay, lengthened by up to its half, so that balancers that
   * are behind for one reason do not fetch at one time. */
  static Microseconds Jitter(Milliseconds delay, RandomEngine& random) {
    return Microseconds(delay) +
           Microseconds(std::uniform_int_distribution<int64_t>(
               0, Microseconds(delay).count() / 2)(random));
  }

  std::map<Endpoint, SourceState> sources;  ///< Balancers with newer versions.
  std::optional<Endpoint> running;          ///< Source of the running fetch.
  TimePoint gives_up_at;      ///< When the running fetch counts as failed.
  TimePoint next_attempt_at;  ///< Earliest start of the next fetch.
  TimePoint remote_from;      ///< Earliest use of other data centres.
  int failures = 0;           ///< Failed fetches since the last progress.
};

}  // namespace cuminvane

#endif  // CUMINVANE_DOCUMENT_FETCH_PLAN_BASE_H_
