/** @file socket_base.cc Implementation of UDP sockets. */

#include "shell/socket_base.h"

#include <unistd.h>

namespace cuminvane {
namespace {

/** Size of the kernel's send and receive buffers; absorbs a burst while the
 * reader is busy. */
constexpr int kKernelBufferBytes = 4 * 1024 * 1024;

Error SocketError(const Endpoint& address, const asio::error_code& failure) {
  return {ResultCode::kSocketFailure,
          ToString(address) + ": " + failure.message()};
}

}  // namespace

asio::ip::udp::endpoint ToAsio(const Endpoint& endpoint) {
  return {asio::ip::address_v4(endpoint.ip), endpoint.port};
}

Endpoint FromAsio(const asio::ip::udp::endpoint& endpoint) {
  return {endpoint.address().to_v4().to_uint(), endpoint.port()};
}

Result<UdpSocket> OpenUdp(asio::io_context& context, const Endpoint& address) {
  UdpSocket socket(context);
  asio::error_code failure;
  socket.open(asio::ip::udp::v4(), failure);
  if (failure)
    return SocketError(address, failure);
  // The kernel may refuse this size; the socket also works with a smaller
  // buffer.
  asio::error_code ignored;
  socket.set_option(asio::socket_base::receive_buffer_size(kKernelBufferBytes),
                    ignored);
  socket.set_option(asio::socket_base::send_buffer_size(kKernelBufferBytes),
                    ignored);
  socket.bind(ToAsio(address), failure);
  if (failure)
    return SocketError(address, failure);
  socket.non_blocking(true, failure);
  if (failure)
    return SocketError(address, failure);
  return socket;
}

Result<UdpSocket> ShareUdp(asio::io_context& context, UdpSocket& socket) {
  const int descriptor = dup(socket.native_handle());
  UdpSocket shared(context);
  asio::error_code failure;
  if (descriptor >= 0)
    shared.assign(asio::ip::udp::v4(), descriptor, failure);
  if (descriptor < 0 || failure)
    return Error{ResultCode::kSocketFailure,
                 "can't duplicate a socket's descriptor"};
  shared.non_blocking(true, failure);
  return shared;
}

std::optional<std::string_view> Receive(UdpSocket& socket,
                                        ReceiveBuffer& buffer,
                                        Endpoint& from) {
  asio::ip::udp::endpoint sender;
  asio::error_code failure;
  const size_t length =
      socket.receive_from(asio::buffer(buffer), sender, 0, failure);
  if (failure)
    return std::nullopt;
  from = FromAsio(sender);
  return std::string_view(buffer.data(), length);
}

bool SendTo(UdpSocket& socket, const Endpoint& to, std::string_view bytes) {
  asio::error_code failure;
  socket.send_to(asio::buffer(bytes.data(), bytes.size()), ToAsio(to), 0,
                 failure);
  return !failure;
}

}  // namespace cuminvane
