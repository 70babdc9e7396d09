/** @file endpoint_type.cc Parses and formats endpoints. */

#include "base/endpoint_type.h"

#include <asio/ip/address_v4.hpp>
#include <charconv>

namespace cuminvane {

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  const std::string_view ip = text.substr(0, colon);
  // Asio reads the text only up to a zero byte.
  if (ip.find('\0') != std::string_view::npos)
    return std::nullopt;
  asio::error_code failure;
  const auto address = asio::ip::make_address_v4(std::string(ip), failure);
  if (failure)
    return std::nullopt;
  const std::string_view digits = text.substr(colon + 1);
  uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc{} || end != digits.data() + digits.size() || port == 0)
    return std::nullopt;
  return Endpoint{address.to_uint(), port};
}

std::string ToString(const Endpoint& endpoint) {
  return asio::ip::address_v4(endpoint.ip).to_string() + ":" +
         std::to_string(endpoint.port);
}

}  // namespace cuminvane
