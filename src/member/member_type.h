/** @file member_type.h State of the balancers as members of the fleet, and the
 * messages that exchange it. */

#ifndef CUMINVANE_MEMBER_MEMBER_TYPE_H_
#define CUMINVANE_MEMBER_MEMBER_TYPE_H_

#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/time_type.h"
#include "document/document_type.h"
#include "message/message_type.h"

namespace cuminvane {

/** State of a member. Of two updates with the same incarnation and state
 * version, the one with the higher number wins. */
enum class MemberState : uint8_t {
  kAlive = 0,
  kLeaving = 1,  ///< Announced that it is stopping.
  kSuspect = 2,  ///< Did not answer a probe; becomes kDead unless it refutes
                 ///< the suspicion in time.
  kDead = 3,     ///< Did not refute the suspicion in time.
  kLeft = 4,     ///< Announced that it stopped with no unfinished requests.
};

/** @return The state's name in logs and status, for example `member_alive`. */
const char* ToString(MemberState state);

/** @return Whether the member is dead or has left. Such members are excluded
 * from the regular probes. */
inline bool IsDeadOrLeft(MemberState state) {
  return state == MemberState::kDead || state == MemberState::kLeft;
}

/** State of one member, as balancers gossip it. */
struct MemberInfo {
  VmInstance id;  ///< The VM and its incarnation.
  /** Orders updates of one incarnation. Only the member itself raises it, to
   * announce a state or to refute a suspicion. */
  uint32_t state_version = 0;
  uint8_t state = 0;  ///< A MemberState; a number unknown to this version is
                      ///< read as kAlive.
  Endpoint peer;  ///< Address at which the member listens for other balancers.
  /** Hash of the data centre's name, from DataCentreIdOf(). */
  uint64_t data_centre = 0;
  uint32_t newest_key = 0;  ///< Highest number among the token keys that the
                            ///< member has; 0 if unknown.
  /** Last incarnation of the member's VM that is known to have stopped without
   * owing an answer to any caller; 0 if none is known. */
  Incarnation last_clean_exit;

  bool operator==(const MemberInfo&) const = default;
  MSGPACK_DEFINE_ARRAY(id,
                       state_version,
                       state,
                       peer,
                       data_centre,
                       newest_key,
                       last_clean_exit.value)

  /** @return The state; kAlive if a newer version sent an unknown number. */
  MemberState State() const {
    return this->state <= static_cast<uint8_t>(MemberState::kLeft)
               ? static_cast<MemberState>(this->state)
               : MemberState::kAlive;
  }
};

/** @return Hash of the data centre's name, by which data centres are compared.
 */
uint64_t DataCentreIdOf(std::string_view name);

/** @return State of a live member that has not announced or refuted anything
 * yet. */
MemberInfo MakeMember(const VmInstance& id,
                      const Endpoint& peer,
                      std::string_view data_centre);

/** Stamps of the documents that are active at a member. */
struct DocumentVersions {
  DocumentStamp config;  ///< The operators' configuration.
  DocumentStamp vms;     ///< The platform's list of VMs.

  auto operator<=>(const DocumentVersions&) const = default;
  MSGPACK_DEFINE_ARRAY(config, vms)
};

/** Probes a member. */
struct Ping {
  static constexpr MessageType kType = MessageType::kPing;
  uint64_t sequence = 0;            ///< Number of the probe.
  MemberInfo from;                  ///< State of the sender.
  DocumentVersions versions;        ///< Active documents of the sender.
  std::vector<MemberInfo> updates;  ///< Gossip about other members.
  /** Milliseconds since the sender's documents were last confirmed to be the
   * newest ones, plus 1. 0 means never confirmed. */
  uint32_t confirmed_age_ms_plus_one = 0;

  bool operator==(const Ping&) const = default;
  MSGPACK_DEFINE_ARRAY(sequence,
                       from,
                       versions,
                       updates,
                       confirmed_age_ms_plus_one)
};

/** Answers a ping, or forwards the answer of a member that was probed on behalf
 * of the receiver. */
struct Ack {
  static constexpr MessageType kType = MessageType::kAck;
  uint64_t sequence = 0;            ///< Number of the answered probe.
  MemberInfo from;                  ///< State of the probed member.
  DocumentVersions versions;        ///< Active documents of `from`.
  std::vector<MemberInfo> updates;  ///< Gossip about other members.
  /** Milliseconds since the documents of `from` were last confirmed to be the
   * newest ones, plus 1. 0 means never confirmed. */
  uint32_t confirmed_age_ms_plus_one = 0;

  bool operator==(const Ack&) const = default;
  MSGPACK_DEFINE_ARRAY(sequence,
                       from,
                       versions,
                       updates,
                       confirmed_age_ms_plus_one)
};

/** Asks a member to probe another member that did not answer the sender
 * (indirect probe). */
struct PingRequest {
  static constexpr MessageType kType = MessageType::kPingRequest;
  uint64_t sequence = 0;  ///< Number of the probe; the Ack carries it back.
  MemberInfo from;        ///< State of the sender.
  Endpoint target;        ///< Address of the member to probe.

  bool operator==(const PingRequest&) const = default;
  MSGPACK_DEFINE_ARRAY(sequence, from, target)
};

/** The other members as known to one process, in ascending order of VM. */
struct MemberView {
  std::vector<MemberInfo> members;  ///< Does not contain the process itself.

  bool operator==(const MemberView&) const = default;
};

/** @return The state of the VM's balancer, null if it is unknown. */
const MemberInfo* FindMember(const MemberView& view, VmId vm);

/**
 * @param excluded A VM that must not be chosen, VmId{} for none.
 * @return The live member that owns the flow after this balancer, chosen by
 * rendezvous hashing; empty if no other member is alive.
 */
VmInstance ChooseSuccessor(const MemberView& view,
                           FlowId flow,
                           VmId excluded = {});

}  // namespace cuminvane

#endif  // CUMINVANE_MEMBER_MEMBER_TYPE_H_
