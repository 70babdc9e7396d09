/** @file backend_base.h A stand-in backend server that answers dispatched runs.
 * It has slots and a bounded queue, and supports draining, load shedding,
 * cancellation, deadlines and feeds. */

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

/** Identity and capacity of a stand-in backend server. */
struct BackendOptions {
  VmId vm;
  Incarnation incarnation;    ///< Number of this start of the process.
  std::string service;        ///< Name of the service that it serves.
  uint32_t slots = 3;         ///< Maximum number of runs executed at once.
  uint32_t queue_limit = 12;  ///< Maximum number of queued runs; further runs
                              ///< are refused with kOverloaded.

  bool operator==(const BackendOptions&) const = default;
};

/** An event in the life of a run, written as one line of the record file. */
struct BackendEvent {
  enum class Kind : uint8_t {
    kAccepted,
    kStarted,
    kFinished,
    kRefused,
    kCancelled,    ///< Cancelled before it started.
    kWrongService  ///< The order names another service.
  };

  Kind kind = Kind::kAccepted;
  TimePoint at;
  RunId run;
  FlowId flow;           ///< Default value for kRefused.
  RequestNumber number;  ///< Number of the request in its flow; default value
                         ///< for kRefused.
  std::string tag;       ///< Tag of the work order; empty for kRefused.
  Microseconds busy{0};  ///< Slot time used; 0 unless the kind is kFinished.

  bool operator==(const BackendEvent&) const = default;
};

/** @return The name of the event kind in record files. */
const char* ToString(BackendEvent::Kind kind);

/**
 * A backend server that executes the work orders in the payloads of requests.
 *
 * It implements the minimum that the protocol requires of backend servers: it
 * executes each run identifier at most once, retains a cancellation until the
 * deadline of the run has passed, and starts no run after its deadline.
 */
class Backend {
 public:
  explicit Backend(const BackendOptions& options) : options(options) {}

  /**
   * Handles a datagram from a balancer.
   *
   * @param now Current time.
   * @param from Address of the balancer; replies are sent to it on the backend
   *     channel.
   * @param bytes The datagram; ignored if it can't be decoded.
   * @param out Receives the datagrams to send.
   */
  void OnPacket(TimePoint now,
                const Endpoint& from,
                std::string_view bytes,
                Output& out);

  /** Pushes due feed events, finishes runs whose work has ended, starts queued
   * runs and removes expired runs. */
  void Tick(TimePoint now, Output& out);

  /** Sets whether new runs are refused with kBackendDraining. */
  void SetDraining(bool draining) { this->draining = draining; }

  /** @return The time at which the first executing run ends; kNever if no run
   * is executing. */
  TimePoint NextAt() const;

  /** @return The events recorded since the previous call. */
  std::vector<BackendEvent> TakeEvents();

 private:
  enum class State : uint8_t {
    kQueued,
    kRunning,
    kDone,
    kCancelledOrRefused,  ///< Never started and never will be.
    kExpired              ///< The deadline passed while it was queued.
  };

  /** A run that was dispatched to this backend server or cancelled before it
   * arrived. */
  struct TrackedRun {
    State state = State::kQueued;
    Endpoint balancer;     ///< Balancer that dispatched the run; the answer is
                           ///< sent to it.
    FlowId flow;           ///< Flow of the request.
    RequestNumber number;  ///< Number of the request in its flow.
    WorkOrder order;
    TimePoint deadline;    ///< The run does not start at or after this time.
    TimePoint ends_at;     ///< End of the work; set when the run starts.
    TimePoint expires_at;  ///< When the run is removed from `tracked_runs`.
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

  /** Key of a subscription. */
  struct FeedKey {
    FlowId flow;           ///< Flow that the feed belongs to.
    RequestNumber number;  ///< Number of the subscribing request in its flow.

    auto operator<=>(const FeedKey&) const = default;
  };

  /** A feed; its events are pushed to the balancer that last renewed it. */
  struct Subscription {
    Endpoint balancer;
    CallerPath path;  ///< Path from the balancer to the caller; copied into
                      ///< each event.
    std::string topic;
    int64_t position = 0;   ///< Position of the last event sent, in Unix
                            ///< microseconds; 0 if none was set yet.
    TimePoint lease_until;  ///< Expiry of the subscription unless renewed.
  };

  BackendOptions options;
  std::map<FeedKey, Subscription> subscriptions;
  std::map<RunId, TrackedRun> tracked_runs;
  std::deque<RunId> queue;  ///< Accepted runs that wait for a slot.
  /** Executing runs by `ends_at`. */
  std::multimap<TimePoint, RunId> running_by_end;
  /** All tracked runs by `expires_at`. */
  std::multimap<TimePoint, RunId> runs_by_expiry;
  std::vector<BackendEvent> events;  ///< Events not yet fetched by TakeEvents.
  bool draining = false;
};

}  // namespace cuminvane

#endif  // CUMINVANE_STANDIN_BACKEND_BASE_H_
