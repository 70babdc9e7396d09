/** @file reply_func.h Builds what a balancer sends to callers and backend
 * servers. */

#ifndef CUMINVANE_REQUEST_REPLY_FUNC_H_
#define CUMINVANE_REQUEST_REPLY_FUNC_H_

#include <string>
#include <string_view>

#include "decision/output_type.h"
#include "message/message_func.h"
#include "request/request_type.h"

namespace cuminvane {

/** Sends a packet back to a caller by the way it came. */
void SendToCaller(const CallerPath& path, std::string_view packet, Output& out);

/** Tells a caller how a request ended without an answer. */
void SendOutcome(const CallerPath& path,
                 FlowId flow,
                 RequestNumber number,
                 ResultCode code,
                 Output& out);

/** Tells a caller that its request is recorded here. */
void SendReceipt(const CallerPath& path,
                 FlowId flow,
                 RequestNumber number,
                 const VmInstance& self,
                 Output& out);

/** Sends one part that is here to the caller. */
void SendPart(FlowId flow,
              const RequestRecord& record,
              uint32_t index,
              const VmInstance& self,
              Output& out);

/** Sends the request to its backend server. */
void SendRun(FlowId flow,
             const RequestRecord& record,
             const Endpoint& backend,
             Output& out);

/** Withdraws the request's run. */
void SendCancelRun(const RequestRecord& record,
                   const Endpoint& backend,
                   Output& out);

/** Asks the backend server for the parts that are missing, or how the run
 * stands. */
void SendNeedRunParts(const RequestRecord& record,
                      const Endpoint& backend,
                      Output& out);

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_REPLY_FUNC_H_
