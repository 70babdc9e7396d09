/** @file world_base.h Emulates a whole fleet in virtual time: balancers that
 * run the product's decision code, with emulated callers, backend servers,
 * routers and platform. */

#ifndef CUMINVANE_EMULATE_WORLD_BASE_H_
#define CUMINVANE_EMULATE_WORLD_BASE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "balancer/balancer_base.h"
#include "emulate/backend_model.h"
#include "emulate/experiment_type.h"

namespace cuminvane::emulate {

/** A guarantee of the product that was violated in a run. */
struct InvariantViolation {
  /**
   * Name of the guarantee:
   * - mixed: callers get intact packets and the answers to their own requests.
   * - unasked: backend servers get intact packets and run no request that no
   *   caller sent.
   * - config: balancers open flows as configured and don't return to an older
   *   configuration.
   * - flow: balancers don't reset flows that are open at a healthy backend
   *   server. One that drains is healthy until its process ends.
   * - route: a request runs only at services to which it was routed.
   * - doubled: a non-idempotent request runs at most once.
   * - drain: a draining backend server gets no new flows.
   * - recover: requests are answered again after the last fault.
   */
  std::string rule;
  std::string what;  ///< Description of what was observed.
  TimePoint at;      ///< When it happened.

  bool operator==(const InvariantViolation&) const = default;
};

/** The outcome of one run. */
struct WorldResult {
  TimePoint load_started_at;
  std::vector<RequestRecord> requests;  ///< Requests of all callers.
  std::vector<InvariantViolation> violations;
  std::map<VmId, Microseconds> busy_time;  ///< Time in which slots were busy,
                                           ///< summed over the slots of each
                                           ///< backend server.
  std::map<VmId, std::string> service_by_backend;
  uint64_t sheds = 0;        ///< Requests that full backend servers refused,
                             ///< each attempt counted.
  uint64_t resets = 0;       ///< Resets that balancers sent to callers.
  uint64_t checks = 0;       ///< Health checks that balancers started.
  uint64_t start_bytes = 0;  ///< Bytes that balancers sent to each other before
                             ///< the load started.
  uint64_t peer_bytes = 0;   ///< Bytes that balancers sent to each other during
                             ///< the load.
};

/** Alters a packet at a balancer or the balancer's decision on it. Tests use
 * this to show that the checks detect a faulty decision. */
using DecisionMutator = std::function<
    void(ModelPacket& packet, PacketAction& action, RandomEngine& random)>;

/** The route of one kind of request, from one configuration version on. */
struct RouteChange {
  uint64_t version = 0;  ///< Configuration version that set the route.
  TimePoint at;          ///< When this version was published.
  std::string service;   ///< Service of new flows; empty if there is no route.

  bool operator==(const RouteChange&) const = default;
};

/** The documents as they were in the platform's store at some time. */
struct StoreSnapshot {
  TimePoint at;                 ///< When they were published.
  uint64_t config_version = 0;  ///< Version in `config`.
  uint64_t list_revision = 0;   ///< Revision of the store; see World.
  std::string config;           ///< Text of the configuration.
  std::string vms;              ///< Sections of the VM list without its header.

  bool operator==(const StoreSnapshot&) const = default;
};

/** A time in which the platform's store was unavailable or had older content.
 */
struct StoreDisturbance {
  TimePoint from;
  TimePoint until;

  bool operator==(const StoreDisturbance&) const = default;
};

/** One run of an experiment with one variant. */
class World {
 public:
  World(const Experiment& experiment, const Variant& variant);

  /** Applies `mutator` to every packet that a balancer handles. */
  void SetDecisionMutator(DecisionMutator mutator) {
    this->decision_mutator = std::move(mutator);
  }

  /** Runs the experiment to its end. */
  WorldResult Run();

 private:
  using EmulatedBalancer = Balancer<NullMutex>;

  /** A balancer VM. */
  struct BalancerNode {
    VmId vm;
    size_t centre = 0;  ///< Index in Experiment::data_centres.
    std::unique_ptr<Settings> settings;
    std::unique_ptr<EmulatedBalancer> balancer;  ///< Null while the process is
                                                 ///< down.
    bool paused = false;                         ///< The process runs no code.
    bool stopping = false;           ///< A planned stop is in progress.
    int failed_readiness_polls = 0;  ///< Consecutive failures.
    bool in_rotation = false;        ///< The routers consider it ready.
    TimePoint last_disturbed_at;     ///< Last kill or end of a pause.
    uint64_t start_count = 0;        ///< Process starts so far.
    uint64_t observed_version = 0;   ///< Lowest configuration version that
                                     ///< explains how opening packets were
                                     ///< handled since the process started.
    TimePoint observed_version_at;   ///< When `observed_version` was set.
  };

  /** A backend server VM. */
  struct BackendServer {
    BackendOptions options;
    uint64_t incarnation = 1;
    size_t centre = 0;  ///< Index in Experiment::data_centres.
    std::unique_ptr<BackendModel> model;  ///< Null while the process is down.
    bool unresponsive = false;  ///< The VM answers no packet or health check.
    bool listed = true;         ///< The platform's VM list contains the VM.
    TimePoint draining_since = kNever;  ///< kNever if it isn't draining.
    /** Last crash, restart or end of a partition; for a slowdown or failures
     * the time of their end, which is in the future until then. */
    TimePoint last_disturbed_at;
    /** Records of the processes that have ended; see BackendModel. */
    Microseconds busy_time{0};
    std::vector<RunRecord> runs;
    std::vector<AcceptedFlow> accepted_flows;
  };

  /** A packet or a datagram in transit. */
  struct Delivery {
    enum class Kind : uint8_t { kToBalancer, kToBackend, kToCaller, kPeer };
    Kind kind = Kind::kToBalancer;
    size_t node = 0;  ///< kToBalancer, kPeer: index of the receiving balancer;
                      ///< kToBackend: index of the balancer that forwarded the
                      ///< packet; kToCaller: index of the data centre.
    VmId target;      ///< kToBackend: the receiving backend server.
    ModelPacket packet;  ///< All kinds but kPeer.
    Endpoint from;       ///< kPeer: address of the sending balancer.
    std::string bytes;   ///< kPeer: the datagram.
  };

  /** The action of a scheduled event. */
  using Event = std::function<void()>;

  /** Creates the fleet and starts all balancers. */
  void BuildFleet();
  /** Starts a new process of a balancer with empty state. */
  void StartBalancer(BalancerNode& node);
  /** Offers the store's configuration and VM list to a balancer, unless it is
   * down or paused or the store is unavailable. */
  void OfferDocuments(BalancerNode& node);
  /** Confirms a balancer's documents, as its watch of the store would, if they
   * are not older than the store's. */
  void ConfirmDocuments(BalancerNode& node) const;
  /** Publishes a new version of the VM list. */
  void PublishList();
  /**
   * Publishes a new version of the configuration.
   * @param kind Index of the kind of request whose route changes.
   * @param service New service of its flows; empty to remove the route.
   */
  void PublishRoute(size_t kind, const std::string& service);
  /** Offers the store's documents to each balancer after a random delay of at
   * most Experiment::max_notification_delay. */
  void NotifyBalancers();
  /** Records the current documents, for a later restore of the store. */
  void RecordSnapshot();
  /** Makes the store unavailable for the fault's duration, and restores it from
   * an older copy then. */
  void LoseStore(const FaultPlan& fault);
  /** @return The version of the VM list in the store. */
  uint64_t ListVersion() const;
  /** @return The current configuration as text. */
  std::string ConfigText() const;
  /** @return The current VM list as text, without its header. */
  std::string ListSections() const;
  /** Advances the virtual time by one step and handles what is due. */
  void Step();
  /** Hands a delivery to its receiver. */
  void Deliver(const Delivery& delivery);
  /** Lets a balancer handle a caller's packet and carries out its decision. */
  void DeliverToBalancer(const Delivery& delivery);
  /** Lets a backend server handle a packet that a balancer forwarded. */
  void DeliverToBackend(const Delivery& delivery);
  /** Sends what a balancer has put out, starts its health checks, and clears
   * `out`. */
  void SendOutput(BalancerNode& node, PacketOutput& out);
  /** Answers a balancer's fetch of a document after a delay, or lets it fail.
   */
  void RunFetch(BalancerNode& node, const PeerFetch& fetch);
  /** Counts bytes that balancers sent to each other. */
  void CountPeerBytes(size_t bytes);
  /** Determines the result of a health check and reports it when it is due. */
  void RunHealthCheck(BalancerNode& node, const HealthCheck& check);
  /** Sends a reset to a caller. Checks that the reset doesn't end a flow which
   * should survive. */
  void SendReset(BalancerNode& node, const FlowReset& reset);
  /** Sends a backend server's packets to their callers and clears `packets`. */
  void SendFromBackend(BackendServer& server,
                       std::vector<ModelPacket>& packets);
  /** Sends packets of a data centre's callers to balancers and clears
   * `packets`. */
  void SendFromCallers(size_t centre, std::vector<ModelPacket>& packets);
  /** @return The balancer to which the routers of a data centre send a flow's
   * packets; null if no balancer of any data centre is in rotation. */
  BalancerNode* ChooseBalancer(size_t centre, const FlowKey& key);
  /** Polls the readiness of all balancers and updates the rotation. */
  void PollReadiness();
  /** @return Whether a partition separates two data centres. */
  bool IsPartitioned(size_t one, size_t other) const;
  /** @return One-way delay between two data centres, or within one. */
  Microseconds OneWayDelay(size_t one, size_t other) const;
  /** Delivers after `delay`, or loses the delivery at random, at the
   * experiment's rate of packet loss. */
  void Send(Microseconds delay, Delivery delivery);
  /** Schedules an event. */
  void ScheduleAt(TimePoint when, Event event);
  /** Begins the time for which busy time and refusals are reported. */
  void BeginMeasurement();
  /** Records a violation at the current time. */
  void RecordViolation(const char* rule, const std::string& what);

  /** Schedules the start of a fault. */
  void ScheduleFault(const FaultPlan& fault);
  /** Starts a fault and schedules its end. */
  void InjectFault(const FaultPlan& fault);
  /** @return Up to FaultPlan::count random balancers that are up and fit the
   * fault's data centre. */
  std::vector<BalancerNode*> DrawBalancers(const FaultPlan& fault);
  /** @return Up to FaultPlan::count random backend servers that are up, don't
   * drain, and fit the fault's service and data centre. */
  std::vector<BackendServer*> DrawBackends(const FaultPlan& fault);
  /** @return Index of the fault's data centre, or of a random one if the fault
   * names none. */
  size_t DrawCentre(const FaultPlan& fault);
  /** @return Index of the kind of request; the number of kinds if there is no
   * kind of this name. */
  size_t FindKindByName(const std::string& name) const;
  /** Ends a balancer's process without a shutdown. */
  void KillBalancer(BalancerNode& node);
  /** Shuts a balancer down in order, and starts it again `duration` after its
   * process has ended. */
  void StopBalancer(BalancerNode& node, Milliseconds duration);
  /**
   * Ends a backend server's process.
   * @param unresponsive Whether its VM goes silent too; otherwise the VM
   * resets flows and refuses health checks.
   */
  void CrashBackend(BackendServer& server, bool unresponsive);
  /** Starts a new process of a backend server that has crashed. */
  void RestartBackend(BackendServer& server);
  /** Adds the records of a backend server's process to those of its earlier
   * starts, and ends the process. */
  void CollectRecords(BackendServer& server);
  /** Adds a new backend server in place of one that starts to drain. */
  void ReplaceBackend(BackendServer& server);
  /** Schedules the stop of a backend server that starts to drain: its listener
   * closes first, then its process ends and its VM goes silent. */
  void ScheduleStop(BackendServer& server);
  /** Replaces random backend servers one after the other, spread over the
   * fault's duration. */
  void StartRollingRelease(const FaultPlan& fault);

  /** Records a violation of `rule` if a packet was altered in transit. */
  void VerifyChecksum(const ModelPacket& packet, const char* rule);
  /** @return Whether the store was available and had the current documents at
   * `at` and in the settling time before it. */
  bool IsStoreStable(TimePoint at) const;
  /**
   * Checks that a balancer handled an opening packet as configured.
   * @param service Service of the chosen backend server; empty if the balancer
   * reset the flow.
   */
  void CheckOpening(BalancerNode& node,
                    const FlowKey& key,
                    const std::string& service);
  /** @return Index of the kind of request that a flow carries; the number of
   * kinds if the address belongs to none. */
  size_t KindIndexOf(const FlowKey& key) const;
  /**
   * @param kind Index of a kind of request.
   * @param service Empty stands for "no route".
   * @return Whether `kind` was routed to `service` at `since` or later.
   */
  bool WasRoutedTo(size_t kind,
                   const std::string& service,
                   TimePoint since) const;
  /** Checks that each request ran at the right service, that non-idempotent
   * requests ran at most once, and that callers got the right answers. */
  void CheckRequests(WorldResult& outcome) const;
  /** Checks that draining backend servers accepted no new flows. */
  void CheckDrains(WorldResult& outcome) const;
  /** Checks that requests are answered again after the last fault. */
  void CheckRecovery(WorldResult& outcome) const;

  Experiment experiment;
  Variant variant;
  RandomEngine random;
  TimePoint now = TimePoint(Seconds(1'000'000));  ///< The virtual time.
  TimePoint load_started_at;
  TimePoint faults_end_at;          ///< When the last fault ends.
  std::vector<RequestKind> kinds;   ///< Parallel to Experiment::request_plans.
  std::vector<BalancerNode> nodes;  ///< All balancers.
  std::map<VmId, BackendServer> servers;  ///< All backend servers, also those
                                          ///< that have been replaced.
  std::vector<CallerModel> callers;       ///< One for each data centre.
  std::multimap<TimePoint, Delivery> deliveries;  ///< By time of arrival.
  std::multimap<TimePoint, Event> events;
  std::set<size_t> isolated_centres;  ///< Data centres that a partition
                                      ///< separates from all others.
  uint64_t store_era = 0;             ///< Number of restores of the store.
  uint64_t list_revision = 1;  ///< Revision of the store at the last change of
                               ///< the VM list; a restore takes it back.
  uint64_t config_version = 1;
  std::vector<StoreSnapshot> snapshots;  ///< All published documents, oldest
                                         ///< first.
  bool store_available = true;
  std::optional<StoreSnapshot> restored;  ///< What the store contains in place
                                          ///< of the current documents.
  std::vector<StoreDisturbance> store_disturbances;
  std::vector<std::vector<RouteChange>> routes;  ///< Route history of each kind
                                                 ///< of request, oldest first.
  uint64_t next_backend_number = 1;
  double load_factor = 1;  ///< Multiple of the planned request rate.
  std::map<VmId, Microseconds> earlier_busy_time;  ///< Before the time that
                                                   ///< is reported.
  uint64_t earlier_sheds = 0;                      ///< As `earlier_busy_time`.
  DecisionMutator decision_mutator;  ///< Empty if decisions aren't altered.
  WorldResult result;
};

}  // namespace cuminvane::emulate

#endif  // CUMINVANE_EMULATE_WORLD_BASE_H_
