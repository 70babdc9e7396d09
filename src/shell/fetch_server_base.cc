/** @file fetch_server_base.cc Implementation of the server for fetches. */

#include "shell/fetch_server_base.h"

#include <algorithm>
#include <string>
#include <utility>

#include "message/message_type.h"
#include "shell/clock_func.h"
#include "shell/frame_type.h"
#include "shell/socket_base.h"

namespace cuminvane {
namespace {

/** Maximum number of answers sent at the same time. */
constexpr int kMaxAnswers = 8;
/** Maximum number of open connections. Health checks use some as a control. */
constexpr int kMaxSessions = 64;
/** Pause after a failure to accept, for example for lack of descriptors. */
constexpr Milliseconds kAcceptRetry{100};
/** Bytes sent at once; small, so that packets of callers get in between. */
constexpr size_t kPieceBytes = 4096;

}  // namespace

/** One connection: reads a request and sends the answer in paced pieces. */
class FetchServer::Session
    : public std::enable_shared_from_this<FetchServer::Session> {
 public:
  Session(std::shared_ptr<FetchServer> server, asio::ip::tcp::socket socket)
      : server(std::move(server)),
        socket(std::move(socket)),
        progress_timer(this->server->context),
        pace_timer(this->server->context) {
    ++this->server->open_sessions;
  }
  ~Session() {
    --this->server->open_sessions;
    this->server->running_answers -= this->is_answering ? 1 : 0;
  }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Start() {
    this->ExpectProgress();
    asio::async_read(this->socket, asio::buffer(this->length),
                     [self = this->shared_from_this()](
                         const asio::error_code& failure, size_t) {
                       const size_t bytes = DecodeFrameLength(self->length);
                       if (failure || bytes > kMaxDatagramBytes)
                         self->Close();
                       else
                         self->ReadRequest(bytes);
                     });
  }

 private:
  void ReadRequest(size_t bytes) {
    this->request.resize(bytes);
    asio::async_read(this->socket, asio::buffer(this->request),
                     [self = this->shared_from_this()](
                         const asio::error_code& failure, size_t) {
                       if (failure)
                         self->Close();
                       else
                         self->Answer();
                     });
  }

  void Answer() {
    const std::optional<FetchAnswer> answer =
        this->server->handler(this->request);
    if (!answer || this->server->running_answers >= kMaxAnswers) {
      this->Close();
      return;
    }
    this->is_answering = true;
    ++this->server->running_answers;
    AppendFrame(this->bytes, answer->header);
    AppendFrame(this->bytes, *answer->content);
    this->SendPiece();
  }

  void SendPiece() {
    const size_t bytes = std::min(kPieceBytes, this->bytes.size() - this->sent);
    if (bytes == 0) {
      this->Close();
      return;
    }
    const TimePoint now = ReadClock();
    this->progress_timer.cancel();
    this->pace_timer.expires_after(this->server->pacer.Reserve(bytes, now) -
                                   now);
    this->pace_timer.async_wait([self = this->shared_from_this(),
                                 bytes](const asio::error_code& failure) {
      if (!failure)
        self->WritePiece(bytes);
    });
  }

  void WritePiece(size_t bytes) {
    this->ExpectProgress();
    asio::async_write(this->socket,
                      asio::buffer(this->bytes.data() + this->sent, bytes),
                      [self = this->shared_from_this()](
                          const asio::error_code& failure, size_t written) {
                        self->sent += written;
                        if (failure)
                          self->Close();
                        else
                          self->SendPiece();
                      });
  }

  /** Closes the connection if nothing happens within kProgressTimeout. */
  void ExpectProgress() {
    this->progress_timer.expires_after(kProgressTimeout);
    this->progress_timer.async_wait(
        [self = this->shared_from_this()](const asio::error_code& failure) {
          if (!failure)
            self->Close();
        });
  }

  void Close() {
    this->progress_timer.cancel();
    asio::error_code ignored;
    this->socket.close(ignored);
  }

  std::shared_ptr<FetchServer> server;
  asio::ip::tcp::socket socket;
  asio::steady_timer progress_timer;
  asio::steady_timer pace_timer;  ///< Delays the next piece.
  FrameLength length{};           ///< Length of the request.
  std::string request;
  std::string bytes;          ///< Both frames of the answer.
  size_t sent = 0;            ///< Number of bytes that have been sent.
  bool is_answering = false;  ///< Counted in FetchServer::running_answers.
};

FetchServer::FetchServer(asio::io_context& context,
                         int64_t bytes_per_s,
                         FetchHandler handler)
    : context(context),
      acceptor(context),
      retry_timer(context),
      pacer(bytes_per_s),
      handler(std::move(handler)) {}

Result<void> FetchServer::Listen(const Endpoint& address) {
  const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4(address.ip),
                                         address.port);
  asio::error_code failure;
  this->acceptor.open(endpoint.protocol(), failure);
  if (!failure)
    this->acceptor.set_option(asio::socket_base::reuse_address(true), failure);
  if (!failure)
    this->acceptor.bind(endpoint, failure);
  if (!failure)
    this->acceptor.listen(asio::socket_base::max_listen_connections, failure);
  if (failure)
    return Error{ResultCode::kSocketFailure,
                 "tcp " + ToString(address) + ": " + failure.message()};
  this->Accept();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void FetchServer::Close() {
  asio::error_code ignored;
  this->acceptor.close(ignored);
  this->retry_timer.cancel();
}

Endpoint FetchServer::LocalAddress() const {
  asio::error_code ignored;
  const asio::ip::tcp::endpoint local = this->acceptor.local_endpoint(ignored);
  return {local.address().to_v4().to_uint(), local.port()};
}

void FetchServer::Accept() {
  this->acceptor.async_accept([self = this->shared_from_this()](
                                  const asio::error_code& failure,
                                  asio::ip::tcp::socket socket) {
    if (failure == asio::error::operation_aborted)
      return;
    if (failure) {
      self->retry_timer.expires_after(kAcceptRetry);
      self->retry_timer.async_wait([self](const asio::error_code& cancelled) {
        if (!cancelled)
          self->Accept();
      });
      return;
    }
    if (self->open_sessions < kMaxSessions)
      std::make_shared<Session>(self, std::move(socket))->Start();
    self->Accept();
  });
}

}  // namespace cuminvane
