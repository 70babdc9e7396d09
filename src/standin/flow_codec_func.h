/** @file flow_codec_func.h Packets of opaque flows as the stand-ins send them:
 * the platform's layout with a sum that tells an altered packet. */

#ifndef CUMINVANE_STANDIN_FLOW_CODEC_FUNC_H_
#define CUMINVANE_STANDIN_FLOW_CODEC_FUNC_H_

#include <optional>
#include <string>
#include <string_view>

#include "emulate/model_type.h"

namespace cuminvane {

/** A packet as an end of a flow reads it. */
struct FlowPacket {
  emulate::ModelPacket model;
  bool unaltered = false;         ///< As its sender wrote it, but for the tag.
  bool sent_by_balancer = false;  ///< A reset that no end of the flow wrote.

  bool operator==(const FlowPacket&) const = default;
};

/** @return The packet in the platform's layout. */
std::string EncodeFlowPacket(const emulate::ModelPacket& packet);

/** @return The packet, or nothing where the bytes are none. */
std::optional<FlowPacket> DecodeFlowPacket(std::string_view bytes);

}  // namespace cuminvane

#endif  // CUMINVANE_STANDIN_FLOW_CODEC_FUNC_H_
