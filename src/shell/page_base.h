/** @file page_base.h Serves small pages over HTTP, such as readiness and
 * metrics.
 */

#ifndef CUMINVANE_SHELL_PAGE_BASE_H_
#define CUMINVANE_SHELL_PAGE_BASE_H_

#include <functional>
#include <memory>
#include <string>

#include "base/endpoint_type.h"
#include "base/result_type.h"

namespace cuminvane {

/** Answer to one HTTP request. */
struct HttpPage {
  bool found = true;      ///< If false, the HTTP status is 404.
  bool available = true;  ///< If false, the HTTP status is 503.
  std::string text;       ///< Body.

  bool operator==(const HttpPage&) const = default;
};

/** Returns the page of a path such as `/ready`; called from the server's
 * thread. */
using PageHandler = std::function<HttpPage(const std::string& path)>;

/** A running HTTP server; stops when it is destroyed. */
class PageServer {
 public:
  virtual ~PageServer() = default;
};

/**
 * Starts an HTTP server with a thread of its own.
 * @param address Listen address.
 * @param handler Provides the pages.
 * @return The server; kSocketFailure if the address can't be used.
 */
Result<std::unique_ptr<PageServer>> StartPageServer(const Endpoint& address,
                                                    PageHandler handler);

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_PAGE_BASE_H_
