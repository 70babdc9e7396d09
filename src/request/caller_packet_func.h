/** @file caller_packet_func.h A caller's packet on its way through a balancer:
 * its token, its route, and the log line about it. */

#ifndef CUMINVANE_REQUEST_CALLER_PACKET_FUNC_H_
#define CUMINVANE_REQUEST_CALLER_PACKET_FUNC_H_

#include <string_view>

#include "message/message_func.h"
#include "request/dispatch_base.h"
#include "request/request_type.h"
#include "request/route_func.h"

namespace cuminvane {

/** A caller's packet with what is known of it. */
struct CallerPacket {
  CallerPath path;
  std::string_view bytes;
  DatagramHeader header;
  int hops = 0;  ///< Relays it has taken.
};

/** Checks the token; a packet with a bad one is counted, and its sender told
 * in no more bytes than it sent. */
Result<FlowToken> VerifyToken(const HandlerContext& context,
                              const CallerPacket& packet,
                              FlowId flow,
                              RequestNumber number,
                              const Blob& token);

/** Logs where a packet goes. */
void LogRoute(const char* event,
              FlowId flow,
              RequestNumber number,
              const Route& route,
              Output& out);

/** Refuses a packet or passes it on to a peer, as its route says. */
void RefuseOrRelay(const Route& route,
                   const CallerPacket& packet,
                   FlowId flow,
                   RequestNumber number,
                   Output& out);

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_CALLER_PACKET_FUNC_H_
