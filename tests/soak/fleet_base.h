/** @file fleet_base.h The processes of one soak and what lies between them. */

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

/** A store, backend servers, balancers behind proxies, and the router that asks
 * which balancers are ready. All processes end with it. */
class Fleet {
 public:
  /**
   * Starts everything.
   * @param context Runs the proxies.
   * @param directory Of logs, settings and the store's files.
   * @param bin Of the programs.
   */
  Fleet(asio::io_context& context, std::string directory, std::string bin);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /** Writes the next configuration; one route comes and goes. */
  void Publish();

  /** @return Address of callers that enter at a data centre. */
  Endpoint CallerAt(size_t centre) const;
  /** @return The balancer that a flow's packet goes to at the moment. */
  Endpoint RouterChoice(const FlowKey& key) const;
  /** @return Versions in force, as the balancers say; 0: no answer. */
  std::set<uint64_t> ConfigVersions() const;
  /** @return The service that requests of the kind belong to. */
  static std::string ServiceOf(const emulate::WorkKind& kind);

  const std::vector<emulate::WorkKind>& Kinds() const { return this->kinds; }
  const std::string& Directory() const { return this->directory; }
  uint64_t Version() const { return this->version; }
  Process& Store() { return *this->store; }
  std::deque<Process>& Balancers() { return this->balancers; }
  std::deque<Process>& Servers() { return this->servers; }
  std::vector<std::unique_ptr<Proxy>>& Proxies() { return this->proxies; }

 private:
  Endpoint At(uint32_t net, uint32_t host, uint16_t port) const;
  Endpoint Balancer(int index, uint16_t port) const;
  void StartStore(const Endpoint& address);
  void AddServer(const std::string& service);
  void AddBalancer(int index, const Endpoint& store);
  void PollReadiness();

  std::string directory;
  std::string bin;
  uint32_t octet;  ///< Keeps runs that overlap apart.
  std::vector<emulate::WorkKind> kinds;
  std::unique_ptr<Process> store;
  std::deque<Process> balancers;
  std::deque<Process> servers;
  std::vector<std::unique_ptr<Proxy>> proxies;
  uint64_t version = 0;
  mutable std::mutex mutex;
  std::vector<bool> in_rotation;  ///< Under `mutex`.
  std::atomic<bool> closing = false;
  std::thread poller;
};

}  // namespace cuminvane::soak

#endif  // CUMINVANE_TESTS_SOAK_FLEET_BASE_H_
