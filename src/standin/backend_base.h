/** @file backend_base.h A stand-in backend server: slots, a queue, drain,
 * shedding, cancellation, deadlines. */

#ifndef CUMINVANE_STANDIN_BACKEND_BASE_H_
#define CUMINVANE_STANDIN_BACKEND_BASE_H_

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time_type.h"
#include "decision/output_type.h"
#include "message/message_func.h"
#include "standin/work_func.h"

namespace cuminvane {

/** How a stand-in backend server behaves. */
struct BackendOptions {
  VmId vm;
  Incarnation incarnation;
  std::string service;
  uint32_t slots = 3;
  uint32_t queue_limit = 12;

  bool operator==(const BackendOptions&) const = default;
};

/** One line of its own record of what it did. */
struct BackendEvent {
  enum class Kind : uint8_t {
    kAccepted,
    kStarted,
    kFinished,
    kRefused,
    kCancelled,
    kWrongService
  };

  Kind kind = Kind::kAccepted;
  TimePoint at;
  RunId run;
  FlowId flow;
  RequestNumber number;
  std::string tag;
  Microseconds busy{0};

  bool operator==(const BackendEvent&) const = default;
};

/** @return The event's word in record files. */
const char* ToString(BackendEvent::Kind kind);

/**
 * A backend server that does what orders ask.
 *
 * It runs a run identifier at most once, remembers a withdrawal until the run's
 * deadline, and starts nothing after the deadline: that is what the protocol
 * asks of backend servers, and no more.
 */
class Backend {
 public:
  explicit Backend(const BackendOptions& options) : options(options) {}

  /** Handles a datagram from a balancer; answers go to `from` by the backend
   * lane. */
  void OnPacket(TimePoint now,
                const Endpoint& from,
                std::string_view bytes,
                Output& out);

  /** Finishes and starts work that is due. */
  void Tick(TimePoint now, Output& out);

  /** Takes no new work from now on, or again. */
  void SetDraining(bool draining) { this->draining = draining; }

  /** @return When Tick has something to do. */
  TimePoint NextAt() const;

  /** @return The events since the last call. */
  std::vector<BackendEvent> TakeEvents();

 private:
  enum class State : uint8_t {
    kQueued,
    kRunning,
    kDone,
    kCancelledOrRefused,
    kExpired
  };

  /** A run that was heard of. */
  struct TrackedRun {
    State state = State::kQueued;
    Endpoint balancer;
    FlowId flow;
    RequestNumber number;
    WorkOrder order;
    TimePoint deadline;
    TimePoint ends_at;
    TimePoint expires_at;
  };

  void OnStartRun(TimePoint now,
                  const Endpoint& from,
                  const StartRun& run,
                  Output& out);
  void OnCancelRun(TimePoint now,
                   const Endpoint& from,
                   const CancelRun& cancel,
                   Output& out);
  void OnMissingRunPartsQuery(const Endpoint& from,
                              const MissingRunPartsQuery& query,
                              Output& out);
  void OnSubscribe(TimePoint now,
                   const Endpoint& from,
                   const Subscribe& subscribe,
                   Output& out);
  void PushFeedEvents(TimePoint now, Output& out);
  void StartQueuedRuns(TimePoint now, Output& out);
  void SendAnswer(RunId run,
                  const TrackedRun& tracked,
                  const std::vector<uint32_t>& parts,
                  Output& out) const;
  void RefuseRun(TimePoint now,
                 RunId run,
                 const Endpoint& to,
                 ResultCode code,
                 Output& out);
  void RecordEvent(BackendEvent::Kind kind,
                   TimePoint now,
                   RunId run,
                   const TrackedRun& tracked,
                   Microseconds busy);
  LoadReport CurrentLoad() const;

  /** Names a subscription. */
  struct FeedKey {
    FlowId flow;
    RequestNumber number;

    auto operator<=>(const FeedKey&) const = default;
  };

  /** A feed that is pushed to whichever balancer renewed it last. */
  struct Subscription {
    Endpoint balancer;
    CallerPath path;
    std::string topic;
    int64_t position = 0;  ///< Last event sent.
    TimePoint lease_until;
  };

  BackendOptions options;
  std::map<FeedKey, Subscription> subscriptions;
  std::map<RunId, TrackedRun> tracked_runs;
  std::deque<RunId> queue;
  std::multimap<TimePoint, RunId> running_by_end;  ///< By the end of the work.
  std::multimap<TimePoint, RunId>
      runs_by_expiry;  ///< By when a job is forgotten.
  std::vector<BackendEvent> events;
  bool draining = false;
};

}  // namespace cuminvane

#endif  // CUMINVANE_STANDIN_BACKEND_BASE_H_
