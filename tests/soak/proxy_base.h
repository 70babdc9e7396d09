/** @file proxy_base.h A loopback proxy before the stand-in store that delays,
 * silences, resets or refuses connections. */

#ifndef CUMINVANE_TESTS_SOAK_PROXY_BASE_H_
#define CUMINVANE_TESTS_SOAK_PROXY_BASE_H_

#include <asio.hpp>
#include <memory>
#include <vector>

#include "base/endpoint_type.h"
#include "base/time_type.h"

namespace cuminvane::soak {

enum class ProxyMode : uint8_t {
  kPass,
  kDelay,   ///< Every piece waits.
  kSilent,  ///< Connections stay open and bring nothing more.
  kOneWay,  ///< Calls arrive, answers do not.
  kReset,   ///< Connections are reset, and new ones too.
};
inline constexpr int kProxyModes = 5;

/** Carries connections of one balancer to the store. */
class Proxy {
 public:
  Proxy(asio::io_context& context, const Endpoint& listen, const Endpoint& to);

  /** Behaves so from now on, open connections too. */
  void SetMode(ProxyMode mode);

 private:
  struct Link;
  void Accept();
  void Pump(const std::shared_ptr<Link>& link, bool outward);
  void Write(const std::shared_ptr<Link>& link, bool outward, size_t bytes);

  asio::io_context& context;
  asio::ip::tcp::acceptor acceptor;
  Endpoint to;
  ProxyMode mode = ProxyMode::kPass;
  std::vector<std::weak_ptr<Link>> links;
};

}  // namespace cuminvane::soak

#endif  // CUMINVANE_TESTS_SOAK_PROXY_BASE_H_
