/** @file worker_base.h One thread of the balancer's process: reads datagrams,
 * passes them to the decision core and applies its output. */

#ifndef CUMINVANE_SHELL_WORKER_BASE_H_
#define CUMINVANE_SHELL_WORKER_BASE_H_

#include <array>
#include <asio.hpp>
#include <atomic>
#include <memory>
#include <mutex>

#include "balancer/balancer_base.h"
#include "document/settings_type.h"
#include "shell/metrics_base.h"
#include "shell/packet_lane_base.h"
#include "shell/socket_base.h"

namespace cuminvane {

/** The decision core, locked for use by several threads. */
using DaemonBalancer = Balancer<std::mutex>;

/** The sockets and state of one worker thread: reads datagrams, passes them to
 * the core and applies the core's output. */
class Worker : public std::enable_shared_from_this<Worker> {
 public:
  /**
   * @param balancer The decision core; must outlive the worker.
   * @param seed Seed of this thread's random engine.
   */
  Worker(DaemonBalancer& balancer, uint64_t seed);

  /**
   * Opens the sockets for the addresses that the settings contain.
   * @param settings Listen addresses; an unset address opens no socket.
   * @param socket_owner Worker whose bound sockets are duplicated; null to bind
   * new sockets.
   * @return kSocketFailure with the reason if a socket can't be opened.
   */
  Result<void> OpenSockets(const Settings& settings, Worker* socket_owner);

  /** Starts reading datagrams of all lanes. The pending reads keep the worker
   * alive. */
  void StartReading();

  /** Starts reading packets of opaque flows. Until the balancer has its
   * documents, packets stay in the socket's buffer, because callers retransmit
   * a dropped packet only after a long time. */
  void StartPackets();

  /**
   * Sends the output's packets and datagrams, logs and counts its decisions and
   * starts its health checks; must be called in this worker's thread.
   * @param out Output of the core; cleared on return.
   */
  void ApplyOutput(TimePoint now, PacketOutput& out);

  /** Runs the event loop until nothing is left to wait for. */
  void Run();

  /** Closes the sockets in the worker's thread, which ends the pending reads.
   */
  void CloseSockets();

  /** @return The event loop that this worker's thread runs. */
  asio::io_context& Context() { return this->context; }
  /** @return Random engine of this worker's thread. */
  RandomEngine& Random() { return this->random; }
  /** @return Counters of this worker; safe to read from any thread. */
  Metrics& GetMetrics() { return this->metrics; }
  /** @return Time when the last packet of an opaque flow was received; the Unix
   * epoch if none was. */
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
  std::array<UdpSocket, kChannelCount>
      sockets;  ///< Datagram sockets, indexed by lane. A lane without a listen
                ///< address has a closed socket.
  UdpSocket packet_socket;     ///< Receives and sends packets of opaque flows.
  Endpoint packet_address;     ///< Listen address of `packet_socket`.
  PacketLane packet_lane;      ///< Batches of packets of opaque flows.
  bool reads_packets = false;  ///< Whether StartPackets has been called.
  std::atomic<TimePoint>
      last_packet_at;  ///< Time of the last packet of an opaque flow; the Unix
                       ///< epoch before the first.
  RandomEngine random;
  Metrics metrics;  ///< Counters of this thread, merged for status and metrics.
  PacketOutput out;  ///< Output of the call in progress, reused to keep memory.
  ReceiveBuffer buffer{};  ///< The datagram that was read last.
};

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_WORKER_BASE_H_
