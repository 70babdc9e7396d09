/** @file caller_base.h The caller's side of the protocol: opens flows, sends
 * requests, puts answers together. */

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
 * Any number of flows of one caller.
 *
 * A number is only ever sent with the token it was first sent with, or with one
 * whose fence covers it; so no two balancers both dispatch it. Parts of
 * different runs are never put together.
 */
class Caller {
 public:
  /** @param random Engine for nonces; must outlive the caller. */
  explicit Caller(RandomEngine& random) : random(random) {}

  /**
   * Opens a flow.
   * @param service Address of the service.
   * @param give_up_at When the open has failed.
   * @return The flow; an event tells when it is open.
   */
  FlowHandle OpenFlow(TimePoint now,
                      const Endpoint& service,
                      TimePoint give_up_at,
                      CallerOutput& out);

  /**
   * Sends a request in a flow; before the flow is open it waits.
   * @param deadline The caller's own time by which the answer is wanted.
   * @return The request; an event tells how it ended.
   */
  RequestKey Send(TimePoint now,
                  FlowHandle handle,
                  ClassId work_class,
                  TimePoint deadline,
                  std::string payload,
                  CallerOutput& out);

  /** Gives a request up; an event still tells how it ended. */
  void CancelRequest(TimePoint now,
                     FlowHandle handle,
                     RequestKey key,
                     CallerOutput& out);

  /**
   * Follows a feed; each event comes once, in order, and without gaps.
   * @param topic What to follow.
   * @param position Position of the last event in hand, 0 for events from now
   * on.
   * @return The feed, as events name it.
   */
  RequestKey FollowFeed(TimePoint now,
                        FlowHandle handle,
                        std::string topic,
                        int64_t position);

  /** Forgets a flow; what is in progress ends without an event. */
  void CloseFlow(FlowHandle handle);

  /** Handles a datagram from a service; what belongs to no flow is ignored. */
  void OnPacket(TimePoint now, std::string_view bytes, CallerOutput& out);

  /** Sends again what is due and ends what is over. */
  void Tick(TimePoint now, CallerOutput& out);

  /** @return The flow's token, empty before it is open. */
  std::string TokenOf(FlowHandle flow) const;

  /** @return Requests not ended. */
  size_t Pending() const;

 private:
  /** An answer being put together from one run. */
  struct Assembly {
    std::vector<std::string> parts;
    std::vector<bool> have;
    size_t arrived = 0;
  };

  /** A request not ended. */
  struct PendingRequest {
    RequestKey key;
    RequestNumber number;
    std::string token;  ///< Token it is sent with.
    ClassId work_class;
    TimePoint deadline;         ///< Caller's time.
    int64_t wire_deadline = 0;  ///< Fleet's time; the same in every attempt.
    std::string payload;
    TimePoint sent_at;
    TimePoint act_at;
    Milliseconds backoff{0};
    uint32_t attempts = 0;
    int silent_polls = 0;
    VmInstance holder;  ///< Who has it on record.
    std::map<RunId, Assembly> runs;
    RunId newest_run;
    ResultCode provisional =
        ResultCode::kOutcomeUnknown;  ///< How it ends if nothing better comes.
  };

  /** An event that came before the one it follows. */
  struct EarlyEvent {
    int64_t position = 0;
    std::string payload;
  };

  /** A feed being followed. */
  struct Feed {
    RequestKey key;
    RequestNumber number;
    std::string topic;
    int64_t position = 0;  ///< Last event delivered.
    TimePoint renew_at;
    uint32_t unanswered = 0;  ///< Renewals in a row without an answer.
    std::map<int64_t, EarlyEvent> early;  ///< By the position they follow.
  };

  /** A request that waits for its flow to open. */
  struct WaitingRequest {
    RequestKey key;
    ClassId work_class;
    TimePoint deadline;
    std::string payload;
    TimePoint sent_at;
  };

  /** One flow. */
  struct Flow {
    FlowHandle handle;
    Endpoint service;
    FlowId id;
    std::string token;
    RequestNumber fence;
    RequestNumber highest;
    uint64_t nonce =
        0;  ///< Of the open or reopen in progress, 0 where none is.
    TimePoint opening_since;
    TimePoint open_act_at = kNever;
    TimePoint open_gives_up_at = kNever;
    Milliseconds open_backoff{0};
    uint64_t keepalive_nonce = 0;  ///< Of the last keepalive.
    TimePoint keepalive_at = kNever;
    Microseconds clock_offset{0};  ///< Fleet's time minus the caller's.
    std::map<RequestNumber, PendingRequest> pending;
    std::vector<WaitingRequest> waiting;
    std::map<RequestNumber, Feed> feeds;
  };

  void SendOpen(TimePoint now, Flow& flow, CallerOutput& out);
  void SendKeepalive(TimePoint now, Flow& flow, CallerOutput& out);
  void ScheduleKeepalive(TimePoint now, Flow& flow);
  void OnKeepaliveAnswer(TimePoint now, Flow& flow, const FlowOpened& opened);
  void StartReopen(TimePoint now, Flow& flow, CallerOutput& out);
  void SubmitWaiting(TimePoint now, Flow& flow, CallerOutput& out);
  void Submit(TimePoint now,
              Flow& flow,
              WaitingRequest waiting,
              CallerOutput& out);
  void SendRequest(TimePoint now,
                   Flow& flow,
                   PendingRequest& request,
                   CallerOutput& out);
  void AskForParts(TimePoint now,
                   Flow& flow,
                   PendingRequest& request,
                   CallerOutput& out);
  void Finish(TimePoint now,
              Flow& flow,
              RequestNumber number,
              ResultCode code,
              std::string answer,
              CallerOutput& out);
  void OnOpened(TimePoint now, const FlowOpened& opened, CallerOutput& out);
  void OnPart(TimePoint now, const AnswerPart& part, CallerOutput& out);
  void OnVerdict(TimePoint now,
                 const RequestOutcome& verdict,
                 CallerOutput& out);
  void OnFeedEvent(TimePoint now, const FeedEvent& event, CallerOutput& out);
  void OnFollowing(TimePoint now, const FeedFollowed& following);
  void DeliverEvent(Flow& flow,
                    Feed& feed,
                    int64_t position,
                    std::string payload,
                    CallerOutput& out);
  void TickFeeds(TimePoint now, Flow& flow, CallerOutput& out);
  Feed* FindFeed(FlowId id, RequestNumber number);
  void OnReceipt(TimePoint now, const RequestRecorded& receipt);
  void OnMoved(TimePoint now,
               Flow& flow,
               PendingRequest& request,
               const RequestOutcome& verdict,
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
  void Wake(TimePoint at, FlowHandle flow);

  RandomEngine& random;
  std::map<FlowHandle, Flow> flows;
  std::unordered_map<FlowId, FlowHandle> by_id;
  std::unordered_map<uint64_t, FlowHandle> by_nonce;
  std::multimap<TimePoint, FlowHandle> timers;  ///< May hold stale ones.
  uint64_t next_handle = 1;
  uint64_t next_key = 1;
};

}  // namespace cuminvane

#endif  // CUMINVANE_CALLER_CALLER_BASE_H_
