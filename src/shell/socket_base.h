/** @file socket_base.h Non-blocking UDP sockets; a socket is bound once and
 * read by several threads, each through its own descriptor. */

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

/** Buffer for one datagram and one byte more, so that an oversized datagram is
 * detected. */
using ReceiveBuffer = std::array<char, kMaxDatagramBytes + 1>;

/** @return The endpoint for system calls, in network byte order. */
inline sockaddr_in ToSockaddr(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  address.sin_addr.s_addr = htonl(endpoint.ip);
  return address;
}

/** @return The endpoint for Asio. */
asio::ip::udp::endpoint ToAsio(const Endpoint& endpoint);
/** @return The endpoint of an Asio address; the address must be IPv4. */
Endpoint FromAsio(const asio::ip::udp::endpoint& endpoint);

/**
 * Opens and binds a socket.
 * @param context Context of the thread that uses the socket.
 * @param address Address to bind; port 0 chooses a free port.
 * @return A non-blocking socket; kSocketFailure with the reason if it can't be
 * opened or bound.
 */
Result<UdpSocket> OpenUdp(asio::io_context& context, const Endpoint& address);

/**
 * Duplicates the descriptor of a socket for another thread.
 * @param context Context of the thread that uses the duplicate.
 * @param socket Socket to duplicate.
 * @return A non-blocking socket; kSocketFailure with the reason if the
 * descriptor can't be duplicated.
 */
Result<UdpSocket> ShareUdp(asio::io_context& context, UdpSocket& socket);

/**
 * Reads one waiting datagram without blocking.
 * @param socket Socket to read from.
 * @param buffer Receives the datagram.
 * @param from Receives the sender's address.
 * @return The datagram in `buffer`; nothing if none is waiting.
 */
std::optional<std::string_view> Receive(UdpSocket& socket,
                                        ReceiveBuffer& buffer,
                                        Endpoint& from);

/** Sends a datagram. @return Whether the socket accepted it. */
bool SendTo(UdpSocket& socket, const Endpoint& to, std::string_view bytes);

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_SOCKET_BASE_H_
