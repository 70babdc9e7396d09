/** @file flow_backend_role.cc The role `flow-backend`: a stand-in backend
 * server for opaque flows. It serves packets, publishes its entry in the
 * directory of the stand-in store, answers health checks, and drains before it
 * exits on SIGTERM or SIGINT. */

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
/** Interval at which the entry is rewritten in the store. The store drops an
 * entry after three missed heartbeats. */
constexpr Milliseconds kHeartbeatInterval{400};
/** Time between publishing the state `draining` and exit; flows are served
 * meanwhile. */
constexpr Milliseconds kDrainDuration{5000};
/** Time before exit at which the listener for health checks is closed; open
 * flows are served until exit. */
constexpr Milliseconds kListenerLead{300};
/** Length of the prefix of each datagram: the number of the target VM, big
 * endian, 0 for any. */
constexpr size_t kTargetVmBytes = 8;

/** Connects the emulated backend server to a UDP socket, the store and a record
 * file. */
class FlowBackend : public std::enable_shared_from_this<FlowBackend> {
 public:
  FlowBackend(asio::io_context& context,
              const emulate::BackendOptions& options,
              const Endpoint& listen,
              const std::string& directory,
              const std::string& record_path)
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
        record(record_path, std::ios::app) {}

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

  /** Publishes the state `draining`; the process exits after kDrainDuration. */
  void BeginDrain() {
    this->model.BeginDrain();
    this->drain_ends_at = ReadClock() + kDrainDuration;
    this->health_checks_end_at = this->drain_ends_at - kListenerLead;
    this->PublishEntry();
  }

 private:
  static std::string ToHex(VmId vm) {
    std::ostringstream out;
    out << std::hex << vm.value;
    return out.str();
  }

  /** Writes the entry in a separate thread, so that packets do not wait for the
   * disk. Does nothing while the previous write is pending; the next heartbeat
   * then publishes the state. */
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
    const bool leaving = this->drain_ends_at != kNever;
    asio::post(this->entry_writer, [this, leaving, text = text.str()] {
      this->WriteEntry(text);
      if (leaving && this->leaving_since.load() == kNever)
        this->leaving_since = ReadClock();
      this->entry_write_pending = false;
    });
  }

  /** Replaces the entry atomically, so that readers never see a part of it. */
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

  /** Passes received packets to the model. Packets for another VM and
   * undecodable ones are dropped. */
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
      // Retransmissions are recorded too, unlike in RecordOpens.
      if (packet->model.opens)
        this->record << "event=opening balancer=" << ToString(from)
                     << " at=" << ToUnixMicroseconds(ReadClock()) << "\n";
      this->model.OnPacket(ReadClock(), packet->model, this->random, this->out);
      this->RecordOpens(from);
      this->SendPackets(from.port);
    }
  }

  /** Sends the packets in `out` to the addresses of their callers.
   * @param port Destination port of the datagrams. */
  void SendPackets(uint16_t port) {
    for (const emulate::ModelPacket& packet : this->out)
      SendTo(this->socket, {packet.key.caller.ip, port},
             EncodeFlowPacket(packet));
    this->out.clear();
    this->last_sender_port = port;
  }

  /** Accepts TCP connections of health checks and closes them at once. */
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
    if (now >= this->health_checks_end_at) {
      this->health_checks_end_at = kNever;
      asio::error_code ignored;
      this->health_check_acceptor.close(ignored);
    }
    if (now >= this->drain_ends_at) {
      this->entry_writer.join();
      std::error_code ignored;
      std::filesystem::remove(this->entry_path, ignored);
      this->context.stop();
      return;
    }
    this->WaitForTick();
  }

  /** Appends the runs since the last call to the record. */
  void RecordEvents() {
    for (; this->recorded_runs < this->model.Runs().size();
         ++this->recorded_runs) {
      const emulate::RunRecord& run = this->model.Runs()[this->recorded_runs];
      this->record << "event=run request=" << run.request_id
                   << " service=" << this->options.service
                   << " at=" << ToUnixMicroseconds(run.at) << "\n";
    }
    this->record.flush();
  }

  /** Appends the opening packets since the last call to the record. If the
   * server is leaving, `since` is the time from which the store could show it.
   * @param balancer Sender of the packets. */
  void RecordOpens(const Endpoint& balancer) {
    for (; this->recorded_opens < this->model.AcceptedFlows().size();
         ++this->recorded_opens) {
      const TimePoint since = this->leaving_since;
      this->record << "event=open balancer=" << ToString(balancer)
                   << " leaving=" << (since == kNever ? "no" : "yes");
      if (since != kNever)
        this->record << " since=" << ToUnixMicroseconds(since);
      this->record << " at="
                   << ToUnixMicroseconds(
                          this->model.AcceptedFlows()[this->recorded_opens].at)
                   << "\n";
    }
  }

  asio::io_context& context;
  emulate::BackendOptions options;
  Endpoint listen;         ///< Address for packets and for health checks.
  std::string entry_path;  ///< File of this backend server in the store.
  TimePoint started_at;
  emulate::BackendModel model;
  RandomEngine random;
  UdpSocket socket;
  asio::ip::tcp::acceptor health_check_acceptor;
  asio::steady_timer tick_timer;
  std::ofstream record;
  ReceiveBuffer buffer{};
  std::vector<emulate::ModelPacket> out;  ///< Packets to send to callers.
  uint16_t last_sender_port = 0;  ///< Port from which the last packet came.
  TimePoint next_heartbeat_at;
  TimePoint drain_ends_at = kNever;         ///< kNever unless draining.
  TimePoint health_checks_end_at = kNever;  ///< When to close the listener;
                                            ///< kNever unless draining.
  /** When the first entry with the state `draining` was written. */
  std::atomic<TimePoint> leaving_since = kNever;
  uint64_t heartbeats = 0;    ///< Number of entries published.
  size_t recorded_runs = 0;   ///< Number of runs already in the record file.
  size_t recorded_opens = 0;  ///< Number of opening packets already in the
                              ///< record file.
  std::atomic<bool> entry_write_pending = false;
  /** Writes the entry. Declared last, so that it is destroyed before the
   * members that its tasks use. */
  asio::thread_pool entry_writer{1};
};

}  // namespace

ResultCode RunFlowBackend(const cxxopts::ParseResult& options) {
  const std::optional<Endpoint> listen =
      ParseEndpoint(options["listen"].as<std::string>());
  if (!listen)
    return ReportError(
        {ResultCode::kUsage, "--listen must be an address A.B.C.D:PORT"});
  emulate::BackendOptions backend;
  backend.vm = VmId{options["vm"].as<uint32_t>()};
  backend.service = options["serves"].as<std::string>();
  backend.data_centre = options["data-centre"].as<std::string>();
  backend.slots = static_cast<int>(options["slots"].as<uint32_t>());
  backend.queue_limit = static_cast<int>(options["queue"].as<uint32_t>());
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
