/** @file endpoint_type.h An IPv4 address with a port, and its text form. */

#ifndef CUMINVANE_BASE_ENDPOINT_TYPE_H_
#define CUMINVANE_BASE_ENDPOINT_TYPE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace cuminvane {

/** Source or destination of packets. */
struct Endpoint {
  uint32_t ip = 0;    ///< Host byte order; 0 means none.
  uint16_t port = 0;  ///< Host byte order.

  auto operator<=>(const Endpoint&) const = default;
  MSGPACK_DEFINE_ARRAY(ip, port)
};

/**
 * @param text `A.B.C.D:PORT`, for example `127.0.0.1:7000`.
 * @return The endpoint, or nothing if the text isn't a valid address or the
 * port is 0.
 */
std::optional<Endpoint> ParseEndpoint(std::string_view text);

/** @return The endpoint as `A.B.C.D:PORT`. */
std::string ToString(const Endpoint& endpoint);

}  // namespace cuminvane

template <>
struct std::hash<cuminvane::Endpoint> {
  std::size_t operator()(const cuminvane::Endpoint& endpoint) const noexcept {
    return std::hash<uint64_t>{}(uint64_t{endpoint.ip} << 16 | endpoint.port);
  }
};

#endif  // CUMINVANE_BASE_ENDPOINT_TYPE_H_
