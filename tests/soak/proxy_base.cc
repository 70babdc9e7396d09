/** @file proxy_base.cc The loopback proxy. */

#include "tests/soak/proxy_base.h"

#include <array>

namespace cuminvane::soak {
namespace {

constexpr Milliseconds kDelay{150};

asio::ip::tcp::endpoint ToTcp(const Endpoint& endpoint) {
  return {asio::ip::address_v4(endpoint.ip), endpoint.port};
}

}  // namespace

/** One connection and its continuation to the store. */
struct Proxy::Link {
  explicit Link(asio::io_context& context)
      : near(context),
        far(context),
        pause{asio::steady_timer(context), asio::steady_timer(context)} {}

  asio::ip::tcp::socket& From(bool outward) {
    return outward ? this->near : this->far;
  }

  asio::ip::tcp::socket near;
  asio::ip::tcp::socket far;
  std::array<asio::steady_timer, 2> pause;
  std::array<std::array<char, 16384>, 2> buffers{};
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
  for (const std::weak_ptr<Link>& weak : this->links) {
    const std::shared_ptr<Link> link = weak.lock();
    if (link == nullptr)
      continue;
    asio::error_code ignored;
    link->near.set_option(asio::socket_base::linger(true, 0), ignored);
    link->near.close(ignored);
    link->far.close(ignored);
  }
  this->links.clear();
}

void Proxy::Accept() {
  const auto link = std::make_shared<Link>(this->context);
  this->acceptor.async_accept(
      link->near, [this, link](const asio::error_code& failure) {
        if (failure)
          return;
        this->Accept();
        asio::error_code ignored;
        if (this->mode == ProxyMode::kReset) {
          link->near.set_option(asio::socket_base::linger(true, 0), ignored);
          link->near.close(ignored);
          return;
        }
        this->links.push_back(link);
        link->far.async_connect(ToTcp(this->to),
                                [this, link](const asio::error_code& refused) {
                                  asio::error_code unused;
                                  if (refused) {
                                    link->near.close(unused);
                                    return;
                                  }
                                  this->Pump(link, true);
                                  this->Pump(link, false);
                                });
      });
}

void Proxy::Pump(const std::shared_ptr<Link>& link, bool outward) {
  auto& buffer = link->buffers[outward ? 0 : 1];
  link->From(outward).async_read_some(
      asio::buffer(buffer),
      [this, link, outward](const asio::error_code& failure, size_t bytes) {
        asio::error_code ignored;
        if (failure) {
          link->From(!outward).close(ignored);
          return;
        }
        const bool swallowed = this->mode == ProxyMode::kSilent ||
                               (this->mode == ProxyMode::kOneWay && !outward);
        if (swallowed)
          return;
        asio::steady_timer& pause = link->pause[outward ? 0 : 1];
        pause.expires_after(this->mode == ProxyMode::kDelay ? kDelay
                                                            : Milliseconds(0));
        pause.async_wait([this, link, outward, bytes](const asio::error_code&) {
          this->Write(link, outward, bytes);
        });
      });
}

void Proxy::Write(const std::shared_ptr<Link>& link,
                  bool outward,
                  size_t bytes) {
  asio::async_write(
      link->From(!outward), asio::buffer(link->buffers[outward ? 0 : 1], bytes),
      [this, link, outward](const asio::error_code& failure, size_t) {
        if (!failure)
          this->Pump(link, outward);
      });
}

}  // namespace cuminvane::soak
