/** @file checker_base.cc Checks of backend servers over TCP. */

#include "shell/checker_base.h"

#include <deque>
#include <memory>
#include <utility>

namespace cuminvane {
namespace {

/** One check: some connections, one after the other, until one is answered. */
class Check : public std::enable_shared_from_this<Check> {
 public:
  Check(asio::io_context& context, const HealthCheck& check, CheckDone done)
      : context(context),
        check(check),
        done(std::move(done)),
        due(context),
        next(context) {}

  void Start(Microseconds wait) {
    // The last connection has as much time as there is between two of them.
    this->spacing = wait / (this->check.attempts + 1);
    this->due.expires_after(wait);
    this->due.async_wait(
        [self = this->shared_from_this()](const asio::error_code& failure) {
          if (!failure)
            self->Finish(HealthCheckResult::kTimedOut);
        });
    this->Attempt();
  }

 private:
  void Attempt() {
    asio::ip::tcp::socket& socket = this->sockets.emplace_back(this->context);
    socket.async_connect(
        {asio::ip::address_v4(this->check.address.ip),
         this->check.address.port},
        [self = this->shared_from_this()](const asio::error_code& failure) {
          self->OnConnect(failure);
        });
    if (static_cast<int>(this->sockets.size()) >= this->check.attempts)
      return;
    this->next.expires_after(this->spacing);
    this->next.async_wait(
        [self = this->shared_from_this()](const asio::error_code& failure) {
          if (!failure && !self->finished)
            self->Attempt();
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
    this->next.cancel();
    for (asio::ip::tcp::socket& socket : this->sockets) {
      asio::error_code ignored;
      socket.close(ignored);
    }
    this->done(this->check.backend, result);
  }

  asio::io_context& context;
  HealthCheck check;
  CheckDone done;
  asio::steady_timer due;
  asio::steady_timer next;
  std::deque<asio::ip::tcp::socket> sockets;
  Microseconds spacing{0};
  bool finished = false;
};

}  // namespace

void StartCheck(asio::io_context& context,
                const HealthCheck& check,
                TimePoint now,
                CheckDone done) {
  std::make_shared<Check>(context, check, std::move(done))
      ->Start(std::max(Microseconds(0), check.due - now));
}

}  // namespace cuminvane
