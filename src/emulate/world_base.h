/** @file world_base.h A whole fleet in virtual time: balancers with their real
 * decisions, emulated callers, backend servers, routers and platform. */

#ifndef CUMINVANE_EMULATE_WORLD_BASE_H_
#define CUMINVANE_EMULATE_WORLD_BASE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "balancer/balancer_base.h"
#include "emulate/backend_model.h"
#include "emulate/experiment_type.h"

namespace cuminvane::emulate {

/** A promise that did not hold. */
struct InvariantViolation {
  std::string rule;
  std::string what;
  TimePoint at;

  bool operator==(const InvariantViolation&) const = default;
};

/** Everything that a run came to. */
struct WorldResult {
  TimePoint load_started_at;
  std::vector<RequestRecord> requests;
  std::vector<InvariantViolation> violations;
  std::map<VmId, Microseconds> busy_time;  ///< Of each backend server's slots.
  std::map<VmId, std::string> services;
  uint64_t resets = 0;
  uint64_t checks = 0;
  uint64_t start_bytes = 0;  ///< Between balancers, before the load.
  uint64_t peer_bytes = 0;   ///< Between balancers, during the load.
};

/** Changes a packet at a balancer and what is decided about it, to show that a
 * broken decision is noticed. */
using DecisionMutator = std::function<
    void(ModelPacket& packet, PacketAction& action, RandomEngine& random)>;

/** Where flows of one kind of work go from one version of the configuration
 * on. */
struct RouteChange {
  uint64_t version = 0;
  TimePoint at;
  std::string service;  ///< Empty: there is no route.

  bool operator==(const RouteChange&) const = default;
};

/** One run of an experiment with one variant. */
class World {
 public:
  World(const Experiment& experiment, const Variant& variant);

  /** Changes decisions from now on. */
  void SetDecisionMutator(DecisionMutator change) {
    this->decision_mutator = std::move(change);
  }

  /** Runs to the end. */
  WorldResult Run();

 private:
  using EmulatedBalancer = Balancer<NullMutex>;

  struct BalancerNode {
    VmId vm;
    size_t centre = 0;
    std::unique_ptr<Settings> settings;
    std::unique_ptr<EmulatedBalancer> balancer;  ///< Null while it is down.
    bool paused = false;
    bool stopping = false;
    int failed_readiness_polls = 0;  ///< Of readiness, in a row.
    bool in_rotation = false;
    TimePoint last_disturbed_at;
    uint64_t start_count = 0;
    uint64_t observed_version = 0;  ///< Newest that its opened flows show.
    TimePoint observed_version_at;
  };

  struct BackendServer {
    BackendOptions options;
    uint64_t incarnation = 1;
    size_t centre = 0;
    std::unique_ptr<BackendModel> model;  ///< Null while it is down.
    bool unresponsive = false;
    bool listed = true;
    TimePoint draining_since = kNever;
    TimePoint last_disturbed_at;
    Microseconds busy_time{0};  ///< Of earlier starts.
    std::vector<RunRecord> runs;
    std::vector<AcceptedFlow> opens;
  };

  /** A packet or a message on its way. */
  struct Delivery {
    enum class Kind : uint8_t { kToBalancer, kToBackend, kToCaller, kPeer };
    Kind kind = Kind::kToBalancer;
    size_t node = 0;  ///< Balancer or data centre concerned.
    VmId target;      ///< Backend server that may take it.
    ModelPacket packet;
    Endpoint from;      ///< For kPeer.
    std::string bytes;  ///< For kPeer.
  };

  /** Something that happens at a time. */
  using Event = std::function<void()>;

  void BuildFleet();
  void StartBalancer(BalancerNode& node);
  void OfferDocuments(BalancerNode& node);
  void PublishList();
  void PublishRoute(size_t kind, const std::string& service);
  void NotifyBalancers();
  std::string ConfigText() const;
  std::string ListText() const;
  void Step();
  void Deliver(const Delivery& delivery);
  void DeliverToBalancer(const Delivery& delivery);
  void DeliverToBackend(const Delivery& delivery);
  void SendOutput(BalancerNode& node, PacketOutput& out);
  void RunHealthCheck(BalancerNode& node, const HealthCheck& check);
  void SendReset(BalancerNode& node, const FlowReset& reset);
  void SendFromBackend(BackendServer& server,
                       std::vector<ModelPacket>& packets);
  void SendFromCallers(size_t centre, std::vector<ModelPacket>& packets);
  BalancerNode* ChooseBalancer(size_t centre, const FlowKey& key);
  void PollReadiness();
  bool IsPartitioned(size_t one, size_t other) const;
  Microseconds OneWayDelay(size_t one, size_t other) const;
  void Send(Microseconds delay, Delivery delivery);
  void ScheduleAt(TimePoint when, Event event);
  void RecordViolation(const char* rule, const std::string& what);

  void ScheduleFault(const FaultPlan& fault);
  void InjectFault(const FaultPlan& fault);
  std::vector<BalancerNode*> DrawBalancers(const FaultPlan& fault);
  std::vector<BackendServer*> DrawBackends(const FaultPlan& fault);
  size_t DrawCentre(const FaultPlan& fault);
  size_t FindKindByName(const std::string& name) const;
  void KillBalancer(BalancerNode& node);
  void StopBalancer(BalancerNode& node, Milliseconds duration);
  void CrashBackend(BackendServer& server, bool unresponsive);
  void RestartBackend(BackendServer& server);
  void CollectRecords(BackendServer& server);
  void ReplaceBackend(BackendServer& server);
  void StartRollingRelease(const FaultPlan& fault);

  void VerifyChecksum(const ModelPacket& packet, const char* rule);
  void CheckOpening(BalancerNode& node,
                    const FlowKey& key,
                    const std::string& service);
  size_t KindIndexOf(const FlowKey& key) const;
  bool WasRoutedTo(size_t kind,
                   const std::string& service,
                   TimePoint since) const;
  void CheckRequests(WorldResult& outcome) const;
  void CheckDrains(WorldResult& outcome) const;
  void CheckRecovery(WorldResult& outcome) const;

  Experiment experiment;
  Variant variant;
  RandomEngine random;
  TimePoint now = TimePoint(Seconds(1'000'000));
  TimePoint load_started_at;
  TimePoint faults_end_at;
  std::vector<RequestKind> kinds;
  std::vector<BalancerNode> nodes;
  std::map<VmId, BackendServer> servers;
  std::vector<CallerModel> callers;
  std::multimap<TimePoint, Delivery> deliveries;
  std::multimap<TimePoint, Event> events;
  std::set<size_t> isolated_centres;
  uint64_t list_version = 1;
  uint64_t config_version = 1;
  std::vector<std::vector<RouteChange>> routes;  ///< Of each kind of work.
  uint64_t next_backend_number = 1;
  double load_factor = 1;
  DecisionMutator decision_mutator;
  WorldResult result;
};

}  // namespace cuminvane::emulate

#endif  // CUMINVANE_EMULATE_WORLD_BASE_H_
