/** @file backend_model.h An emulated backend server of opaque flows. */

#ifndef CUMINVANE_EMULATE_BACKEND_MODEL_H_
#define CUMINVANE_EMULATE_BACKEND_MODEL_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/random_type.h"
#include "emulate/model_type.h"

namespace cuminvane::emulate {

/** Properties of an emulated backend server. */
struct BackendOptions {
  VmId vm;
  std::string service;
  std::string data_centre;
  int slots = 2;        ///< Maximum number of requests running at a time.
  int queue_limit = 8;  ///< Maximum number of requests that wait for a slot;
                        ///< further requests are shed.
  Milliseconds warm_up{0};  ///< Length of the warm-up (slow start) after the
                            ///< process starts; 0 means no warm-up.
  double warm_up_factor = 1.6;  ///< Multiple of the running time of requests
                                ///< that start during the warm-up.
  double speed = 1;             ///< Requests run this many times as fast.

  bool operator==(const BackendOptions&) const = default;
};

/** The start of a run, as recorded by the backend server. */
struct RunRecord {
  uint64_t request_id = 0;  ///< ModelRequest::id.
  TimePoint at;             ///< When the run started.

  bool operator==(const RunRecord&) const = default;
};

/** A flow whose opening packet arrived at the backend server. It counts as
 * accepted even if the listener is closed. */
struct AcceptedFlow {
  FlowKey key;
  TimePoint at;  ///< When the opening packet arrived.

  bool operator==(const AcceptedFlow&) const = default;
};

/** A backend server process: runs the requests of its flows in a limited number
 * of slots, queues requests while all slots are busy, and sheds requests while
 * the queue is full. */
class BackendModel {
 public:
  BackendModel(const BackendOptions& options, TimePoint now);

  /** Handles a packet of a caller and adds the packets for callers to `out`. */
  void OnPacket(TimePoint now,
                const ModelPacket& packet,
                RandomEngine& random,
                std::vector<ModelPacket>& out);
  /** Ends runs that are done, starts queued requests, sends what is due, and
   * removes flows that have closed or don't acknowledge. */
  void Tick(TimePoint now, std::vector<ModelPacket>& out);

  /** Requests that start from now on run `factor` times as long. */
  void SetSlowdown(double factor) { this->slowdown = factor; }
  /** @param share Share of requests that fail from now on, 0 to 1. */
  void SetFailureShare(double share) { this->failure_share = share; }
  /** From now on, closes each flow after its next answer. */
  void BeginDrain() { this->draining = true; }
  /** From now on, leaves opening packets unanswered; open flows are served. */
  void CloseListener() { this->listening = false; }
  /** @return Whether the backend server accepts connections. */
  bool IsListening() const { return this->listening; }

  /** @return Whether the flow is open here. */
  bool HasOpenFlow(const FlowKey& key) const;
  /** @return Time in which slots were busy, summed over the slots. */
  Microseconds BusyTime() const { return this->busy_time; }
  /** @return Requests that were refused because the queue was full. */
  uint64_t Sheds() const { return this->sheds; }
  const std::vector<RunRecord>& Runs() const { return this->runs; }
  const std::vector<AcceptedFlow>& AcceptedFlows() const {
    return this->accepted_flows;
  }

 private:
  struct Flow {
    uint32_t initial_sequence = 0;  ///< Sequence number of the backend server's
                                    ///< reply to the opening packet.
    bool open = false;  ///< The caller has acknowledged the opening reply.
    FlowTag tag;        ///< Tag of the caller's last packet.
    Receiver receiver{0};
    Sender sender{0};
    std::string unparsed;  ///< Received bytes of an incomplete request.
    /** The backend server drains: close the flow when the caller has
     * acknowledged the answer. */
    bool closes_after_answer = false;
  };
  /** A queued or running request. */
  struct AcceptedRequest {
    FlowKey key;
    ModelRequest request;
    TimePoint ends_at;  ///< kNever while it is queued.
  };

  /** @return A packet to the caller without payload. */
  ModelPacket MakeHeader(const FlowKey& key, const Flow& flow) const;
  void OnOpening(const ModelPacket& packet,
                 RandomEngine& random,
                 std::vector<ModelPacket>& out);
  void OnData(TimePoint now,
              const ModelPacket& packet,
              Flow& flow,
              RandomEngine& random,
              std::vector<ModelPacket>& out);
  void OnRequest(TimePoint now,
                 const FlowKey& key,
                 const ModelRequest& request,
                 RandomEngine& random);
  /** Starts queued requests while slots are free. */
  void StartQueuedRequests(TimePoint now);
  /** Queues an answer for sending, unless its flow is gone. */
  void QueueAnswer(TimePoint now, const FlowKey& key, const std::string& text);

  BackendOptions options;
  TimePoint warm_up_until;   ///< End of the warm-up.
  double slowdown = 1;       ///< Factor on running times; 1 means normal speed.
  double failure_share = 0;  ///< Share of requests that fail, 0 to 1.
  bool draining = false;
  bool listening = true;          ///< See IsListening.
  std::map<FlowKey, Flow> flows;  ///< Open flows, and flows whose opening reply
                                  ///< isn't acknowledged yet.
  std::deque<AcceptedRequest> waiting;   ///< Queued, in order of arrival.
  std::vector<AcceptedRequest> running;  ///< Requests that occupy a slot.
  std::vector<RunRecord> runs;
  std::vector<AcceptedFlow> accepted_flows;
  /** Time in which slots were busy, summed over the slots. */
  Microseconds busy_time{0};
  uint64_t sheds = 0;  ///< See Sheds.
};

}  // namespace cuminvane::emulate

#endif  // CUMINVANE_EMULATE_BACKEND_MODEL_H_
