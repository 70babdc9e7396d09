/** @file fetch_client_base.h Fetches a document from another balancer over a
 * TCP connection. */

#ifndef CUMINVANE_SHELL_FETCH_CLIENT_BASE_H_
#define CUMINVANE_SHELL_FETCH_CLIENT_BASE_H_

#include <asio.hpp>
#include <functional>
#include <string>

#include "decision/output_type.h"

namespace cuminvane {

/** Called once with both parts of the answer. Both are empty if the fetch has
 * failed; an answer that broke off is a failure. */
using FetchCallback =
    std::function<void(const std::string& header, const std::string& content)>;

/**
 * Starts a fetch, which keeps itself alive until it has called back.
 * @param context Runs the fetch and the callback.
 */
void StartFetch(asio::io_context& context,
                const PeerFetch& fetch,
                FetchCallback callback);

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_FETCH_CLIENT_BASE_H_
