/** @file proxy_base.cc Loopback proxy in front of the stand-in store. */

#include "tests/soak/proxy_base.h"

#include <array>

namespace cuminvane::soak {
namespace {

/** Delay of the data of one read in the mode kDelay. */
constexpr Milliseconds kDelayPerRead{150};

asio::ip::tcp::endpoint ToTcp(const Endpoint& endpoint) {
  return {asio::ip::address_v4(endpoint.ip), endpoint.port};
}

}  // namespace

/** A connection from the balancer and its counterpart to the store. */
struct Proxy::Connection {
  explicit Connection(asio::io_context& context)
      : balancer_side(context),
        store_side(context),
        delay_timers{asio::steady_timer(context), asio::steady_timer(context)} {
  }

  /** @return The socket that data of a direction is read from. */
  asio::ip::tcp::socket& SocketOf(bool to_store) {
    return to_store ? this->balancer_side : this->store_side;
  }

  asio::ip::tcp::socket balancer_side;  ///< Connection from the balancer.
  asio::ip::tcp::socket store_side;     ///< Connection to the store.
  std::array<asio::steady_timer, 2> delay_timers;  ///< To the store, and back.
  std::array<std::array<char, 16384>, 2>
      buffers{};  ///< Data to the store, and back.
};

Proxy::Proxy(asio::io_context& context,
             const Endpoint& listen,
             const Endpoint& to)
    : context(context), acceptor(context, ToTcp(listen)), to(to) {
  this->Accept();
}

void Proxy::SetMode(ProxyMode next) {
  this->mode = next;
  if (next != ProxyMode::kReset)
    return;
  for (const std::weak_ptr<Connection>& weak : this->connections) {
    const std::shared_ptr<Connection> connection = weak.lock();
    if (connection == nullptr)
      continue;
    asio::error_code ignored;
    connection->balancer_side.set_option(asio::socket_base::linger(true, 0),
                                         ignored);
    connection->balancer_side.close(ignored);
    connection->store_side.close(ignored);
  }
  this->connections.clear();
}

void Proxy::Accept() {
  const auto connection = std::make_shared<Connection>(this->context);
  this->acceptor.async_accept(
      connection->balancer_side,
      [this, connection](const asio::error_code& failure) {
        if (failure)
          return;
        this->Accept();
        asio::error_code ignored;
        if (this->mode == ProxyMode::kReset) {
          connection->balancer_side.set_option(
              asio::socket_base::linger(true, 0), ignored);
          connection->balancer_side.close(ignored);
          return;
        }
        this->connections.push_back(connection);
        connection->store_side.async_connect(
            ToTcp(this->to),
            [this, connection](const asio::error_code& refused) {
              asio::error_code unused;
              if (refused) {
                connection->balancer_side.close(unused);
                return;
              }
              this->ReadNext(connection, true);
              this->ReadNext(connection, false);
            });
      });
}

void Proxy::ReadNext(const std::shared_ptr<Connection>& connection,
                     bool to_store) {
  auto& buffer = connection->buffers[to_store ? 0 : 1];
  connection->SocketOf(to_store).async_read_some(
      asio::buffer(buffer), [this, connection, to_store](
                                const asio::error_code& failure, size_t bytes) {
        asio::error_code ignored;
        if (failure) {
          connection->SocketOf(!to_store).close(ignored);
          return;
        }
        const bool dropped =
            this->mode == ProxyMode::kDropAll ||
            (this->mode == ProxyMode::kDropAnswers && !to_store);
        if (dropped)
          return;
        asio::steady_timer& delay_timer =
            connection->delay_timers[to_store ? 0 : 1];
        delay_timer.expires_after(
            this->mode == ProxyMode::kDelay ? kDelayPerRead : Milliseconds(0));
        delay_timer.async_wait(
            [this, connection, to_store, bytes](const asio::error_code&) {
              this->WriteNext(connection, to_store, bytes);
            });
      });
}

void Proxy::WriteNext(const std::shared_ptr<Connection>& connection,
                      bool to_store,
                      size_t bytes) {
  asio::async_write(
      connection->SocketOf(!to_store),
      asio::buffer(connection->buffers[to_store ? 0 : 1], bytes),
      [this, connection, to_store](const asio::error_code& failure, size_t) {
        if (!failure)
          this->ReadNext(connection, to_store);
      });
}

}  // namespace cuminvane::soak
