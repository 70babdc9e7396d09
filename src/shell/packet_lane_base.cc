/** @file packet_lane_base.cc Implementation of batched reading and sending. */

#include "shell/packet_lane_base.h"

#include <algorithm>

#include "shell/socket_base.h"

namespace cuminvane {

PacketLane::PacketLane(size_t headroom, size_t max_datagram_bytes)
    : headroom(headroom),
      buffer_bytes(headroom + max_datagram_bytes + 1),
      buffers(kMaxBatchDatagrams * this->buffer_bytes) {
  this->queue.reserve(kMaxBatchDatagrams);
}

size_t PacketLane::ReadBatch(int socket) {
  for (size_t index = 0; index < kMaxBatchDatagrams; ++index) {
    this->io_vectors[index] = {
        this->buffers.data() + index * this->buffer_bytes + this->headroom,
        this->buffer_bytes - this->headroom};
    this->headers[index] = {};
    this->headers[index].msg_hdr.msg_iov = &this->io_vectors[index];
    this->headers[index].msg_hdr.msg_iovlen = 1;
  }
  const int count = recvmmsg(socket, this->headers.data(), kMaxBatchDatagrams,
                             MSG_DONTWAIT, nullptr);
  const size_t read = static_cast<size_t>(std::max(0, count));
  for (size_t index = 0; index < read; ++index)
    this->lengths[index] = this->headers[index].msg_len;
  return read;
}

std::span<std::byte> PacketLane::Datagram(size_t index) {
  return {this->buffers.data() + index * this->buffer_bytes,
          this->headroom + this->lengths[index]};
}

void PacketLane::QueueDatagram(size_t index, const Endpoint& to) {
  this->queue.push_back({this->Datagram(index), ToSockaddr(to)});
}

void PacketLane::QueueCopy(std::span<const std::byte> bytes,
                           const Endpoint& to) {
  this->copied_datagrams.emplace_back(bytes.begin(), bytes.end());
  this->queue.push_back({this->copied_datagrams.back(), ToSockaddr(to)});
}

size_t PacketLane::SendQueued(int socket) {
  size_t sent = 0;
  size_t unsent = 0;
  while (sent < this->queue.size()) {
    const size_t count =
        std::min(kMaxBatchDatagrams, this->queue.size() - sent);
    for (size_t index = 0; index < count; ++index) {
      Outgoing& out = this->queue[sent + index];
      this->io_vectors[index] = {out.bytes.data(), out.bytes.size()};
      this->headers[index] = {};
      this->headers[index].msg_hdr.msg_iov = &this->io_vectors[index];
      this->headers[index].msg_hdr.msg_iovlen = 1;
      this->headers[index].msg_hdr.msg_name = &out.to;
      this->headers[index].msg_hdr.msg_namelen = sizeof(out.to);
    }
    const int accepted = sendmmsg(socket, this->headers.data(),
                                  static_cast<unsigned>(count), MSG_DONTWAIT);
    // A datagram that the socket does not accept is dropped like one lost in
    // the network.
    unsent += accepted <= 0 ? 1 : 0;
    sent += static_cast<size_t>(std::max(1, accepted));
  }
  this->queue.clear();
  this->copied_datagrams.clear();
  return unsent;
}

}  // namespace cuminvane
