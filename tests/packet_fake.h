/** @file packet_fake.h One balancer's packet plane in virtual time, with the
 * documents and packets that a test makes. */

#ifndef CUMINVANE_TESTS_PACKET_FAKE_H_
#define CUMINVANE_TESTS_PACKET_FAKE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "balancer/balancer_base.h"
#include "document/config_func.h"
#include "document/vmlist_func.h"
#include "tests/test_text.h"

namespace cuminvane::test {

inline constexpr uint32_t kCallerNet = 0x64400000;
inline constexpr Milliseconds kRoundTrip{6};
inline const Endpoint kEdits = *ParseEndpoint("198.18.0.1:443");
inline const Endpoint kDownloads = *ParseEndpoint("198.18.0.2:443");
inline const Endpoint kSplit = *ParseEndpoint("198.18.0.3:443");

/** One backend server of the list. */
struct ListedVm {
  uint64_t id = 0;
  std::string service = "desk";
  std::string data_centre = "a";
  uint64_t incarnation = 1;
  bool leaving = false;
  int cold_ms = 0;
};

/** A balancer whose documents and packets the test makes. */
struct World {
  World() {
    this->settings.id = VmId{1};
    this->settings.incarnation = Incarnation{1};
    this->settings.data_centre = "a";
    this->settings.peer = *ParseEndpoint("10.0.0.1:1");
    this->settings.packets = *ParseEndpoint("10.0.0.1:2");
    // Most tests open flows that nobody answers.
    this->settings.flows.opening_depth_limit = 0;
    this->settings.flows.retransmission_depth_limit = 0;
    this->Restart();
    this->Configure(1);
  }

  void Restart() {
    this->balancer = std::make_unique<Balancer<NullMutex>>(this->settings);
  }

  void Offer(DocumentKind kind, const std::string& text) {
    CHECK(this->balancer
              ->OfferDocument(this->now, kind, text, this->random, this->out)
              .has_value());
  }

  void Configure(int version, const std::string& extra = "") {
    const std::string target =
        "idempotent = yes\nrank = 1\nanswered_within_ms = 200\n";
    this->Offer(
        DocumentKind::kConfig,
        "[document]\nversion = " + std::to_string(version) +
            "\n[flows]\nidle_ms = 12000\n[service desk]\n"
            "[service files]\n" +
            (extra.empty()
                 ? "[class edits]\nservice = desk\naddresses = " +
                       ToString(kEdits) + "\n" + target +
                       "[class downloads]\nservice = "
                       "files\naddresses = " +
                       ToString(kDownloads) + "\n" + target +
                       "[class split]\nservice = desk\naddresses = " +
                       ToString(kSplit) + "\nsplit = desk 1, files 1\n" + target
                 : extra));
  }

  void List(const std::vector<ListedVm>& vms) {
    std::string text =
        "[list]\nversion = " + std::to_string(++this->list_version) + "\n";
    for (const ListedVm& vm : vms)
      text += "[vm " + std::to_string(vm.id) +
              "]\nincarnation = " + std::to_string(vm.incarnation) +
              "\nrole = backend\nservice = " + vm.service +
              "\ndata_centre = " + vm.data_centre + "\naddress = 10.1.0." +
              std::to_string(vm.id % 256) +
              ":80\nslots = 2\ncold_ms = " + std::to_string(vm.cold_ms) +
              "\nstate = " + (vm.leaving ? "leaving" : "live") + "\n";
    this->Offer(DocumentKind::kVmList, text);
  }

  static FlowKey Key(uint32_t caller, const Endpoint& service = kEdits) {
    return {{kCallerNet + caller, 1024}, service};
  }

  PacketAction Send(const OpaquePacket& packet) {
    return this->balancer->Packets().OnPacket(this->now, packet, this->random,
                                              this->out);
  }

  PacketAction Open(const FlowKey& key, uint32_t copy = 0) {
    OpaquePacket packet;
    packet.key = key;
    packet.sequence = 100;
    packet.acknowledged = copy;
    packet.opens = true;
    return this->Send(packet);
  }

  /** Sends data, or an acknowledgement alone. */
  PacketAction Data(const FlowKey& key,
                    FlowTag tag,
                    uint32_t sequence,
                    uint32_t acknowledged,
                    uint16_t length) {
    OpaquePacket packet;
    packet.key = key;
    packet.tag = tag;
    packet.sequence = sequence;
    packet.acknowledged = acknowledged;
    packet.length = length;
    return this->Send(packet);
  }

  /** Opens a flow and lets its handshake end. */
  PacketAction Establish(const FlowKey& key) {
    const PacketAction opened = this->Open(key);
    this->now += kRoundTrip;
    return this->Data(key, opened.tag, 101, 1000, 0);
  }

  void Wait(Milliseconds time) {
    for (Milliseconds passed{0}; passed < time; passed += Milliseconds(10)) {
      this->now += Milliseconds(10);
      this->balancer->Tick(this->now, this->random, this->out);
    }
  }

  void EndCheck(VmId vm, HealthCheckResult result) {
    this->balancer->OnHealthCheckResult(this->now, vm, result, this->random,
                                        this->out);
  }

  const PoolMember& Member(VmId vm) {
    this->backends = this->balancer->Packets().Backends();
    return this->backends.at(vm);
  }

  Settings settings;
  std::unique_ptr<Balancer<NullMutex>> balancer;
  RandomEngine random{1};
  TimePoint now = TimePoint(Seconds(1000));
  PacketOutput out;
  std::map<VmId, PoolMember> backends;
  int list_version = 0;
};

/** Loses a backend server: something is late, and a check is silent. */
inline void Lose(World& world, const FlowKey& key, const PacketAction& opened) {
  world.Data(key, opened.tag, 101, 1000, 50);
  world.Wait(Milliseconds(120));
  world.EndCheck(opened.backend, HealthCheckResult::kTimedOut);
}

}  // namespace cuminvane::test

#endif  // CUMINVANE_TESTS_PACKET_FAKE_H_
