/** @file reply_func.h Builds the packets that a balancer sends to callers and
 * backend servers about a request. */

#ifndef CUMINVANE_REQUEST_REPLY_FUNC_H_
#define CUMINVANE_REQUEST_REPLY_FUNC_H_

#include <string>
#include <string_view>

#include "decision/output_type.h"
#include "message/message_func.h"
#include "request/request_type.h"

namespace cuminvane {

/** Sends a packet to a caller through the fabric that the caller's last packet
 * came from. */
void SendToCaller(const CallerPath& path, std::string_view packet, Output& out);

/** Sends a caller the result code of a request that ended without an answer. */
void SendOutcome(const CallerPath& path,
                 FlowId flow,
                 RequestNumber number,
                 ResultCode code,
                 Output& out);

/** Acknowledges a request to its caller.
 * @param self This balancer, which holds the request's record. */
void SendReceipt(const CallerPath& path,
                 FlowId flow,
                 RequestNumber number,
                 const VmInstance& self,
                 Output& out);

/** Sends a caller one part of an answer.
 * @param index Index of the part, from 0; the part must have been received.
 * @param self This balancer, which holds the request's record. */
void SendPart(FlowId flow,
              const RequestRecord& record,
              uint32_t index,
              const VmInstance& self,
              Output& out);

/** Sends the record's current run to its backend server.
 * @param backend Address of the backend server. */
void SendRun(FlowId flow,
             const RequestRecord& record,
             const Endpoint& backend,
             Output& out);

/** Asks the backend server not to start the record's current run.
 * @param backend Address of the backend server. */
void SendCancelRun(const RequestRecord& record,
                   const Endpoint& backend,
                   Output& out);

/** Requests the missing parts of an answer from the backend server, or the
 * state of the run if no part has been received.
 * @param backend Address of the backend server. */
void SendMissingRunPartsQuery(const RequestRecord& record,
                              const Endpoint& backend,
                              Output& out);

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_REPLY_FUNC_H_
