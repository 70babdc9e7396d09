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

/** How an emulated backend server is made. */
struct BackendOptions {
  VmId vm;
  std::string service;
  std::string data_centre;
  int slots = 2;
  int queue_limit = 8;
  Milliseconds warm_up{0};  ///< Slow for so long after its start.
  double warm_up_factor = 1.6;

  bool operator==(const BackendOptions&) const = default;
};

/** A request that began to run, as the backend server saw it. */
struct RunRecord {
  uint64_t request = 0;
  TimePoint at;

  bool operator==(const RunRecord&) const = default;
};

/** An opening packet that was taken. */
struct AcceptedFlow {
  FlowKey key;
  TimePoint at;

  bool operator==(const AcceptedFlow&) const = default;
};

/** Serves flows with some slots and a queue, sheds what is more. */
class BackendModel {
 public:
  BackendModel(const BackendOptions& options, TimePoint now);

  /** Takes a packet of a caller; packets for callers go into `out`. */
  void OnPacket(TimePoint now,
                const ModelPacket& packet,
                RandomEngine& random,
                std::vector<ModelPacket>& out);
  /** Ends work, begins work, sends what is due. */
  void Tick(TimePoint now, std::vector<ModelPacket>& out);

  /** Work takes this many times as long from now on. */
  void SetSlowdown(double factor) { this->slowdown = factor; }
  /** This share of the requests fails from now on. */
  void SetFailureShare(double share) { this->failure_share = share; }
  /** Flows are closed with their next answer from now on. */
  void BeginDrain() { this->draining = true; }

  /** @return Whether the flow is open here. */
  bool HasOpenFlow(const FlowKey& key) const;
  /** @return Time in which slots were busy. */
  Microseconds BusyTime() const { return this->busy_time; }
  const std::vector<RunRecord>& Runs() const { return this->runs; }
  const std::vector<AcceptedFlow>& AcceptedFlows() const { return this->opens; }

 private:
  struct Flow {
    uint32_t initial_sequence = 0;
    bool open = false;
    FlowTag tag;
    Receiver in{0};
    Sender out{0};
    std::string unparsed;
    bool closes_after_answer =
        false;  ///< Closed once its answer has been taken.
  };
  struct AcceptedRequest {
    FlowKey key;
    ModelRequest request;
    TimePoint ends_at;
  };

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
  void StartQueuedRequests(TimePoint now);
  void QueueAnswer(TimePoint now, const FlowKey& key, const std::string& text);

  BackendOptions options;
  TimePoint warm_up_until;
  double slowdown = 1;
  double failure_share = 0;
  bool draining = false;
  std::map<FlowKey, Flow> flows;
  std::deque<AcceptedRequest> waiting;
  std::vector<AcceptedRequest> running;
  std::vector<RunRecord> runs;
  std::vector<AcceptedFlow> opens;
  Microseconds busy_time{0};
};

}  // namespace cuminvane::emulate

#endif  // CUMINVANE_EMULATE_BACKEND_MODEL_H_
