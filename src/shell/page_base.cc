/** @file page_base.cc HTTP server of small pages, through libmicrohttpd. */

#include "shell/page_base.h"

#include <microhttpd.h>

#include <utility>

#include "shell/guard_func.h"
#include "shell/http_func.h"
#include "shell/socket_base.h"

namespace cuminvane {
namespace {

/** Maximum open connections; only the platform and a few operators connect. */
constexpr unsigned kConnectionLimit = 16;
/** Seconds after which an idle connection is closed. */
constexpr unsigned kIdleSeconds = 30;

/** HTTP server on libmicrohttpd. */
class MhdPageServer : public PageServer {
 public:
  explicit MhdPageServer(PageHandler handler) : handler(std::move(handler)) {}
  ~MhdPageServer() override {
    if (this->server != nullptr)
      MHD_stop_daemon(this->server);
  }
  MhdPageServer(const MhdPageServer&) = delete;
  MhdPageServer& operator=(const MhdPageServer&) = delete;

  bool Start(const Endpoint& address) {
    const sockaddr_in bind_address = ToSockaddr(address);
    this->server = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_EPOLL, address.port, nullptr,
        nullptr, &MhdPageServer::Answer, this, MHD_OPTION_SOCK_ADDR,
        &bind_address, MHD_OPTION_CONNECTION_LIMIT, kConnectionLimit,
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
    HttpPage page;
    if (!RunGuarded("page", [&] {
          page = static_cast<MhdPageServer*>(user)->handler(url);
        }))
      page = {true, false, ""};
    const unsigned status = !page.found      ? MHD_HTTP_NOT_FOUND
                            : page.available ? MHD_HTTP_OK
                                             : MHD_HTTP_SERVICE_UNAVAILABLE;
    return ReplyText(connection, status, page.text);
  }

  PageHandler handler;
  MHD_Daemon* server = nullptr;
};

}  // namespace

Result<std::unique_ptr<PageServer>> StartPageServer(const Endpoint& address,
                                                    PageHandler handler) {
  auto pages = std::make_unique<MhdPageServer>(std::move(handler));
  if (!pages->Start(address))
    return Error{ResultCode::kSocketFailure,
                 "can't answer HTTP at " + ToString(address)};
  return std::unique_ptr<PageServer>(std::move(pages));
}

}  // namespace cuminvane
