/** @file socket_base.h UDP sockets: bound once, read by several threads, each
 * through its own descriptor. */

#ifndef CUMINVANE_SHELL_SOCKET_BASE_H_
#define CUMINVANE_SHELL_SOCKET_BASE_H_

#include <netinet/in.h>

#include <array>
#include <asio.hpp>
#include <optional>
#include <string_view>

#include "base/endpoint_type.h"
#include "base/result_type.h"
#include "message/message_type.h"

namespace cuminvane {

using UdpSocket = asio::ip::udp::socket;

/** Room for one datagram and one byte more, so that an oversized one is
 * noticed. */
using ReceiveBuffer = std::array<char, kMaxDatagramBytes + 1>;

/** @return The endpoint as the system's calls take it. */
inline sockaddr_in ToSockaddr(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  address.sin_addr.s_addr = htonl(endpoint.ip);
  return address;
}

/** @return The endpoint in the library's form. */
asio::ip::udp::endpoint ToAsio(const Endpoint& endpoint);
/** @return The endpoint in the core's form. */
Endpoint FromAsio(const asio::ip::udp::endpoint& endpoint);

/**
 * Opens and binds a socket.
 * @param context Context of the thread that first uses it.
 * @param address Where to listen; port 0 takes any.
 * @return The socket, not blocking; kSocketFailure with the reason.
 */
Result<UdpSocket> OpenUdp(asio::io_context& context, const Endpoint& address);

/**
 * Opens another descriptor of the same socket, for another thread.
 * @return The socket; kSocketFailure with the reason.
 */
Result<UdpSocket> ShareUdp(asio::io_context& context, UdpSocket& socket);

/**
 * Reads one waiting datagram.
 * @param buffer Receives it.
 * @param from Receives the sender.
 * @return The datagram, nothing where none is waiting.
 */
std::optional<std::string_view> Receive(UdpSocket& socket,
                                        ReceiveBuffer& buffer,
                                        Endpoint& from);

/** @return Whether the socket took the datagram. */
bool SendTo(UdpSocket& socket, const Endpoint& to, std::string_view bytes);

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_SOCKET_BASE_H_
