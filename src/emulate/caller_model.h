/** @file caller_model.h Emulated callers: users that issue requests with
 * deadlines and retries, on a kept flow or on a new flow for each request. */

#ifndef CUMINVANE_EMULATE_CALLER_MODEL_H_
#define CUMINVANE_EMULATE_CALLER_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/random_type.h"
#include "emulate/model_type.h"

namespace cuminvane::emulate {

/** A kind of request with its rate, cost and value. */
struct RequestKind {
  std::string name;
  Endpoint address;  ///< Service address to which the flows are opened.
  bool idempotent = true;
  bool flow_per_request = false;  ///< Each request opens a flow of its own.
  Milliseconds flow_life{0};      ///< Longest life of a kept flow; lives are
                                  ///< uniformly distributed. 0: no limit.
  double requests_per_s = 1;     ///< Mean rate of all users of one CallerModel.
  int users = 1;                 ///< Users of one CallerModel.
  Microseconds mean_work{0};     ///< Mean time for which a request occupies a
                                 ///< slot.
  uint32_t answer_bytes = 1000;  ///< Size of an answer's body.
  Milliseconds target{200};      ///< Answers within this time count as on time.
  Milliseconds deadline{3000};   ///< The caller gives up after this time.
  double on_time_value = 1;      ///< Value of an answer within the target.
  double late_value = 0.3;       ///< Value of a later answer.
  int max_retries = 2;           ///< Further attempts after the first.

  bool operator==(const RequestKind&) const = default;
};

/** How a request ended for its caller. kDone: answered; kShed: refused by a
 * full backend server; kFailed: the flow was lost or the backend server
 * reported a failure; kDeadline: the deadline passed. */
enum class RequestEnd : uint8_t { kPending, kDone, kShed, kFailed, kDeadline };

/** A request as its caller saw it, with all its attempts. */
struct RequestRecord {
  uint64_t id = 0;      ///< ModelRequest::id of the last attempt that was sent.
  size_t kind = 0;      ///< Index of its RequestKind.
  TimePoint issued_at;  ///< When the user issued the request; the deadline
                        ///< counts from here.
  TimePoint ended_at = kNever;  ///< kNever while it is pending.
  RequestEnd end = RequestEnd::kPending;
  bool has_wrong_answer = false;  ///< An answer belonged to another request, or
                                  ///< was corrupted.
  std::vector<uint64_t> attempts;  ///< ModelRequest::id of each attempt; 0 if
                                   ///< the request wasn't sent in it.
  Microseconds work{0};  ///< Time for which the last attempt occupies a slot;
                         ///< 0 if no attempt was sent.

  bool operator==(const RequestRecord&) const = default;
};

/** All users of one data centre. */
class CallerModel {
 public:
  /**
   * @param caller_ip IPv4 address of all users; each flow has a port of its
   * own.
   * @param kinds Kinds of request; must outlive this.
   * @param now When the first requests are due.
   */
  CallerModel(uint32_t caller_ip,
              const std::vector<RequestKind>& kinds,
              TimePoint now);

  /** Handles a packet for one of the users and adds the packets that the user
   * sends to `out`. */
  void OnPacket(TimePoint now,
                const ModelPacket& packet,
                std::vector<ModelPacket>& out);
  /**
   * Issues requests that are due, retransmits, and gives up requests whose
   * deadline has passed.
   * @param load Multiple of the kinds' request rates; 0 issues no more
   * requests.
   */
  void Tick(TimePoint now,
            double load,
            RandomEngine& random,
            std::vector<ModelPacket>& out);

  const std::vector<RequestRecord>& Records() const { return this->records; }
  /** @return Flows that were reset while they were open. */
  const std::vector<FlowKey>& Resets() const { return this->resets; }

 private:
  struct Flow {
    FlowKey key;
    /** Sequence number of the caller's opening packet. */
    uint32_t initial_sequence = 0;
    int opening_transmissions = 0;  ///< Opening packets sent so far.
    TimePoint next_opening_at;      ///< When the next opening packet is due, or
                                    ///< the attempt ends.
    bool open = false;              ///< The opening packet has been answered.
    /** When the flow is closed as soon as no request is in progress. */
    TimePoint closes_at = kNever;
    FlowTag tag;  ///< Tag of the last packet from the service; sent back in the
                  ///< caller's packets.
    Receiver receiver{0};
    Sender sender{0};
    std::string unparsed;      ///< Received bytes of an incomplete answer.
    size_t record_index = 0;   ///< Index in `records` of the current request.
    bool has_request = false;  ///< A request is in progress.
    bool request_written = false;  ///< The request in progress has been sent.
  };
  struct User {
    size_t kind = 0;  ///< Index of the RequestKind that the user issues.
    std::optional<Flow> flow;   ///< Empty if the user has no flow.
    std::vector<size_t> queue;  ///< Indexes in `records` of requests that wait
                                ///< for the flow.
  };

  /** Adds a request to the queue of a user, if possible of an idle one. */
  void IssueRequest(TimePoint now, size_t kind);
  /** Ends expired requests in the user's queue. Then, if the user is idle,
   * starts the next one and opens a flow if there is none. */
  void StartNextRequest(TimePoint now,
                        User& user,
                        RandomEngine& random,
                        std::vector<ModelPacket>& out);
  void OpenFlow(TimePoint now, User& user, RandomEngine& random);
  /** Sends the opening packet, or retransmits it. */
  void SendOpening(TimePoint now, Flow& flow, std::vector<ModelPacket>& out);
  void WriteRequest(TimePoint now, Flow& flow, RandomEngine& random);
  /** @param text All received bytes that haven't been parsed yet. */
  void OnAnswer(TimePoint now,
                User& user,
                const std::string& text,
                std::vector<ModelPacket>& out);
  /** Removes the user's flow; `end` is the end of the request in progress. */
  void OnFlowLost(TimePoint now, User& user, RequestEnd end);
  /** Queues the current request for a retry if it may be retried, and ends it
   * otherwise. */
  void EndAttempt(TimePoint now, User& user, RequestEnd end);
  void CloseFlow(User& user, std::vector<ModelPacket>& out);
  /** @return A packet to the service without payload. */
  ModelPacket MakeHeader(const Flow& flow) const;

  uint32_t caller_ip;
  const std::vector<RequestKind>& kinds;
  std::vector<User> users;               ///< Grouped by kind.
  std::vector<TimePoint> next_issue_at;  ///< When the next request is due, by
                                         ///< kind.
  std::vector<size_t> next_user;         ///< Where the search for an idle user
                                         ///< starts, by kind.
  std::map<uint32_t, size_t> user_by_port;  ///< Indexes in `users`.
  uint16_t next_port = 1024;  ///< Port of the next flow, see kFirstPort.
  uint64_t next_id;           ///< ModelRequest::id of the next attempt.
  std::vector<RequestRecord> records;  ///< All requests, in order of issue.
  std::vector<FlowKey> resets;  ///< Flows that were reset while they were open.
};

}  // namespace cuminvane::emulate

#endif  // CUMINVANE_EMULATE_CALLER_MODEL_H_
