/** @file fleet_fake.h Simulates balancers, backend servers and a caller in one
 * process and in virtual time; a queue of datagrams is the network. */

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

/** Size and network faults of a fake fleet. */
struct FleetOptions {
  uint64_t seed = 1;       ///< Seed of the random engine.
  int balancers = 3;       ///< Number of balancers.
  int backends = 3;        ///< Number of backend servers of the service `desk`.
  int notes_backends = 0;  ///< Number of backend servers of the service
                           ///< `notes`; numbered after those of `desk`.
  uint32_t slots = 3;      ///< Runs that a backend server works on at once.
  double loss = 0;         ///< Share of datagrams that are lost, 0 to 1.
  double duplicate =
      0;  ///< Share of datagrams that are delivered twice, 0 to 1.
  Microseconds delay{500};   ///< One-way delay between any two processes.
  Microseconds jitter{500};  ///< Maximum random extra delay of a datagram.
  bool witnessed = true;  ///< Whether balancers report dispatches to a witness.
};

/**
 * A fleet whose processes run in one thread in virtual time.
 *
 * Balancer i has VM i and address 10.0.0.i; backend server j has VM 100 + j and
 * address 10.1.0.j. Balancers and backend servers are numbered from 1.
 */
class FakeFleet {
 public:
  explicit FakeFleet(const FleetOptions& options);

  /** Lets virtual time pass. */
  void RunFor(Microseconds time);
  /**
   * Lets virtual time pass until the condition holds.
   * @param condition Checked before each step of 1 ms.
   * @param time Maximum time to wait.
   * @return False if the condition does not hold when the time is over.
   */
  bool RunUntil(const std::function<bool()>& condition, Microseconds time);

  /**
   * Publishes a configuration; every running balancer reads it at once.
   * @param version Version of the configuration.
   * @param extra Lines that are added to the standard configuration.
   */
  void PublishConfig(uint64_t version, const std::string& extra = "");
  /**
   * Publishes the list of VMs; every running balancer reads it at once.
   * @param version Version of the list.
   * @param leaving VM numbers that the list marks as leaving.
   */
  void PublishVms(uint64_t version, const std::set<uint32_t>& leaving = {});
  /**
   * Offers a configuration to one balancer only.
   * @return An error if the balancer refused the configuration.
   */
  Result<void> OfferConfig(int balancer, const std::string& text);
  /** Offers the current list of VMs to one balancer only. */
  void OfferVms(int balancer,
                uint64_t version,
                const std::set<uint32_t>& leaving);

  /** Stops a balancer without shutdown; its state is lost. */
  void KillBalancer(int balancer);
  /** Starts a balancer with the next incarnation. */
  void RestartBalancer(int balancer);
  /** Starts the graceful shutdown of a balancer. */
  void BeginBalancerStop(int balancer);
  /** Completes the graceful shutdown of a balancer and ends it. */
  void EndBalancerStop(int balancer);
  /** Stalls a balancer until ResumeBalancer; datagrams for it are queued. */
  void PauseBalancer(int balancer);
  /** Delivers the queued datagrams and lets the balancer run again. */
  void ResumeBalancer(int balancer);
  /** Ends a backend server; its state is lost. */
  void KillBackend(int backend);
  /** Replaces a backend server by its next incarnation at the same address. */
  void RestartBackend(int backend);
  /** Drops every datagram between two VMs, in both directions. */
  void CutLink(uint32_t first_vm, uint32_t second_vm);
  /** Restores all links that CutLink cut. */
  void HealAllLinks();
  /** Makes the fabric send callers' packets to these balancers only, each
   * packet to a random one. */
  void SprayOver(const std::vector<int>& balancers);
  /** Makes the fabric send callers' packets to every balancer but this one. */
  void SprayOverAllBut(int balancer);

  /**
   * Opens a flow and waits up to 5 s until it is open.
   * @param service `desk` or `notes`.
   */
  FlowHandle OpenFlow(const std::string& service = "desk");
  /** Sends the request to open a flow and does not wait. */
  FlowHandle StartFlow(const std::string& service);
  /** Sends a request; its end will be in `finished_requests`. */
  RequestKey SendRequest(FlowHandle flow,
                         const std::string& work_class,
                         const WorkOrder& order,
                         Milliseconds deadline = Milliseconds(3000));
  /** Sends a request and waits for its end, at most 2 s past its deadline. */
  CallerEvent SendRequestAndWait(FlowHandle flow,
                                 const std::string& work_class,
                                 const WorkOrder& order,
                                 Milliseconds deadline = Milliseconds(3000));

  /** @return An order with a tag that no other order has. */
  WorkOrder MakeOrder(uint32_t parts = 1, Microseconds busy = Milliseconds(5));

  /** @return Number of runs that backend servers started for the tag. */
  int StartCount(const std::string& tag) const;
  /** @return When the backend server last accepted a run; the epoch if never.
   */
  TimePoint LastAcceptedAt(int backend) const;
  /** @return The balancer that owns the flow according to its token. */
  int OwnerOf(FlowHandle flow);
  /** @return The witness of the flow according to its token; 0 if it has none.
   */
  int WitnessOf(FlowHandle flow);

  /** @return The token plane of a balancer that is up. */
  TestTokenPlane& TokenPlaneOf(int balancer) {
    return *this->balancer_states.at(balancer).node;
  }
  /** @return Whether the balancer is running; a paused one is. */
  bool IsBalancerUp(int balancer) const {
    return this->balancer_states.at(balancer).node != nullptr;
  }
  /** @return A configuration with the services `desk` and `notes`. */
  std::string ConfigText(uint64_t version, const std::string& extra = "") const;
  Settings SettingsOf(int balancer) const;

  FleetOptions options;
  RandomEngine random;
  TimePoint now = TimePoint(Seconds(1'000'000));
  Caller caller;
  std::map<RequestKey, CallerEvent>
      finished_requests;  ///< Final event of each request that has ended.
  std::map<FlowHandle, FlowId>
      opened_flows;  ///< Flows that have been opened at any time.
  std::vector<CallerEvent>
      feed_events;  ///< Feed events in the order of delivery.
  std::vector<Decision>
      decisions;  ///< Decisions of all balancers, in order of time.
  std::vector<std::pair<int, BackendEvent>>
      backend_events;  ///< Events of all backend servers with their numbers, in
                       ///< order of time.
  uint64_t peer_bytes = 0;  ///< Bytes sent between balancers.
  uint64_t relayed_payload_bytes =
      0;  ///< Part of `peer_bytes` that is relayed packets of callers.
  uint64_t relayed_packets =
      0;  ///< Callers' packets relayed between balancers.
  uint64_t sent_caller_packets = 0;  ///< Packets sent by the caller.
  std::function<
      bool(const Endpoint& from, const Endpoint& to, const std::string& bytes)>
      should_drop;  ///< Drops a datagram if it returns true; may be empty.

 private:
  /** The simulated process of one balancer. */
  struct BalancerState {
    std::unique_ptr<Settings> settings;
    std::unique_ptr<TestTokenPlane> node;  ///< Null while the balancer is down.
    uint64_t incarnation = 1;
    bool paused = false;
    std::vector<std::pair<Endpoint, std::pair<Endpoint, std::string>>>
        queued_datagrams;  ///< Received while paused: sender, receiver and
                           ///< bytes.
  };

  /** A datagram that has been sent and not yet delivered. */
  struct InFlightDatagram {
    Endpoint from;
    Endpoint to;
    std::string bytes;
  };

  /** The result of a balancer's fetch; the header is empty if it failed. */
  struct FetchEnd {
    int balancer = 0;
    uint64_t incarnation = 0;  ///< Incarnation that started the fetch.
    uint8_t kind = 0;
    std::string header;
    std::string content;
  };

  /** Creates the token plane and offers it the published documents. */
  void StartBalancer(int balancer);
  FlowToken TokenOf(FlowHandle flow);
  /** Queues a datagram for delivery, subject to loss, duplication and delay. */
  void SendDatagram(const Endpoint& from,
                    const Endpoint& to,
                    std::string bytes);
  void Deliver(const InFlightDatagram& datagram);
  void DeliverToBalancer(int balancer, const InFlightDatagram& datagram);
  /**
   * Sends the datagrams and keeps the decisions that an event produced.
   * @param base Address of the sender; for a balancer, that of its fabric
   * channel.
   */
  void SendOutput(const Endpoint& base, Output& out);
  /** Answers a balancer's fetch after one round trip, or lets it fail. */
  void RunFetch(const Endpoint& base, const PeerFetch& fetch);
  void EndFetch(const FetchEnd& end);
  /** Sends the datagrams and keeps the events of the caller. */
  void SendCallerOutput();
  /** Advances virtual time by 1 ms and delivers what is due. */
  void Step();
  std::string VmsText(uint64_t version,
                      const std::set<uint32_t>& leaving) const;
  /** @return The service of a backend server. */
  std::string ServiceOf(int backend) const;
  /** @return The VM of a balancer or backend server; 0 for the caller and the
   * fabric. */
  static uint32_t VmOf(const Endpoint& endpoint);

  std::map<int, BalancerState> balancer_states;
  std::map<int, std::unique_ptr<Backend>> backends;
  std::map<int, uint64_t>
      backend_incarnations;  ///< Latest incarnation of each backend server.
  std::map<std::string, int>
      run_starts;  ///< Runs started, by the tag of the order.
  std::map<int, TimePoint>
      last_accepted_at;  ///< When each backend server last accepted a run.
  std::multimap<TimePoint, InFlightDatagram>
      in_flight;  ///< Datagrams by time of delivery.
  std::multimap<TimePoint, FetchEnd>
      fetch_ends;  ///< Ends of running fetches by time.
  std::set<std::pair<uint32_t, uint32_t>>
      cut_links;  ///< Sender and receiver VM of links that drop datagrams.
  std::vector<int> spray_targets;  ///< Balancers that get callers' packets.
  CallerOutput
      caller_out;  ///< Output of the caller that has not been sent yet.
  std::string config_text;  ///< Configuration published last.
  std::string vms_text;     ///< List of VMs published last.
  uint64_t last_tag = 0;    ///< Number in the tag of the last order.
};

}  // namespace cuminvane

#endif  // CUMINVANE_TESTS_FLEET_FAKE_H_
