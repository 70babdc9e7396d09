/** @file flow_backend_role.cc A stand-in backend server of opaque flows: serves
 * packets, reports itself to the stand-in store, drains when it is told to end.
 */

#include <asio.hpp>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <sstream>

#include "emulate/backend_model.h"
#include "shell/clock_func.h"
#include "shell/program_func.h"
#include "shell/socket_base.h"
#include "standin/flow_codec_func.h"
#include "standin/role_func.h"

namespace cuminvane {
namespace {

constexpr Milliseconds kTickInterval{2};
constexpr Milliseconds kHeartbeatInterval{400};
/** Flows go on for this long after the store has been told of the leave. */
constexpr Milliseconds kDrainDuration{3000};
constexpr size_t kTargetVmBytes = 8;

class FlowBackend : public std::enable_shared_from_this<FlowBackend> {
 public:
  FlowBackend(asio::io_context& context,
              const emulate::BackendOptions& options,
              const Endpoint& listen,
              const std::string& directory,
              const std::string& record)
      : context(context),
        options(options),
        listen(listen),
        entry_path(directory + "/servers/i-" + ToHex(options.vm)),
        started_at(ReadClock()),
        model(options, started_at),
        random(std::random_device{}()),
        socket(context),
        health_check_acceptor(context),
        tick_timer(context),
        record(record, std::ios::app) {}

  Result<void> Open() {
    BOOST_OUTCOME_TRY(opened, OpenUdp(this->context, this->listen));
    this->socket = std::move(opened);
    asio::error_code failure;
    const asio::ip::tcp::endpoint address(asio::ip::address_v4(this->listen.ip),
                                          this->listen.port);
    this->health_check_acceptor.open(address.protocol(), failure);
    this->health_check_acceptor.set_option(
        asio::socket_base::reuse_address(true), failure);
    this->health_check_acceptor.bind(address, failure);
    if (!failure)
      this->health_check_acceptor.listen(
          asio::socket_base::max_listen_connections, failure);
    if (failure)
      return Error{ResultCode::kSocketFailure, ToString(this->listen)};
    this->PublishEntry();
    this->WaitForPackets();
    this->WaitForHealthChecks();
    this->WaitForTick();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  void BeginDrain() {
    this->model.BeginDrain();
    this->drain_ends_at = ReadClock() + kDrainDuration;
    this->PublishEntry();
  }

 private:
  static std::string ToHex(VmId vm) {
    std::ostringstream out;
    out << std::hex << vm.value;
    return out.str();
  }

  /** Has the entry written beside the packets, which must not wait for the
   * disk. Where it is behind, the next beat tells. */
  void PublishEntry() {
    this->next_heartbeat_at = ReadClock() + kHeartbeatInterval;
    if (this->entry_write_pending.exchange(true))
      return;
    std::ostringstream text;
    text << "{\"service\":\"" << this->options.service << "\",\"address\":\""
         << ToString(this->listen) << "\",\"zone\":\""
         << this->options.data_centre
         << "\",\"version\":\"v1\",\"slots\":" << this->options.slots
         << ",\"state\":\""
         << (this->drain_ends_at == kNever ? "ready" : "draining")
         << "\",\"cold_remaining_ms\":0,\"seq\":" << ++this->heartbeats
         << ",\"born\":" << ToUnixMicroseconds(this->started_at) / 1000 << "}";
    asio::post(this->entry_writer, [this, text = text.str()] {
      this->WriteEntry(text);
      this->entry_write_pending = false;
    });
  }

  /** Replaces the entry in one step, so that no half of it is read. */
  void WriteEntry(const std::string& text) const {
    const std::string temporary_path = this->entry_path + ".new";
    std::ofstream(temporary_path) << text;
    std::error_code ignored;
    std::filesystem::rename(temporary_path, this->entry_path, ignored);
  }

  void WaitForPackets() {
    this->socket.async_wait(
        UdpSocket::wait_read,
        [self = this->shared_from_this()](const asio::error_code& failure) {
          if (failure)
            return;
          self->ReadPackets();
          self->WaitForPackets();
        });
  }

  void ReadPackets() {
    Endpoint from;
    while (const auto bytes = Receive(this->socket, this->buffer, from)) {
      if (bytes->size() < kTargetVmBytes)
        continue;
      uint64_t target_vm = 0;
      for (size_t index = 0; index < kTargetVmBytes; ++index)
        target_vm =
            target_vm << 8 | static_cast<unsigned char>((*bytes)[index]);
      const auto packet = DecodeFlowPacket(bytes->substr(kTargetVmBytes));
      if (!packet || (target_vm != 0 && target_vm != this->options.vm.value))
        continue;
      if (!packet->unaltered)
        this->record << "event=altered at=" << ToUnixMicroseconds(ReadClock())
                     << "\n";
      this->model.OnPacket(ReadClock(), packet->model, this->random, this->out);
      this->SendPackets(from.port);
    }
  }

  void SendPackets(uint16_t port) {
    for (const emulate::ModelPacket& packet : this->out)
      SendTo(this->socket, {packet.key.caller.ip, port},
             EncodeFlowPacket(packet));
    this->out.clear();
    this->last_sender_port = port;
  }

  void WaitForHealthChecks() {
    this->health_check_acceptor.async_accept(
        [self = this->shared_from_this()](const asio::error_code& failure,
                                          const asio::ip::tcp::socket&) {
          if (!failure)
            self->WaitForHealthChecks();
        });
  }

  void WaitForTick() {
    this->tick_timer.expires_after(kTickInterval);
    this->tick_timer.async_wait(
        [self = this->shared_from_this()](const asio::error_code&) {
          self->OnTick();
        });
  }

  void OnTick() {
    const TimePoint now = ReadClock();
    this->model.Tick(now, this->out);
    this->SendPackets(this->last_sender_port);
    this->RecordEvents();
    if (now >= this->next_heartbeat_at)
      this->PublishEntry();
    if (now >= this->drain_ends_at) {
      this->entry_writer.join();
      std::error_code ignored;
      std::filesystem::remove(this->entry_path, ignored);
      this->context.stop();
      return;
    }
    this->WaitForTick();
  }

  void RecordEvents() {
    for (; this->recorded_runs < this->model.Runs().size();
         ++this->recorded_runs) {
      const emulate::RunRecord& run = this->model.Runs()[this->recorded_runs];
      this->record << "event=run request=" << run.request
                   << " service=" << this->options.service
                   << " at=" << ToUnixMicroseconds(run.at) << "\n";
    }
    for (; this->recorded_opens < this->model.Opens().size();
         ++this->recorded_opens) {
      const bool draining = this->drain_ends_at != kNever;
      this->record << "event=open leaving=" << (draining ? "yes" : "no")
                   << " at="
                   << ToUnixMicroseconds(
                          this->model.Opens()[this->recorded_opens].at)
                   << "\n";
    }
    this->record.flush();
  }

  asio::io_context& context;
  emulate::BackendOptions options;
  Endpoint listen;
  std::string entry_path;
  TimePoint started_at;
  emulate::BackendModel model;
  RandomEngine random;
  UdpSocket socket;
  asio::ip::tcp::health_check_acceptor health_check_acceptor;
  asio::steady_timer tick_timer;
  std::ofstream record;
  ReceiveBuffer buffer{};
  std::vector<emulate::ModelPacket> out;
  uint16_t last_sender_port = 0;
  TimePoint next_heartbeat_at;
  TimePoint drain_ends_at = kNever;
  uint64_t heartbeats = 0;
  size_t recorded_runs = 0;
  size_t recorded_opens = 0;
  std::atomic<bool> entry_write_pending = false;
  asio::thread_pool entry_writer{1};  ///< Ends before what its work refers to.
};

}  // namespace

ResultCode RunFlowBackend(const cxxopts::ParseResult& options) {
  const std::optional<Endpoint> listen =
      ParseEndpoint(options["listen"].as<std::string>());
  if (!listen)
    return ReportError({ResultCode::kUsage, "--listen is no A.B.C.D:PORT"});
  emulate::BackendOptions backend;
  backend.vm = VmId{options["vm"].as<uint32_t>()};
  backend.service = options["serves"].as<std::string>();
  backend.data_centre = options["data-centre"].as<std::string>();
  backend.slots = static_cast<int>(options["slots"].as<uint32_t>());
  backend.queue = static_cast<int>(options["queue"].as<uint32_t>());
  asio::io_context context;
  const auto server = std::make_shared<FlowBackend>(
      context, backend, *listen, options["dir"].as<std::string>(),
      options["record"].as<std::string>());
  const Result<void> opened = server->Open();
  if (!opened)
    return ReportError(opened.error());
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait(
      [&server](const asio::error_code&, int) { server->BeginDrain(); });
  context.run();
  return ResultCode::kOk;
}

}  // namespace cuminvane
