// The system's processes and the platform's routers: starts target/cuminvaned
// as the deploy file says, polls GET /ready twice a second and selects a daemon
// for a packet by a hash over the daemons in rotation (`mod`).
#ifndef REVIEW_STANDIN_2_FLEET_H_
#define REVIEW_STANDIN_2_FLEET_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <deque>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>
#include <vector>

#include "net.h"

namespace review {

/** The bounds of the site kotenyhub, by the names of DEPLOY.md. */
struct Bounds {
  int64_t config_apply_ms = 3000;
  int64_t drain_timeout_ms = 3000;
  int64_t contact_ms = 4000;
  int64_t flow_break_ms = 2000;
  int64_t grace_s = 6;
  int64_t history_s = 20;
};

class Fleet {
 public:
  /** @param zones Zone of each daemon. */
  Fleet(const std::string& directory,
        const std::vector<std::string>& zones,
        const Bounds& bounds,
        Record& record)
      : directory(directory), bounds(bounds), record(record) {
    std::vector<uint32_t> ips;
    for (size_t index = 0; index < zones.size(); ++index)
      this->nodes.emplace_back().ip = Ip(127, 11, 1, 10 + int(index));
    const auto first = this->nodes.front().ip;
    const auto second = this->nodes.back().ip;
    const uint32_t store_ip = Ip(127, 11, 9, 7);
    const uint32_t client_ip = Ip(127, 11, 64, 1);
    this->packet_port = FindFreePort("packets", {first, second, client_ip});
    this->ready_port = FindFreePort("ready", {first, second});
    // A daemon listens on this port at all addresses of its machine, so daemons
    // that share a machine need ports of their own.
    for (Node& node : this->nodes)
      node.control_port = FindFreePort("control", {0, node.ip});
    this->inner_port = FindFreePort("inner", {first, second});
    this->metrics_port = FindFreePort("metrics", {first, second});
    // The store has an address for each daemon, so that a stand-in can disturb
    // the link of one daemon.
    for (Node& node : this->nodes)
      node.store_address = {store_ip, FindFreePort("store", {store_ip})};
    std::string seeds;
    for (size_t index = 0; index < zones.size() && index < 3; ++index)
      seeds += (index == 0 ? "" : ",") +
               ToString(Address{this->nodes[index].ip,
                                this->nodes[index].control_port});
    for (size_t index = 0; index < zones.size(); ++index) {
      Node& node = this->nodes[index];
      node.zone = zones[index];
      node.name = "frontend-" + zones[index] + "-" + std::to_string(index + 1);
      node.settings = directory + "/" + node.name + ".yaml";
      std::ofstream(node.settings) << this->Render(node, seeds);
    }
  }

  ~Fleet() { this->StopAll(); }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /** @return Address of the store for a daemon. */
  const Address& StoreAddress(size_t index) const {
    return this->nodes[index].store_address;
  }
  uint16_t PacketPort() const { return this->packet_port; }

  void StartAll() {
    for (size_t index = 0; index < this->nodes.size(); ++index)
      this->Start(index);
    std::thread([this] { this->Poll(); }).detach();
  }

  /** The processes end with the thread that started them, so only the main
   * thread may call this. */
  void Start(size_t index) {
    Node& node = this->nodes[index];
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open((this->directory + "/" + node.name + ".log").c_str(),
                           O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      setenv("CUMINVANE_SETTINGS", node.settings.c_str(), 1);
      execl("target/cuminvaned", "target/cuminvaned", "--config",
            node.settings.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    const std::lock_guard lock(this->mutex);
    node.pid = pid;
    this->record.Line("start " + node.name);
  }

  void Signal(size_t index, int number) {
    const std::lock_guard lock(this->mutex);
    if (this->nodes[index].pid > 0)
      kill(this->nodes[index].pid, number);
    this->record.Line("signal " + std::to_string(number) + " to " +
                      this->nodes[index].name);
  }

  /** SIGTERM, SIGKILL after grace_s, then a start, as PROTOCOL.md has it. */
  void Restart(size_t index, int64_t pause_ms) {
    this->Signal(index, SIGTERM);
    const int64_t killed_at = NowMs() + this->bounds.grace_s * 1000;
    while (!this->HasEnded(index)) {
      if (NowMs() >= killed_at)
        this->Signal(index, SIGKILL);
      SleepMs(10);
    }
    this->record.Line("ended " + this->nodes[index].name);
    SleepMs(pause_ms);
    this->Start(index);
  }

  bool HasEnded(size_t index) {
    const std::lock_guard lock(this->mutex);
    pid_t& pid = this->nodes[index].pid;
    if (pid > 0 && waitpid(pid, nullptr, WNOHANG) == pid)
      pid = 0;
    return pid == 0;
  }

  void StopAll() {
    const std::lock_guard lock(this->mutex);
    for (Node& node : this->nodes) {
      if (node.pid > 0) {
        kill(node.pid, SIGKILL);
        waitpid(node.pid, nullptr, 0);
      }
      node.pid = 0;
    }
  }

  /** Waits until all daemons are in rotation. @return Whether they are. */
  bool WaitReady(int64_t ms) {
    const int64_t until = NowMs() + ms;
    while (NowMs() < until) {
      if (this->InRotation() == this->nodes.size())
        return true;
      SleepMs(20);
    }
    return false;
  }

  size_t InRotation() {
    const std::lock_guard lock(this->mutex);
    size_t count = 0;
    for (const Node& node : this->nodes)
      count += node.in_rotation ? 1 : 0;
    return count;
  }

  /** @return Index of the daemon that the routers select for a flow. */
  size_t Select(const std::string& zone,
                const Address& from,
                const Address& to) {
    const std::lock_guard lock(this->mutex);
    std::vector<size_t> all;
    std::vector<size_t> ready;
    for (size_t index = 0; index < this->nodes.size(); ++index) {
      if (this->nodes[index].zone != zone)
        continue;
      all.push_back(index);
      if (this->nodes[index].in_rotation)
        ready.push_back(index);
    }
    const std::vector<size_t>& used =
        ready.size() * 2 < all.size() ? all : ready;
    uint64_t hash = 1469598103934665603ULL;
    for (const uint64_t part : {uint64_t{from.ip}, uint64_t{from.port},
                                uint64_t{to.ip}, uint64_t{to.port}}) {
      hash = (hash ^ part) * 0x9E3779B97F4A7C15ULL;
      hash ^= hash >> 29;
    }
    return used[hash % used.size()];
  }

  Address PacketAddress(size_t index) const {
    return {this->nodes[index].ip, this->packet_port};
  }
  uint32_t IpOf(size_t index) const { return this->nodes[index].ip; }
  const std::string& NameOf(size_t index) const {
    return this->nodes[index].name;
  }
  size_t Size() const { return this->nodes.size(); }

 private:
  struct Node {
    std::string name;
    std::string zone;
    uint32_t ip = 0;
    uint16_t control_port = 0;
    Address store_address;
    std::string settings;
    pid_t pid = 0;
    bool in_rotation = false;
    int misses = 0;
  };

  std::string Render(const Node& node, const std::string& seeds) const {
    std::ifstream file("platform/cuminvaned.ini.in");
    if (!file)
      throw std::runtime_error("no template");
    std::ostringstream read;
    read << file.rdbuf();
    std::string text = read.str();
    // Sections of fields that the small sites don't have.
    text = std::regex_replace(
        text, std::regex("\\{\\{#[^}]*\\}\\}[^\\n]*\\{\\{/[^}]*\\}\\}"), "");
    const std::map<std::string, std::string> values = {
        {"zone", node.zone},
        {"ip", ToString(node.ip)},
        {"limits.cpu_cores", "1"},
        {"limits.link_mbps", "1500.0"},
        {"listen_addrs.datagram_addr",
         ToString(Address{node.ip, this->packet_port})},
        {"listen_addrs.ready_addr",
         ToString(Address{node.ip, this->ready_port})},
        {"listen_addrs.control", ToString(Address{node.ip, node.control_port})},
        {"internal_port_range.0", std::to_string(this->inner_port)},
        {"internal_port_range.1", std::to_string(this->metrics_port)},
        {"platform.address", ToString(node.store_address)},
        {"bounds.config_apply_ms",
         std::to_string(this->bounds.config_apply_ms)},
        {"seeds", seeds},
    };
    for (const auto& [name, value] : values) {
      const std::string field = "{{" + name + "}}";
      for (size_t at; (at = text.find(field)) != std::string::npos;)
        text.replace(at, field.size(), value);
    }
    return text;
  }

  /** GET /ready twice a second; out of rotation after two misses. */
  void Poll() {
    for (;;) {
      for (Node& node : this->nodes) {
        const bool ready =
            HttpStatus({node.ip, this->ready_port}, "/ready", 200) == 200;
        const std::lock_guard lock(this->mutex);
        node.misses = ready ? 0 : node.misses + 1;
        const bool was = node.in_rotation;
        if (ready)
          node.in_rotation = true;
        else if (node.misses >= 2)
          node.in_rotation = false;
        if (was != node.in_rotation)
          this->record.Line((was ? "out of rotation " : "in rotation ") +
                            node.name);
      }
      SleepMs(500);
    }
  }

  std::string directory;
  Bounds bounds;
  Record& record;
  std::mutex mutex;
  std::deque<Node> nodes;
  uint16_t packet_port = 0;
  uint16_t ready_port = 0;
  uint16_t inner_port = 0;
  uint16_t metrics_port = 0;
};

}  // namespace review

#endif  // REVIEW_STANDIN_2_FLEET_H_
