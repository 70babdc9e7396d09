/** @file proxy_base.h A loopback TCP proxy in front of the stand-in store that
 * delays, drops or resets connections. */

#ifndef CUMINVANE_TESTS_SOAK_PROXY_BASE_H_
#define CUMINVANE_TESTS_SOAK_PROXY_BASE_H_

#include <asio.hpp>
#include <memory>
#include <vector>

#include "base/endpoint_type.h"
#include "base/time_type.h"

namespace cuminvane::soak {

/** How a proxy disturbs its connections. */
enum class ProxyMode : uint8_t {
  kPass,         ///< Data is passed on at once.
  kDelay,        ///< Data of each read is passed on after a delay.
  kDropAll,      ///< Connections stay open, data is dropped in both directions.
  kDropAnswers,  ///< Requests reach the store, its answers are dropped.
  kReset,        ///< Open connections and new ones are reset.
};
inline constexpr int kProxyModeCount = 5;  ///< Number of values of ProxyMode.

/** Forwards the connections of one balancer to the store. */
class Proxy {
 public:
  /**
   * @param context Runs the connections.
   * @param listen Address that the balancer connects to.
   * @param to Address of the store.
   */
  Proxy(asio::io_context& context, const Endpoint& listen, const Endpoint& to);

  /** Sets the mode for open and new connections. */
  void SetMode(ProxyMode mode);

 private:
  struct Connection;

  /** Accepts the next connection. */
  void Accept();
  /** Reads the next data of one direction.
   * @param to_store Direction: from the balancer to the store, or back. */
  void ReadNext(const std::shared_ptr<Connection>& connection, bool to_store);
  /** Passes on the data that was read, then reads again. */
  void WriteNext(const std::shared_ptr<Connection>& connection,
                 bool to_store,
                 size_t bytes);

  asio::io_context& context;
  asio::ip::tcp::acceptor acceptor;
  Endpoint to;  ///< Address of the store.
  ProxyMode mode = ProxyMode::kPass;
  std::vector<std::weak_ptr<Connection>>
      connections;  ///< Connections that have been accepted; closed ones are
                    ///< expired.
};

}  // namespace cuminvane::soak

#endif  // CUMINVANE_TESTS_SOAK_PROXY_BASE_H_
