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
  int queue = 8;
  Milliseconds cold{0};  ///< Slow for so long after its start.
  double cold_factor = 1.6;

  bool operator==(const BackendOptions&) const = default;
};

/** A request that began to run, as the backend server saw it. */
struct RunRecord {
  uint64_t request = 0;
  TimePoint at;

  bool operator==(const RunRecord&) const = default;
};

/** An opening packet that was taken. */
struct OpenRecord {
  FlowKey key;
  TimePoint at;

  bool operator==(const OpenRecord&) const = default;
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
  void SetSlow(double factor) { this->slow = factor; }
  /** This share of the requests fails from now on. */
  void SetFailing(double share) { this->failing = share; }
  /** Flows are closed with their next answer from now on. */
  void BeginDrain() { this->draining = true; }

  /** @return Whether the flow is open here. */
  bool Holds(const FlowKey& key) const;
  /** @return Time in which slots were busy. */
  Microseconds Busy() const { return this->busy; }
  const std::vector<RunRecord>& Runs() const { return this->runs; }
  const std::vector<OpenRecord>& Opens() const { return this->opens; }

 private:
  struct Flow {
    uint32_t own_start = 0;
    bool open = false;
    FlowTag tag;
    Receiver in{0};
    Sender out{0};
    std::string unread;
    bool last = false;  ///< Closed once its answer has been taken.
  };
  struct Job {
    FlowKey key;
    ModelRequest request;
    TimePoint ends_at;
  };

  ModelPacket Head(const FlowKey& key, const Flow& flow) const;
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
  void StartJobs(TimePoint now);
  void Answer(TimePoint now, const FlowKey& key, const std::string& text);

  BackendOptions options;
  TimePoint cold_until;
  double slow = 1;
  double failing = 0;
  bool draining = false;
  std::map<FlowKey, Flow> flows;
  std::deque<Job> waiting;
  std::vector<Job> running;
  std::vector<RunRecord> runs;
  std::vector<OpenRecord> opens;
  Microseconds busy{0};
};

}  // namespace cuminvane::emulate

#endif  // CUMINVANE_EMULATE_BACKEND_MODEL_H_
