/** @file fleet_fake.h Balancers, backend servers and a caller in one process
 * and in virtual time, joined by queues. */

#ifndef CUMINVANE_TESTS_FLEET_FAKE_H_
#define CUMINVANE_TESTS_FLEET_FAKE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "caller/caller_base.h"
#include "request/token_plane_base.h"
#include "standin/backend_base.h"

namespace cuminvane {

using TestTokenPlane = TokenPlane<NullMutex>;

/** How a fake fleet is set up. */
struct FleetOptions {
  uint64_t seed = 1;
  int balancers = 3;
  int backends = 3;  ///< Of the service `desk`.
  int notes_backends =
      0;  ///< Of the service `notes`; numbered after the others.
  uint32_t slots = 3;
  double loss = 0;
  double duplicate = 0;
  Microseconds delay{500};   ///< One way, everywhere.
  Microseconds jitter{500};  ///< Added at random.
  bool witnessed = true;
};

/**
 * The interfaces of real processes, faked by one queue of datagrams in virtual
 * time.
 *
 * Balancer i has VM i and addresses 10.0.0.i; backend server j has VM 100 + j
 * and address 10.1.0.j.
 */
class FakeFleet {
 public:
  explicit FakeFleet(const FleetOptions& options);

  /** Runs until the time has passed. */
  void RunFor(Microseconds time);
  /** Runs until the condition holds; false where it does not within the time.
   */
  bool RunUntil(const std::function<bool()>& condition, Microseconds time);

  /** Publishes the configuration with these extra lines; every balancer reads
   * it at once. */
  void PublishConfig(uint64_t version, const std::string& extra = "");
  /** Publishes the list of VMs; `leaving` ones are marked so. */
  void PublishVms(uint64_t version, const std::set<uint32_t>& leaving = {});
  /** Offers a configuration to one balancer alone. */
  Result<void> OfferConfig(int balancer, const std::string& text);
  /** Shows the list of VMs as it would be now to one balancer alone. */
  void OfferVms(int balancer,
                uint64_t version,
                const std::set<uint32_t>& leaving);

  /** A balancer loses everything and sends nothing more. */
  void KillBalancer(int balancer);
  /** A balancer starts again as a new incarnation. */
  void RestartBalancer(int balancer);
  /** A balancer begins its graceful shutdown. */
  void BeginBalancerStop(int balancer);
  /** A balancer has finished its graceful shutdown and ends. */
  void EndStop(int balancer);
  /** A balancer neither reads nor acts until it is resumed; its datagrams wait.
   */
  void PauseBalancer(int balancer);
  void ResumeBalancer(int balancer);
  /** A backend server is gone, with all it knew. */
  void KillBackend(int backend);
  /** A backend server starts again at the same address. */
  void RestartBackend(int backend);
  /** No datagram passes between the two VMs. */
  void CutLink(uint32_t first_vm, uint32_t second_vm);
  void HealAllLinks();
  /** The fabric sprays over these balancers only. */
  void SprayOver(const std::vector<int>& balancers);
  /** The fabric sprays over all balancers but this one. */
  void SprayOverAllBut(int balancer);

  /** Opens a flow of a service, `desk` or `notes`, and waits until it is open.
   */
  FlowHandle OpenFlow(const std::string& service = "desk");
  /** Begins to open a flow. */
  FlowHandle StartFlow(const std::string& service);
  /** Sends a request; its end is noted in Ended. */
  RequestKey SendRequest(FlowHandle flow,
                         const std::string& work_class,
                         const WorkOrder& order,
                         Milliseconds deadline = Milliseconds(3000));
  /** Sends a request and waits for its end. */
  CallerEvent SendRequestAndWait(FlowHandle flow,
                                 const std::string& work_class,
                                 const WorkOrder& order,
                                 Milliseconds deadline = Milliseconds(3000));

  /** A fresh order with its own tag. */
  WorkOrder MakeOrder(uint32_t parts = 1, Microseconds busy = Milliseconds(5));

  /** @return Times that work with the tag was started, at all backend servers.
   */
  int StartCount(const std::string& tag) const;
  /** @return When work was last accepted by a backend server. */
  TimePoint LastAcceptedAt(int backend) const;
  /** @return The balancer that owns the flow, from the token its caller got. */
  int OwnerOf(FlowHandle flow);
  /** @return The balancer that is the flow's witness, 0 where it has none. */
  int WitnessOf(FlowHandle flow);

  TestTokenPlane& TokenPlaneOf(int balancer) {
    return *this->nodes.at(balancer).node;
  }
  bool IsBalancerUp(int balancer) const {
    return this->nodes.at(balancer).node != nullptr;
  }
  std::string ConfigText(uint64_t version, const std::string& extra = "") const;
  Settings SettingsOf(int balancer) const;

  FleetOptions options;
  RandomEngine random;
  TimePoint now = TimePoint(Seconds(1'000'000));
  Caller caller;
  std::map<RequestKey, CallerEvent> finished_requests;
  std::map<FlowHandle, FlowId> opened_flows;
  std::vector<CallerEvent> feed_events;  ///< In the order of delivery.
  std::vector<Decision> decisions;
  std::vector<std::pair<int, BackendEvent>>
      backend_events;       ///< Of all backend servers, in order of time.
  uint64_t peer_bytes = 0;  ///< Sent between balancers.
  uint64_t relayed_payload_bytes = 0;  ///< Of these, callers' packets.
  uint64_t relayed_packets = 0;
  uint64_t caller_packets = 0;
  std::function<
      bool(const Endpoint& from, const Endpoint& to, const std::string& bytes)>
      should_drop;  ///< Loses a datagram by choice.

 private:
  /** One balancer's process. */
  struct NodeState {
    std::unique_ptr<Settings> settings;
    std::unique_ptr<TestTokenPlane> node;
    uint64_t incarnation = 1;
    bool paused = false;
    std::vector<std::pair<Endpoint, std::pair<Endpoint, std::string>>> held;
  };

  /** A datagram on its way. */
  struct Flight {
    Endpoint from;
    Endpoint to;
    std::string bytes;
  };

  void Start(int balancer);
  FlowToken TokenOf(FlowHandle flow);
  void Send(const Endpoint& from, const Endpoint& to, std::string bytes);
  void Deliver(const Flight& flight);
  void DeliverToNode(int balancer, const Flight& flight);
  void Carry(const Endpoint& base, Output& out);
  void CarryCaller();
  void Step();
  std::string VmsText(uint64_t version,
                      const std::set<uint32_t>& leaving) const;
  std::string ServiceOf(int backend) const;
  static uint32_t VmOf(const Endpoint& endpoint);

  std::map<int, NodeState> nodes;
  std::map<int, std::unique_ptr<Backend>> backends;
  std::map<int, uint64_t> backend_incarnations;
  std::map<std::string, int> starts;
  std::map<int, TimePoint> last_accepted;
  std::multimap<TimePoint, Flight> flights;
  std::set<std::pair<uint32_t, uint32_t>> cuts;
  std::vector<int> spray;
  CallerOutput caller_out;
  std::string config_text;
  std::string vms_text;
  uint64_t tags = 0;
};

}  // namespace cuminvane

#endif  // CUMINVANE_TESTS_FLEET_FAKE_H_
