/** @file packet_lane_base.cc Batches of datagrams. */

#include "shell/packet_lane_base.h"

#include <algorithm>

#include "shell/socket_base.h"

namespace cuminvane {

PacketLane::PacketLane(size_t room, size_t most)
    : room(room), slot(room + most + 1), buffers(kBatch * this->slot) {
  this->queue.reserve(kBatch);
}

size_t PacketLane::Read(int socket) {
  for (size_t index = 0; index < kBatch; ++index) {
    this->pieces[index] = {
        this->buffers.data() + index * this->slot + this->room,
        this->slot - this->room};
    this->headers[index] = {};
    this->headers[index].msg_hdr.msg_iov = &this->pieces[index];
    this->headers[index].msg_hdr.msg_iovlen = 1;
  }
  const int count =
      recvmmsg(socket, this->headers.data(), kBatch, MSG_DONTWAIT, nullptr);
  const size_t read = static_cast<size_t>(std::max(0, count));
  for (size_t index = 0; index < read; ++index)
    this->lengths[index] = this->headers[index].msg_len;
  return read;
}

std::span<std::byte> PacketLane::Datagram(size_t index) {
  return {this->buffers.data() + index * this->slot,
          this->room + this->lengths[index]};
}

void PacketLane::Queue(size_t index, const Endpoint& to) {
  this->queue.push_back({this->Datagram(index), ToSockaddr(to)});
}

void PacketLane::QueueCopy(std::span<const std::byte> bytes,
                           const Endpoint& to) {
  this->copies.emplace_back(bytes.begin(), bytes.end());
  this->queue.push_back({this->copies.back(), ToSockaddr(to)});
}

size_t PacketLane::Flush(int socket) {
  size_t sent = 0;
  size_t unsent = 0;
  while (sent < this->queue.size()) {
    const size_t count = std::min(kBatch, this->queue.size() - sent);
    for (size_t index = 0; index < count; ++index) {
      Outgoing& out = this->queue[sent + index];
      this->pieces[index] = {out.bytes.data(), out.bytes.size()};
      this->headers[index] = {};
      this->headers[index].msg_hdr.msg_iov = &this->pieces[index];
      this->headers[index].msg_hdr.msg_iovlen = 1;
      this->headers[index].msg_hdr.msg_name = &out.to;
      this->headers[index].msg_hdr.msg_namelen = sizeof(out.to);
    }
    const int taken = sendmmsg(socket, this->headers.data(),
                               static_cast<unsigned>(count), MSG_DONTWAIT);
    // The first one that is not taken is lost, as in a full network.
    unsent += taken <= 0 ? 1 : 0;
    sent += static_cast<size_t>(std::max(1, taken));
  }
  this->queue.clear();
  this->copies.clear();
  return unsent;
}

}  // namespace cuminvane
