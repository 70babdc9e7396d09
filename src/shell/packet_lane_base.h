/** @file packet_lane_base.h Reads and sends packets of opaque flows in batches,
 * with receive buffers that are allocated once. */

#ifndef CUMINVANE_SHELL_PACKET_LANE_BASE_H_
#define CUMINVANE_SHELL_PACKET_LANE_BASE_H_

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cstddef>
#include <span>
#include <vector>

#include "base/endpoint_type.h"

namespace cuminvane {

/** Maximum number of datagrams read or sent by one system call. */
inline constexpr size_t kMaxBatchDatagrams = 32;

/**
 * Reads and sends batches of datagrams. Each received datagram has headroom
 * before it, so that a header can be prepended without a copy.
 */
class PacketLane {
 public:
  /**
   * @param headroom Bytes reserved before each received datagram.
   * @param max_datagram_bytes Maximum bytes of a received datagram; a longer
   * one is truncated to one byte more, so that the caller can detect it.
   */
  PacketLane(size_t headroom, size_t max_datagram_bytes);

  /**
   * Reads the waiting datagrams, at most kMaxBatchDatagrams, without blocking;
   * replaces the previous batch.
   * @param socket Descriptor of a UDP socket.
   * @return Number of datagrams in the batch; 0 if none is waiting.
   */
  size_t ReadBatch(int socket);

  /**
   * @param index Position in the last batch.
   * @return The headroom and the datagram after it.
   */
  std::span<std::byte> Datagram(size_t index);

  /**
   * Queues a datagram of the last batch, with its headroom, for the next
   * SendQueued.
   * @param index Position in the last batch; the buffer is not copied.
   * @param to Destination.
   */
  void QueueDatagram(size_t index, const Endpoint& to);

  /** Queues a copy of the bytes for the next SendQueued. */
  void QueueCopy(std::span<const std::byte> bytes, const Endpoint& to);

  /**
   * Sends all queued datagrams without blocking and empties the queue.
   * @param socket Descriptor of a UDP socket.
   * @return Number of datagrams that the socket did not accept; they are lost.
   */
  size_t SendQueued(int socket);

 private:
  /** A datagram that waits for the next SendQueued. */
  struct Outgoing {
    std::span<std::byte> bytes;  ///< In `buffers` or `copied_datagrams`.
    sockaddr_in to{};            ///< Destination.
  };

  size_t headroom;      ///< Bytes reserved before each received datagram.
  size_t buffer_bytes;  ///< Bytes of one receive buffer with headroom.
  std::vector<std::byte> buffers;  ///< Receive buffers of a batch, contiguous.
  /** Bytes of each received datagram, without headroom. */
  std::array<size_t, kMaxBatchDatagrams> lengths{};
  std::array<mmsghdr, kMaxBatchDatagrams>
      headers{};  ///< Message headers of the batch's system call.
  std::array<iovec, kMaxBatchDatagrams> io_vectors{};
  std::vector<Outgoing> queue;
  std::vector<std::vector<std::byte>> copied_datagrams;  ///< From QueueCopy.
};

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_PACKET_LANE_BASE_H_
