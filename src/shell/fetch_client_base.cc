/** @file fetch_client_base.cc Implementation of fetches over TCP. */

#include "shell/fetch_client_base.h"

#include <memory>
#include <utility>

#include "document/compress_func.h"
#include "message/message_type.h"
#include "shell/frame_type.h"
#include "shell/socket_base.h"

namespace cuminvane {
namespace {

/** Bytes read at once. */
constexpr size_t kReadBytes = 16384;

/** One fetch: sends the request, then reads the two frames of the answer. */
class FetchSession : public std::enable_shared_from_this<FetchSession> {
 public:
  FetchSession(asio::io_context& context,
               const PeerFetch& fetch,
               FetchCallback callback)
      : socket(context),
        progress_timer(context),
        peer(fetch.peer),
        callback(std::move(callback)) {
    AppendFrame(this->request, fetch.request);
  }

  void Start() {
    this->ExpectProgress();
    this->socket.async_connect(
        {asio::ip::address_v4(this->peer.ip), this->peer.port},
        [self = this->shared_from_this()](const asio::error_code& failure) {
          if (failure)
            self->Finish(false);
          else
            self->SendRequest();
        });
  }

 private:
  void SendRequest() {
    this->ExpectProgress();
    asio::async_write(this->socket, asio::buffer(this->request),
                      [self = this->shared_from_this()](
                          const asio::error_code& failure, size_t) {
                        if (failure)
                          self->Finish(false);
                        else
                          self->ReadLength(self->header, kMaxDatagramBytes);
                      });
  }

  /** Reads the length of the next frame, then the frame.
   * @param target Receives the frame.
   * @param limit Maximum size of the frame in bytes. */
  void ReadLength(std::string& target, size_t limit) {
    this->ExpectProgress();
    asio::async_read(this->socket, asio::buffer(this->length),
                     [self = this->shared_from_this(), &target, limit](
                         const asio::error_code& failure, size_t) {
                       const size_t bytes = DecodeFrameLength(self->length);
                       if (failure || bytes == 0 || bytes > limit)
                         self->Finish(false);
                       else
                         self->ReadBody(target, bytes);
                     });
  }

  void ReadBody(std::string& target, size_t bytes) {
    if (bytes == 0) {
      if (&target == &this->header)
        this->ReadLength(this->content, kMaxContentBytes);
      else
        this->Finish(true);
      return;
    }
    this->ExpectProgress();
    this->socket.async_read_some(
        asio::buffer(this->buffer.data(), std::min(bytes, this->buffer.size())),
        [self = this->shared_from_this(), &target, bytes](
            const asio::error_code& failure, size_t read) {
          if (failure) {
            self->Finish(false);
            return;
          }
          target.append(self->buffer.data(), read);
          self->ReadBody(target, bytes - read);
        });
  }

  /** Ends the fetch if nothing happens within kProgressTimeout. */
  void ExpectProgress() {
    this->progress_timer.expires_after(kProgressTimeout);
    this->progress_timer.async_wait(
        [self = this->shared_from_this()](const asio::error_code& failure) {
          if (!failure)
            self->Finish(false);
        });
  }

  void Finish(bool succeeded) {
    if (this->finished)
      return;
    this->finished = true;
    this->progress_timer.cancel();
    asio::error_code ignored;
    this->socket.close(ignored);
    if (!succeeded) {
      this->header.clear();
      this->content.clear();
    }
    this->callback(this->header, this->content);
  }

  asio::ip::tcp::socket socket;
  asio::steady_timer progress_timer;
  Endpoint peer;
  FetchCallback callback;
  std::string request;                  ///< The request's frame.
  FrameLength length{};                 ///< Length of the frame being read.
  std::array<char, kReadBytes> buffer;  ///< Bytes that were read last.
  std::string header;                   ///< First frame of the answer.
  std::string content;                  ///< Second frame of the answer.
  bool finished = false;                ///< The callback has been called.
};

}  // namespace

void StartFetch(asio::io_context& context,
                const PeerFetch& fetch,
                FetchCallback callback) {
  std::make_shared<FetchSession>(context, fetch, std::move(callback))->Start();
}

}  // namespace cuminvane
