/** @file caller_packet_func.h Handling common to all packets from callers:
 * token verification, refusal or relay, and the log line about the route. */

#ifndef CUMINVANE_REQUEST_CALLER_PACKET_FUNC_H_
#define CUMINVANE_REQUEST_CALLER_PACKET_FUNC_H_

#include <string_view>

#include "message/message_func.h"
#include "request/dispatch_base.h"
#include "request/request_type.h"
#include "request/route_func.h"

namespace cuminvane {

/** A packet from a caller. */
struct CallerPacket {
  CallerPath path;         ///< Caller's address and the route back to it.
  std::string_view bytes;  ///< The packet, including its header.
  DatagramHeader header;   ///< Decoded header.
  int hops = 0;            ///< Number of relays between balancers so far.
};

/**
 * Verifies the token of a caller's packet. If it is invalid, logs the drop and
 * sends the caller the error, provided that the reply is not larger than the
 * packet: the sender's address is not verified, and larger replies could be
 * used for an amplification attack.
 * @param flow Flow that the packet names.
 * @param number Request number that the packet names; 0 if the
 * packet names no request.
 * @param token Token in the packet.
 * @return The content of the token, or the error of CheckToken.
 */
Result<FlowToken> VerifyToken(const HandlerContext& context,
                              const CallerPacket& packet,
                              FlowId flow,
                              RequestNumber number,
                              const Blob& token);

/** Logs the routing decision for a packet.
 * @param event Event name of the log line.
 * @param number Request number that the packet names; 0 if the packet names no
 * request. */
void LogRoute(const char* event,
              FlowId flow,
              RequestNumber number,
              const Route& route,
              Output& out);

/** Refuses a packet if its route is kRefuse; otherwise relays it to the
 * balancer named by the route. */
void RefuseOrRelay(const Route& route,
                   const CallerPacket& packet,
                   FlowId flow,
                   RequestNumber number,
                   Output& out);

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_CALLER_PACKET_FUNC_H_
