/** @file caller_model.h Emulated callers: users that keep a flow or open one
 * for each request, with deadlines and retries. */

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

/** One kind of request. */
struct RequestKind {
  std::string name;
  Endpoint address;
  bool idempotent = true;
  bool flow_per_request = false;  ///< A flow for each request.
  double requests_per_s =
      1;  ///< Requests a second of all users of one caller VM.
  int users = 1;
  Microseconds work{0};  ///< Mean.
  uint32_t answer_bytes = 1000;
  Milliseconds target{200};
  Milliseconds deadline{3000};
  double worth = 1;
  double late_value = 0.3;
  int retries = 2;

  bool operator==(const RequestKind&) const = default;
};

enum class RequestEnd : uint8_t { kPending, kDone, kShed, kFailed, kDeadline };

/** One request as its caller saw it. */
struct RequestRecord {
  uint64_t id = 0;  ///< Of the last attempt.
  size_t kind = 0;
  TimePoint issued_at;
  TimePoint ended_at = kNever;
  RequestEnd end = RequestEnd::kPending;
  bool has_wrong_answer = false;  ///< An answer was not its own, or not whole.
  std::vector<uint64_t> attempts;
  Microseconds work{0};  ///< Time the last attempt takes a slot; 0: not sent.

  bool operator==(const RequestRecord&) const = default;
};

/** The users of one data centre's callers. */
class CallerModel {
 public:
  /**
   * @param net Address of the callers; each user has a port of its own.
   * @param kinds What they ask; must outlive this.
   */
  CallerModel(uint32_t caller_ip,
              const std::vector<RequestKind>& kinds,
              TimePoint now);

  /** Takes a packet for one of the callers. */
  void OnPacket(TimePoint now,
                const ModelPacket& packet,
                std::vector<ModelPacket>& out);
  /**
   * Asks what is due, sends again, gives up.
   * @param load Times the usual rate; 0: nothing more is asked.
   */
  void Tick(TimePoint now,
            double load,
            RandomEngine& random,
            std::vector<ModelPacket>& out);

  const std::vector<RequestRecord>& Records() const { return this->records; }
  /** @return Resets taken by open flows. */
  const std::vector<FlowKey>& Resets() const { return this->resets; }

 private:
  struct Flow {
    FlowKey key;
    uint32_t initial_sequence = 0;
    int opening_transmissions = 0;
    TimePoint next_opening_at;
    bool open = false;
    FlowTag tag;
    Receiver in{0};
    Sender out{0};
    std::string unparsed;
    size_t record = 0;  ///< Of the request in progress.
    bool has_request = false;
    bool request_written = false;  ///< The request has been written.
  };
  struct User {
    size_t kind = 0;
    std::optional<Flow> flow;
    std::vector<size_t> queue;  ///< Records that wait for the flow.
  };

  void IssueRequest(TimePoint now, size_t kind);
  void StartNextRequest(TimePoint now,
                        User& user,
                        RandomEngine& random,
                        std::vector<ModelPacket>& out);
  void OpenFlow(TimePoint now, User& user, RandomEngine& random);
  void SendOpening(TimePoint now, Flow& flow, std::vector<ModelPacket>& out);
  void WriteRequest(TimePoint now, Flow& flow, RandomEngine& random);
  void OnAnswer(TimePoint now,
                User& user,
                const std::string& text,
                std::vector<ModelPacket>& out);
  void OnFlowLost(TimePoint now, User& user, RequestEnd end);
  void EndAttempt(TimePoint now, User& user, RequestEnd end);
  void CloseFlow(User& user, std::vector<ModelPacket>& out);
  ModelPacket MakeHeader(const Flow& flow) const;

  uint32_t caller_ip;
  const std::vector<RequestKind>& kinds;
  std::vector<User> users;
  std::vector<TimePoint> next_issue_at;  ///< By kind.
  std::vector<size_t> next_user;         ///< By kind.
  std::map<uint32_t, size_t> user_by_port;
  uint16_t next_port = 1024;
  uint64_t next_id;
  std::vector<RequestRecord> records;
  std::vector<FlowKey> resets;
};

}  // namespace cuminvane::emulate

#endif  // CUMINVANE_EMULATE_CALLER_MODEL_H_
