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
struct RuleBreak {
  std::string rule;
  std::string what;
  TimePoint at;

  bool operator==(const RuleBreak&) const = default;
};

/** Everything that a run came to. */
struct WorldResult {
  TimePoint begun_at;
  std::vector<RequestRecord> requests;
  std::vector<RuleBreak> breaks;
  std::map<VmId, Microseconds> busy;  ///< Of each backend server's slots.
  std::map<VmId, std::string> services;
  uint64_t resets = 0;
  uint64_t checks = 0;
  uint64_t start_bytes = 0;  ///< Between balancers, before the load.
  uint64_t peer_bytes = 0;   ///< Between balancers, during the load.
};

/** Changes a packet at a balancer and what is decided about it, to show that a
 * broken decision is noticed. */
using Sabotage = std::function<
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
  void SetSabotage(Sabotage change) { this->sabotage = std::move(change); }

  /** Runs to the end. */
  WorldResult Run();

 private:
  using Core = Balancer<NullMutex>;

  struct Node {
    VmId vm;
    size_t centre = 0;
    std::unique_ptr<Settings> settings;
    std::unique_ptr<Core> core;  ///< Null while it is down.
    bool paused = false;
    bool stopping = false;
    int misses = 0;  ///< Of readiness, in a row.
    bool in_rotation = false;
    TimePoint disturbed_at;
    uint64_t starts = 0;
    uint64_t shown_version = 0;  ///< Newest that its opened flows show.
    TimePoint shown_at;
  };

  struct Server {
    BackendOptions options;
    uint64_t incarnation = 1;
    size_t centre = 0;
    std::unique_ptr<BackendModel> model;  ///< Null while it is down.
    bool dark = false;
    bool listed = true;
    TimePoint draining_since = kNever;
    TimePoint disturbed_at;
    Microseconds busy{0};  ///< Of earlier starts.
    std::vector<RunRecord> runs;
    std::vector<OpenRecord> opens;
  };

  /** A packet or a message on its way. */
  struct Flight {
    enum class Kind : uint8_t { kToBalancer, kToBackend, kToCaller, kPeer };
    Kind kind = Kind::kToBalancer;
    size_t node = 0;  ///< Balancer or data centre concerned.
    VmId target;      ///< Backend server that may take it.
    ModelPacket packet;
    Endpoint from;      ///< For kPeer.
    std::string bytes;  ///< For kPeer.
  };

  /** Something that happens at a time. */
  using Deed = std::function<void()>;

  void Build();
  void Start(Node& node);
  void OfferDocuments(Node& node);
  void PublishList();
  void PublishRoute(size_t kind, const std::string& service);
  void TellAll();
  std::string ConfigText() const;
  std::string ListText() const;
  void Step();
  void Deliver(const Flight& flight);
  void ToBalancer(const Flight& flight);
  void ToBackend(const Flight& flight);
  void Carry(Node& node, PacketOutput& out);
  void StartCheck(Node& node, const HealthCheck& check);
  void SendReset(Node& node, const FlowReset& reset);
  void FromBackend(Server& server, std::vector<ModelPacket>& packets);
  void FromCallers(size_t centre, std::vector<ModelPacket>& packets);
  Node* RouterChoice(size_t centre, const FlowKey& key);
  void PollReadiness();
  bool IsCut(size_t one, size_t other) const;
  Microseconds Delay(size_t one, size_t other) const;
  void Send(Microseconds delay, Flight flight);
  void At(TimePoint when, Deed deed);
  void Note(const char* rule, const std::string& what);

  void Schedule(const FaultPlan& fault);
  void Begin(const FaultPlan& fault);
  std::vector<Node*> DrawNodes(const FaultPlan& fault);
  std::vector<Server*> DrawServers(const FaultPlan& fault);
  size_t DrawCentre(const FaultPlan& fault);
  size_t KindNamed(const std::string& name) const;
  void Kill(Node& node);
  void Stop(Node& node, Milliseconds span);
  void Crash(Server& server, bool dark);
  void Revive(Server& server);
  void Retire(Server& server);
  void Replace(Server& server);
  void Release(const FaultPlan& fault);

  void CheckSeal(const ModelPacket& packet, const char* rule);
  void CheckOpening(Node& node, const FlowKey& key, const std::string& service);
  size_t KindOf(const FlowKey& key) const;
  bool WasAllowed(size_t kind,
                  const std::string& service,
                  TimePoint since) const;
  void CheckRequests(WorldResult& outcome) const;
  void CheckOpens(WorldResult& outcome) const;
  void CheckRecovery(WorldResult& outcome) const;

  Experiment experiment;
  Variant variant;
  RandomEngine random;
  TimePoint now = TimePoint(Seconds(1'000'000));
  TimePoint begun_at;
  TimePoint faults_over;
  std::vector<WorkKind> kinds;
  std::vector<Node> nodes;
  std::map<VmId, Server> servers;
  std::vector<CallerModel> callers;
  std::multimap<TimePoint, Flight> flights;
  std::multimap<TimePoint, Deed> deeds;
  std::set<size_t> cut_centres;
  uint64_t list_version = 1;
  uint64_t config_version = 1;
  std::vector<std::vector<RouteChange>> routes;  ///< Of each kind of work.
  uint64_t next_server = 1;
  double load = 1;
  Sabotage sabotage;
  WorldResult result;
};

}  // namespace cuminvane::emulate

#endif  // CUMINVANE_EMULATE_WORLD_BASE_H_
