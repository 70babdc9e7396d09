/** @file fetch_server_base.h Answers other balancers' fetches of documents over
 * TCP. */

#ifndef CUMINVANE_SHELL_FETCH_SERVER_BASE_H_
#define CUMINVANE_SHELL_FETCH_SERVER_BASE_H_

#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "base/result_type.h"
#include "document/document_base.h"
#include "document/pacer_base.h"

namespace cuminvane {

/** @return The answer to a request; no value if there is none. */
using FetchHandler =
    std::function<std::optional<FetchAnswer>(std::string_view request)>;

/** Accepts connections and sends one answer on each. Connections beyond a limit
 * are closed, so that their senders turn to other balancers. */
class FetchServer : public std::enable_shared_from_this<FetchServer> {
 public:
  /**
   * @param context Runs the server; must outlive it.
   * @param bytes_per_s Limit of the rate of all answers together; 0 means none.
   */
  FetchServer(asio::io_context& context,
              int64_t bytes_per_s,
              FetchHandler handler);

  /** Starts listening. @return kSocketFailure with the reason if it can't. */
  Result<void> Listen(const Endpoint& address);

  /** Stops accepting connections; open ones go on. */
  void Close();

  /** @return Address that the server listens on. */
  Endpoint LocalAddress() const;

 private:
  class Session;

  void Accept();

  asio::io_context& context;
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer retry_timer;  ///< Delays the next accept after a failure.
  Pacer pacer;
  FetchHandler handler;
  int open_sessions = 0;
  int running_answers = 0;
};

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_FETCH_SERVER_BASE_H_
