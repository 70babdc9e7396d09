/** @file fleet.h Starts balancers with the command and the settings template
 * of the deploy file, as processes on loopback addresses. */

#ifndef REVIEW_STANDIN_FLEET_H_
#define REVIEW_STANDIN_FLEET_H_

#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <csignal>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <sstream>

#include "client.h"
#include "endpoint.h"
#include "store.h"

namespace review {

/** Where a case runs. */
struct Place {
  std::string repository;  ///< Root of the repository, built.
  std::string folder;      ///< Temporary folder.
  bool trouble = true;     ///< False: without the disruption.
};

/** One entry VM with its balancer. */
struct Machine {
  std::string zone;
  uint32_t ip = 0;
  uint16_t control_port = 0;
  Address store;  ///< Where the store answers this balancer.
  pid_t pid = -1;
};

/** A small deployment: one store, machines, endpoints, clients. */
class Fleet {
 public:
  static constexpr int64_t kHeartbeatMs = 770;
  static constexpr int kConfigApplyMs = 3000;
  static constexpr int kDrainTimeoutMs = 3000;
  static constexpr int kRecoveryMs = 12000;

  Fleet(const Place& place, const std::vector<std::string>& machine_zones)
      : place(place) {
    std::random_device entropy;
    // A range of loopback addresses of its own.
    this->base =
        127U << 24 | (32 + entropy() % 200) << 16 | (1 + entropy() % 250) << 8;
    this->datagram_port = FreePort();
    this->ready_port = FreePort();
    this->peer_port = FreePort();
    this->metrics_port = FreePort();
    this->store_port = FreePort();
    this->endpoint_port = FreePort();
    for (const std::string& zone : machine_zones) {
      Machine machine;
      machine.zone = zone;
      machine.ip = this->base + 1 + static_cast<uint32_t>(machines.size());
      machine.control_port = FreePort();
      machine.store = {
          this->base + 100 + static_cast<uint32_t>(machines.size()),
          this->store_port};
      this->store.Listen(machine.store);
      this->machines.push_back(machine);
    }
  }

  ~Fleet() {
    for (Machine& machine : this->machines)
      this->Kill(machine);
  }

  Address Datagram(const Machine& machine) const {
    return {machine.ip, this->datagram_port};
  }

  /** Adds an endpoint and starts it. */
  Endpoint& AddEndpoint(const std::string& service, const std::string& zone) {
    const uint32_t number = static_cast<uint32_t>(this->endpoints.size());
    std::random_device entropy;
    const uint64_t id = uint64_t{entropy()} << 32 | entropy();
    this->endpoints.push_back(std::make_unique<Endpoint>(
        id, service, zone,
        Address{this->base + 150 + number, this->endpoint_port},
        this->datagram_port, this->store));
    this->endpoints.back()->Start(kHeartbeatMs);
    return *this->endpoints.back();
  }

  Address ClientAddress() const {
    return {this->base + 250, this->datagram_port};
  }

  /** @return Address of a route, in the loopback range too; `number` is 1 or
   * more. */
  static Address Route(int number) {
    return {127U << 24 | 18U << 16 | static_cast<uint32_t>(number), 8443};
  }

  /** A route of the operator's configuration. */
  static std::string RouteJson(const std::string& name,
                               const Address& address,
                               const std::string& service) {
    return "{\"name\":\"" + name + "\",\"hostname\":\"" + IpText(address.ip) +
           "\",\"prefix\":\"/" + std::to_string(address.port) +
           "/\",\"route_type\":\"safe\",\"timeout_ms\":2500,"
           "\"target_latency_ms\":150,\"priority\":2,\"service\":\"" +
           service + "\",\"max_attempts\":2}";
  }

  /** Writes the operator's configuration. @return When the store acknowledged
   * it. */
  int64_t PutConfig(int version,
                    const std::vector<std::string>& routes,
                    const std::vector<std::string>& services,
                    int idle_timeout_ms = 15000) {
    std::string json =
        "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (size_t index = 0; index < routes.size(); ++index)
      json += (index == 0 ? "" : ",") + routes[index];
    json += "],\"services\":[";
    for (size_t index = 0; index < services.size(); ++index)
      json += std::string(index == 0 ? "" : ",") + "{\"name\":\"" +
              services[index] +
              "\",\"health_path\":\"/health\",\"max_flows\":2000,"
              "\"protocol\":\"h1\",\"tls\":false}";
    json +=
        "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
        "262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":" +
        std::to_string(idle_timeout_ms) + "}}";
    const int64_t at = this->store.Put("op/config", json);
    Record::Line("the store acknowledges version " + std::to_string(version) +
                 " of the configuration, " + std::to_string(json.size()) +
                 " bytes");
    return at;
  }

  /** Starts the balancer of a machine. */
  void Start(Machine& machine) {
    const std::string settings =
        this->place.folder + "/" + IpText(machine.ip) + ".ini";
    std::ofstream(settings) << this->Settings(machine);
    const std::string program = this->place.repository + "/target/cuminvaned";
    const std::string log =
        this->place.folder + "/" + IpText(machine.ip) + ".log";
    machine.pid = fork();
    Require(machine.pid >= 0, "fork");
    if (machine.pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      if (chdir(this->place.repository.c_str()) != 0)
        _exit(127);
      setenv("CUMINVANE_SETTINGS", settings.c_str(), 1);
      // deploy/system.toml: run = "target/cuminvaned --config ..."
      execl(program.c_str(), "target/cuminvaned", "--config", settings.c_str(),
            static_cast<char*>(nullptr));
      _exit(127);
    }
    Record::Line("balancer " + IpText(machine.ip) + " in " + machine.zone +
                 " started");
  }

  void Kill(Machine& machine) {
    if (machine.pid <= 0)
      return;
    kill(machine.pid, SIGKILL);
    waitpid(machine.pid, nullptr, 0);
    machine.pid = -1;
  }

  /** @return Whether GET /ready gives 200. */
  bool IsReady(const Machine& machine) const {
    return HttpStatus({machine.ip, this->ready_port}, "/ready") == 200;
  }

  /** Starts all balancers and waits until they are ready. */
  void StartAll() {
    for (Machine& machine : this->machines)
      this->Start(machine);
    for (Machine& machine : this->machines) {
      const int64_t limit = NowMs() + 15000;
      while (!this->IsReady(machine) && NowMs() < limit)
        SleepMs(50);
      Require(this->IsReady(machine), "a balancer does not become ready");
    }
    Record::Line("all balancers are ready");
  }

  Place place;
  int cores = 1;  ///< `cpu_cores` of the machines.
  Store store;
  std::vector<Machine> machines;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  uint16_t datagram_port = 0;
  uint16_t ready_port = 0;

 private:
  /** @return The template of the settings with its fields filled in. */
  std::string Settings(const Machine& machine) const {
    std::ifstream file(this->place.repository + "/platform/cuminvaned.ini.in");
    std::stringstream text;
    text << file.rdbuf();
    std::string seeds;
    for (size_t index = 0; index < std::min<size_t>(3, machines.size());
         ++index)
      seeds += (index == 0 ? "" : ",") + IpText(machines[index].ip) + ":" +
               std::to_string(machines[index].control_port);
    const std::string ip = IpText(machine.ip);
    const std::map<std::string, std::string> fields = {
        {"zone", machine.zone},
        {"ip", ip},
        {"seeds", seeds},
        {"limits.cpu_cores", std::to_string(this->cores)},
        {"limits.link_mbps", "1500.0"},
        {"bounds.config_apply_ms", std::to_string(kConfigApplyMs)},
        {"platform.address", Text(machine.store)},
        {"internal_port_range.0", std::to_string(this->peer_port)},
        {"internal_port_range.1", std::to_string(this->metrics_port)},
        {"listen_addrs.datagram_addr",
         ip + ":" + std::to_string(this->datagram_port)},
        {"listen_addrs.ready_addr",
         ip + ":" + std::to_string(this->ready_port)},
        {"listen_addrs.control",
         ip + ":" + std::to_string(machine.control_port)}};
    std::string filled = text.str();
    for (const auto& [name, value] : fields) {
      const std::string mark = "{{" + name + "}}";
      for (size_t at = filled.find(mark); at != std::string::npos;
           at = filled.find(mark))
        filled.replace(at, mark.size(), value);
    }
    return filled;
  }

  uint32_t base = 0;
  uint16_t peer_port = 0;
  uint16_t metrics_port = 0;
  uint16_t store_port = 0;
  uint16_t endpoint_port = 0;
};

/** Sends requests to routes at a steady rate, each through the next of the
 * balancers. */
class Load {
 public:
  /** @param balancers Balancers in rotation; empty: all. */
  Load(Fleet& fleet,
       std::vector<Address> routes,
       int64_t gap_ms,
       std::vector<Address> balancers = {})
      : client(fleet.ClientAddress()) {
    if (balancers.empty()) {
      for (const Machine& machine : fleet.machines)
        balancers.push_back(fleet.Datagram(machine));
    }
    std::thread([this, balancers, routes, gap_ms] {
      size_t count = 0;
      for (int64_t next = NowMs(); !this->stop; next += gap_ms, ++count) {
        SleepUntil(next);
        this->client.Send(routes[count / balancers.size() % routes.size()],
                          balancers[count % balancers.size()]);
      }
      this->stopped = true;
    }).detach();
  }

  /** Stops, and waits for the last requests to end. */
  std::vector<Request> Finish() {
    this->stop = true;
    while (!this->stopped)
      SleepMs(5);
    SleepMs(Client::kDeadlineMs + 200);
    return this->client.Ended();
  }

 private:
  Client client;
  std::atomic<bool> stop{false};
  std::atomic<bool> stopped{false};
};

/** Writes what became of the requests, by second, to the record. */
inline void RecordRequests(const std::vector<Request>& requests) {
  std::map<std::pair<int64_t, std::string>, int> counts;
  for (const Request& request : requests)
    ++counts[{request.sent_at / 1000, Text(request.route) + " " + request.how}];
  for (const auto& [key, count] : counts)
    Record::Line("requests sent in second " + std::to_string(key.first) +
                 " to " + key.second + ": " + std::to_string(count));
}

/** Writes what the endpoints took and ran, by route, to the record. */
inline void RecordEndpoints(Fleet& fleet) {
  struct Counts {
    int openings = 0;
    int requests = 0;
    int64_t last_opening_at = 0;
  };
  for (const auto& endpoint : fleet.endpoints) {
    std::map<Address, Counts> counts;
    for (const Taken& taken : endpoint->TakenSoFar()) {
      Counts& route = counts[taken.route];
      if (taken.request_id.empty())
        route.last_opening_at = taken.at;
      (taken.request_id.empty() ? route.openings : route.requests) += 1;
    }
    for (const auto& [route, count] : counts)
      Record::Line("endpoint " + endpoint->Key() + " of " + endpoint->service +
                   " took " + std::to_string(count.openings) +
                   " opening packets and ran " +
                   std::to_string(count.requests) + " requests for " +
                   Text(route) + ", the last opening packet at " +
                   std::to_string(count.last_opening_at) + " ms");
  }
}

/** Body of a case. @return Whether the rule held. */
using CaseBody = bool (*)(const Place&);

/** main() of a case: arguments are the repository, the record file, a temporary
 * folder, and `with` or `without` the disruption. */
inline int RunCase(int argc, char** argv, CaseBody body) {
  const std::string disruption = argc == 5 ? argv[4] : "";
  if (disruption != "with" && disruption != "without") {
    std::fprintf(stderr, "usage: case REPOSITORY RECORD FOLDER with|without\n");
    return kCouldNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  Record::Open(argv[2]);
  const Place place{argv[1], argv[3], disruption == "with"};
  Record::Line(disruption + " the disruption");
  const bool held = body(place);
  Record::Line(held ? "the rule held" : "the rule was broken");
  std::fflush(nullptr);
  _exit(held ? 0 : 1);
}

}  // namespace review

#endif  // REVIEW_STANDIN_FLEET_H_
