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

constexpr Milliseconds kTick{2};
constexpr Milliseconds kBeat{400};
/** Flows go on for this long after the store has been told of the leave. */
constexpr Milliseconds kDrainTime{3000};
constexpr size_t kTargetBytes = 8;

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
        entry(directory + "/servers/i-" + HexOf(options.vm)),
        born(ReadClock()),
        model(options, born),
        random(std::random_device{}()),
        socket(context),
        acceptor(context),
        tick(context),
        record(record, std::ios::app) {}

  Result<void> Open() {
    BOOST_OUTCOME_TRY(opened, OpenUdp(this->context, this->listen));
    this->socket = std::move(opened);
    asio::error_code failure;
    const asio::ip::tcp::endpoint address(asio::ip::address_v4(this->listen.ip),
                                          this->listen.port);
    this->acceptor.open(address.protocol(), failure);
    this->acceptor.set_option(asio::socket_base::reuse_address(true), failure);
    this->acceptor.bind(address, failure);
    if (!failure)
      this->acceptor.listen(asio::socket_base::max_listen_connections, failure);
    if (failure)
      return Error{ResultCode::kSocketFailure, ToString(this->listen)};
    this->Report();
    this->WaitForPackets();
    this->WaitForChecks();
    this->WaitForTick();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  void BeginDrain() {
    this->model.BeginDrain();
    this->ends_at = ReadClock() + kDrainTime;
    this->Report();
  }

 private:
  static std::string HexOf(VmId vm) {
    std::ostringstream out;
    out << std::hex << vm.value;
    return out.str();
  }

  /** Has the entry written beside the packets, which must not wait for the
   * disk. Where it is behind, the next beat tells. */
  void Report() {
    this->next_beat = ReadClock() + kBeat;
    if (this->writing.exchange(true))
      return;
    std::ostringstream text;
    text << "{\"service\":\"" << this->options.service << "\",\"address\":\""
         << ToString(this->listen) << "\",\"zone\":\""
         << this->options.data_centre
         << "\",\"version\":\"v1\",\"slots\":" << this->options.slots
         << ",\"state\":\"" << (this->ends_at == kNever ? "ready" : "draining")
         << "\",\"cold_remaining_ms\":0,\"seq\":" << ++this->beats
         << ",\"born\":" << ToUnixMicroseconds(this->born) / 1000 << "}";
    asio::post(this->writer, [this, text = text.str()] {
      this->WriteEntry(text);
      this->writing = false;
    });
  }

  /** Replaces the entry in one step, so that no half of it is read. */
  void WriteEntry(const std::string& text) const {
    const std::string draft = this->entry + ".new";
    std::ofstream(draft) << text;
    std::error_code ignored;
    std::filesystem::rename(draft, this->entry, ignored);
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
      if (bytes->size() < kTargetBytes)
        continue;
      uint64_t target = 0;
      for (size_t index = 0; index < kTargetBytes; ++index)
        target = target << 8 | static_cast<unsigned char>((*bytes)[index]);
      const auto packet = DecodeFlowPacket(bytes->substr(kTargetBytes));
      if (!packet || (target != 0 && target != this->options.vm.value))
        continue;
      if (!packet->genuine)
        this->record << "event=altered at=" << ToUnixMicroseconds(ReadClock())
                     << "\n";
      this->model.OnPacket(ReadClock(), packet->model, this->random, this->out);
      this->Send(from.port);
    }
  }

  void Send(uint16_t port) {
    for (const emulate::ModelPacket& packet : this->out)
      SendTo(this->socket, {packet.key.caller.ip, port},
             EncodeFlowPacket(packet));
    this->out.clear();
    this->packets_port = port;
  }

  void WaitForChecks() {
    this->acceptor.async_accept(
        [self = this->shared_from_this()](const asio::error_code& failure,
                                          const asio::ip::tcp::socket&) {
          if (!failure)
            self->WaitForChecks();
        });
  }

  void WaitForTick() {
    this->tick.expires_after(kTick);
    this->tick.async_wait([self = this->shared_from_this()](
                              const asio::error_code&) { self->OnTick(); });
  }

  void OnTick() {
    const TimePoint now = ReadClock();
    this->model.Tick(now, this->out);
    this->Send(this->packets_port);
    this->Record();
    if (now >= this->next_beat)
      this->Report();
    if (now >= this->ends_at) {
      this->writer.join();
      std::error_code ignored;
      std::filesystem::remove(this->entry, ignored);
      this->context.stop();
      return;
    }
    this->WaitForTick();
  }

  void Record() {
    for (; this->runs < this->model.Runs().size(); ++this->runs) {
      const emulate::RunRecord& run = this->model.Runs()[this->runs];
      this->record << "event=run request=" << run.request
                   << " service=" << this->options.service
                   << " at=" << ToUnixMicroseconds(run.at) << "\n";
    }
    for (; this->opens < this->model.Opens().size(); ++this->opens) {
      const bool late = this->ends_at != kNever;
      this->record << "event=open leaving=" << (late ? "yes" : "no") << " at="
                   << ToUnixMicroseconds(this->model.Opens()[this->opens].at)
                   << "\n";
    }
    this->record.flush();
  }

  asio::io_context& context;
  emulate::BackendOptions options;
  Endpoint listen;
  std::string entry;
  TimePoint born;
  emulate::BackendModel model;
  RandomEngine random;
  UdpSocket socket;
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer tick;
  std::ofstream record;
  ReceiveBuffer buffer{};
  std::vector<emulate::ModelPacket> out;
  uint16_t packets_port = 0;
  TimePoint next_beat;
  TimePoint ends_at = kNever;
  uint64_t beats = 0;
  size_t runs = 0;
  size_t opens = 0;
  std::atomic<bool> writing = false;
  asio::thread_pool writer{1};  ///< Ends before what its work refers to.
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
