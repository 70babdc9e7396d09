/** @file member_type.h What balancers tell each other about the balancers of
 * the fleet. */

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

/** Belief about one member; at the same round a higher state replaces a lower
 * one. */
enum class MemberState : uint8_t {
  kAlive = 0,
  kLeaving = 1,  ///< Says itself that it is stopping.
  kSuspect = 2,  ///< Did not answer; may refute.
  kDead = 3,     ///< Did not refute in time.
  kLeft = 4,     ///< Said that it had finished and stopped.
};

/** @return The state's word in logs and status. */
const char* ToString(MemberState state);

/** One statement about one member, passed from peer to peer. */
struct MemberInfo {
  VmInstance id;
  uint32_t state_version =
      0;              ///< Raised by the member itself to refute a suspicion.
  uint8_t state = 0;  ///< A MemberState; unknown numbers read as kAlive.
  Endpoint peer;      ///< Where it listens for peers.
  uint64_t data_centre = 0;  ///< Hash of the data centre's name.
  uint32_t newest_key = 0;   ///< Newest token key that it holds.
  /** Its last start known to have stopped with nothing owed to any caller. */
  Incarnation last_clean_exit;

  bool operator==(const MemberInfo&) const = default;
  MSGPACK_DEFINE_ARRAY(id,
                       state_version,
                       state,
                       peer,
                       data_centre,
                       newest_key,
                       last_clean_exit.value)

  /** @return The state, kAlive for a number from a newer version. */
  MemberState State() const {
    return this->state <= static_cast<uint8_t>(MemberState::kLeft)
               ? static_cast<MemberState>(this->state)
               : MemberState::kAlive;
  }
};

/** @return The number by which a data centre is compared. */
uint64_t DataCentreIdOf(std::string_view name);

/** @return What a live member says of itself at first. */
MemberInfo MakeMember(const VmInstance& id,
                      const Endpoint& peer,
                      std::string_view data_centre);

/** Versions of the documents that a member has in force. */
struct DocumentVersions {
  DocumentStamp config;
  DocumentStamp vms;

  auto operator<=>(const DocumentVersions&) const = default;
  MSGPACK_DEFINE_ARRAY(config, vms)
};

/** Asks a member whether it is there. */
struct Ping {
  static constexpr MessageType kType = MessageType::kPing;
  uint64_t sequence = 0;
  MemberInfo from;
  DocumentVersions versions;
  std::vector<MemberInfo> updates;
  /** Milliseconds since the sender's documents were known to be the newest,
   * plus 1; 0: never known. */
  uint32_t confirmed_age_ms_plus_one = 0;

  bool operator==(const Ping&) const = default;
  MSGPACK_DEFINE_ARRAY(sequence,
                       from,
                       versions,
                       updates,
                       confirmed_age_ms_plus_one)
};

/** Answers a ping, or passes on that another member answered one. */
struct Ack {
  static constexpr MessageType kType = MessageType::kAck;
  uint64_t sequence = 0;
  MemberInfo from;
  DocumentVersions versions;
  std::vector<MemberInfo> updates;
  uint32_t confirmed_age_ms_plus_one = 0;  ///< As in Ping.

  bool operator==(const Ack&) const = default;
  MSGPACK_DEFINE_ARRAY(sequence,
                       from,
                       versions,
                       updates,
                       confirmed_age_ms_plus_one)
};

/** Asks a member to ping another one that did not answer. */
struct PingRequest {
  static constexpr MessageType kType = MessageType::kPingRequest;
  uint64_t sequence = 0;
  MemberInfo from;
  Endpoint target;

  bool operator==(const PingRequest&) const = default;
  MSGPACK_DEFINE_ARRAY(sequence, from, target)
};

/** The members as one process believes them to be, in ascending order of VM. */
struct MemberView {
  std::vector<MemberInfo> members;  ///< Without the process itself.

  bool operator==(const MemberView&) const = default;
};

/** @return The statement about the VM, null where there is none. */
const MemberInfo* FindMember(const MemberView& view, VmId vm);

/** @return The member that takes a flow over from this one, none where no other
 * is alive. */
VmInstance ChooseSuccessor(const MemberView& view,
                           FlowId flow,
                           VmId excluded = {});

}  // namespace cuminvane

#endif  // CUMINVANE_MEMBER_MEMBER_TYPE_H_
