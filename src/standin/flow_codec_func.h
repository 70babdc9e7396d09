/** @file flow_codec_func.h Codec for packets of opaque flows that the stand-ins
 * exchange: the layout of the platform with a checksum that reveals altered
 * packets. */

#ifndef CUMINVANE_STANDIN_FLOW_CODEC_FUNC_H_
#define CUMINVANE_STANDIN_FLOW_CODEC_FUNC_H_

#include <optional>
#include <string>
#include <string_view>

#include "emulate/model_type.h"

namespace cuminvane {

/** A packet as decoded by an end of a flow. */
struct FlowPacket {
  emulate::ModelPacket model;
  /** Whether the checksum matches. The checksum does not cover the tag, so the
   * tag may still differ from what the sender wrote. */
  bool unaltered = false;
  /** Whether this is a reset with checksum 0, which no end of the flow sends.
   */
  bool sent_by_balancer = false;

  bool operator==(const FlowPacket&) const = default;
};

/** @return The packet in the layout of the platform. */
std::string EncodeFlowPacket(const emulate::ModelPacket& packet);

/** @return The packet; nullopt if the header is incomplete or the length field
 * does not match. */
std::optional<FlowPacket> DecodeFlowPacket(std::string_view bytes);

}  // namespace cuminvane

#endif  // CUMINVANE_STANDIN_FLOW_CODEC_FUNC_H_
