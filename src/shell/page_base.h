/** @file page_base.h Serves a few small pages over HTTP: readiness and metrics.
 */

#ifndef CUMINVANE_SHELL_PAGE_BASE_H_
#define CUMINVANE_SHELL_PAGE_BASE_H_

#include <functional>
#include <memory>
#include <string>

#include "base/endpoint_type.h"
#include "base/result_type.h"

namespace cuminvane {

/** One page as it is now. */
struct HttpPage {
  bool found = true;      ///< False: 404.
  bool available = true;  ///< False: 503.
  std::string text;

  bool operator==(const HttpPage&) const = default;
};

/** Makes the page of a path, for example `/ready`; called from the server's
 * thread. */
using PageHandler = std::function<HttpPage(const std::string& path)>;

/** Answers until it is destroyed. */
class PageServer {
 public:
  virtual ~PageServer() = default;
};

/**
 * Starts to answer GET requests.
 * @param address Where to listen.
 * @param maker Makes the pages.
 * @return The server; kSocketFailure.
 */
Result<std::unique_ptr<PageServer>> StartPageServer(const Endpoint& address,
                                                    PageHandler handler);

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_PAGE_BASE_H_
