/** @file backend_role.cc The role `backend`: one stand-in backend server as a
 * process. */

#include <asio.hpp>
#include <csignal>
#include <fstream>
#include <memory>

#include "shell/clock_func.h"
#include "shell/program_func.h"
#include "shell/socket_base.h"
#include "standin/backend_base.h"
#include "standin/role_func.h"

namespace cuminvane {
namespace {

/** Interval of Backend::Tick; runs finish at most this late. */
constexpr Milliseconds kTickInterval{1};

/** Connects a Backend to its UDP socket, tick timer, signals and record file.
 */
class BackendProcess : public std::enable_shared_from_this<BackendProcess> {
 public:
  BackendProcess(asio::io_context& context,
                 const BackendOptions& options,
                 const std::string& record_path)
      : context(context),
        socket(context),
        tick_timer(context),
        signals(context, SIGTERM, SIGINT, SIGUSR1),
        options(options),
        backend(options),
        record(record_path, std::ios::app) {}

  Result<void> Open(const Endpoint& address) {
    BOOST_OUTCOME_TRY(opened, OpenUdp(this->context, address));
    this->socket = std::move(opened);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  void Start() {
    this->WaitForPackets();
    this->WaitForTick();
    this->WaitForSignal();
  }

 private:
  void WaitForPackets() {
    this->socket.async_wait(
        UdpSocket::wait_read,
        [self = this->shared_from_this()](const asio::error_code& failure) {
          if (failure)
            return;
          Endpoint from;
          while (const auto bytes = Receive(self->socket, self->buffer, from)) {
            self->backend.OnPacket(ReadClock(), from, *bytes, self->out);
            self->FlushOutput();
          }
          self->WaitForPackets();
        });
  }

  void WaitForTick() {
    this->tick_timer.expires_after(kTickInterval);
    this->tick_timer.async_wait(
        [self = this->shared_from_this()](const asio::error_code& failure) {
          if (failure)
            return;
          self->backend.Tick(ReadClock(), self->out);
          self->FlushOutput();
          self->WaitForTick();
        });
  }

  /** Waits for a signal: SIGUSR1 starts draining, SIGTERM and SIGINT end the
   * process. */
  void WaitForSignal() {
    this->signals.async_wait([self = this->shared_from_this()](
                                 const asio::error_code& failure, int number) {
      if (failure)
        return;
      if (number == SIGUSR1) {
        self->backend.SetDraining(true);
        self->WaitForSignal();
        return;
      }
      asio::error_code ignored;
      self->socket.close(ignored);
      self->tick_timer.cancel();
    });
  }

  /** Sends pending datagrams and appends new events to the record file. */
  void FlushOutput() {
    for (const Datagram& datagram : this->out.datagrams)
      SendTo(this->socket, datagram.to, datagram.bytes);
    this->out.Clear();
    for (const BackendEvent& event : this->backend.TakeEvents()) {
      this->record << "event=" << ToString(event.kind)
                   << " at=" << ToUnixMicroseconds(event.at)
                   << " vm=" << this->options.vm.value
                   << " service=" << this->options.service
                   << " run=" << event.run.value << " flow=" << event.flow.value
                   << " number=" << event.number.value << " tag=" << event.tag
                   << " busy=" << event.busy.count() << "\n";
    }
    this->record.flush();
  }

  asio::io_context& context;
  UdpSocket socket;
  asio::steady_timer tick_timer;
  asio::signal_set signals;
  BackendOptions options;
  Backend backend;
  std::ofstream record;
  Output out;
  ReceiveBuffer buffer{};
};

}  // namespace

ResultCode RunBackend(const cxxopts::ParseResult& options) {
  const std::optional<Endpoint> listen =
      ParseEndpoint(options["listen"].as<std::string>());
  if (!listen)
    return ReportError(
        {ResultCode::kUsage, "--listen must be an address A.B.C.D:PORT"});
  BackendOptions backend;
  backend.vm = VmId{options["vm"].as<uint32_t>()};
  backend.incarnation = Incarnation{options["incarnation"].as<uint64_t>()};
  backend.service = options["serves"].as<std::string>();
  backend.slots = options["slots"].as<uint32_t>();
  backend.queue_limit = options["queue"].as<uint32_t>();
  asio::io_context context(1);
  const auto process = std::make_shared<BackendProcess>(
      context, backend, options["record"].as<std::string>());
  const Result<void> opened = process->Open(*listen);
  if (!opened)
    return ReportError(opened.error());
  process->Start();
  context.run();
  return ResultCode::kOk;
}

}  // namespace cuminvane
