/** @file caller_base.h The caller's side of the protocol: opens flows, sends
 * requests, assembles answers and follows feeds. Does no I/O, reads no clock.
 */

#ifndef CUMINVANE_CALLER_CALLER_BASE_H_
#define CUMINVANE_CALLER_CALLER_BASE_H_

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/random_type.h"
#include "caller/caller_type.h"
#include "message/message_func.h"

namespace cuminvane {

/**
 * A protocol client that handles any number of flows.
 *
 * A request number is only sent with the token that it was first sent with, or
 * with a token whose fence is at or above the number. This guarantees that no
 * two balancers dispatch the same non-idempotent request. An answer is only
 * assembled from parts of one run.
 */
class Caller {
 public:
  /** @param random Engine for nonces; must outlive the caller. */
  explicit Caller(RandomEngine& random) : random(random) {}

  /**
   * Opens a flow.
   * @param service Address of the service.
   * @param open_deadline Time at which the caller stops trying and reports
   * kFlowOpenFailed.
   * @return Handle of the flow; the event kFlowOpened reports that it is open.
   */
  FlowHandle OpenFlow(TimePoint now,
                      const Endpoint& service,
                      TimePoint open_deadline,
                      CallerOutput& out);

  /**
   * Sends a request in a flow. The request is queued until the flow is open.
   * @param deadline Time by which the answer is needed, by the caller's clock.
   * @return Key of the request; the event kRequestFinished reports its outcome.
   * An unknown handle gives a key without an event.
   */
  RequestKey Send(TimePoint now,
                  FlowHandle handle,
                  ClassId work_class,
                  TimePoint deadline,
                  std::string payload,
                  CallerOutput& out);

  /** Cancels a request that has been sent; a queued request is not cancelled.
   * The event kRequestFinished still reports the outcome. */
  void CancelRequest(TimePoint now,
                     FlowHandle handle,
                     RequestKey key,
                     CallerOutput& out);

  /**
   * Follows a feed. Its events are reported once, in order and without gaps.
   * @param topic Topic of the feed.
   * @param position Position of the last event that the application has, in
   * microseconds since the Unix epoch; 0 for events from now on.
   * @return Key of the feed, which its events carry. An unknown handle gives a
   * key without events.
   */
  RequestKey FollowFeed(TimePoint now,
                        FlowHandle handle,
                        std::string topic,
                        int64_t position);

  /** Removes a flow. Requests and feeds in progress end without an event. */
  void CloseFlow(FlowHandle handle);

  /** Handles a datagram from a service. Invalid datagrams and datagrams that
   * belong to no flow are ignored. */
  void OnPacket(TimePoint now, std::string_view bytes, CallerOutput& out);

  /** Sends the retransmissions, queries and keepalives that are due and
   * finishes requests whose deadline has passed. */
  void Tick(TimePoint now, CallerOutput& out);

  /** @return The flow's token, empty if the flow is unknown or not open yet. */
  std::string TokenOf(FlowHandle flow) const;

  /** @return Number of requests, queued or sent, without an outcome. */
  size_t PendingRequestCount() const;

 private:
  /** An answer that is being assembled from the parts of one run. */
  struct AnswerAssembly {
    std::vector<std::string> parts;  ///< Bytes of each part, by its index;
                                     ///< empty if the part has not arrived.
    std::vector<bool>
        received;  ///< Whether each part has arrived, by its index.
    size_t received_count = 0;  ///< Number of parts that have arrived.
  };

  /** A request that has a number and no outcome yet. */
  struct PendingRequest {
    RequestKey key;
    RequestNumber number;
    std::string token;  ///< Flow token that the request is sent with.
    ClassId work_class;
    TimePoint deadline;              ///< By the caller's clock.
    int64_t server_deadline_us = 0;  ///< The deadline by the balancers' clock,
                                     ///< in microseconds since the Unix epoch;
                                     ///< equal in all attempts.
    std::string payload;
    TimePoint sent_at;           ///< Time of the call of Send.
    TimePoint next_action_at;    ///< Time of the next retransmission or query.
    Milliseconds backoff{0};     ///< Wait after the latest transmission.
    uint32_t attempts = 0;       ///< Number of transmissions.
    int unanswered_queries = 0;  ///< Consecutive queries without an answer.
    VmInstance holder;  ///< Balancer that holds the request's record; none if
                        ///< no balancer has acknowledged the request.
    std::map<RunId, AnswerAssembly> assemblies;  ///< Partial answers by run.
    RunId latest_run;  ///< Run of the part that arrived last; 0 for none.
    ResultCode provisional_code =
        ResultCode::kOutcomeUnknown;  ///< Outcome to report at the deadline
                                      ///< unless an answer arrives.
  };

  /** A feed event that arrived before its predecessor. */
  struct OutOfOrderEvent {
    int64_t position = 0;
    std::string payload;
  };

  /** A feed that the application follows. */
  struct Feed {
    RequestKey key;
    RequestNumber number;
    std::string topic;
    int64_t position = 0;  ///< Position of the last event reported; 0 for none.
    TimePoint renew_at;    ///< Time of the next renewal.
    uint32_t unanswered_renewals = 0;  ///< Consecutive renewals without answer.
    std::map<int64_t, OutOfOrderEvent>
        out_of_order;  ///< By the position of the preceding event.
  };

  /** A request that is queued until its flow is open or has a new owner. */
  struct WaitingRequest {
    RequestKey key;
    ClassId work_class;
    TimePoint deadline;
    std::string payload;
    TimePoint sent_at;  ///< Time of the call of Send.
  };

  struct Flow {
    FlowHandle handle;
    Endpoint service;
    FlowId id;            ///< 0 until the flow is open.
    std::string token;    ///< Empty until the flow is open.
    RequestNumber fence;  ///< The token's fence: numbers up to it belong to
                          ///< earlier owners.
    RequestNumber highest_number;  ///< Highest request number sent.
    uint64_t nonce = 0;  ///< Nonce of the open or reopen in progress; 0 for
                         ///< none.
    TimePoint open_started_at;         ///< Start of the latest open or reopen.
    TimePoint open_retry_at = kNever;  ///< Time of the next retransmission.
    TimePoint open_deadline =
        kNever;  ///< Time at which the open fails; kNever during a reopen.
    Milliseconds open_backoff{0};  ///< Wait after the latest transmission.
    uint64_t keepalive_nonce = 0;  ///< Nonce of the last keepalive; 0 for none.
    TimePoint keepalive_at =
        kNever;  ///< Time of the next keepalive; kNever until the flow is open.
    Microseconds clock_offset{0};  ///< Balancers' clock minus caller's clock.
    std::map<RequestNumber, PendingRequest> pending;  ///< Requests sent.
    std::vector<WaitingRequest> waiting;              ///< Requests queued.
    std::map<RequestNumber, Feed> feeds;
  };

  void SendOpen(TimePoint now, Flow& flow, CallerOutput& out);
  void SendKeepalive(TimePoint now, Flow& flow, CallerOutput& out);
  void ScheduleKeepalive(TimePoint now, Flow& flow);
  void OnKeepaliveAnswer(TimePoint now, Flow& flow, const FlowOpened& opened);
  void StartReopen(TimePoint now, Flow& flow, CallerOutput& out);
  void SubmitWaitingRequests(TimePoint now, Flow& flow, CallerOutput& out);
  void SubmitRequest(TimePoint now,
                     Flow& flow,
                     WaitingRequest waiting,
                     CallerOutput& out);
  void SendRequest(TimePoint now,
                   Flow& flow,
                   PendingRequest& request,
                   CallerOutput& out);
  void QueryMissingParts(TimePoint now,
                         Flow& flow,
                         PendingRequest& request,
                         CallerOutput& out);
  void FinishRequest(TimePoint now,
                     Flow& flow,
                     RequestNumber number,
                     ResultCode code,
                     std::string answer,
                     CallerOutput& out);
  void OnFlowOpened(TimePoint now, const FlowOpened& opened, CallerOutput& out);
  void OnAnswerPart(TimePoint now, const AnswerPart& part, CallerOutput& out);
  void OnRequestOutcome(TimePoint now,
                        const RequestOutcome& outcome,
                        CallerOutput& out);
  void OnFeedEvent(TimePoint now, const FeedEvent& event, CallerOutput& out);
  void OnFeedFollowed(TimePoint now, const FeedFollowed& followed);
  void DeliverFeedEvent(Flow& flow,
                        Feed& feed,
                        int64_t position,
                        std::string payload,
                        CallerOutput& out);
  void TickFeeds(TimePoint now, Flow& flow, CallerOutput& out);
  Feed* FindFeed(FlowId id, RequestNumber number);
  void OnRequestRecorded(TimePoint now, const RequestRecorded& recorded);
  void OnMoved(TimePoint now,
               Flow& flow,
               PendingRequest& request,
               const RequestOutcome& outcome,
               CallerOutput& out);
  void OnOwnerLost(TimePoint now,
                   Flow& flow,
                   PendingRequest& request,
                   CallerOutput& out);
  void TickFlow(TimePoint now, Flow& flow, CallerOutput& out);
  void TickOpening(TimePoint now, Flow& flow, CallerOutput& out);
  void TickRequest(TimePoint now,
                   Flow& flow,
                   PendingRequest& request,
                   CallerOutput& out);
  Flow* FindFlow(FlowId id);
  PendingRequest* FindPending(Flow& flow, RequestNumber number);
  void ScheduleTimer(TimePoint at, FlowHandle flow);

  RandomEngine& random;
  std::map<FlowHandle, Flow> flows;
  std::unordered_map<FlowId, FlowHandle> handle_by_flow_id;
  std::unordered_map<uint64_t, FlowHandle> handle_by_nonce;
  std::multimap<TimePoint, FlowHandle>
      timers;  ///< Times at which to call TickFlow. Timers are not removed when
               ///< their reason ends or their flow is closed.
  uint64_t next_handle = 1;
  uint64_t next_key = 1;
};

}  // namespace cuminvane

#endif  // CUMINVANE_CALLER_CALLER_BASE_H_
