/** @file fleet_base.h The child processes of a soak test and the proxies and
 * the router between them. */

#ifndef CUMINVANE_TESTS_SOAK_FLEET_BASE_H_
#define CUMINVANE_TESTS_SOAK_FLEET_BASE_H_

#include <asio.hpp>
#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "emulate/caller_model.h"
#include "tests/soak/process_base.h"
#include "tests/soak/proxy_base.h"

namespace cuminvane::soak {

/**
 * A store, backend servers, balancers that reach the store through proxies, and
 * the router, which polls the readiness of the balancers.
 *
 * The destructor kills all processes.
 */
class Fleet {
 public:
  /**
   * Starts all processes and proxies.
   * @param context Runs the proxies.
   * @param directory Directory for logs, settings and the files of the store.
   * @param bin Directory of the programs.
   * @param has_two_data_centres Whether every second backend server is in data
   * centre `b`; all other processes are in `a`.
   */
  Fleet(asio::io_context& context,
        std::string directory,
        std::string bin,
        bool has_two_data_centres);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /** Writes the next configuration; every second version has an extra route. */
  void Publish();

  /** Writes an entry among those of the backend servers as another program
   * may do, which no balancer can use.
   * @param form Selects its content.
   * @param until Time at which it expires. */
  void WriteOddEntry(size_t form, TimePoint until) const;

  /** Writes or removes the request to evacuate data centre `a`. The balancers
   * are there too, so its servers are preferred. */
  void RequestEvacuation(bool is_requested) const;
  /** @return Whether there are two data centres, and a backend server, numbered
   * from 0, is in data centre `a`. */
  bool IsEvacuable(size_t server) const {
    return this->has_two_data_centres && server % 2 == 0;
  }

  /** @return Address of the callers that enter at a data centre, numbered from
   * 0. */
  Endpoint CallerEndpoint(size_t centre) const;
  /** @return The balancer that the router sends packets of a flow to at
   * present. If fewer than two balancers are ready, the router uses others as
   * well. */
  Endpoint RoutedBalancer(const FlowKey& key) const;
  /** @return Active configuration versions of all balancers, from their
   * metrics; contains 0 if a balancer did not answer. */
  std::set<uint64_t> ConfigVersions() const;
  /** @return One line for each balancer whose list of backend servers differs
   * from the entries in the store's directory, or that did not answer. */
  std::vector<std::string> ListDifferences() const;
  /** @return Address that a balancer, numbered from 0, sends packets from. */
  std::string PacketsAddress(size_t balancer) const;
  /** @return Name of the record file of a backend server, numbered from 0. */
  static std::string RecordFile(size_t server);
  /** @return The service that handles requests of the kind. */
  static std::string ServiceOf(const emulate::RequestKind& kind);

  const std::vector<emulate::RequestKind>& Kinds() const { return this->kinds; }
  const std::string& Directory() const { return this->directory; }
  uint64_t PublishedVersion() const { return this->version; }
  Process& Store() { return *this->store; }
  std::deque<Process>& Balancers() { return this->balancers; }
  std::deque<Process>& BackendServers() { return this->backend_servers; }
  std::vector<std::unique_ptr<Proxy>>& Proxies() { return this->proxies; }

 private:
  /**
   * Makes a loopback address of this run.
   * @param net Second octet of the address.
   * @param host Fourth octet of the address.
   */
  Endpoint MakeEndpoint(uint32_t net, uint32_t host, uint16_t port) const;
  /** @return Address of a balancer, numbered from 0. */
  Endpoint BalancerEndpoint(int index, uint16_t port) const;
  /** Starts the stand-in store. */
  void StartStore(const Endpoint& address);
  /** Starts the next backend server. */
  void AddBackendServer(const std::string& service);
  /** Writes the settings of a balancer, numbered from 0, and starts it.
   * @param store Address of the proxy in front of the store. */
  void AddBalancer(int index, const Endpoint& store);
  /** Polls the readiness of the balancers until `stopping` is set. */
  void PollReadiness();

  std::string directory;
  std::string bin;
  bool has_two_data_centres;
  uint32_t address_octet;  ///< Third octet of all addresses; separates runs
                           ///< that overlap.
  std::vector<emulate::RequestKind>
      kinds;  ///< Kinds of request that callers send.
  std::unique_ptr<Process> store;
  std::deque<Process> balancers;
  std::deque<Process> backend_servers;
  std::vector<std::unique_ptr<Proxy>>
      proxies;           ///< Path of each balancer to the store.
  uint64_t version = 0;  ///< Version of the configuration published last.
  mutable std::mutex mutex;
  std::vector<bool> in_rotation;  ///< Whether the router sends new packets to
                                  ///< each balancer; guarded by `mutex`.
  std::atomic<bool> stopping = false;  ///< Ends `readiness_poller`.
  std::thread readiness_poller;
};

}  // namespace cuminvane::soak

#endif  // CUMINVANE_TESTS_SOAK_FLEET_BASE_H_
