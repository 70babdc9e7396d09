/** @file fabric_role.cc The role `fabric`: a stand-in for the network fabric.
 * It forwards each packet of a caller to a random balancer, and loses,
 * duplicates and reorders packets on request. */

#include <asio.hpp>
#include <atomic>
#include <csignal>
#include <deque>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "base/random_type.h"
#include "document/vmlist_func.h"
#include "message/message_func.h"
#include "shell/program_func.h"
#include "shell/socket_base.h"
#include "shell/watcher_base.h"
#include "standin/role_func.h"

namespace cuminvane {
namespace {

/** Pause between two reads of the VM list. */
constexpr Milliseconds kVmListReadPause{20};

/** Faults injected into the packets of both directions. */
struct FabricFaults {
  double loss_probability = 0;       ///< From 0 to 1.
  double duplicate_probability = 0;  ///< From 0 to 1; of packets not lost.
  double delay_probability = 0;      ///< From 0 to 1; reorders packets.
  Milliseconds max_delay{0};  ///< Delays are drawn from 1 ms to this plus 1 ms.
};

/** Forwards packets between callers and balancers. */
class Fabric : public std::enable_shared_from_this<Fabric> {
 public:
  Fabric(asio::io_context& context, const FabricFaults& faults, uint64_t seed)
      : context(context),
        balancer_socket(context),
        faults(faults),
        random(seed) {}

  /**
   * Opens the sockets.
   *
   * @param services Addresses of the services, which callers send to.
   * @param balancer_side_address Address that balancers send to.
   * @return The error if a socket can't be opened.
   */
  Result<void> Open(const std::vector<Endpoint>& services,
                    const Endpoint& balancer_side_address) {
    BOOST_OUTCOME_TRY(opened, OpenUdp(this->context, balancer_side_address));
    this->balancer_socket = std::move(opened);
    for (const Endpoint& service : services) {
      BOOST_OUTCOME_TRY(socket, OpenUdp(this->context, service));
      this->services.push_back({service, std::move(socket)});
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  void Start() {
    this->WaitForBalancerPackets();
    for (ServiceSocket& service : this->services)
      this->WaitForCallerPackets(service);
  }

  /** Sets the balancers that packets of callers are forwarded to. May be called
   * from another thread. */
  void SetBalancers(std::vector<Endpoint> addresses) {
    const std::lock_guard lock(this->mutex);
    this->balancers = std::move(addresses);
  }

  void Stop() {
    asio::error_code ignored;
    this->balancer_socket.close(ignored);
    for (ServiceSocket& service : this->services)
      service.socket.close(ignored);
  }

 private:
  /** A socket that callers send packets for one service to. */
  struct ServiceSocket {
    Endpoint address;  ///< Address of the service.
    UdpSocket socket;
  };

  void WaitForBalancerPackets() {
    this->balancer_socket.async_wait(
        UdpSocket::wait_read,
        [self = this->shared_from_this()](const asio::error_code& failure) {
          if (failure)
            return;
          Endpoint from;
          while (const auto bytes =
                     Receive(self->balancer_socket, self->buffer, from))
            self->ForwardFromBalancer(*bytes);
          self->WaitForBalancerPackets();
        });
  }

  void WaitForCallerPackets(ServiceSocket& service) {
    service.socket.async_wait(
        UdpSocket::wait_read, [self = this->shared_from_this(),
                               &service](const asio::error_code& failure) {
          if (failure)
            return;
          Endpoint from;
          while (const auto bytes = Receive(service.socket, self->buffer, from))
            self->ForwardFromCaller(from, service.address, *bytes);
          self->WaitForCallerPackets(service);
        });
  }

  /** Wraps a packet of a caller and sends it to a random balancer. Drops it if
   * no balancer is known. */
  void ForwardFromCaller(const Endpoint& caller,
                         const Endpoint& service,
                         std::string_view bytes) {
    const std::string wrapped =
        Encode(FabricPacket{caller, service, MakeBlob(bytes)});
    this->SendWithFaults([this, wrapped] {
      const std::lock_guard lock(this->mutex);
      if (!this->balancers.empty())
        SendTo(this->balancer_socket,
               this->balancers[DrawIndex(this->random, this->balancers.size())],
               wrapped);
    });
  }

  /** Unwraps a packet of a balancer and sends it to the caller from the socket
   * of its service. Drops it if it can't be decoded. */
  void ForwardFromBalancer(std::string_view bytes) {
    const Result<DatagramHeader> header = DecodeHeader(bytes);
    if (!header)
      return;
    const Result<FabricPacket> packet =
        Decode<FabricPacket>(bytes, header.value());
    if (!packet)
      return;
    const Endpoint caller = packet.value().caller;
    const Endpoint service = packet.value().service;
    this->SendWithFaults(
        [this, caller, service,
         payload = std::string(AsStringView(packet.value().packet))] {
          for (ServiceSocket& candidate : this->services) {
            if (candidate.address == service)
              SendTo(candidate.socket, caller, payload);
          }
        });
  }

  /** Calls `send` for each copy of a packet: not at all if the packet is lost,
   * twice if it is duplicated, and each time at once or after a random delay.
   */
  template <class Send>
  void SendWithFaults(Send send) {
    const int copies = this->DrawChance(this->faults.loss_probability) ? 0
                       : this->DrawChance(this->faults.duplicate_probability)
                           ? 2
                           : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (!this->DrawChance(this->faults.delay_probability)) {
        send();
        continue;
      }
      auto timer = std::make_shared<asio::steady_timer>(this->context);
      const auto max_delay_ms =
          static_cast<size_t>(this->faults.max_delay.count());
      timer->expires_after(
          Milliseconds(1 + DrawIndex(this->random, max_delay_ms + 1)));
      timer->async_wait([timer, send, self = this->shared_from_this()](
                            const asio::error_code&) mutable { send(); });
    }
  }

  /** @return True with the given probability (0 to 1). */
  bool DrawChance(double probability) {
    return std::uniform_real_distribution<double>()(this->random) < probability;
  }

  asio::io_context& context;
  UdpSocket balancer_socket;  ///< Exchanges wrapped packets with balancers.
  std::deque<ServiceSocket> services;
  FabricFaults faults;
  RandomEngine random;
  ReceiveBuffer buffer{};
  std::mutex mutex;                 ///< Guards `balancers`.
  std::vector<Endpoint> balancers;  ///< Targets of packets of callers.
};

/** Watches the VM list of the platform until `stopping` and updates the
 * balancers of the fabric. Balancers that are leaving get no more packets. */
void WatchVmList(const Endpoint& platform,
                 Fabric& fabric,
                 const std::atomic<bool>& stopping) {
  Settings settings;
  settings.platform = platform;
  settings.platform_timing.read_pause = kVmListReadPause;
  WatcherHooks hooks;
  hooks.should_watch = [] { return true; };
  hooks.active_stamp = [](DocumentKind) { return DocumentStamp{}; };
  hooks.has_content = [](DocumentKind, const std::string&) { return false; };
  hooks.confirm_documents = [](TimePoint) {};
  hooks.apply_document = [&fabric](DocumentKind kind,
                                   const std::string& text) -> Result<void> {
    if (kind != DocumentKind::kVmList)
      return BOOST_OUTCOME_V2_NAMESPACE::success();
    std::vector<Endpoint> balancers;
    for (const Vm& vm : CheckVmList("vms", text).list.vms) {
      if (vm.role == VmRole::kBalancer && !vm.leaving)
        balancers.push_back(vm.address);
    }
    fabric.SetBalancers(std::move(balancers));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  };
  StoreWatcher(settings, hooks, stopping).Run();
}

}  // namespace

ResultCode RunFabric(const cxxopts::ParseResult& options) {
  std::vector<Endpoint> services;
  for (const std::string& text :
       options["service"].as<std::vector<std::string>>()) {
    const std::optional<Endpoint> service = ParseEndpoint(text);
    if (!service)
      return ReportError(
          {ResultCode::kUsage, "--service must be an address A.B.C.D:PORT"});
    services.push_back(*service);
  }
  const std::optional<Endpoint> balancer_side_address =
      ParseEndpoint(options["listen"].as<std::string>());
  const std::optional<Endpoint> platform =
      ParseEndpoint(options["platform"].as<std::string>());
  if (!balancer_side_address || !platform)
    return ReportError(
        {ResultCode::kUsage,
         "--listen and --platform must be addresses A.B.C.D:PORT"});
  const FabricFaults faults{options["loss"].as<double>(),
                            options["duplicate"].as<double>(),
                            options["reorder"].as<double>(),
                            Milliseconds(options["delay-ms"].as<int>())};
  asio::io_context context;
  const auto fabric =
      std::make_shared<Fabric>(context, faults, options["seed"].as<uint64_t>());
  const Result<void> opened = fabric->Open(services, *balancer_side_address);
  if (!opened)
    return ReportError(opened.error());
  fabric->Start();
  std::atomic<bool> stopping = false;
  std::thread vm_list_watcher(
      [&] { WatchVmList(*platform, *fabric, stopping); });
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait(
      [&fabric](const asio::error_code&, int) { fabric->Stop(); });
  context.run();
  stopping = true;
  vm_list_watcher.join();
  return ResultCode::kOk;
}

}  // namespace cuminvane
