/** @file checker_base.cc Implementation of the TCP health checks. */

#include "shell/checker_base.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

namespace cuminvane {
namespace {

/** One health check: starts connections at equal intervals, up to the maximum
 * number, until one is answered or the deadline passes. */
class TcpHealthCheck : public std::enable_shared_from_this<TcpHealthCheck> {
 public:
  TcpHealthCheck(asio::io_context& context,
                 const HealthCheck& check,
                 CheckCallback callback)
      : context(context),
        check(check),
        callback(std::move(callback)),
        deadline_timer(context),
        attempt_timer(context) {}

  void Start(Microseconds timeout) {
    // The last connection starts two intervals before the deadline, so that it
    // has time to be answered.
    this->attempt_interval = timeout / (this->check.attempts + 1);
    this->deadline_timer.expires_after(timeout);
    this->deadline_timer.async_wait(
        [self = this->shared_from_this()](const asio::error_code& failure) {
          if (failure)
            return;
          self->Finish(self->SilenceResult());
        });
    this->StartAttempt();
  }

 private:
  void StartAttempt() {
    ++this->started_attempts;
    this->Connect(this->check.address, [self = this->shared_from_this()](
                                           const asio::error_code& failure) {
      self->OnConnect(failure);
    });
    if (this->check.control != Endpoint{})
      this->Connect(this->check.control, [self = this->shared_from_this()](
                                             const asio::error_code& failure) {
        self->control_answers += IsAnswer(failure) ? 1 : 0;
      });
    if (this->started_attempts >= this->check.attempts)
      return;
    this->attempt_timer.expires_after(this->attempt_interval);
    this->attempt_timer.async_wait(
        [self = this->shared_from_this()](const asio::error_code& failure) {
          if (!failure && !self->finished)
            self->StartAttempt();
        });
  }

  void Connect(const Endpoint& to,
               std::function<void(const asio::error_code&)> on_connect) {
    this->sockets.emplace_back(this->context)
        .async_connect({asio::ip::address_v4(to.ip), to.port},
                       std::move(on_connect));
  }

  /** @return The result of a check whose backend server has not answered. A
   * control that leaves more than one connection unanswered shows that the link
   * is congested; a single one may have been sent too late. */
  HealthCheckResult SilenceResult() const {
    const bool conclusive =
        this->check.control == Endpoint{} ||
        this->control_answers >= std::max(1, this->started_attempts - 1);
    return conclusive ? HealthCheckResult::kTimedOut
                      : HealthCheckResult::kInconclusive;
  }

  /** @return Whether the VM answered, even if it refused the connection. */
  static bool IsAnswer(const asio::error_code& failure) {
    return !failure || failure == asio::error::connection_refused ||
           failure == asio::error::connection_reset;
  }

  void OnConnect(const asio::error_code& failure) {
    if (!failure)
      this->Finish(HealthCheckResult::kAnswered);
    else if (IsAnswer(failure))
      this->Finish(HealthCheckResult::kRefused);
    // Other failures, such as an unreachable network, are not an
    // answer of the backend server; the check continues until its deadline.
  }

  void Finish(HealthCheckResult result) {
    if (this->finished)
      return;
    this->finished = true;
    this->deadline_timer.cancel();
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
  asio::steady_timer deadline_timer;  ///< Ends the check with kTimedOut.
  asio::steady_timer attempt_timer;   ///< Starts the next connection attempt.
  std::deque<asio::ip::tcp::socket> sockets;  ///< Of all attempts.
  int started_attempts = 0;
  int control_answers = 0;  ///< Attempts that the control has answered.
  Microseconds attempt_interval{0};  ///< Time between connection attempts.
  bool finished = false;             ///< The callback has been called.
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
