/** @file packet_lane_base.h The socket of opaque flows: packets in and out in
 * batches, in buffers that are made once. */

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

/** Datagrams read or sent by one call. */
inline constexpr size_t kMaxBatchDatagrams = 32;

/**
 * Reads and sends batches of datagrams. Each is read with room before it, so
 * that what is put before it needs no copy.
 */
class PacketLane {
 public:
  /**
   * @param room Bytes before each datagram.
   * @param most Most bytes of a datagram; longer ones read as longer.
   */
  PacketLane(size_t headroom, size_t max_datagram_bytes);

  /**
   * Reads a batch.
   * @param socket A socket that does not block.
   * @return How many datagrams there are now.
   */
  size_t ReadBatch(int socket);

  /** @return A datagram of the last batch, with the room before it. */
  std::span<std::byte> Datagram(size_t index);

  /** Sends a datagram of the last batch, with the room before it, when the
   * batch is flushed. */
  void QueueDatagram(size_t index, const Endpoint& to);

  /** Sends other bytes when the batch is flushed; they are copied. */
  void QueueCopy(std::span<const std::byte> bytes, const Endpoint& to);

  /**
   * Sends what is queued.
   * @return How many datagrams the socket did not take.
   */
  size_t SendQueued(int socket);

 private:
  struct Outgoing {
    std::span<std::byte> bytes;
    sockaddr_in to{};
  };

  size_t headroom;
  size_t buffer_bytes;  ///< Bytes of one buffer.
  std::vector<std::byte> buffers;
  std::array<size_t, kMaxBatchDatagrams> lengths{};
  std::array<mmsghdr, kMaxBatchDatagrams> headers{};
  std::array<iovec, kMaxBatchDatagrams> io_vectors{};
  std::vector<Outgoing> queue;
  std::vector<std::vector<std::byte>> copied_datagrams;
};

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_PACKET_LANE_BASE_H_
