/** @file page_base.cc Small pages through libmicrohttpd. */

#include "shell/page_base.h"

#include <microhttpd.h>

#include <utility>

#include "shell/http_func.h"
#include "shell/socket_base.h"

namespace cuminvane {
namespace {

/** Connections held at once; the platform and a few operators ask. */
constexpr unsigned kConnectionLimit = 16;
/** Seconds after which an idle connection is closed. */
constexpr unsigned kIdleSeconds = 30;

class HttpPages : public PageServer {
 public:
  explicit HttpPages(PageMaker maker) : maker(std::move(maker)) {}
  ~HttpPages() override {
    if (this->server != nullptr)
      MHD_stop_daemon(this->server);
  }
  HttpPages(const HttpPages&) = delete;
  HttpPages& operator=(const HttpPages&) = delete;

  bool Start(const Endpoint& address) {
    const sockaddr_in bound = ToSockaddr(address);
    this->server = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_EPOLL, address.port, nullptr,
        nullptr, &HttpPages::Answer, this, MHD_OPTION_SOCK_ADDR, &bound,
        MHD_OPTION_CONNECTION_LIMIT, kConnectionLimit,
        MHD_OPTION_CONNECTION_TIMEOUT, kIdleSeconds, MHD_OPTION_END);
    return this->server != nullptr;
  }

 private:
  static MHD_Result Answer(void* user,
                           MHD_Connection* connection,
                           const char* url,
                           const char* /*method*/,
                           const char* /*version*/,
                           const char* /*upload*/,
                           size_t* /*upload_size*/,
                           void** /*connection_state*/) {
    const Page page = static_cast<HttpPages*>(user)->maker(url);
    const unsigned status = !page.found ? MHD_HTTP_NOT_FOUND
                            : page.good ? MHD_HTTP_OK
                                        : MHD_HTTP_SERVICE_UNAVAILABLE;
    return ReplyText(connection, status, page.text);
  }

  PageMaker maker;
  MHD_Daemon* server = nullptr;
};

}  // namespace

Result<std::unique_ptr<PageServer>> StartPages(const Endpoint& address,
                                               PageMaker maker) {
  auto pages = std::make_unique<HttpPages>(std::move(maker));
  if (!pages->Start(address))
    return Error{ResultCode::kSocketFailure,
                 "can't answer HTTP at " + ToString(address)};
  return std::unique_ptr<PageServer>(std::move(pages));
}

}  // namespace cuminvane
