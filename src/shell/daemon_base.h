/** @file daemon_base.h The balancer's process: sockets and threads around the
 * decision core. */

#ifndef CUMINVANE_SHELL_DAEMON_BASE_H_
#define CUMINVANE_SHELL_DAEMON_BASE_H_

#include <asio.hpp>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "balancer/balancer_base.h"
#include "control/control_func.h"
#include "document/settings_type.h"
#include "shell/metrics_base.h"
#include "shell/packet_lane_base.h"
#include "shell/page_base.h"
#include "shell/socket_base.h"

namespace cuminvane {

using DaemonBalancer = Balancer<std::mutex>;

/** One thread that reads the sockets and carries out what the core decides. */
class Worker : public std::enable_shared_from_this<Worker> {
 public:
  /**
   * @param balancer The decisions; must outlive the worker.
   * @param seed Seed of this thread's random engine.
   */
  Worker(DaemonBalancer& balancer, uint64_t seed);

  /** Binds the sockets, or shares those of another worker. */
  Result<void> Open(const Settings& settings, Worker* socket_owner);

  /** Begins to read; the pending reads keep the worker alive. */
  void StartReading();

  /** Begins to read packets of opaque flows. Until there are documents they
   * wait in the socket: a dropped one comes again only after a long time. */
  void StartPackets();

  /** Carries out an output that was decided in this worker's thread. */
  void ApplyOutput(TimePoint now, PacketOutput& out);

  /** Closes the sockets, which ends the pending reads. */
  void CloseSockets();

  asio::io_context& Context() { return this->context; }
  RandomEngine& Random() { return this->random; }
  Metrics& GetMetrics() { return this->metrics; }
  /** @return When a packet of an opaque flow last came. */
  TimePoint LastPacketAt() const { return this->last_packet_at; }

 private:
  void WaitForDatagrams(Channel channel);
  void ReadDatagrams(Channel channel);
  void WaitForPackets();
  void ReadPackets();
  void HandlePacket(size_t index, TimePoint now);
  void SendReset(const FlowReset& reset);
  UdpSocket& SocketOf(Channel channel) {
    return this->sockets[static_cast<size_t>(channel)];
  }

  DaemonBalancer& balancer;
  asio::io_context context;
  std::array<UdpSocket, kChannelCount> sockets;
  UdpSocket packet_socket;
  Endpoint packet_address;
  PacketLane packet_lane;
  bool reads_packets = false;
  std::atomic<TimePoint> last_packet_at;
  RandomEngine random;
  Metrics metrics;
  PacketOutput out;
  ReceiveBuffer buffer{};
};

/** The whole process. */
class Daemon : public std::enable_shared_from_this<Daemon> {
 public:
  /**
   * @param settings Settings that have passed their check; the incarnation must
   * be set.
   * @param settings_path Where they were read from, and are read again.
   * @param settings_text The text that was read.
   */
  Daemon(Settings settings,
         std::string settings_path,
         std::string settings_text);

  /**
   * Runs until a graceful shutdown is complete.
   * @return kOk after SIGTERM or SIGINT or a planned stop; kSocketFailure where
   * it could not start.
   */
  Result<void> Run();

 private:
  Result<void> Open();
  void ScheduleTick();
  void OnTick();
  void StartPackets();
  void WaitForReload();
  void Reload(const char* reason);
  void BeginStop(const char* reason);
  bool IsStopComplete(TimePoint now) const;
  void FinishStop();
  Result<void> OpenPageServers();
  HttpPage MakeMetricsPage(const std::string& path);
  void RunWatcher();
  Result<void> ApplyDocument(DocumentKind kind, const std::string& text);
  ControlReply HandleControlCall(const std::string& method,
                                 const std::string& params);
  std::string StatusJson();
  ControlReply ChangeLogLevel(const std::string& params);

  const Settings settings;
  const std::string settings_path;
  std::string settings_text;
  TimePoint next_settings_check;
  DaemonBalancer balancer;
  std::vector<std::shared_ptr<Worker>> workers;
  std::unique_ptr<asio::steady_timer> timer;
  std::unique_ptr<asio::signal_set> signals;
  std::unique_ptr<asio::signal_set> reload_signal;
  std::unique_ptr<ControlServer> control;
  std::vector<std::unique_ptr<PageServer>> pages;
  std::vector<std::thread> threads;
  std::atomic<bool> stop_watcher = false;  ///< Ends the platform's watchers.
  std::atomic<bool> packets_started = false;
  bool stopping = false;
  TimePoint linger_until = kNever;
  TimePoint grace_until = kNever;
  PacketOutput tick_out;
};

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_DAEMON_BASE_H_
