/** @file packet_fake.h Test fixture for the packet plane of one balancer. It
 * runs in virtual time; the test supplies documents and packets. */

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

/** IP address of caller 0 (100.64.0.0); caller n has the n-th address after
 * it. */
inline constexpr uint32_t kFirstCallerIp = 0x64400000;
/** Time from the opening packet to the packet that ends the handshake. */
inline constexpr Milliseconds kRoundTripTime{6};
/** Address of class `edits`, which belongs to service `desk`. */
inline const Endpoint kEditsAddress = *ParseEndpoint("198.18.0.1:443");
/** Address of class `downloads`, which belongs to service `files`. */
inline const Endpoint kDownloadsAddress = *ParseEndpoint("198.18.0.2:443");
/** Address of class `split`, whose new flows are divided evenly between
 * services `desk` and `files`. */
inline const Endpoint kSplitAddress = *ParseEndpoint("198.18.0.3:443");

/** Address of another balancer. */
inline const Endpoint kPeerAddress = *ParseEndpoint("10.0.0.2:1");

/** One backend server in the VM list. */
struct VmListEntry {
  uint64_t id = 0;
  std::string service = "desk";
  std::string data_centre = "a";
  uint64_t incarnation = 1;
  bool leaving = false;  ///< Listed with state `leaving` instead of `live`.
  int warm_up_ms = 0;    ///< Remaining warm-up time; 0 if the server is warm.
};

/** The packet plane of VM 1 in data centre `a`, with configuration version 1
 * and no VM list. */
struct FakePacketPlane {
  FakePacketPlane() {
    this->settings.id = VmId{1};
    this->settings.incarnation = Incarnation{1};
    this->settings.data_centre = "a";
    this->settings.peer = *ParseEndpoint("10.0.0.1:1");
    this->settings.packets = *ParseEndpoint("10.0.0.1:2");
    // Most tests open flows that never get an answer. Depth limits of 0 switch
    // the check for full servers off, so that those flows are placed anyway.
    this->settings.flows.opening_depth_limit = 0;
    this->settings.flows.retransmission_depth_limit = 0;
    this->Restart();
    this->OfferConfig(1);
  }

  /** Replaces the balancer by a new one with the present settings and without
   * documents. */
  void Restart() {
    this->balancer = std::make_unique<Balancer<NullMutex>>(this->settings);
  }

  /** Offers a document to the balancer, which has to accept it. */
  void OfferDocument(DocumentKind kind, const std::string& text) {
    CHECK(this->balancer
              ->OfferDocument(this->now, kind, text, this->random, this->out)
              .has_value());
  }

  /**
   * Offers a configuration with services `desk` and `files`.
   *
   * @param version Version of the document.
   * @param classes Class sections; empty means classes `edits`, `downloads`
   * and `split`.
   */
  void OfferConfig(int version, const std::string& classes = "") {
    const std::string class_settings =
        "idempotent = yes\nrank = 1\nanswered_within_ms = 200\n";
    this->OfferDocument(
        DocumentKind::kConfig,
        "[document]\nversion = " + std::to_string(version) +
            "\n[flows]\nidle_ms = 12000\n[service desk]\n"
            "[service files]\n" +
            (classes.empty()
                 ? "[class edits]\nservice = desk\naddresses = " +
                       ToString(kEditsAddress) + "\n" + class_settings +
                       "[class downloads]\nservice = "
                       "files\naddresses = " +
                       ToString(kDownloadsAddress) + "\n" + class_settings +
                       "[class split]\nservice = desk\naddresses = " +
                       ToString(kSplitAddress) + "\nsplit = desk 1, files 1\n" +
                       class_settings
                 : classes));
  }

  /** Offers the next version of the VM list, with these backend servers.
   * @param evacuated Evacuated data centres. */
  void OfferVmList(const std::vector<VmListEntry>& vms,
                   const std::vector<std::string>& evacuated = {}) {
    std::string text =
        "[list]\nversion = " + std::to_string(++this->list_version) + "\n";
    for (const VmListEntry& vm : vms)
      text += "[vm " + std::to_string(vm.id) +
              "]\nincarnation = " + std::to_string(vm.incarnation) +
              "\nrole = backend\nservice = " + vm.service +
              "\ndata_centre = " + vm.data_centre + "\naddress = 10.1.0." +
              std::to_string(vm.id % 256) +
              ":80\nslots = 2\ncold_ms = " + std::to_string(vm.warm_up_ms) +
              "\nstate = " + (vm.leaving ? "leaving" : "live") + "\n";
    for (const std::string& data_centre : evacuated)
      text += "[evacuation " + data_centre + "]\nreason = operator\n";
    this->OfferDocument(DocumentKind::kVmList, text);
  }

  /** @return The key of the caller's flow to the service address. */
  static FlowKey KeyOfCaller(uint32_t caller,
                             const Endpoint& service = kEditsAddress) {
    return {{kFirstCallerIp + caller, 1024}, service};
  }

  PacketAction SendPacket(const OpaquePacket& packet) {
    return this->balancer->GetPacketPlane().OnPacket(this->now, packet,
                                                     this->random, this->out);
  }

  /**
   * Sends the opening packet of a flow.
   *
   * @param key The flow.
   * @param retransmissions Number of earlier transmissions of the packet; 0
   * for the original.
   * @return What the balancer does with the packet.
   */
  PacketAction SendOpeningPacket(const FlowKey& key,
                                 uint32_t retransmissions = 0) {
    OpaquePacket packet;
    packet.key = key;
    packet.sequence = 100;
    packet.acknowledged_or_retransmission = retransmissions;
    packet.opens = true;
    return this->SendPacket(packet);
  }

  /**
   * Sends a packet of an open flow.
   *
   * @param key The flow.
   * @param tag Tag that the packet carries.
   * @param sequence Sequence number of the first payload byte.
   * @param acknowledged Acknowledgement number.
   * @param length Payload length in bytes; 0 for an acknowledgement only.
   * @return What the balancer does with the packet.
   */
  PacketAction SendData(const FlowKey& key,
                        FlowTag tag,
                        uint32_t sequence,
                        uint32_t acknowledged,
                        uint16_t length) {
    OpaquePacket packet;
    packet.key = key;
    packet.tag = tag;
    packet.sequence = sequence;
    packet.acknowledged_or_retransmission = acknowledged;
    packet.length = length;
    return this->SendPacket(packet);
  }

  /** Opens a flow and completes its handshake one round trip later. */
  PacketAction EstablishFlow(const FlowKey& key) {
    const PacketAction opened = this->SendOpeningPacket(key);
    this->now += kRoundTripTime;
    return this->SendData(key, opened.tag, 101, 1000, 0);
  }

  /** Advances the virtual time in steps of 10 ms with a tick after each. */
  void RunFor(Milliseconds time) {
    for (Milliseconds elapsed{0}; elapsed < time; elapsed += Milliseconds(10)) {
      this->now += Milliseconds(10);
      if (this->documents_confirmed)
        this->balancer->GetTokenPlane().ConfirmDocuments(this->now);
      this->balancer->Tick(this->now, this->random, this->out);
    }
  }

  /** Reports the result of a health check of the backend server. */
  void EndHealthCheck(VmId vm, HealthCheckResult result) {
    this->balancer->OnHealthCheckResult(this->now, vm, result, this->random,
                                        this->out);
  }

  /** @return The balancer's present state of the backend server. */
  const PoolMember& PoolMemberOf(VmId vm) {
    this->pool_members = this->balancer->GetPacketPlane().Backends();
    return this->pool_members.at(vm);
  }

  Settings settings;
  std::unique_ptr<Balancer<NullMutex>> balancer;
  RandomEngine random{1};
  TimePoint now = TimePoint(Seconds(1000));
  PacketOutput out;
  /** Copy of the pool that PoolMemberOf() last took. */
  std::map<VmId, PoolMember> pool_members;
  uint64_t list_version = 0;  ///< Version of the last VM list; 0 if none.
  /** Whether RunFor confirms that the documents are the newest ones. */
  bool documents_confirmed = true;
};

/**
 * Makes the backend server of an open flow unreachable: an answer is overdue,
 * and the health check that this triggers times out.
 *
 * @param plane The balancer.
 * @param key The open flow.
 * @param opened Packet action that placed the flow.
 */
inline void MakeUnreachable(FakePacketPlane& plane,
                            const FlowKey& key,
                            const PacketAction& opened) {
  plane.SendData(key, opened.tag, 101, 1000, 50);
  plane.RunFor(Milliseconds(120));
  plane.EndHealthCheck(opened.backend, HealthCheckResult::kTimedOut);
}

/** Opens a flow and lets its answer become overdue. @return The placement. */
inline PacketAction OpenUnansweredFlow(FakePacketPlane& plane,
                                       const FlowKey& key) {
  const PacketAction opened = plane.EstablishFlow(key);
  plane.SendData(key, opened.tag, 101, 1000, 50);
  plane.RunFor(Milliseconds(120));
  return opened;
}

/** Lets the caller of OpenUnansweredFlow retransmit its data twice. */
inline void RetransmitTwice(FakePacketPlane& plane,
                            const FlowKey& key,
                            const PacketAction& opened) {
  for (int copy = 0; copy < 2; ++copy) {
    plane.RunFor(Milliseconds(300));
    plane.SendData(key, opened.tag, 101, 1000, 50);
  }
}

}  // namespace cuminvane::test

#endif  // CUMINVANE_TESTS_PACKET_FAKE_H_
