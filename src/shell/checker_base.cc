/** @file checker_base.cc Checks of backend servers over TCP. */

#include "shell/checker_base.h"

#include <deque>
#include <memory>
#include <utility>

namespace cuminvane {
namespace {

/** One check: some connections, one after the other, until one is answered. */
class TcpHealthCheck : public std::enable_shared_from_this<TcpHealthCheck> {
 public:
  TcpHealthCheck(asio::io_context& context,
                 const HealthCheck& check,
                 CheckCallback callback)
      : context(context),
        check(check),
        callback(std::move(callback)),
        due(context),
        attempt_timer(context) {}

  void Start(Microseconds timeout) {
    // The last connection has as much time as there is between two of them.
    this->attempt_interval = timeout / (this->check.attempts + 1);
    this->due.expires_after(timeout);
    this->due.async_wait(
        [self = this->shared_from_this()](const asio::error_code& failure) {
          if (!failure)
            self->Finish(HealthCheckResult::kTimedOut);
        });
    this->StartAttempt();
  }

 private:
  void StartAttempt() {
    asio::ip::tcp::socket& socket = this->sockets.emplace_back(this->context);
    socket.async_connect(
        {asio::ip::address_v4(this->check.address.ip),
         this->check.address.port},
        [self = this->shared_from_this()](const asio::error_code& failure) {
          self->OnConnect(failure);
        });
    if (static_cast<int>(this->sockets.size()) >= this->check.attempts)
      return;
    this->attempt_timer.expires_after(this->attempt_interval);
    this->attempt_timer.async_wait(
        [self = this->shared_from_this()](const asio::error_code& failure) {
          if (!failure && !self->finished)
            self->StartAttempt();
        });
  }

  void OnConnect(const asio::error_code& failure) {
    if (!failure)
      this->Finish(HealthCheckResult::kAnswered);
    else if (failure == asio::error::connection_refused ||
             failure == asio::error::connection_reset)
      this->Finish(HealthCheckResult::kRefused);
    // Any other failure says nothing of the backend server; it stays silent.
  }

  void Finish(HealthCheckResult result) {
    if (this->finished)
      return;
    this->finished = true;
    this->due.cancel();
    this->attempt_timer.cancel();
    for (asio::ip::tcp::socket& socket : this->sockets) {
      asio::error_code ignored;
      socket.close(ignored);
    }
    this->callback(this->check.backend, result);
  }

  asio::io_context& context;
  HealthCheck check;
  CheckCallback callback;
  asio::steady_timer due;
  asio::steady_timer attempt_timer;
  std::deque<asio::ip::tcp::socket> sockets;
  Microseconds attempt_interval{0};
  bool finished = false;
};

}  // namespace

void StartHealthCheck(asio::io_context& context,
                      const HealthCheck& check,
                      TimePoint now,
                      CheckCallback callback) {
  std::make_shared<TcpHealthCheck>(context, check, std::move(callback))
      ->Start(std::max(Microseconds(0), check.due - now));
}

}  // namespace cuminvane
